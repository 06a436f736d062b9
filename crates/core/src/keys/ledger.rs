//! The ledger of one daemon run.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Key;
use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::outcome::{Loss, Refusal};
use crate::time::Time;

/// How long and how many keys are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyLimits {
    /// Time from issue or last change after which a record is dropped.
    pub keep: Duration,
    /// Most records at once; at the limit no key is issued.
    pub records: usize,
}

/// What to do with a request that names a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The same request runs now; wait for its end.
    Join,
    /// The request ran; its outcome is unknown.
    Lost(Loss),
    /// The request was not and will not be run.
    Refuse(Refusal),
    /// The request was answered; send the stored answer again.
    Replay,
    /// The request has not run; run it.
    Run,
}

/// How an execution under a key ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyEnd {
    /// A whole answer arrived and is stored by the ledger's owner.
    Answered,
    /// It may have run and has no answer.
    Lost(Loss),
    /// It was definitely not run.
    NotRun,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Answered,
    Issued,
    Lost(Loss),
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    changed: Time,
    print: Option<u64>,
    service: ServiceId,
    state: State,
    tag: u64,
}

/// The keys that this run has issued.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::keys::{Decision, KeyEnd, KeyLimits, Ledger};
/// use hawthornwall_core::prelude::*;
///
/// let limits = KeyLimits { keep: Duration::from_secs(600), records: 100 };
/// let mut ledger = Ledger::new(InstanceId(1), TargetId(4), limits);
/// let key = ledger.issue(ServiceId(1), 0x5eed, Time::ZERO)?;
/// assert_eq!(ledger.request(&key, 42, Time::ZERO), Decision::Run);
/// assert_eq!(ledger.request(&key, 42, Time::ZERO), Decision::Join);
/// ledger.end(key.serial, KeyEnd::Answered, Time::ZERO);
/// assert_eq!(ledger.request(&key, 42, Time::ZERO), Decision::Replay);
/// # Ok::<(), Refusal>(())
/// ```
#[derive(Debug)]
pub struct Ledger {
    instance: InstanceId,
    limits: KeyLimits,
    next: u64,
    records: BTreeMap<u64, Record>,
    target: TargetId,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(instance: InstanceId, target: TargetId, limits: KeyLimits) -> Self {
        Self {
            instance,
            limits,
            next: 0,
            records: BTreeMap::new(),
            target,
        }
    }

    /// Issues a key. `tag` must be random.
    ///
    /// # Errors
    ///
    /// [`Refusal::Full`] while the ledger holds as many records as it may. Dropping an old record to
    /// make room would forget what has run.
    pub fn issue(&mut self, service: ServiceId, tag: u64, now: Time) -> Result<Key, Refusal> {
        if self.records.len() >= self.limits.records {
            return Err(Refusal::Full);
        }
        let serial = self.next;
        self.next += 1;
        self.records.insert(
            serial,
            Record {
                changed: now,
                print: None,
                service,
                state: State::Issued,
                tag,
            },
        );
        Ok(Key {
            instance: self.instance,
            serial,
            service,
            tag,
            target: self.target,
        })
    }

    /// Decides about a request under a key. `print` identifies its method, path and body.
    pub fn request(&mut self, key: &Key, print: u64, now: Time) -> Decision {
        if key.instance != self.instance || key.target != self.target {
            return Decision::Lost(Loss::KeyForgotten);
        }
        if key.serial >= self.next {
            return Decision::Refuse(Refusal::KeyInvalid);
        }
        let Some(record) = self.records.get_mut(&key.serial) else {
            return Decision::Lost(Loss::KeyForgotten);
        };
        if record.tag != key.tag || record.service != key.service {
            return Decision::Refuse(Refusal::KeyInvalid);
        }
        if record.print.is_some_and(|known| known != print) {
            return Decision::Refuse(Refusal::KeyMismatch);
        }
        record.print = Some(print);
        match record.state {
            State::Answered => Decision::Replay,
            State::Lost(loss) => Decision::Lost(loss),
            State::Running => Decision::Join,
            State::Issued => {
                record.state = State::Running;
                record.changed = now;
                Decision::Run
            }
        }
    }

    /// Notes the end of an execution. One that was definitely not run may start again.
    pub fn end(&mut self, serial: u64, end: KeyEnd, now: Time) {
        // A late second end must not free a finished key for another execution.
        let running = |r: &&mut Record| r.state == State::Running;
        let Some(record) = self.records.get_mut(&serial).filter(running) else {
            return;
        };
        record.changed = now;
        record.state = match end {
            KeyEnd::Answered => State::Answered,
            KeyEnd::Lost(loss) => State::Lost(loss),
            KeyEnd::NotRun => State::Issued,
        };
    }

    /// Drops records whose time has passed and returns their serials. A running execution keeps its
    /// record.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let keep = self.limits.keep;
        let old = |r: &Record| r.state != State::Running && now - r.changed >= keep;
        let serials: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| old(r))
            .map(|(serial, _)| *serial)
            .collect();
        for serial in &serials {
            self.records.remove(serial);
        }
        serials
    }

    /// The target whose requests are remembered.
    pub fn target(&self) -> TargetId {
        self.target
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.records.len() > self.limits.records {
            faults.push(format!(
                "{} records, {} may be kept",
                self.records.len(),
                self.limits.records
            ));
        }
        for (serial, record) in &self.records {
            if *serial >= self.next {
                faults.push(format!("key {serial} was never issued"));
            }
            if record.state != State::Issued && record.print.is_none() {
                faults.push(format!("key {serial} started without a request"));
            }
        }
        faults
    }
}
