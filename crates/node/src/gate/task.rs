//! The task that owns the gate and the ledger.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};
use hawthornwall_core::admission::{Arrival, Effect, Event, Gate, Limits, Priority, WorkId};
use hawthornwall_core::keys::Decision;
use hawthornwall_core::pause::PauseDetector;
use hawthornwall_core::prelude::*;
use hawthornwall_settings::Settings;
use hawthornwall_wire::peer::{RequestId, RunReply, RunRequest, RunResult};

use super::conn::{self, Finished, Job, JobEnd, Report, TargetAddress};
use super::memory::{EXPIRE_PERIOD, Memo, Memory};
use super::work::{Held, Waiter, WorkTable};
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http;
use crate::messages::{GateMessage, GateStatus, ProbeMessage, ProbeResult, ProbeSender, World};
use crate::telemetry::trace::{Hop, HopSpan};
use crate::telemetry::{Event as Count, Telemetry, log};

/// Time between two looks at expired work while requests wait.
const TICK_WAITING: Duration = Duration::from_millis(5);
/// Time between two turns while nothing happens; a longer gap shows that the process was paused.
const TICK_IDLE: Duration = Duration::from_millis(200);
/// Most connections to the target that are opened before they are needed.
const CONNECT_AHEAD: u32 = 32;
/// Slots until a configuration names the target's own.
const INITIAL_SLOTS: u32 = 1;

/// What the task needs at its start.
#[derive(Debug)]
pub struct GateStart<'a> {
    /// The process's clock.
    pub clock: Clock,
    /// Conventions of the target.
    pub dialect: Dialect,
    /// This run.
    pub instance: InstanceId,
    /// The task that measures the target, which needs to know its slots.
    pub probe: ProbeSender,
    /// Messages of other tasks.
    pub receiver: mpsc::UnboundedReceiver<GateMessage>,
    /// The daemon's settings.
    pub settings: &'a Settings,
    /// Counters.
    pub telemetry: Telemetry,
}

/// What ends the task's wait.
enum Input {
    Conn(Option<Report>),
    Message(Option<GateMessage>),
    Tick,
}

/// The task and its state.
#[derive(Debug)]
pub struct Gatekeeper {
    address: TargetAddress,
    clock: Clock,
    reports: mpsc::UnboundedReceiver<Report>,
    drained: Vec<oneshot::Sender<()>>,
    expired: Time,
    conns: mpsc::UnboundedSender<Report>,
    gate: Gate,
    idle: Vec<mpsc::UnboundedSender<Job>>,
    memory: Memory,
    pauses: PauseDetector,
    probe: ProbeSender,
    receiver: mpsc::UnboundedReceiver<GateMessage>,
    service: Option<ServiceId>,
    target: Option<TargetId>,
    telemetry: Telemetry,
    work: WorkTable,
}

impl Gatekeeper {
    /// A gate without a configured target; it refuses everything until a configuration names one.
    pub fn new(start: GateStart<'_>) -> Self {
        let settings = start.settings;
        let (conns, reports) = mpsc::unbounded();
        let limits = http::Limits {
            body: settings.caller.body_limit,
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
            Dialect::Platform => gate.enable_load_checks(),
        }
        Self {
            address: TargetAddress {
                address: settings.target.address,
                clock: start.clock,
                dialect: start.dialect,
                limits,
            },
            clock: start.clock,
            reports,
            drained: Vec::new(),
            expired: Time::ZERO,
            conns,
            gate,
            idle: Vec::new(),
            memory: Memory::new(start.instance, &settings.keys),
            pauses: PauseDetector::new(TICK_IDLE, start.clock.now()),
            probe: start.probe,
            receiver: start.receiver,
            service: None,
            target: None,
            telemetry: start.telemetry,
            work: WorkTable::default(),
        }
    }

    /// Serves messages until all senders are gone.
    pub async fn run(mut self) {
        loop {
            let pause = if self.gate.waiting() > 0 {
                TICK_WAITING
            } else {
                TICK_IDLE
            };
            let tick = monoio::time::sleep(pause).fuse();
            futures::pin_mut!(tick);
            let input = select_biased! {
                report = self.reports.next() => Input::Conn(report),
                message = self.receiver.next() => Input::Message(message),
                () = tick => Input::Tick,
            };
            if let Some(length) = self.pauses.observe(self.clock.now()) {
                let ms = length.as_millis() as u64;
                log::warn!("this process was paused", kv: { ms });
            }
            match input {
                Input::Conn(Some(Report::Finished(finished))) => self.finish(finished),
                Input::Conn(Some(Report::Ready(conn))) => self.idle.push(conn),
                Input::Message(Some(message)) => self.take(message),
                Input::Message(None) => return,
                Input::Conn(None) | Input::Tick => self.tick(),
            }
        }
    }

