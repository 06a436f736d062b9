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

/// Maximum time of a daemon's probe, which prevents a stalled target from using up the budget.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of the head and of the body of a response, in bytes each.
const ANSWER_LIMIT: usize = 16 << 10;
/// The period that the budget's number of probes refers to.
const BUDGET_PERIOD: Duration = Duration::from_secs(100);

/// Parameters of the probe task.
#[derive(Debug)]
pub struct ProbeStart<'a> {
    /// Clock shared by the tasks of this process.
    pub clock: Clock,
    /// Protocol conventions of the target.
    pub dialect: Dialect,
    /// Receives the results.
    pub gate: GateSender,
    /// Messages from the gate task: requested load checks and changes of the configuration.
    pub receiver: mpsc::UnboundedReceiver<ProbeMessage>,
    /// Settings of the daemon: endpoints and probe budget.
    pub settings: &'a Settings,
    /// Counts performed and skipped probes.
    pub telemetry: Telemetry,
    /// Maximum time of a probe.
    pub timeout: Duration,
}

/// The state of the probe task.
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
    timeout: Duration,
}

impl Probe {
    /// Creates a task that probes at the average rate that the budget allows.
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
            idle: start.timeout,
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
            interval: BUDGET_PERIOD / probe.per_100s.max(1),
            receiver: start.receiver,
            telemetry: start.telemetry,
            timeout: start.timeout,
        }
    }

    /// Handles messages and probes until all senders are dropped.
    pub async fn run(mut self) {
        loop {
            let timer = monoio::time::sleep(self.interval).fuse();
            pin_mut!(timer);
            select_biased! {
                message = self.receiver.next() => match message {
                    Some(ProbeMessage::CheckLoad) => self.check_load().await,
                    Some(ProbeMessage::RoutingState(routing)) => self.configure(&routing),
                    None => return,
                },
                () = timer => self.probe_periodically().await,
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

    /// Sends a periodic probe. In the platform's dialect there are none, since the gate requests
    /// load checks when it needs them.
    async fn probe_periodically(&mut self) {
        match self.dialect {
            Dialect::Own => {
                if let Some(Some(result)) = self.probe().await {
                    self.gate.send(GateMessage::Probed(result));
                }
            }
            Dialect::Platform => {}
        }
    }

    /// Performs a requested load check. Every check is answered, also without a result, so that no
    /// request of the gate stays open.
    async fn check_load(&mut self) {
        let result = self.probe().await.flatten();
        let report = result.and_then(|r| r.report);
        self.gate.send(GateMessage::LoadAnswer(report));
    }

    /// Reads the endpoint if the budget allows it. The outer `None` means that the probe was
    /// skipped or timed out, the inner `None` that the connection failed or the response was invalid.
    async fn probe(&mut self) -> Option<Option<ProbeResult>> {
        let started = self.clock.now();
        // A small budget permits only shorter probes.
        let longest = self.timeout.min(self.budget.longest());
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
