//! Carries out the steps of a row and records the changes of presence.

use std::thread::sleep;
use std::time::Duration;

use hawthornwall_core::config::{Change as ConfigChange, Document, Patch, RulesChange};
use hawthornwall_wire::instances::InstanceState;
use serde_json::{Value, json};

use super::step::{Action, NodeSet, Part, Step};
use hawthornwall_testkit::history::Change;
use hawthornwall_testkit::launcher::{Cluster, LaunchError, Signal};
use hawthornwall_testkit::random::Random;

/// Longest wait for the end of a process that was told to stop.
const STOP: Duration = Duration::from_secs(15);
/// How long a target drains before it is stopped: the time after which it gets no new work, and its
/// longest request.
const DRAIN: Duration = Duration::from_millis(3_500);
/// How late instance lists are published while the platform lags, in milliseconds.
const LAG_MS: u64 = 1_000;

/// Owns the deployment while faults are injected.
#[derive(Debug)]
pub struct Injector {
    /// The deployment.
    pub cluster: Cluster,
    cut_off: Vec<usize>,
    document: Document,
    order: Vec<usize>,
    /// Processes that did not end by themselves when they were told to stop.
    pub stuck: Vec<String>,
}

impl Injector {
    /// Takes over a deployment that has just started.
    pub fn new(cluster: Cluster, random: &mut Random) -> Self {
        let mut order: Vec<usize> = (0..cluster.nodes.len()).collect();
        for last in (1..order.len()).rev() {
            order.swap(last, random.below(last + 1));
        }
        Self {
            cut_off: Vec::new(),
            document: cluster.plan().document(),
            order,
            stuck: Vec::new(),
            cluster,
        }
    }

    /// Waits, then carries out one step.
    ///
    /// # Errors
    ///
    /// A process can't be controlled.
    pub fn carry_out(&mut self, step: &Step) -> Result<(), LaunchError> {
        sleep(step.wait);
        match &step.action {
            Action::Behave(set, changes) => self.each(*set, |injector, index| {
                // A target records that it leaves, but not that it takes work again.
                if changes["state"] == "serving" {
                    injector.cluster.record_target(index, Change::Restored);
                }
                injector.cluster.control_target(index, changes).map(drop)
            }),
            Action::Cold(_) => {
                let cold = json!({ "mean_us": 20_000, "cold_factor": 10.0, "cold_ms": 2_000 });
                self.cluster.set_behaviour(cold);
                Ok(())
            }
            Action::Heal => self.heal(),
            Action::Isolate(set) => self.each(*set, Self::isolate),
            Action::Kill(part, set) => self.each(*set, |i, index| {
                i.kill(*part, index);
                Ok(())
            }),
            Action::Leaving(set, leaving) => self.list(*set, *leaving),
            Action::Old => {
                let mut old = self.document.clone();
                old.patches.pop();
                // Unchecked, so that the history holds no second publication of a version.
                self.put(&old, "/config?unchecked=1")
            }
            Action::Partition => self.partition(),
            Action::Patch => self.publish(1),
            Action::Pause(part, set) => self.each(*set, |i, index| i.pause(*part, index)),
            Action::Platform(fault) => self.platform(fault),
            Action::Resume(part, set) => self.each(*set, |i, index| i.resume(*part, index)),
            Action::Rivals => self.publish(2),
            Action::Roll => (0..self.order.len()).try_for_each(|index| {
                self.stop(Part::Daemon, index)?;
                self.start(Part::Daemon, &[index])
            }),
            Action::Silence(a, b) => {
                let [a, b] = [a, b].map(|set| self.name(self.nodes(*set)[0]).to_owned());
                self.relay(&json!({ "command": "silence", "between": [a, b] }))
            }
            Action::Start(part, set) => self.start(*part, &self.nodes(*set)),
            Action::Stop(part, set) => self.each(*set, |i, index| i.stop(*part, index)),
        }
    }

    /// Stops all daemons gracefully, as at the end of a run.
    ///
    /// # Errors
    ///
    /// A daemon can't be signalled.
    pub fn stop_all(&mut self) -> Result<(), LaunchError> {
        let killed = self.cluster.stop_daemons(STOP)?;
        self.stuck.extend(killed);
        Ok(())
    }

    fn nodes(&self, set: NodeSet) -> Vec<usize> {
        match set {
            NodeSet::Half => self.order[..self.order.len() / 2].to_vec(),
            NodeSet::One(place) => vec![self.order[place]],
        }
    }

    fn each(
        &mut self,
        set: NodeSet,
        act: impl Fn(&mut Self, usize) -> Result<(), LaunchError>,
    ) -> Result<(), LaunchError> {
        let nodes = self.nodes(set);
        nodes.into_iter().try_for_each(|index| act(self, index))
    }

    fn name(&self, index: usize) -> &str {
        &self.cluster.nodes[index].plan.name
    }

    fn kill(&mut self, part: Part, index: usize) {
        match part {
            Part::Daemon => self.cluster.kill_daemon(index),
            Part::Target => self.cluster.kill_target(index),
        }
    }

