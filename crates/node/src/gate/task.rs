//! The task that owns the gate and the request records.

mod ends;

use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};
use hawthornwall_core::admission::{Arrival, Effect, Event, Gate, Limits, Priority, WorkId};
use hawthornwall_core::keys::Decision;
use hawthornwall_core::pause::PauseDetector;
use hawthornwall_core::prelude::*;
use hawthornwall_core::transit::TransitTimes;
use hawthornwall_settings::Settings;
use hawthornwall_wire::peer::{BodyOffer, RunRequest, RunResult};
use hawthornwall_wire::sent::take_sent;

use super::conn::{self, ConnEvent, Finished, Job, TargetAddress};
use super::records::{EXPIRY_INTERVAL, RecordId, RequestRecords};
use super::work::{InFlight, Waiter, WorkTable};
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http;
use crate::memory::Memory;
use crate::messages::{
    GateMessage, GateStatus, ProbeMessage, ProbeResult, ProbeSender, RoutingState,
};
use crate::telemetry::trace::{Hop, HopSpan};
use crate::telemetry::{Event as Count, Telemetry, log};

/// Tick interval while requests are queued; bounds how late an expired request is refused.
const TICK_WAITING: Duration = Duration::from_millis(5);
/// Tick interval while no request is queued. If much more time passes between two iterations of the
/// task's loop, the process was paused.
const TICK_IDLE: Duration = Duration::from_millis(200);
/// Maximum number of connections to the target that are opened in advance.
const MAX_PRECONNECTS: u32 = 32;
/// Time after the start for which a daemon that hasn't received a routing state starts no requests, since its
/// failure domain may be evacuated. A store that can be reached is read within some tens of milliseconds; without
/// it, requests that state the name of their target are served after this time.
const ROUTING_WAIT: Duration = Duration::from_secs(2);
/// Number of slots until a configuration or the target states the number.
const INITIAL_SLOTS: u32 = 1;

/// Parameters of [`GateTask::new`].
#[derive(Debug)]
pub struct GateStart<'a> {
    /// Clock shared by the tasks of this process.
    pub clock: Clock,
    /// Header names and conventions that the target uses.
    pub dialect: Dialect,
    /// Identifies this run of the daemon; part of issued keys and of load reports.
    pub instance: InstanceId,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Sender to the probe task, which also receives each configuration from the gate.
    pub probe: ProbeSender,
    /// Messages from other tasks. The task ends when all senders are dropped.
    pub receiver: mpsc::UnboundedReceiver<GateMessage>,
    /// Source of the target's address, the size limits and the key limits.
    pub settings: &'a Settings,
    /// Receives a count of each refused request.
    pub telemetry: Telemetry,
}

/// Input of one iteration of the task's loop.
enum Input {
    Conn(Option<ConnEvent>),
    Message(Option<GateMessage>),
    Tick,
}

/// Task that admits requests and sends them to the local target.
#[derive(Debug)]
pub struct GateTask {
    address: TargetAddress,
    clock: Clock,
    /// Whether the target was last found cold.
    cold: bool,
    conn_events: mpsc::UnboundedReceiver<ConnEvent>,
    drain_replies: Vec<oneshot::Sender<()>>,
    last_expiry: Time,
    conn_sender: mpsc::UnboundedSender<ConnEvent>,
    /// Failure domain of this instance.
    domain: String,
    /// Requests that were refused since the target's failure domain was last evacuated.
    evacuated_refusals: u64,
    gate: Gate,
    idle: Vec<mpsc::UnboundedSender<Job>>,
    memory: Memory,
    /// Time at which the input in progress was taken up. All of a decision uses this one reading of the clock: what a
    /// request was refused for must still hold in the report that goes with the refusal.
    now: Time,
    records: RequestRecords,
    pauses: PauseDetector,
    probe: ProbeSender,
    receiver: mpsc::UnboundedReceiver<GateMessage>,
    /// Until when requests are refused because no routing state has been received.
    routing_due: Option<Time>,
    service: Option<ServiceId>,
    /// Name of the target's service in the settings, used until the configuration contains the target.
    service_name: Option<String>,
    target: Option<TargetId>,
    telemetry: Telemetry,
    transit: TransitTimes,
    work: WorkTable,
}