    fn take(&mut self, message: GateMessage) {
        match message {
            GateMessage::Cancel(work) => {
                if let Some(work) = self.work.leave(work) {
                    self.apply(&Event::Cancel(work));
                }
            }
            GateMessage::Drain(done) => {
                self.drained.push(done);
                self.apply(&Event::Drain);
            }
            GateMessage::Issue {
                id,
                reply,
                service,
                target,
            } => {
                let end = self.issue(service, target);
                self.send_reply(reply, id, end, Duration::ZERO);
            }
            GateMessage::Loaded(load) => self.apply(&Event::LoadAnswer(load)),
            GateMessage::Probed(result) => self.note_probe(result),
            GateMessage::Run {
                id,
                reply,
                run,
                work,
            } => {
                let arrived = self.clock.now();
                self.admit(
                    run,
                    Waiter {
                        arrived,
                        id,
                        reply,
                        work,
                    },
                );
            }
            GateMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
            GateMessage::World(world) => self.configure(&world),
        }
    }

    fn configure(&mut self, world: &Rc<World>) {
        let _ = self
            .probe
            .unbounded_send(ProbeMessage::World(Rc::clone(world)));
        let config = &world.config;
        let target = world
            .own
            .and_then(|id| Some((id, config.targets.get(&id)?)));
        let rules = target
            .and_then(|(_, t)| config.services.get(&t.service))
            .map(|s| &s.rules);
        let (Some((id, target)), Some(rules)) = (target, rules) else {
            self.target = None;
            return;
        };
        if self.target != Some(id) {
            self.memory.serve_target(id);
            self.connect_ahead(target.slots);
        }
        self.target = Some(id);
        self.service = Some(target.service);
        let limits = Limits {
            queue_wait: rules.queue_wait,
            slots: target.slots,
        };
        self.apply(&Event::Configure(limits));
        let published = world.members.get(&id).filter(|m| m.expect.is_some());
        if let Some(member) = published {
            self.apply(&Event::TargetDrains(member.leaving));
        }
    }

    fn note_probe(&mut self, result: ProbeResult) {
        self.apply(&Event::Reachable(result.reachable));
        if let Some(draining) = result.draining {
            self.apply(&Event::TargetDrains(draining));
        }
    }

    fn issue(&mut self, service: ServiceId, target: TargetId) -> RunResult {
        if self.target != Some(target) || self.service != Some(service) {
            return RunResult::Refused(Refusal::WrongTarget);
        }
        match self.gate.state() {
            TargetState::Draining => RunResult::Refused(Refusal::Draining),
            TargetState::Down => RunResult::Refused(Refusal::Down),
            TargetState::Serving => self.memory.issue(service, self.clock.now()),
        }
    }

    fn admit(&mut self, mut run: Box<RunRequest>, waiter: Waiter) {
        let now = self.clock.now();
        // A message that waited in a buffer while this process was stopped has less time left.
        run.time_left = run.time_left.saturating_sub(self.pauses.staleness(now));
        let known = self.target == Some(run.target) && self.service == Some(run.service);
        // What has run under a key is known whatever the configuration says now.
        // A target that checks its name itself refuses what is not for it.
        if !known && run.key.is_none() && run.expected_target.is_none() {
            return self.reply(waiter, RunResult::Refused(Refusal::WrongTarget));
        }
        let (decision, memo) = self.memory.decide(waiter.id, &run, now);
        match (decision, memo) {
            (Decision::Join, Some(memo)) => self.work.join(memo, waiter),
            (Decision::Replay, Some(memo)) => {
                let end = self.memory.replay(memo);
                self.reply(waiter, end);
            }
            (Decision::Join | Decision::Replay, None) => {
                unreachable!("only a remembered request is joined or replayed")
            }
            (Decision::Lost(loss), _) => self.reply(waiter, RunResult::Lost(loss)),
            (Decision::Refuse(refusal), _) => self.reply(waiter, RunResult::Refused(refusal)),
            (Decision::Run, memo) => self.enter(run, waiter, memo),
        }
    }

    fn enter(&mut self, run: Box<RunRequest>, waiter: Waiter, memo: Option<Memo>) {
        let now = self.clock.now();
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
        let held = Held {
            cancel: None,
            deadline,
            memo,
            run: Some(run),
            span,
            waiters: vec![waiter],
        };
        self.work.insert(work, held);
        self.apply(&Event::Arrive(arrival));
    }

    fn tick(&mut self) {
        self.apply(&Event::Tick);
        let now = self.clock.now();
        if now - self.expired >= EXPIRE_PERIOD {
            self.expired = now;
            self.memory.expire(now);
        }
    }

