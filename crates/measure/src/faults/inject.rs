//! Executes the steps of a row and records which processes become absent or present as a result.

use std::thread::sleep;
use std::time::Duration;

use hawthornwall_core::config::{Change as ConfigChange, Document, Patch, RulesChange};
use hawthornwall_wire::instances::InstanceState;
use serde_json::{Value, json};

use super::step::{Action, NodeSet, ProcessKind, Step};
use hawthornwall_testkit::history::Change;
use hawthornwall_testkit::launcher::{Cluster, LaunchError, Signal};
use hawthornwall_testkit::random::Random;

/// Time within which a process must exit after the signal to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time from the start of a target's drain until it is stopped: the time until no daemon sends it
/// new requests, plus its longest service time.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// Delay with which a lagging platform publishes instance lists, in milliseconds.
const PLATFORM_LAG_MS: u64 = 1_000;

/// Injects faults into a running deployment, which it owns.
#[derive(Debug)]
pub struct Injector {
    /// The deployment that receives the faults.
    pub cluster: Cluster,
    isolated: Vec<usize>,
    document: Document,
    /// Indices of the instances in the seed's random order.
    shuffled: Vec<usize>,
    /// Processes that had to be killed because they did not exit within the stop timeout.
    pub stuck: Vec<String>,
}

impl Injector {
    /// Creates an injector for a deployment that has just started. `random` determines the
    /// instances to which a row's letters refer.
    pub fn new(cluster: Cluster, random: &mut Random) -> Self {
        let mut shuffled: Vec<usize> = (0..cluster.nodes.len()).collect();
        for last in (1..shuffled.len()).rev() {
            shuffled.swap(last, random.below(last + 1));
        }
        Self {
            isolated: Vec::new(),
            document: cluster.plan().document(),
            shuffled,
            stuck: Vec::new(),
            cluster,
        }
    }

    /// Executes one step after its delay.
    ///
    /// # Errors
    ///
    /// A process can't be controlled.
    pub fn execute(&mut self, step: &Step) -> Result<(), LaunchError> {
        sleep(step.delay);
        match &step.action {
            Action::SetBehaviour(set, changes) => self.for_each(*set, |injector, index| {
                // A target records the start of its drain, but not the return to service.
                if changes["state"] == "serving" {
                    injector.cluster.record_target(index, Change::Restored);
                }
                injector.cluster.control_target(index, changes).map(drop)
            }),
            Action::ColdStart(_) => {
                let cold = json!({ "mean_us": 20_000, "cold_factor": 10.0, "cold_ms": 2_000 });
                self.cluster.set_behaviour(cold);
                Ok(())
            }
            Action::Heal => self.heal(),
            Action::Isolate(set) => self.for_each(*set, Self::isolate),
            Action::Kill(kind, set) => self.for_each(*set, |i, index| {
                i.kill(*kind, index);
                Ok(())
            }),
            Action::Leaving(set, leaving) => self.list(*set, *leaving),
            Action::PublishPrevious => {
                let mut old = self.document.clone();
                old.patches.pop();
                // The check is bypassed so that no second publication of a version is recorded.
                self.put(&old, "/config?unchecked=1")
            }
            Action::Partition => self.partition(),
            Action::Patch => self.publish(1),
            Action::Pause(kind, set) => self.for_each(*set, |i, index| i.pause(*kind, index)),
            Action::Platform(fault) => self.platform(fault),
            Action::Resume(kind, set) => self.for_each(*set, |i, index| i.resume(*kind, index)),
            Action::ConflictingPatches => self.publish(2),
            Action::RollingRestart => (0..self.shuffled.len()).try_for_each(|index| {
                self.stop(ProcessKind::Daemon, index)?;
                self.start(ProcessKind::Daemon, &[index])
            }),
            Action::Silence(a, b) => {
                let [a, b] = [a, b].map(|set| self.name(self.nodes(*set)[0]).to_owned());
                self.relay(&json!({ "command": "silence", "between": [a, b] }))
            }
            Action::Start(kind, set) => self.start(*kind, &self.nodes(*set)),
            Action::Stop(kind, set) => self.for_each(*set, |i, index| i.stop(*kind, index)),
        }
    }

    /// Stops all daemons gracefully and adds those that had to be killed to `stuck`.
    ///
    /// # Errors
    ///
    /// A daemon can't be signalled.
    pub fn stop_all(&mut self) -> Result<(), LaunchError> {
        let killed = self.cluster.stop_daemons(STOP_TIMEOUT)?;
        self.stuck.extend(killed);
        Ok(())
    }