impl GateTask {
    /// Creates the task without a target. Until a configuration names one, only requests that state
    /// the expected instance name are admitted; the target checks that name itself. On the platform, nothing is
    /// admitted before the first routing state, or for [`ROUTING_WAIT`] without one.
    pub fn new(start: GateStart<'_>) -> Self {
        let settings = start.settings;
        let (conn_sender, conn_events) = mpsc::unbounded();
        let limits = http::Limits {
            body: settings.body_limit(),
            head: settings.caller.head_limit,
            idle: settings.target.silence,
        };
        let gate_limits = Limits {
            queue_wait: Duration::ZERO,
            slots: INITIAL_SLOTS,
        };
        let mut gate = Gate::new(start.instance, gate_limits);
        match start.dialect {
            Dialect::Own => {}
            Dialect::Platform => {
                gate.enable_load_checks();
                gate.expect_cold_limit();
            }
        }
        Self {
            address: TargetAddress {
                address: settings.target.address,
                clock: start.clock,
                dialect: start.dialect,
                limits,
            },
            clock: start.clock,
            cold: false,
            conn_events,
            drain_replies: Vec::new(),
            last_expiry: Time::ZERO,
            conn_sender,
            domain: settings.domain.clone(),
            evacuated_refusals: 0,
            gate,
            idle: Vec::new(),
            memory: start.memory,
            now: start.clock.now(),
            records: RequestRecords::new(start.instance, &settings.keys),
            pauses: PauseDetector::new(TICK_IDLE, start.clock.now()),
            probe: start.probe,
            receiver: start.receiver,
            routing_due: match start.dialect {
                Dialect::Own => None,
                Dialect::Platform => Some(start.clock.now() + ROUTING_WAIT),
            },
            service: None,
            service_name: settings.target.service.clone(),
            target: None,
            telemetry: start.telemetry,
            transit: TransitTimes::default(),
            work: WorkTable::default(),
        }
    }

    /// Runs until all senders of messages are dropped.
    pub async fn run(mut self) {
        loop {
            let interval = if self.gate.waiting() > 0 {
                TICK_WAITING
            } else {
                TICK_IDLE
            };
            let tick = monoio::time::sleep(interval).fuse();
            futures::pin_mut!(tick);
            let input = select_biased! {
                conn_event = self.conn_events.next() => Input::Conn(conn_event),
                message = self.receiver.next() => Input::Message(message),
                () = tick => Input::Tick,
            };
            self.now = self.clock.now();
            if let Some(length) = self.pauses.observe(self.now) {
                let ms = length.as_millis() as u64;
                log::warn!("this process was paused", kv: { ms });
            }
            match input {
                Input::Conn(Some(ConnEvent::Finished(finished))) => self.finish(finished),
                Input::Conn(Some(ConnEvent::Ready(conn))) => self.idle.push(conn),
                Input::Message(Some(message)) => self.handle_message(message),
                Input::Message(None) => return,
                Input::Conn(None) | Input::Tick => self.tick(),
            }
        }
    }

    fn handle_message(&mut self, message: GateMessage) {
        match message {
            GateMessage::Cancel(work) => {
                if let Some(work) = self.work.leave(work) {
                    self.apply(&Event::Cancel(work));
                }
            }
            GateMessage::Stop(plan) => self.apply(&Event::Stop(plan)),
            GateMessage::Drain(done) => {
                self.drain_replies.push(done);
                self.apply(&Event::Drain);
            }
            GateMessage::IssueKey {
                id,
                reply,
                service,
                target,
            } => {
                let result = self.issue(service, target);
                self.send_reply(reply, id, result, Duration::ZERO);
            }
            GateMessage::LoadAnswer(report) => {
                if let Some(report) = &report {
                    self.record_report(report);
                    self.record_cold(report);
                }
                self.apply(&Event::LoadAnswer(report.and_then(|r| r.load)));
            }
            GateMessage::Offer { offer, reply } => {
                let _ = reply.send(self.check_offer(&offer));
            }
            GateMessage::Probed(result) => self.record_probe(&result),
            GateMessage::Run {
                id,
                reply,
                run,
                work,
            } => {
                self.admit(
                    run,
                    Waiter {
                        arrived: self.now,
                        id,
                        reply,
                        work,
                    },
                );
            }
            GateMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
            GateMessage::RoutingState(routing) => self.configure(&routing),
        }
    }

    /// Whether a request with this body would be admitted now, and the load report.
    fn check_offer(&mut self, offer: &BodyOffer) -> (Result<(), Refusal>, LoadReport) {
        let now = self.now;
        let arrival = Arrival {
            deadline: now + offer.time_left,
            // The id decides nothing before the request is queued.
            id: WorkId(u64::MAX),
            max_wait: offer.max_wait,
            priority: Priority {
                objective: offer.objective,
                rank: offer.rank,
            },
            objective_deadline: offer.objective_left.map(|left| now + left),
        };
        let decision = self.gate.check(&arrival, now);
        if let Err(refusal) = decision {
            self.telemetry.record(Count::GateRefused(refusal));
        }
        (decision, self.gate.report(now))
    }

