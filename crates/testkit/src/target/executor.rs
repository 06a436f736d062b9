//! Task that owns the scheduler of a target; connection and control tasks send it messages.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};

use super::behaviour::{Behaviour, Load, Report, State};
use super::messages::{Counts, Message, Outcome, Probe, Work};
use super::scheduler::{Admission, JobEnd, JobId, Scheduler};
use crate::history::{Event, Writer};
use crate::timer::Timer;

/// Time for which past loads are kept for lagging reports.
const LOAD_RETENTION: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Job {
    reply: oneshot::Sender<(Outcome, State)>,
    request: u64,
    started: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Executor {
    counts: Counts,
    history: Writer,
    jobs: BTreeMap<JobId, Job>,
    /// Changes of the load with their times, oldest first.
    loads: VecDeque<(Instant, Load)>,
    /// Start and length of the next random stall.
    stall: Option<(Instant, Duration)>,
    scheduler: Scheduler,
}

impl Executor {
    pub fn new(scheduler: Scheduler, history: Writer) -> Self {
        Self {
            counts: Counts::default(),
            history,
            jobs: BTreeMap::new(),
            loads: VecDeque::new(),
            stall: None,
            scheduler,
        }
    }

    /// Handles messages until all senders are dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>, timer: Timer) {
        self.schedule_stall(Instant::now());
        loop {
            let stall = self.stall.map(|(at, _)| at);
            let next = self.scheduler.next_end().into_iter().chain(stall).min();
            let wake = async {
                match next {
                    Some(time) => timer.sleep_until(time).await,
                    None => futures::future::pending().await,
                }
            };
            let message = select_biased! {
                message = receiver.next() => Some(message),
                () = wake.fuse() => None,
            };
            match message {
                Some(None) => return,
                Some(Some(message)) => self.handle(message, Instant::now()),
                None => {}
            }
            self.advance(Timer::due());
        }
    }

    fn handle(&mut self, message: Message, now: Instant) {
        match message {
            Message::Behaviour(reply) => {
                let _ = reply.send(self.scheduler.behaviour().clone());
            }
            Message::Cancel(id) => self.cancel(id, now),
            Message::Connected(reply) => {
                self.counts.connections += 1;
                let delay = Duration::from_micros(self.scheduler.behaviour().accept_us);
                let _ = reply.send(delay);
            }
            Message::Control(changes, reply) => {
                let _ = reply.send(self.change_behaviour(&changes, now));
            }
            Message::Counts(reply) => {
                let _ = reply.send(self.counts);
            }
            Message::Probe(reply) => {
                let _ = reply.send(self.probe(now));
            }
            Message::Sent(request, answered) => {
                self.history.append(Event::RunEnded { answered, request });
            }
            Message::Stall(length) => self.stall(length),
            Message::Work(work) => self.submit(work, now),
        }
    }

    fn change_behaviour(&mut self, changes: &[u8], now: Instant) -> Result<Behaviour, String> {
        let before = self.scheduler.behaviour().clone();
        let behaviour = before.with(changes).map_err(|e| e.to_string())?;
        if before.state == State::Serving && behaviour.state == State::Draining {
            self.history.append(Event::Leaving);
        }
        self.scheduler.set_behaviour(behaviour.clone());
        if before.pauses != behaviour.pauses {
            self.schedule_stall(now);
        }
        Ok(behaviour)
    }

    fn submit(&mut self, work: Work, now: Instant) {
        let Work {
            deadline,
            id,
            reply,
            request,
        } = work;
        let state = self.scheduler.behaviour().state;
        if self.scheduler.behaviour().fail_fast {
            self.counts.started += 1;
            self.history.append(Event::RunStarted { request });
            let _ = reply.send((Outcome::Failed, state));
            return;
        }
        let mut job = Job {
            reply,
            request,
            started: None,
        };
        match self.scheduler.submit(id, deadline, now) {
            Admission::Shed => {
                self.counts.shed += 1;
                let _ = job.reply.send((Outcome::NotRun, state));
                return;
            }
            Admission::Started => self.record_start(&mut job, now),
            Admission::Queued => {}
        }
        self.jobs.insert(id, job);
    }

    fn cancel(&mut self, id: JobId, now: Instant) {
        let ran = self.scheduler.cancel(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.counts.cancelled += 1;
        self.add_work_time(&job, now);
        if ran {
            let request = job.request;
            self.history.append(Event::RunEnded {
                answered: false,
                request,
            });
        }
    }

    fn advance(&mut self, now: Instant) {
        if let Some((_, length)) = self.stall.take_if(|(at, _)| *at <= now) {
            self.stall(length);
            self.schedule_stall(Instant::now());
        }
        for (id, end) in self.scheduler.take_finished(now) {
            self.finish(id, end, now);
        }
        for id in self.scheduler.start_waiting(now) {
            if let Some(mut job) = self.jobs.remove(&id) {
                self.record_start(&mut job, now);
                self.jobs.insert(id, job);
            }
        }
        self.record_load(now);
    }

    /// Blocks the only thread of the process, like another process that occupies the CPU.
    fn stall(&mut self, length: Duration) {
        std::thread::sleep(length);
        self.scheduler.stall(length);
    }

    fn finish(&mut self, id: JobId, end: JobEnd, now: Instant) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let outcome = match end {
            JobEnd::Done => Outcome::Done,
            JobEnd::ExpiredRunning => Outcome::Expired,
            JobEnd::ExpiredQueued => Outcome::NotRun,
        };
        match end {
            JobEnd::Done => {}
            JobEnd::ExpiredQueued | JobEnd::ExpiredRunning => self.counts.expired += 1,
        }
        self.add_work_time(&job, now);
        let outcome = (outcome, self.scheduler.behaviour().state);
        // The connection may have closed while its cancellation was still queued for this task.
        if job.reply.send(outcome).is_err() && job.started.is_some() {
            let request = job.request;
            self.history.append(Event::RunEnded {
                answered: false,
                request,
            });
        }
    }

    fn add_work_time(&mut self, job: &Job, now: Instant) {
        if let Some(started) = job.started {
            self.counts.work_us += (now - started).as_micros() as u64;
        }
    }

    fn record_start(&mut self, job: &mut Job, now: Instant) {
        job.started = Some(now);
        self.counts.started += 1;
        let request = job.request;
        self.history.append(Event::RunStarted { request });
    }

    fn probe(&mut self, now: Instant) -> Probe {
        let behaviour = self.scheduler.behaviour();
        let (cost, silent) = (behaviour.probe_us, behaviour.silent);
        let load = match behaviour.report {
            Report::Honest => self.scheduler.load(),
            Report::LagMs(ms) => self.load_at(now, Duration::from_millis(ms)),
            Report::Lie(load) => load,
        };
        self.counts.probes += 1;
        self.counts.probe_us += cost;
        self.history.append(Event::Probed { cost });
        Probe {
            cost: Duration::from_micros(cost),
            load,
            silent,
        }
    }

    fn load_at(&self, now: Instant, lag: Duration) -> Load {
        let past = self.loads.iter().rev().find(|(at, _)| *at + lag <= now);
        let oldest = self.loads.front();
        past.or(oldest)
            .map_or(self.scheduler.load(), |(_, load)| *load)
    }

    fn record_load(&mut self, now: Instant) {
        let load = self.scheduler.load();
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now, load));
        }
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| *at + LOAD_RETENTION < now)
        {
            self.loads.pop_front();
        }
    }

    fn schedule_stall(&mut self, now: Instant) {
        let drawn = self.scheduler.draw_stall();
        self.stall = drawn.map(|(gap, length)| (now + gap, length));
    }
}
