//! Driver of the scenarios for the gate.

use std::time::Duration;

use hawthornwall_core::admission::{Arrival, Event, Gate, Limits, Priority, RunEnd, WorkId};
use hawthornwall_core::catalog::ServiceLimits;
use hawthornwall_core::prelude::*;
use hawthornwall_core::stop::StopPlan;

use crate::line::Line;

pub struct Run {
    pub gate: Gate,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        Self {
            gate: Gate::new(InstanceId(1), limits(line)),
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        if self.apply_cold(line) {
            return vec![format!("cold={}", self.gate.is_cold())];
        }
        let id = || WorkId(line.number(0));
        let event = match line.verb {
            "arrive" => Event::Arrive(Arrival {
                deadline: Time::ZERO + line.span("deadline", Duration::from_secs(100)),
                id: id(),
                max_wait: line.span("max_wait", Duration::MAX),
                priority: Priority {
                    objective: line.span("objective", Duration::ZERO),
                    rank: line.value("rank", 0),
                },
                objective_deadline: line
                    .text("objective_deadline")
                    .map(|_| Time::ZERO + line.span("objective_deadline", Duration::ZERO)),
            }),
            "cancel" => Event::Cancel(id()),
            "configure" => Event::Configure(limits(line)),
            "drain" => Event::Drain,
            "evacuate" => Event::Evacuate(line.word(0)),
            "stop" => Event::Stop(stop_plan(line)),
            "target-leaves" => Event::TargetLeaves,
            "target-replaced" => Event::TargetReplaced,
            "target-drains" => Event::TargetDrains(line.word(0)),
            "finish" => Event::Finish {
                end: run_end(line),
                id: id(),
            },
            "enable-load-checks" => {
                self.gate.enable_load_checks();
                return Vec::new();
            }
            "abandon" => Event::Abandon(id()),
            "load-answer" => Event::LoadAnswer(Some(TargetLoad {
                running: line.value("running", 0),
                slowdown: line.word(0),
                waiting: line.value("waiting", 0),
                ..TargetLoad::default()
            })),
            "load-unanswered" => Event::LoadAnswer(None),
            "reachable" => Event::Reachable(line.word(0)),
            "name" => {
                self.gate.observe_name(&line.word::<String>(0), line.now);
                return Vec::new();
            }
            "rate-limit" => {
                let limit = line.word::<String>(0).parse().ok();
                let limit = limit.map(|per_second| RateLimit { per_second });
                self.gate.limit_rate(limit, line.now);
                return Vec::new();
            }
            "report" => return vec![format!("{:?}", self.gate.report(line.now))],
            "tick" => Event::Tick,
            other => panic!("unknown event `{other}`"),
        };
        let effects = self.gate.on(&event, line.now);
        effects.iter().map(|e| format!("{e:?}")).collect()
    }

    /// Applies a line on the cold time of the target; returns whether it is one.
    fn apply_cold(&mut self, line: &Line<'_>) -> bool {
        let remaining = line.span("remaining", Duration::ZERO);
        match line.verb {
            "expect-cold-limit" => self.gate.expect_cold_limit(),
            "cold-limit" => {
                let limits = ServiceLimits {
                    cold: line.span("cold", Duration::ZERO),
                    cold_interval: line.span("interval", Duration::ZERO),
                };
                self.gate.limit_cold(Some(limits), line.now);
            }
            "cold-entry" => self.gate.observe_cold_entry(line.now + remaining, line.now),
            "cold-answer" => {
                let stated = (!line.flag("unstated")).then_some(remaining);
                self.gate.observe_cold(stated, line.now);
            }
            _ => return false,
        }
        true
    }
}

fn run_end(line: &Line<'_>) -> RunEnd {
    match (line.flag("failed"), line.flag("not-run")) {
        (true, _) => RunEnd::Failed,
        (false, true) => RunEnd::NotRun,
        (false, false) => RunEnd::Completed,
    }
}

fn stop_plan(line: &Line<'_>) -> StopPlan {
    let grace = line.span("grace", Duration::ZERO);
    StopPlan::new(line.now, grace, line.span("announce", Duration::ZERO))
}

fn limits(line: &Line<'_>) -> Limits {
    Limits {
        queue_wait: line.span("queue_wait", Duration::from_millis(100)),
        slots: line.value("slots", 1),
    }
}
