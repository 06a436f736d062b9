//! The task that owns a target's slots and queue; connection tasks send it messages.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};

use super::behaviour::{Behaviour, Load, Report, State};
use super::messages::{Counts, Message, Probe, Verdict, Work};
use super::workplace::{Finished, JobId, Offer, Workplace};
use crate::history::{Event, Writer};
use crate::timer::Timer;

/// How long past loads are kept for reports that lag.
const LOAD_HISTORY: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Job {
    reply: oneshot::Sender<(Verdict, State)>,
    request: u64,
    started: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Executor {
    counts: Counts,
    history: Writer,
    jobs: BTreeMap<JobId, Job>,
    loads: VecDeque<(Instant, Load)>,
    stall: Option<(Instant, Duration)>,
    workplace: Workplace,
}

impl Executor {
    pub fn new(workplace: Workplace, history: Writer) -> Self {
        Self {
            counts: Counts::default(),
            history,
            jobs: BTreeMap::new(),
            loads: VecDeque::new(),
            stall: None,
            workplace,
        }
    }

    /// Serves messages until all senders are gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>, timer: Timer) {
        self.plan_stall(Instant::now());
        loop {
            let stall = self.stall.map(|(at, _)| at);
            let next = self.workplace.next_end().into_iter().chain(stall).min();
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
                Some(Some(message)) => self.take(message, Instant::now()),
                None => {}
            }
            self.advance(Timer::due());
        }
    }

    fn take(&mut self, message: Message, now: Instant) {
        match message {
            Message::Behaviour(reply) => {
                let _ = reply.send(self.workplace.behaviour().clone());
            }
            Message::Cancel(id) => self.cancel(id, now),
            Message::Connected(reply) => {
                self.counts.connections += 1;
                let delay = Duration::from_micros(self.workplace.behaviour().accept_us);
                let _ = reply.send(delay);
            }
            Message::Control(changes, reply) => {
                let _ = reply.send(self.control(&changes, now));
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
            Message::Work(work) => self.offer(work, now),
        }
    }

    fn control(&mut self, changes: &[u8], now: Instant) -> Result<Behaviour, String> {
        let before = self.workplace.behaviour().clone();
        let behaviour = before.with(changes).map_err(|e| e.to_string())?;
        if before.state == State::Serving && behaviour.state == State::Draining {
            self.history.append(Event::Leaving);
        }
        self.workplace.set_behaviour(behaviour.clone());
        if before.pauses != behaviour.pauses {
            self.plan_stall(now);
        }
        Ok(behaviour)
    }

    fn offer(&mut self, work: Work, now: Instant) {
        let Work {
            deadline,
            id,
            reply,
            request,
        } = work;
        let state = self.workplace.behaviour().state;
        if self.workplace.behaviour().fail_fast {
            self.counts.started += 1;
            self.history.append(Event::RunStarted { request });
            let _ = reply.send((Verdict::Failed, state));
            return;
        }
        let mut job = Job {
            reply,
            request,
            started: None,
        };
        match self.workplace.offer(id, deadline, now) {
            Offer::Shed => {
                self.counts.shed += 1;
                let _ = job.reply.send((Verdict::NotRun, state));
                return;
            }
            Offer::Started => self.record_start(&mut job, now),
            Offer::Queued => {}
        }
        self.jobs.insert(id, job);
    }

    fn cancel(&mut self, id: JobId, now: Instant) {
        let ran = self.workplace.cancel(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.counts.cancelled += 1;
        self.count_work(&job, now);
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
            self.plan_stall(Instant::now());
        }
        for (id, finished) in self.workplace.take_finished(now) {
            self.finish(id, finished, now);
        }
        for id in self.workplace.start_waiting(now) {
            if let Some(mut job) = self.jobs.remove(&id) {
                self.record_start(&mut job, now);
                self.jobs.insert(id, job);
            }
        }
        self.remember_load(now);
    }

    /// Blocks the only thread, as a neighbour that takes the processor would.
    fn stall(&mut self, length: Duration) {
        std::thread::sleep(length);
        self.workplace.stall(length);
    }

    fn finish(&mut self, id: JobId, finished: Finished, now: Instant) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let verdict = match finished {
            Finished::Done => Verdict::Done,
            Finished::ExpiredRunning => Verdict::Expired,
            Finished::ExpiredQueued => Verdict::NotRun,
        };
        match finished {
            Finished::Done => {}
            Finished::ExpiredQueued | Finished::ExpiredRunning => self.counts.expired += 1,
        }
        self.count_work(&job, now);
        let verdict = (verdict, self.workplace.behaviour().state);
        // The caller may have gone while its cancellation was still on the way to this task.
        if job.reply.send(verdict).is_err() && job.started.is_some() {
            let request = job.request;
            self.history.append(Event::RunEnded {
                answered: false,
                request,
            });
        }
    }

    fn count_work(&mut self, job: &Job, now: Instant) {
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
        let behaviour = self.workplace.behaviour();
        let (cost, silent) = (behaviour.probe_us, behaviour.silent);
        let load = match behaviour.report {
            Report::Honest => self.workplace.load(),
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
            .map_or(self.workplace.load(), |(_, load)| *load)
    }

    fn remember_load(&mut self, now: Instant) {
        let load = self.workplace.load();
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now, load));
        }
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| *at + LOAD_HISTORY < now)
        {
            self.loads.pop_front();
        }
    }

    fn plan_stall(&mut self, now: Instant) {
        let drawn = self.workplace.draw_stall();
        self.stall = drawn.map(|(gap, length)| (now + gap, length));
    }
}
