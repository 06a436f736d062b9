//! Counters and latency histograms in the `OpenMetrics` text format.

use std::time::Duration;

use hawthornwall_core::prelude::*;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::Event;
use super::counters::{attempt_name, pick_name};

/// Upper bounds of the histograms' buckets, in seconds.
const BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.0, 5.0,
];

type Label = [(&'static str, &'static str); 1];
type Counters = Family<Label, Counter>;

/// All metrics of this daemon since its start.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::prelude::*;
/// use hawthornwall_node::telemetry::{Event, Metrics};
///
/// let mut metrics = Metrics::default();
/// let outcome = Outcome::Refused(Refusal::Full);
/// metrics.record(&Event::Request { elapsed: Duration::from_millis(3), outcome });
/// assert!(metrics.encode().contains("hawthornwall_refusals_total{reason=\"target-full\"} 1"));
/// ```
#[derive(Debug)]
pub struct Metrics {
    attempt_time: Histogram,
    attempts: Counters,
    gate_refusals: Counters,
    hedges: Counters,
    memory: Counters,
    link: Counters,
    probes: Counters,
    refusals: Counters,
    registry: Registry,
    request_time: Histogram,
    requests: Counters,
    sent: Counters,
    store_eras: Counters,
    unknown_values: Counters,
    target_states: Counters,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hawthornwall");
        let mut counters = |name: &str, help: &str| {
            let family = Counters::default();
            registry.register(name, help, family.clone());
            family
        };
        let attempts = counters("attempts", "Ended attempts by result");
        let gate_refusals = counters("gate_refusals", "Requests that the gate refused, by reason");
        let hedges = counters(
            "hedges",
            "Second copies of late requests: sent, won, or why there is none",
        );
        let memory = counters(
            "memory",
            "Connections closed to make room, and refused claims to connections and buffered bytes",
        );
        let link = counters("link", "Events of the own link");
        let probes = counters("probes", "Questions to the target, by what became of them");
        let refusals = counters("refusals", "Requests told to be refused, by reason");
        let requests = counters("requests", "Requests of callers by outcome");
        let sent = counters("sent", "Attempts sent, by why");
        let store_eras = counters(
            "store_eras",
            "Returns of the store from an older copy, by source",
        );
        let unknown_values = counters("unknown_values", "Unknown values in the store, by field");
        let target_states = counters(
            "target_states",
            "Times that the local target was found in a state",
        );
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(BOUNDS);
            registry.register(name, help, histogram.clone());
            histogram
        };
        let attempt_time = histogram("attempt_seconds", "Time of an attempt");
        let request_time = histogram("request_seconds", "Time from a request to its answer");
        Self {
            attempt_time,
            attempts,
            gate_refusals,
            hedges,
            memory,
            link,
            probes,
            refusals,
            registry,
            request_time,
            requests,
            sent,
            store_eras,
            unknown_values,
            target_states,
        }
    }
}

impl Metrics {
    /// Counts one event.
    pub fn record(&mut self, event: &Event) {
        match *event {
            Event::Abandoned => count(&self.requests, "outcome", "abandoned"),
            Event::Attempt { elapsed, result } => {
                count(&self.attempts, "result", attempt_name(result));
                observe(&self.attempt_time, elapsed);
            }
            Event::ClaimRefused => count(&self.memory, "end", "refused"),
            Event::Evicted => count(&self.memory, "end", "evicted"),
            Event::GateRefused(refusal) => count(&self.gate_refusals, "reason", refusal.name()),
            Event::Hedge(event) => count(&self.hedges, "event", event.name()),
            Event::Link(event) => count(&self.link, "event", event.name()),
            Event::ProbeSkipped => count(&self.probes, "end", "skipped"),
            Event::ProbeSpent => count(&self.probes, "end", "spent"),
            Event::Request { elapsed, outcome } => {
                count(&self.requests, "outcome", outcome.name());
                observe(&self.request_time, elapsed);
                if let Outcome::Refused(refusal) = outcome {
                    count(&self.refusals, "reason", refusal.name());
                }
            }
            Event::Sent(kind) => count(&self.sent, "why", pick_name(kind)),
            Event::StoreEra(source) => count(&self.store_eras, "source", source),
            Event::UnknownValue(field) => count(&self.unknown_values, "field", field),
            Event::TargetCold => count(&self.target_states, "state", "cold"),
        }
    }

    /// All metrics in the text format.
    ///
    /// # Panics
    ///
    /// Never, as writing to a string can't fail.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        text::encode(&mut out, &self.registry).expect("writing to a string can't fail");
        out
    }
}

fn count(counters: &Counters, label: &'static str, value: &'static str) {
    counters.get_or_create(&[(label, value)]).inc();
}

fn observe(histogram: &Histogram, elapsed: Duration) {
    histogram.observe(elapsed.as_secs_f64());
}