    fn pause(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        match part {
            Part::Daemon => self.cluster.pause_daemon(index),
            Part::Target => {
                self.cluster.record_target(index, Change::CutOff);
                self.signal_target(index, Signal::Stop)
            }
        }
    }

    fn resume(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        match part {
            Part::Daemon => self.cluster.resume_daemon(index),
            Part::Target => {
                self.signal_target(index, Signal::Continue)?;
                self.cluster.record_target(index, Change::Restored);
                Ok(())
            }
        }
    }

    fn signal_target(&self, index: usize, signal: Signal) -> Result<(), LaunchError> {
        let target = self.cluster.nodes[index].target.as_ref();
        target.map_or(Ok(()), |target| target.signal(signal))
    }

    fn start(&mut self, part: Part, nodes: &[usize]) -> Result<(), LaunchError> {
        match part {
            Part::Daemon => self.cluster.restart_daemons(nodes),
            Part::Target => nodes.iter().try_for_each(|index| {
                self.cluster.record_target(*index, Change::Started);
                self.cluster.start_target(*index)
            }),
        }
    }

    fn stop(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        match part {
            Part::Daemon => {
                if !self.cluster.stop_daemon(index, STOP)? {
                    self.stuck.push(self.name(index).to_owned());
                }
            }
            Part::Target => {
                let drain = json!({ "state": "draining" });
                self.cluster.control_target(index, &drain)?;
                sleep(DRAIN);
                self.cluster.record_target(index, Change::Stopping);
                self.cluster.nodes[index].target = None;
                self.cluster.record_target(index, Change::Stopped);
            }
        }
        Ok(())
    }

    fn relay(&self, command: &Value) -> Result<(), LaunchError> {
        self.cluster.control_relay(command).map(drop)
    }

    fn heal(&mut self) -> Result<(), LaunchError> {
        self.relay(&json!({ "command": "heal" }))?;
        for index in std::mem::take(&mut self.cut_off) {
            self.cluster.record_daemon(index, Change::Restored);
        }
        Ok(())
    }

    fn isolate(&mut self, index: usize) -> Result<(), LaunchError> {
        self.cluster.record_daemon(index, Change::CutOff);
        self.cut_off.push(index);
        let isolate = |direction: &str| {
            let name = self.name(index);
            self.relay(&json!({ "command": "isolate", "daemon": name, "direction": direction }))
        };
        isolate("from")?;
        isolate("to")
    }

    /// Both halves still reach the platform, so nobody counts as cut off.
    fn partition(&mut self) -> Result<(), LaunchError> {
        let (left, right) = self.order.split_at(self.order.len() / 2);
        let names =
            |nodes: &[usize]| -> Vec<&str> { nodes.iter().map(|n| self.name(*n)).collect() };
        self.relay(&json!({ "command": "partition", "groups": [names(left), names(right)] }))
    }

    fn platform(&mut self, fault: &str) -> Result<(), LaunchError> {
        let (body, change) = match fault {
            "down" => (json!({ "down": true }), Change::CutOff),
            "stale" => (json!({ "stale": true }), Change::CutOff),
            "lag" => (json!({ "lag_ms": LAG_MS }), Change::Restored),
            _ => (json!({}), Change::Restored),
        };
        self.cluster.record_platform(change);
        self.cluster
            .control_platform("POST", "/fault", &body.to_string())
            .map(drop)
    }

    /// The target counts as leaving from the time at which the list shows it, even if it lags.
    fn list(&mut self, set: NodeSet, leaving: bool) -> Result<(), LaunchError> {
        let index = self.nodes(set)[0];
        let mut list = self.cluster.instances();
        if leaving {
            list.instances[index].state = InstanceState::Leaving;
        } else {
            self.cluster.record_target(index, Change::Restored);
        }
        let text = serde_json::to_string(&list).map_err(|e| LaunchError::Failed(e.to_string()))?;
        self.cluster.control_platform("PUT", "/instances", &text)?;
        if leaving {
            sleep(Duration::from_millis(LAG_MS));
            self.cluster.record_leaving(index);
        }
        Ok(())
    }

    /// Publishes patches against the same base: only the first can be accepted.
    fn publish(&mut self, patches: u64) -> Result<(), LaunchError> {
        let base = self.document.replay().configuration.version;
        for rival in 0..patches {
            let rules = RulesChange {
                retry_percent: Some(10 + (base.0 as u32 + rival as u32) % 5),
                ..RulesChange::default()
            };
            let name = self.cluster.plan().services[0].name.clone();
            self.document.patches.push(Patch {
                author: format!("operator {rival}"),
                base,
                changes: vec![ConfigChange::UpdateService {
                    name,
                    hosts: None,
                    rules,
                }],
                note: "fault injection".to_owned(),
                time: String::new(),
            });
        }
        self.put(&self.document, "/config")
    }

    fn put(&self, document: &Document, path: &str) -> Result<(), LaunchError> {
        let text = serde_json::to_string(document);
        let text = text.map_err(|e| LaunchError::Failed(e.to_string()))?;
        self.cluster.control_platform("PUT", path, &text).map(drop)
    }
}
