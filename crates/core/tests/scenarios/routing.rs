//! Scenario driver for the balancer.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{
    Balancer, Choice, ColdTarget, Estimate, Membership, Observation, PickRequest, Ticket,
};

use crate::line::{Line, attempt_result, variant};

pub struct Run {
    pub balancer: Balancer,
    targets: u32,
    tickets: BTreeMap<String, Ticket>,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        let policy = line.value("policy", "expected".to_owned()).parse().unwrap();
        let targets = line.value("targets", 2);
        let mut balancer = Balancer::new("a", policy, line.value("seed", 1));
        let (slots, remote) = (line.value("slots", 4), line.value("remote", 0));
        balancer.configure(&configuration(targets, slots, remote));
        if line.flag("prefer-local") {
            balancer.prefer_local();
        }
        Self {
            balancer,
            targets,
            tickets: BTreeMap::new(),
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        match line.verb {
            "evacuate" => {
                let domains = line.text("domains").unwrap_or_default().split(',');
                let domains = domains.filter(|d| !d.is_empty()).map(str::to_owned);
                self.balancer.evacuate(&domains.collect());
            }
            "cold" => {
                let cold = ColdTarget {
                    interval: line.span("interval", Duration::ZERO),
                    until: line.now + line.span("remaining", Duration::ZERO),
                };
                let named = (0..self.targets)
                    .map(TargetId)
                    .filter(|id| line.flag(&id.to_string()));
                self.balancer
                    .set_cold(&named.map(|id| (id, cold)).collect());
            }
            "member" => self.member(line),
            "observe" => self.observe(line),
            "pick" | "pick-for-body" => {
                let tried = tried(line);
                let request = PickRequest {
                    service: ServiceId(0),
                    transfer: line.span("transfer", Duration::ZERO),
                    tried: &tried,
                };
                let own = line.text("own").map(|own| own.parse().unwrap());
                let picked = if line.verb == "pick" {
                    self.balancer.pick(&request, line.now)
                } else {
                    self.balancer.pick_for_body(&request, own, line.now)
                };
                if let (Ok(choice), Some(name)) = (&picked, line.text("as")) {
                    self.tickets.insert(name.to_owned(), choice.ticket);
                }
                let text =
                    picked.map_or_else(|refusal| format!("Refuse({refusal:?})"), |c| describe(&c));
                let max_wait = picked.ok().filter(|_| line.flag("max-wait"));
                return vec![text]
                    .into_iter()
                    .chain(max_wait.map(|c| format!("max wait {:.1?}", c.max_wait)))
                    .collect();
            }
            "pin" => {
                let ticket = self.balancer.pin(line.word(0), line.now);
                self.tickets
                    .insert(line.text("as").unwrap().to_owned(), ticket);
            }
            "report" => {
                let ticket = self.balancer.pin(line.word(0), line.now);
                self.report(line, ticket);
            }
            "sample" => return vec![self.sample(line)],
            other => panic!("unknown event `{other}`"),
        }
        Vec::new()
    }

    pub fn state(&self) -> String {
        let outstanding = |t| (format!("target{t}"), self.balancer.outstanding(TargetId(t)));
        format!(
            "outstanding {:?}",
            (0..self.targets).map(outstanding).collect::<Vec<_>>()
        )
    }

    fn member(&mut self, line: &Line<'_>) {
        let view = Membership {
            instance: line
                .text("instance")
                .map(|i| InstanceId(i.parse().unwrap())),
            leaving: line.flag("leaving"),
            target: line.word(0),
        };
        self.balancer.update_members(&[view], line.now);
    }

    fn observe(&mut self, line: &Line<'_>) {
        let name: String = line.word(0);
        let unknown = Ticket(999);
        let ticket = self.tickets.get(&name).copied().unwrap_or(unknown);
        if line.text("seq").is_some() {
            return self.report(line, ticket);
        }
        let observation = Observation {
            elapsed: line.span("elapsed", Duration::from_millis(5)),
            held: Duration::ZERO,
            leaving: line.flag("leaving"),
            report: None,
            result: attempt_result(line.text("result").unwrap()),
            ticket,
        };
        self.balancer.observe(&observation, line.now);
    }

    fn report(&mut self, line: &Line<'_>, ticket: Ticket) {
        let report = LoadReport {
            failing: line.value("failing", 0),
            instance: InstanceId(line.value("instance", 1)),
            queued: line.value("queued", 0),
            running: line.value("running", 0),
            seq: line.value("seq", 1),
            service: line.span("service", Duration::from_millis(5)),
            slowdown: line.text("slowdown").map(|s| s.parse().unwrap()),
            slots: line.value("slots", 4),
            state: variant(line.text("state").unwrap_or("Serving")),
        };
        let observation = Observation {
            elapsed: Duration::from_millis(6),
            held: Duration::from_millis(5),
            leaving: false,
            report: Some(&report),
            result: attempt_result(line.text("result").unwrap_or("answered")),
            ticket,
        };
        self.balancer.observe(&observation, line.now);
    }

    /// Counts the picks of each target over a number of attempts, each cancelled immediately.
    fn sample(&mut self, line: &Line<'_>) -> String {
        let mut counts = BTreeMap::new();
        for _ in 0..line.word(0) {
            let request = PickRequest {
                service: ServiceId(0),
                transfer: Duration::ZERO,
                tried: &[],
            };
            let choice = self.balancer.pick(&request, line.now).unwrap();
            *counts.entry(choice.target.to_string()).or_insert(0) += 1;
            let observation = Observation {
                elapsed: Duration::ZERO,
                held: Duration::ZERO,
                leaving: false,
                report: None,
                result: AttemptResult::Lost(Loss::Cancelled),
                ticket: choice.ticket,
            };
            self.balancer.observe(&observation, line.now);
        }
        format!("{counts:?}")
    }
}

/// Rounds costs and occupancies, since the last digits of exponentials differ between platforms.
fn describe(choice: &Choice) -> String {
    let Estimate {
        age,
        cost,
        occupancy,
        service: _,
    } = choice.estimate;
    let (target, cost) = (choice.target, cost.as_secs_f64() * 1e3);
    format!("{target} cost={cost:.2}ms occupancy={occupancy:.2} report age={age:?}")
}

fn tried(line: &Line<'_>) -> Vec<TargetId> {
    let names = line.text("tried").unwrap_or_default().split(',');
    names
        .filter(|n| !n.is_empty())
        .map(|n| n.parse().unwrap())
        .collect()
}

/// One service whose first `remote` targets are in domain `b`, and the others in the balancer's
/// domain `a`.
fn configuration(targets: u32, slots: u32, remote: u32) -> Configuration {
    let target = |id| Target {
        domain: if id < remote { "b" } else { "a" }.to_owned(),
        name: format!("work{id}"),
        service: ServiceId(0),
        slots,
    };
    Configuration {
        next_target: TargetId(targets),
        targets: (0..targets).map(|id| (TargetId(id), target(id))).collect(),
        ..Configuration::default()
    }
}
