//! The idempotency keys issued by one daemon run and the state of each.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Key;
use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::outcome::{Loss, Refusal};
use crate::time::Time;

/// Retention limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyLimits {
    /// Age after which a record that is not running is dropped, counted from its last state change.
    pub max_age: Duration,
    /// Capacity of the ledger; while it is reached, no key is issued.
    pub max_records: usize,
}

/// How to handle a request whose repeats must not run again, identified by a key or request id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The same request is running; share its result.
    Join,
    /// The request may have run, but its outcome is unknown.
    Lost(Loss),
    /// The request has not run and never will; refuse it.
    Refuse(Refusal),
    /// The request has completed; return the stored answer.
    Replay,
    /// The request has not run; execute it now.
    Run,
}

/// The result of an execution under a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyResult {
    /// A complete answer was received. The owner of the ledger stores it.
    Answered,
    /// The request may have run, but no complete answer was received.
    Lost(Loss),
    /// The request was definitely not run; a repeat may run it.
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
    fingerprint: Option<u64>,
    service: ServiceId,
    state: State,
    tag: u64,
}

/// Records of the keys that this daemon run has issued.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::keys::{Decision, KeyLimits, KeyResult, Ledger};
/// use hawthornwall_core::prelude::*;
///
/// let limits = KeyLimits { max_age: Duration::from_secs(600), max_records: 100 };
/// let mut ledger = Ledger::new(InstanceId(1), TargetId(4), limits);
/// let key = ledger.issue(ServiceId(1), 0x5eed, Time::ZERO)?;
/// assert_eq!(ledger.begin(&key, 42, Time::ZERO), Decision::Run);
/// assert_eq!(ledger.begin(&key, 42, Time::ZERO), Decision::Join);
/// ledger.end(key.serial, KeyResult::Answered, Time::ZERO);
/// assert_eq!(ledger.begin(&key, 42, Time::ZERO), Decision::Replay);
/// # Ok::<(), Refusal>(())
/// ```
#[derive(Debug)]
pub struct Ledger {
    instance: InstanceId,
    limits: KeyLimits,
    next_serial: u64,
    records: BTreeMap<u64, Record>,
    target: TargetId,
}

impl Ledger {
    /// Creates an empty ledger. All its keys name `instance` and `target`.
    pub fn new(instance: InstanceId, target: TargetId, limits: KeyLimits) -> Self {
        Self {
            instance,
            limits,
            next_serial: 0,
            records: BTreeMap::new(),
            target,
        }
    }

    /// Issues a key for one request to `service`. `tag` must be random.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Full`] while [`KeyLimits::max_records`] records are held. No old record
    /// is evicted instead, because a repeat of its request could then not be recognized.
    pub fn issue(&mut self, service: ServiceId, tag: u64, now: Time) -> Result<Key, Refusal> {
        if self.records.len() >= self.limits.max_records {
            return Err(Refusal::Full);
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.records.insert(
            serial,
            Record {
                changed: now,
                fingerprint: None,
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

    /// Begins an execution under `key` if none has begun, and decides how to handle the request.
    ///
    /// `fingerprint` is a hash of the request's method, path and body.
    pub fn begin(&mut self, key: &Key, fingerprint: u64, now: Time) -> Decision {
        if key.instance != self.instance || key.target != self.target {
            return Decision::Lost(Loss::KeyForgotten);
        }
        if key.serial >= self.next_serial {
            return Decision::Refuse(Refusal::KeyInvalid);
        }
        let Some(record) = self.records.get_mut(&key.serial) else {
            return Decision::Lost(Loss::KeyForgotten);
        };
        if record.tag != key.tag || record.service != key.service {
            return Decision::Refuse(Refusal::KeyInvalid);
        }
        if record.fingerprint.is_some_and(|first| first != fingerprint) {
            return Decision::Refuse(Refusal::KeyMismatch);
        }
        record.fingerprint = Some(fingerprint);
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

    /// Records the result of an execution. After [`KeyResult::NotRun`] the key may be used again.
    pub fn end(&mut self, serial: u64, end: KeyResult, now: Time) {
        // A second, late result must not allow another execution under a completed key.
        let running = |r: &&mut Record| r.state == State::Running;
        let Some(record) = self.records.get_mut(&serial).filter(running) else {
            return;
        };
        record.changed = now;
        record.state = match end {
            KeyResult::Answered => State::Answered,
            KeyResult::Lost(loss) => State::Lost(loss),
            KeyResult::NotRun => State::Issued,
        };
    }

    /// Drops records that have reached [`KeyLimits::max_age`], except running ones; returns their
    /// serials.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let max_age = self.limits.max_age;
        let expired = |r: &Record| r.state != State::Running && now - r.changed >= max_age;
        let serials: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| expired(r))
            .map(|(serial, _)| *serial)
            .collect();
        for serial in &serials {
            self.records.remove(serial);
        }
        serials
    }

    /// The target that all keys of this ledger name.
    pub fn target(&self) -> TargetId {
        self.target
    }

    /// The number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ledger holds no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Checks the invariants and describes each violation; empty if all hold.
    pub fn verify(&self) -> Vec<String> {
        let mut violations = Vec::new();
        if self.records.len() > self.limits.max_records {
            violations.push(format!(
                "{} records exceed the limit of {}",
                self.records.len(),
                self.limits.max_records
            ));
        }
        for (serial, record) in &self.records {
            if *serial >= self.next_serial {
                violations.push(format!("serial {serial} has a record but was never issued"));
            }
            if record.state != State::Issued && record.fingerprint.is_none() {
                violations.push(format!(
                    "serial {serial} was executed without a request fingerprint"
                ));
            }
        }
        violations
    }
}
