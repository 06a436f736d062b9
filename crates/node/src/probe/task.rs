//! The task that owns the probe budget and the connection to the target's endpoints.

use std::time::Duration;

use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::probing::{Permit, ProbeBudget, ProbeLimits};
use hawthornwall_settings::Settings;

use super::endpoint::Endpoint;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http::Limits;
use crate::messages::{GateMessage, GateSender, ProbeMessage, ProbeResult, RoutingState};
use crate::telemetry::{Event, Telemetry};

/// A probe is cut off after this time, so that a stalled target can't use up the budget.
const LONGEST: Duration = Duration::from_millis(20);
/// Largest answer of an endpoint, in bytes.
const ANSWER_LIMIT: usize = 16 << 10;
/// The span that the budget's count refers to.
const SPAN: Duration = Duration::from_secs(100);

/// What the task needs at its start.
#[derive(Debug)]
pub struct ProbeStart<'a> {
    /// The process's clock.
    pub clock: Clock,
    /// Conventions of the target.
    pub dialect: Dialect,
    /// The gate that the results go to.
    pub gate: GateSender,
    /// Changes of the configuration.
    pub receiver: mpsc::UnboundedReceiver<ProbeMessage>,
    /// The daemon's settings.
    pub settings: &'a Settings,
    /// Counters.
    pub telemetry: Telemetry,
}

/// The task and its state.
#[derive(Debug)]
pub struct Probe {
    budget: ProbeBudget,
    clock: Clock,
    dialect: Dialect,
    endpoint: Endpoint,
    gate: GateSender,
    interval: Duration,
    receiver: mpsc::UnboundedReceiver<ProbeMessage>,
    telemetry: Telemetry,
}

impl Probe {
    /// A task that probes as often as the budget allows evenly.
    pub fn new(start: ProbeStart<'_>) -> Self {
        let probe = &start.settings.probe;
        let limits = ProbeLimits {
            per_100s: probe.per_100s,
            slot_share: probe.slot_share,
            slots: 1,
        };
        let target = &start.settings.target;
        let read = Limits {
            body: ANSWER_LIMIT,
            head: ANSWER_LIMIT,
            idle: LONGEST,
        };
        let paths = match start.dialect {
            Dialect::Own => [target.load.as_str(), target.health.as_str()],
            Dialect::Platform => [target.health.as_str(); 2],
        };
        Self {
            budget: ProbeBudget::new(limits, start.clock.now()),
            clock: start.clock,
            dialect: start.dialect,
            endpoint: Endpoint::new(target.address, start.dialect, paths, read),
            gate: start.gate,
            interval: SPAN / probe.per_100s.max(1),
            receiver: start.receiver,
            telemetry: start.telemetry,
        }
    }

    /// Probes until the senders of configurations are gone.
    pub async fn run(mut self) {
        loop {
            let timer = monoio::time::sleep(self.interval).fuse();
            pin_mut!(timer);
            select_biased! {
                message = self.receiver.next() => match message {
                    Some(ProbeMessage::CheckLoad) => self.ask().await,
                    Some(ProbeMessage::RoutingState(routing)) => self.configure(&routing),
                    None => return,
                },
                () = timer => self.probe_unasked().await,
            }
        }
    }

    fn configure(&mut self, routing: &RoutingState) {
        let slots = routing
            .own
            .and_then(|id| routing.config.targets.get(&id))
            .map(|t| t.slots);
        if let Some(slots) = slots {
            self.budget.set_slots(slots, self.clock.now());
        }
    }

    /// Where the gate asks for the load when it needs it, nothing is measured unasked.
    async fn probe_unasked(&mut self) {
        match self.dialect {
            Dialect::Own => {
                if let Some(Some(result)) = self.probe().await {
                    self.gate.send(GateMessage::Probed(result));
                }
            }
            Dialect::Platform => {}
        }
    }

    /// Every question gets an end, so that the gate never waits for one.
    async fn ask(&mut self) {
        let result = self.probe().await.flatten();
        let load = result.and_then(|r| r.load);
        self.gate.send(GateMessage::LoadAnswer(load));
    }

    /// Reads the endpoint if the budget allows it.
    async fn probe(&mut self) -> Option<Option<ProbeResult>> {
        let started = self.clock.now();
        // A small budget allows only shorter probes.
        let longest = LONGEST.min(self.budget.longest());
        match self.budget.ask(longest, started) {
            Permit::Granted => {}
            Permit::SkippedCount | Permit::SkippedTime => {
                self.telemetry.record(Event::ProbeSkipped);
                return None;
            }
        }
        self.telemetry.record(Event::ProbeSpent);
        let result = monoio::time::timeout(longest, self.endpoint.read()).await;
        self.budget.end(longest, self.clock.now() - started);
        result.ok()
    }
}