    fn configure(&mut self, routing: &Rc<RoutingState>) {
        let _ = self
            .probe
            .unbounded_send(ProbeMessage::RoutingState(Rc::clone(routing)));
        let config = &routing.config;
        self.limit_cold(routing);
        let target = routing
            .own
            .and_then(|id| Some((id, config.targets.get(&id)?)));
        self.routing_due = None;
        let domain = target.map_or(&self.domain, |(_, target)| &target.domain);
        self.evacuate(routing.evacuated.contains(domain));
        let rules = target
            .and_then(|(_, t)| config.services.get(&t.service))
            .map(|s| &s.rules);
        let (Some((id, target)), Some(rules)) = (target, rules) else {
            self.target = None;
            return;
        };
        if self.target != Some(id) {
            if self.target.is_some() {
                self.apply(&Event::TargetReplaced);
            }
            self.records.set_target(id);
            self.preconnect(target.slots);
        }
        self.target = Some(id);
        self.service = Some(target.service);
        let limits = Limits {
            queue_wait: rules.queue_wait,
            slots: target.slots,
        };
        self.apply(&Event::Configure(limits));
        if let Some(until) = routing.cold_until.get(&id) {
            self.gate.observe_cold_entry(*until, self.now);
            self.report_cold();
        }
        let published = routing.members.get(&id).filter(|m| m.expect.is_some());
        if let Some(member) = published {
            self.apply(&Event::TargetDrains(member.leaving));
        }
    }

    /// Passes the limit on requests to a cold target to the gate, once the configuration has been read.
    fn limit_cold(&mut self, routing: &RoutingState) {
        let config = &routing.config;
        if config.version == Version(0) {
            return;
        }
        let own = routing.own.and_then(|id| config.targets.get(&id));
        let named = || config.service_id_by_name(self.service_name.as_deref()?);
        let Some(service) = own.map(|target| target.service).or_else(named) else {
            return;
        };
        let limits = routing.service_limits.get(&service).copied();
        self.gate.limit_cold(limits, self.now);
    }

    /// Tells the gate whether the target's failure domain is evacuated, and logs changes.
    fn evacuate(&mut self, evacuated: bool) {
        if evacuated == self.gate.is_evacuated() {
            return;
        }
        let refused = std::mem::take(&mut self.evacuated_refusals);
        let waiting = self.gate.waiting();
        self.apply(&Event::Evacuate(evacuated));
        if evacuated {
            log::warn!("the target's failure domain is evacuated; its gate refuses requests", kv: { waiting });
        } else {
            log::info!("the target's failure domain isn't evacuated any more", kv: { refused });
        }
    }

    fn record_probe(&mut self, result: &ProbeResult) {
        self.apply(&Event::Reachable(result.reachable));
        if let Some(draining) = result.draining {
            self.apply(&Event::TargetDrains(draining));
        }
    }

    fn issue(&mut self, service: ServiceId, target: TargetId) -> RunResult {
        if self.target != Some(target) || self.service != Some(service) {
            return RunResult::Refused(Refusal::WrongTarget);
        }
        if self.gate.is_evacuated() {
            return RunResult::Refused(Refusal::Evacuated);
        }
        match self.gate.state(self.now) {
            TargetState::Draining => RunResult::Refused(Refusal::Draining),
            TargetState::Down => RunResult::Refused(Refusal::Down),
            TargetState::Serving => self.records.issue(service, self.now),
        }
    }

    fn admit(&mut self, mut run: Box<RunRequest>, waiter: Waiter) {
        let now = self.now;
        let delay = self.delay(&mut run, now);
        run.time_left = run.time_left.saturating_sub(delay);
        run.objective_left = run.objective_left.map(|left| left.saturating_sub(delay));
        // A repeat is decided by the records first: a daemon that has restarted doesn't know its target yet,
        // and can't state that the first attempt wasn't run.
        if run.first_instance.is_none() && !self.serves(&run) {
            return self.reply(waiter, RunResult::Refused(Refusal::WrongTarget));
        }
        let (decision, record_id) = self.records.begin_request(waiter.id, &run, now);
        match (decision, record_id) {
            (Decision::Join, Some(record_id)) => self.work.join(record_id, waiter),
            (Decision::Replay, Some(record_id)) => {
                let result = self.records.replay(record_id);
                self.reply(waiter, result);
            }
            (Decision::Join | Decision::Replay, None) => {
                unreachable!("only a request with a record is joined or replayed")
            }
            (Decision::Lost(loss), _) => self.reply(waiter, RunResult::Lost(loss)),
            (Decision::Refuse(refusal), _) => self.reply(waiter, RunResult::Refused(refusal)),
            (Decision::Run, record_id) => self.enqueue(run, waiter, record_id),
        }
    }

    /// Time that the message has spent on its way, which its sender hasn't deducted. If the sender doesn't
    /// state when it was sent, the message may have been in a buffer while this process was paused.
    fn delay(&mut self, run: &mut RunRequest, now: Time) -> Duration {
        match take_sent(&mut run.http) {
            Some(stamp) => self.transit.delay(stamp, self.clock.since_boot()),
            None => self.pauses.staleness(now),
        }
    }