    fn apply(&mut self, event: &Event) {
        let effects = self.gate.on(event, self.clock.now());
        for effect in effects {
            match effect {
                Effect::Abort(work) => {
                    if let Some(held) = self.work.get_mut(work) {
                        held.cancel = None;
                    }
                }
                Effect::CheckLoad => {
                    let _ = self.probe.unbounded_send(ProbeMessage::Ask);
                }
                Effect::Drained => {
                    for done in self.drained.drain(..) {
                        let _ = done.send(());
                    }
                }
                Effect::Refuse(work, refusal) => {
                    self.end_work(work, &RunResult::Refused(refusal));
                }
                Effect::Start(work) => self.start(work),
            }
        }
    }

    fn start(&mut self, work: WorkId) {
        let Some(held) = self.work.get_mut(work) else {
            return;
        };
        let Some(run) = held.run.take() else { return };
        let (cancel, cancelled) = oneshot::channel();
        held.cancel = Some(cancel);
        let span = held.span.child(Hop::Target);
        let job = Job {
            cancel: cancelled,
            deadline: held.deadline,
            expect: run.expected_target,
            request: run.http,
            span,
            work,
        };
        self.dispatch(job);
    }

    /// Opens the connections that the slots need before the first requests, which would otherwise wait
    /// while the target accepts them; that takes a target about a millisecond each.
    fn connect_ahead(&self, slots: u32) {
        for _ in 0..slots.min(CONNECT_AHEAD) {
            monoio::spawn(conn::run_ahead(self.address, self.conns.clone()));
        }
    }

    /// Hands a job to an idle connection, or opens one. A connection that closed meanwhile gives the
    /// job back unsent.
    fn dispatch(&mut self, mut job: Job) {
        while let Some(conn) = self.idle.pop() {
            match conn.unbounded_send(job) {
                Ok(()) => return,
                Err(unsent) => job = unsent.into_inner(),
            }
        }
        monoio::spawn(conn::run(self.address, job, self.conns.clone()));
    }

    fn finish(&mut self, finished: Finished) {
        let Finished {
            draining,
            end,
            idle,
            load,
            work,
        } = finished;
        if let Some(load) = load {
            self.note_load(load);
        }
        self.idle.extend(idle);
        let failed = match &end {
            JobEnd::Answered(answer) => answer.status >= 500,
            JobEnd::Lost(Loss::Cancelled) | JobEnd::Refused(_) => false,
            JobEnd::Lost(_) => true,
        };
        // Where nothing probes the target, the next request does.
        let probed = self.address.dialect == Dialect::Own;
        let unreachable = probed && matches!(end, JobEnd::Refused(Refusal::Down));
        let run_end = match end {
            JobEnd::Answered(answer) => RunResult::Answered(answer),
            JobEnd::Lost(loss) => RunResult::Lost(loss),
            JobEnd::Refused(refusal) => RunResult::Refused(refusal),
        };
        let finish = Event::Finish { failed, id: work };
        let effects_first = unreachable.then_some(Event::Reachable(false));
        let usable = self.gate.usable_slots();
        for event in effects_first.iter().chain([&finish]) {
            self.apply(event);
        }
        if self.gate.usable_slots() != usable {
            let usable = self.gate.usable_slots();
            log::info!("slots that the target uses well", kv: { usable });
        }
        self.end_work(work, &run_end);
        if draining {
            self.apply(&Event::TargetDrains(true));
        }
    }

    /// Takes over the number of slots that the target states, in case no entry of it is known.
    fn note_load(&mut self, load: TargetLoad) {
        self.gate.observe_load(load, self.clock.now());
        if self.target.is_none() && load.slots > 0 {
            let limits = Limits {
                queue_wait: Duration::ZERO,
                slots: load.slots,
            };
            self.apply(&Event::Configure(limits));
        }
    }

    fn end_work(&mut self, work: WorkId, end: &RunResult) {
        let Some(held) = self.work.remove(work) else {
            return;
        };
        if let Some(memo) = held.memo {
            self.memory.end(memo, end, self.clock.now());
        }
        for waiter in held.waiters {
            self.reply(waiter, end.clone());
        }
    }

    fn reply(&mut self, waiter: Waiter, end: RunResult) {
        if let RunResult::Refused(refusal) = &end {
            self.telemetry.record(Count::GateRefused(*refusal));
        }
        let held = self.clock.now() - waiter.arrived;
        self.send_reply(waiter.reply, waiter.id, end, held);
    }

    fn send_reply(
        &mut self,
        reply: oneshot::Sender<RunReply>,
        id: RequestId,
        end: RunResult,
        held: Duration,
    ) {
        let report = self.gate.report(self.clock.now());
        let _ = reply.send(RunReply {
            result: end,
            held,
            id,
            report,
        });
    }

    fn status(&mut self) -> GateStatus {
        GateStatus {
            keys: self.memory.keys(),
            report: self.gate.report(self.clock.now()),
            target: self.target,
        }
    }
}
