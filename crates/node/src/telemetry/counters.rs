//! Event counters of this daemon since its start.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::calls::PickKind;
use hawthornwall_core::prelude::*;
use serde::Serialize;

/// An event that is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller closed its connection before its request had an outcome.
    Abandoned,
    /// An attempt to process a caller's request ended.
    Attempt {
        /// Time from sending to the end.
        elapsed: Duration,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// A connection was refused, or got no further bytes of the memory for requests in progress.
    ClaimRefused,
    /// A connection was closed to make room for others.
    Evicted,
    /// The gate refused a request of this daemon or of another one.
    GateRefused(Refusal),
    /// A change of the own link, or a decision on a large body that was to cross it.
    Link(LinkEvent),
    /// A probe was due, but the measurement budget was used up.
    ProbeSkipped,
    /// The local target was probed.
    ProbeSpent,
    /// A caller's request ended.
    Request {
        /// Time from the first byte of the request to the last byte of the response.
        elapsed: Duration,
        /// The outcome reported to the caller.
        outcome: Outcome,
    },
    /// An attempt was sent.
    Sent(PickKind),
    /// Contents of the store after its return from an older copy are in use, from this source.
    StoreEra(&'static str),
    /// Content of the store has a value that this build doesn't know, in this field.
    UnknownValue(&'static str),
    /// The local target was found cold.
    TargetCold,
}

/// An event of the own link that is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEvent {
    /// A granted body has not arrived in time.
    Expired,
    /// A large body was granted.
    Granted,
    /// A large body was refused.
    Refused,
    /// The link was found saturated.
    Saturated,
    /// A large body was not sent, since the link couldn't carry it in time.
    SendRefused,
    /// A large body was sent.
    Sent,
}

impl LinkEvent {
    /// Name in counters.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Granted => "granted",
            Self::Refused => "refused",
            Self::Saturated => "saturated",
            Self::SendRefused => "send-refused",
            Self::Sent => "sent",
        }
    }
}

/// Totals of the events since the start. All names are outward: on the status page and in statsd.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::prelude::*;
/// use hawthornwall_node::telemetry::{Counters, Event};
///
/// let mut counters = Counters::default();
/// let outcome = Outcome::Refused(Refusal::Full);
/// counters.record(&Event::Request { elapsed: Duration::from_millis(1), outcome });
/// assert_eq!(counters.requests["refused"], 1);
/// assert_eq!(counters.refusals["target-full"], 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Claims to connections and buffered bytes that were refused.
    pub claims_refused: u64,
    /// Connections that were closed to make room for others.
    pub evicted: u64,
    /// Ended attempts by result: `answered`, `target-failed`, or the reason of a refusal or loss.
    pub attempts: BTreeMap<&'static str, u64>,
    /// Refusals by the local gate, by reason.
    pub gate_refusals: BTreeMap<&'static str, u64>,
    /// Events of the own link: large bodies to receive that were `granted`, `refused` or `expired`, those to send
    /// that were `sent` or `send-refused`, and how often the link was found `saturated`.
    pub link: BTreeMap<&'static str, u64>,
    /// Probes omitted because the measurement budget was used up.
    pub probes_skipped: u64,
    /// Probes of the local target.
    pub probes_spent: u64,
    /// Refusals reported to callers, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Callers' requests by outcome.
    pub requests: BTreeMap<&'static str, u64>,
    /// Attempts sent, by kind of pick: `first`, `hedge`, `reroute`, `retry`.
    pub sent: BTreeMap<&'static str, u64>,
    /// Returns of the store from an older copy, by where their contents came from.
    pub store_eras: BTreeMap<&'static str, u64>,
    /// Values in decoded content of the store that this build doesn't know, by field.
    pub unknown_values: BTreeMap<&'static str, u64>,
    /// Number of times that the local target was found cold.
    #[serde(skip_serializing_if = "is_zero")]
    pub target_cold: u64,
}

impl Counters {
    /// Counts one event.
    pub fn record(&mut self, event: &Event) {
        match *event {
            Event::Abandoned => add(&mut self.requests, "abandoned"),
            Event::Attempt { result, .. } => add(&mut self.attempts, attempt_name(result)),
            Event::ClaimRefused => self.claims_refused += 1,
            Event::Evicted => self.evicted += 1,
            Event::GateRefused(refusal) => add(&mut self.gate_refusals, refusal.name()),
            Event::Link(event) => add(&mut self.link, event.name()),
            Event::ProbeSkipped => self.probes_skipped += 1,
            Event::ProbeSpent => self.probes_spent += 1,
            Event::Request { outcome, .. } => {
                add(&mut self.requests, outcome.name());
                match outcome {
                    Outcome::Refused(refusal) => add(&mut self.refusals, refusal.name()),
                    Outcome::Answered | Outcome::Failed(_) | Outcome::Unknown(_) => {}
                }
            }
            Event::Sent(kind) => add(&mut self.sent, pick_name(kind)),
            Event::StoreEra(source) => add(&mut self.store_eras, source),
            Event::UnknownValue(field) => add(&mut self.unknown_values, field),
            Event::TargetCold => self.target_cold += 1,
        }
    }

    /// Dotted names and increases of the counters that increased since `earlier`.
    pub fn since(&self, earlier: &Self) -> Vec<(String, u64)> {
        let groups = [
            ("attempts", &self.attempts, &earlier.attempts),
            ("gate_refusals", &self.gate_refusals, &earlier.gate_refusals),
            ("link", &self.link, &earlier.link),
            ("refusals", &self.refusals, &earlier.refusals),
            ("requests", &self.requests, &earlier.requests),
            ("sent", &self.sent, &earlier.sent),
            ("store_eras", &self.store_eras, &earlier.store_eras),
            (
                "unknown_values",
                &self.unknown_values,
                &earlier.unknown_values,
            ),
        ];
        let named = groups.into_iter().flat_map(|(group, now, before)| {
            now.iter().map(move |(name, count)| {
                let before = before.get(name).copied().unwrap_or_default();
                (format!("{group}.{name}"), count - before)
            })
        });
        let totals = [
            ("target.cold", self.target_cold - earlier.target_cold),
            (
                "memory.claims_refused",
                self.claims_refused - earlier.claims_refused,
            ),
            ("memory.evicted", self.evicted - earlier.evicted),
            (
                "probes.skipped",
                self.probes_skipped - earlier.probes_skipped,
            ),
            ("probes.spent", self.probes_spent - earlier.probes_spent),
        ];
        let totals = totals.map(|(name, count)| (name.to_owned(), count));
        named
            .chain(totals)
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

fn add(counts: &mut BTreeMap<&'static str, u64>, name: &'static str) {
    *counts.entry(name).or_default() += 1;
}

/// The name of an attempt's result in counters and traces.
pub(super) const fn attempt_name(result: AttemptResult) -> &'static str {
    match result {
        AttemptResult::Answered => "answered",
        AttemptResult::Failed => "target-failed",
        AttemptResult::Lost(loss) => loss.name(),
        AttemptResult::Refused(refusal) => refusal.name(),
    }
}

/// The name of a kind of pick in counters and traces.
pub(super) const fn pick_name(kind: PickKind) -> &'static str {
    match kind {
        PickKind::First => "first",
        PickKind::Hedge => "hedge",
        PickKind::Reroute => "reroute",
        PickKind::Retry => "retry",
    }
}