    /// Whether the request is for the local target. A request with a key is decided by the ledger, whatever
    /// the configuration is now. A target that checks its name itself refuses requests for other targets.
    fn serves(&self, run: &RunRequest) -> bool {
        let is_local = self.target == Some(run.target) && self.service == Some(run.service);
        is_local || run.key.is_some() || run.expected_target.is_some()
    }

    fn enqueue(&mut self, run: Box<RunRequest>, waiter: Waiter, record_id: Option<RecordId>) {
        let now = self.now;
        let serves = self.serves(&run);
        let (work, deadline) = (waiter.work, now + run.time_left);
        let arrival = Arrival {
            deadline,
            id: work,
            max_wait: run.max_wait,
            priority: Priority {
                objective: run.objective,
                rank: run.rank,
            },
            objective_deadline: run.objective_left.map(|left| now + left),
        };
        let span = HopSpan::remote(Hop::Gate, run.trace.as_deref());
        let inflight = InFlight {
            cancel: None,
            deadline,
            record_id,
            run: Some(run),
            span,
            waiters: vec![waiter],
        };
        let misdirected = self.is_misdirected(&inflight);
        self.work.insert(work, inflight);
        if misdirected || !serves {
            self.finish_work(work, &RunResult::Refused(Refusal::WrongTarget));
        } else if self.routing_due.is_some_and(|due| now < due) {
            self.finish_work(work, &RunResult::Refused(Refusal::NotReady));
        } else {
            self.apply(&Event::Arrive(arrival));
        }
    }

    /// Whether the target has recently stated another name than the request.
    fn is_misdirected(&self, inflight: &InFlight) -> bool {
        let run = inflight.run.as_ref();
        let expected = run.and_then(|run| run.expected_target.as_deref());
        expected.is_some_and(|name| self.gate.is_misdirected(name, self.now))
    }

    fn tick(&mut self) {
        self.apply(&Event::Tick);
        let now = self.now;
        if now - self.last_expiry >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.records.expire(now);
        }
    }

    fn apply(&mut self, event: &Event) {
        let effects = self.gate.on(event, self.now);
        for effect in effects {
            match effect {
                Effect::Abort(work) => {
                    if let Some(inflight) = self.work.get_mut(work) {
                        inflight.cancel = None;
                    }
                }
                Effect::CheckLoad => {
                    let _ = self.probe.unbounded_send(ProbeMessage::CheckLoad);
                }
                Effect::Drained => {
                    for done in self.drain_replies.drain(..) {
                        let _ = done.send(());
                    }
                }
                Effect::Refuse(work, refusal) => {
                    self.finish_work(work, &RunResult::Refused(refusal));
                }
                Effect::Start(work) => self.start(work),
            }
        }
    }

    fn start(&mut self, work: WorkId) {
        // The target may have stated its name while the request waited for a slot or a load check.
        if self.work.get(work).is_some_and(|w| self.is_misdirected(w)) {
            let unsent = Finished::unsent(work, Refusal::WrongTarget);
            let _ = self.conn_sender.unbounded_send(ConnEvent::Finished(unsent));
            return;
        }
        let Some(inflight) = self.work.get_mut(work) else {
            return;
        };
        let Some(run) = inflight.run.take() else {
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        inflight.cancel = Some(cancel);
        let span = inflight.span.child(Hop::Target);
        let job = Job {
            cancel: cancelled,
            deadline: inflight.deadline,
            expect: run.expected_target,
            request: run.http,
            span,
            work,
        };
        self.dispatch(job);
    }

    /// Opens one connection per slot before the first requests arrive, which would otherwise be
    /// delayed: a target takes about a millisecond to accept each connection.
    fn preconnect(&self, slots: u32) {
        for _ in 0..slots.min(MAX_PRECONNECTS) {
            let (memory, events) = (self.memory.clone(), self.conn_sender.clone());
            monoio::spawn(conn::preconnect(self.address, memory, events));
        }
    }

    /// Passes a job to an idle connection or opens a new one. If the connection has closed in the
    /// meantime, its channel returns the job unsent.
    fn dispatch(&mut self, mut job: Job) {
        while let Some(conn) = self.idle.pop() {
            match conn.unbounded_send(job) {
                Ok(()) => return,
                Err(unsent) => job = unsent.into_inner(),
            }
        }
        let (memory, events) = (self.memory.clone(), self.conn_sender.clone());
        monoio::spawn(conn::run(self.address, memory, job, events));
    }

    fn status(&mut self) -> GateStatus {
        GateStatus {
            evacuated: self.gate.is_evacuated(),
            keys: self.records.key_count(),
            report: self.gate.report(self.now),
            target: self.target,
        }
    }
}
