//! Carries out the steps of a row and records the changes of presence.

use std::io;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use hawthornwall_core::config::{Change as ConfigChange, Document, Patch, RulesChange};
use hawthornwall_wire::instances::InstanceState;
use serde_json::{Value, json};

use super::step::{Action, NodeSet, Part, Step};
use crate::history::{Change, Event, Writer};
use crate::launcher::{Child, Cluster, LaunchError, Signal};
use crate::random::Random;

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
    history: PathBuf,
    order: Vec<usize>,
    /// Processes that did not end by themselves when they were told to stop.
    pub stuck: Vec<String>,
}

/// The party of the daemon beside a target.
pub(super) fn daemon_party(target: &str) -> String {
    format!("daemon-{target}")
}

impl Injector {
    /// Takes over a deployment that has just started.
    ///
    /// # Errors
    ///
    /// The history can't be written.
    pub fn new(cluster: Cluster, started: u64, random: &mut Random) -> io::Result<Self> {
        let mut order: Vec<usize> = (0..cluster.nodes.len()).collect();
        for last in (1..order.len()).rev() {
            order.swap(last, random.below(last + 1));
        }
        let injector = Self {
            cut_off: Vec::new(),
            document: cluster.plan().document(),
            history: cluster.folder().join("injector.history"),
            order,
            stuck: Vec::new(),
            cluster,
        };
        for index in 0..injector.cluster.nodes.len() {
            for part in [Part::Target, Part::Daemon] {
                injector.note_at(started, part, index, Change::Started)?;
            }
        }
        Ok(injector)
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
                injector.cluster.control_target(index, changes).map(drop)
            }),
            Action::Cold(_) => {
                let cold = json!({ "mean_us": 20_000, "cold_factor": 10.0, "cold_ms": 2_000 });
                self.cluster.set_behaviour(cold);
                Ok(())
            }
            Action::Heal => self.heal(),
            Action::Isolate(set) => self.each(*set, Self::isolate),
            Action::Kill(part, set) => self.each(*set, |i, index| i.kill(*part, index)),
            Action::Leaving(set, leaving) => self.list(*set, *leaving),
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
        for index in 0..self.order.len() {
            self.note(Part::Daemon, index, Change::Stopping)?;
        }
        let killed = self.cluster.stop_daemons(STOP)?;
        self.stuck.extend(killed);
        Ok(())
    }

    /// The files with the records of the injector, the targets and the platform.
    pub fn histories(&self) -> Vec<PathBuf> {
        let own = [
            self.history.clone(),
            self.cluster.folder().join("platform.history"),
        ];
        let targets = self.cluster.target_histories();
        own.into_iter().chain(targets).collect()
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

    fn note(&self, part: Part, index: usize, change: Change) -> Result<(), LaunchError> {
        self.note_at(crate::wall_micros(), part, index, change)
            .map_err(LaunchError::io("injector.history"))
    }

    fn note_at(&self, at: u64, part: Part, index: usize, change: Change) -> io::Result<()> {
        let target = self.name(index);
        let (party, beside) = match part {
            Part::Daemon => (daemon_party(target), Some(target.to_owned())),
            Part::Target => (target.to_owned(), None),
        };
        self.record(at, &party, Event::Presence { beside, change })
    }

    fn record(&self, at: u64, party: &str, event: Event) -> io::Result<()> {
        Writer::open(Some(&self.history), party)?.append_at(at, event);
        Ok(())
    }

    fn child(&mut self, part: Part, index: usize) -> &mut Option<Child> {
        let node = &mut self.cluster.nodes[index];
        match part {
            Part::Daemon => &mut node.daemon,
            Part::Target => &mut node.target,
        }
    }

    fn kill(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        self.note(part, index, Change::Killed)?;
        *self.child(part, index) = None;
        Ok(())
    }

    fn pause(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        self.note(part, index, Change::CutOff)?;
        let child = self.child(part, index).as_ref();
        child.map_or(Ok(()), |child| child.signal(Signal::Stop))
    }

    fn resume(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        let child = self.child(part, index).as_ref();
        child.map_or(Ok(()), |child| child.signal(Signal::Continue))?;
        self.note(part, index, Change::Restored)
    }

    fn start(&mut self, part: Part, nodes: &[usize]) -> Result<(), LaunchError> {
        for index in nodes {
            self.note(part, *index, Change::Started)?;
        }
        match part {
            Part::Daemon => self.cluster.restart_daemons(nodes),
            Part::Target => nodes.iter().try_for_each(|n| self.cluster.start_target(*n)),
        }
    }

    fn stop(&mut self, part: Part, index: usize) -> Result<(), LaunchError> {
        match part {
            Part::Daemon => {
                self.note(part, index, Change::Stopping)?;
                let mut child = self.child(part, index).take();
                if let Some(child) = &mut child {
                    child.signal(Signal::Terminate)?;
                    if child.wait(STOP)?.is_none() {
                        let name = daemon_party(self.name(index));
                        self.stuck.push(name);
                    }
                }
            }
            Part::Target => {
                let drain = json!({ "state": "draining" });
                self.cluster.control_target(index, &drain)?;
                sleep(DRAIN);
                self.note(part, index, Change::Stopping)?;
                *self.child(part, index) = None;
            }
        }
        self.note(part, index, Change::Stopped)
    }

    fn relay(&self, command: &Value) -> Result<(), LaunchError> {
        self.cluster.control_relay(command).map(drop)
    }

    fn heal(&mut self) -> Result<(), LaunchError> {
        self.relay(&json!({ "command": "heal" }))?;
        let cut_off = std::mem::take(&mut self.cut_off);
        let note = |index| self.note(Part::Daemon, index, Change::Restored);
        cut_off.into_iter().try_for_each(note)
    }

    fn isolate(&mut self, index: usize) -> Result<(), LaunchError> {
        self.note(Part::Daemon, index, Change::CutOff)?;
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

    fn platform(&self, fault: &str) -> Result<(), LaunchError> {
        let (body, change) = match fault {
            "down" => (json!({ "down": true }), Change::CutOff),
            "stale" => (json!({ "stale": true }), Change::CutOff),
            "lag" => (json!({ "lag_ms": LAG_MS }), Change::Restored),
            _ => (json!({}), Change::Restored),
        };
        let event = Event::Presence {
            beside: None,
            change,
        };
        let note = || self.record(crate::wall_micros(), "platform", event);
        note().map_err(LaunchError::io("injector.history"))?;
        self.cluster
            .control_platform("POST", "/fault", &body.to_string())
            .map(drop)
    }

    /// The target counts as leaving from the time at which the list shows it.
    fn list(&self, set: NodeSet, leaving: bool) -> Result<(), LaunchError> {
        let index = self.nodes(set)[0];
        let mut list = self.cluster.instances();
        if leaving {
            list.instances[index].state = InstanceState::Leaving;
        } else {
            self.note(Part::Target, index, Change::Restored)?;
        }
        let text = serde_json::to_string(&list).map_err(|e| LaunchError::Refused(e.to_string()))?;
        self.cluster.control_platform("PUT", "/instances", &text)?;
        if leaving {
            let at = crate::wall_micros() + LAG_MS * 1_000;
            let noted = self.record(at, self.name(index), Event::Leaving);
            noted.map_err(LaunchError::io("injector.history"))?;
        }
        Ok(())
    }

    /// Publishes patches against the same base: only the first can be accepted.
    fn publish(&mut self, patches: u64) -> Result<(), LaunchError> {
        let base = self.document.fold().configuration.version;
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
        let text = serde_json::to_string(&self.document);
        let text = text.map_err(|e| LaunchError::Refused(e.to_string()))?;
        self.cluster
            .control_platform("PUT", "/config", &text)
            .map(drop)
    }
}