    fn nodes(&self, set: NodeSet) -> Vec<usize> {
        match set {
            NodeSet::Half => self.shuffled[..self.shuffled.len() / 2].to_vec(),
            NodeSet::One(place) => vec![self.shuffled[place]],
        }
    }

    fn for_each(
        &mut self,
        set: NodeSet,
        action_on: impl Fn(&mut Self, usize) -> Result<(), LaunchError>,
    ) -> Result<(), LaunchError> {
        let nodes = self.nodes(set);
        nodes
            .into_iter()
            .try_for_each(|index| action_on(self, index))
    }

    fn name(&self, index: usize) -> &str {
        &self.cluster.nodes[index].plan.name
    }

    fn kill(&mut self, kind: ProcessKind, index: usize) {
        match kind {
            ProcessKind::Daemon => self.cluster.kill_daemon(index),
            ProcessKind::Target => self.cluster.kill_target(index),
        }
    }

    fn pause(&mut self, kind: ProcessKind, index: usize) -> Result<(), LaunchError> {
        match kind {
            ProcessKind::Daemon => self.cluster.pause_daemon(index),
            ProcessKind::Target => {
                self.cluster.record_target(index, Change::CutOff);
                self.signal_target(index, Signal::Stop)
            }
        }
    }

    fn resume(&mut self, kind: ProcessKind, index: usize) -> Result<(), LaunchError> {
        match kind {
            ProcessKind::Daemon => self.cluster.resume_daemon(index),
            ProcessKind::Target => {
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

    fn start(&mut self, kind: ProcessKind, nodes: &[usize]) -> Result<(), LaunchError> {
        match kind {
            ProcessKind::Daemon => self.cluster.restart_daemons(nodes),
            ProcessKind::Target => nodes.iter().try_for_each(|index| {
                self.cluster.record_target(*index, Change::Started);
                self.cluster.start_target(*index)
            }),
        }
    }

    fn stop(&mut self, kind: ProcessKind, index: usize) -> Result<(), LaunchError> {
        match kind {
            ProcessKind::Daemon => {
                if !self.cluster.stop_daemon(index, STOP_TIMEOUT)? {
                    self.stuck.push(self.name(index).to_owned());
                }
            }
            ProcessKind::Target => {
                let drain = json!({ "state": "draining" });
                self.cluster.control_target(index, &drain)?;
                sleep(DRAIN_TIME);
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
        for index in std::mem::take(&mut self.isolated) {
            self.cluster.record_daemon(index, Change::Restored);
        }
        Ok(())
    }

    fn isolate(&mut self, index: usize) -> Result<(), LaunchError> {
        self.cluster.record_daemon(index, Change::CutOff);
        self.isolated.push(index);
        let isolate = |direction: &str| {
            let name = self.name(index);
            self.relay(&json!({ "command": "isolate", "daemon": name, "direction": direction }))
        };
        isolate("from")?;
        isolate("to")
    }

    /// Both halves still reach the platform, so no daemon is recorded as cut off.
    fn partition(&mut self) -> Result<(), LaunchError> {
        let (left, right) = self.shuffled.split_at(self.shuffled.len() / 2);
        let names =
            |nodes: &[usize]| -> Vec<&str> { nodes.iter().map(|n| self.name(*n)).collect() };
        self.relay(&json!({ "command": "partition", "groups": [names(left), names(right)] }))
    }

    fn platform(&mut self, fault: &str) -> Result<(), LaunchError> {
        let (body, change) = match fault {
            "down" => (json!({ "down": true }), Change::CutOff),
            "stale" => (json!({ "stale": true }), Change::CutOff),
            "lag" => (json!({ "lag_ms": PLATFORM_LAG_MS }), Change::Restored),
            _ => (json!({}), Change::Restored),
        };
        self.cluster.record_platform(change);
        self.cluster
            .control_platform("POST", "/fault", &body.to_string())
            .map(drop)
    }

    /// Publishes an instance list in which the target is leaving or live. The target is recorded as
    /// leaving only after the platform's lag, when the list surely shows it.
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
            sleep(Duration::from_millis(PLATFORM_LAG_MS));
            self.cluster.record_leaving(index);
        }
        Ok(())
    }

    /// Publishes patches with the same base, of which only the first can be accepted.
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
