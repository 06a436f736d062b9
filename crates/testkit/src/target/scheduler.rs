//! Slots and queue of one target.
//!
//! Invariants: no job starts while `slots` jobs run; a job that was shed or that expired in the
//! queue never ran; each job ends exactly once.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::behaviour::{Behaviour, Load};
use crate::random::Random;

/// Identifies a job within one target.
pub type JobId = u64;

/// Result of submitting a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// All slots are taken; the job is in the queue.
    Queued,
    /// The job was rejected and is never run.
    Shed,
    /// The job holds a slot.
    Started,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobEnd {
    /// The job ran for its whole service time.
    Done,
    /// The deadline passed while the job was in the queue.
    ExpiredQueued,
    /// The deadline passed while the job was running.
    ExpiredRunning,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    deadline: Option<Instant>,
    id: JobId,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    deadline: Option<Instant>,
    /// `None` if the target is silent, so the job never ends by itself.
    ends: Option<Instant>,
}

/// Assigns slots to jobs and queues or sheds the others.
#[derive(Debug)]
pub struct Scheduler {
    behaviour: Behaviour,
    queue: VecDeque<Waiting>,
    random: Random,
    running: BTreeMap<JobId, Running>,
    start: Instant,
}

impl Scheduler {
    /// Creates a scheduler without jobs. The cold period begins at `now`.
    pub fn new(behaviour: Behaviour, seed: u64, now: Instant) -> Self {
        Self {
            behaviour,
            queue: VecDeque::new(),
            random: Random::new(seed),
            running: BTreeMap::new(),
            start: now,
        }
    }

    /// Returns the behaviour that new jobs get.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// Replaces the behaviour; running jobs keep the service time that was drawn for them.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Starts, queues or sheds a job. Its service time is drawn when it starts.
    pub fn submit(&mut self, id: JobId, deadline: Option<Instant>, now: Instant) -> Admission {
        let shed = self.random.chance(self.behaviour.shed_percent);
        if !shed && self.running.len() < self.behaviour.slots {
            self.run(id, deadline, now);
            Admission::Started
        } else if !shed && self.queue.len() < self.behaviour.queue {
            self.queue.push_back(Waiting { deadline, id });
            Admission::Queued
        } else {
            Admission::Shed
        }
    }

    /// Removes a job whose caller has closed the connection; returns whether it was running.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.queue.retain(|w| w.id != id);
        self.running.remove(&id).is_some()
    }

    /// Removes the jobs that have ended by `now` and returns how each ended.
    pub fn take_finished(&mut self, now: Instant) -> Vec<(JobId, JobEnd)> {
        let passed = |time: Option<Instant>| time.is_some_and(|t| t <= now);
        let mut finished = Vec::new();
        self.running.retain(|id, job| {
            let end = match (passed(job.ends), passed(job.deadline)) {
                (true, _) => JobEnd::Done,
                (false, true) => JobEnd::ExpiredRunning,
                (false, false) => return true,
            };
            finished.push((*id, end));
            false
        });
        self.queue.retain(|w| {
            if passed(w.deadline) {
                finished.push((w.id, JobEnd::ExpiredQueued));
            }
            !passed(w.deadline)
        });
        finished
    }

    /// Assigns free slots to queued jobs in order of arrival and returns the started jobs.
    pub fn start_waiting(&mut self, now: Instant) -> Vec<JobId> {
        let mut started = Vec::new();
        while self.running.len() < self.behaviour.slots {
            let Some(next) = self.queue.pop_front() else {
                break;
            };
            self.run(next.id, next.deadline, now);
            started.push(next.id);
        }
        started
    }

    /// Extends the service time of the running jobs by a stall, during which none made progress.
    pub fn stall(&mut self, length: Duration) {
        for job in self.running.values_mut() {
            job.ends = job.ends.map(|end| end + length);
        }
    }

    /// Returns the time of the next job end or deadline.
    pub fn next_end(&self) -> Option<Instant> {
        let running = self.running.values().flat_map(|j| [j.ends, j.deadline]);
        let queued = self.queue.iter().map(|w| w.deadline);
        running.chain(queued).flatten().min()
    }

    /// Draws the time until the next stall and its length; `None` if stalls are not configured.
    pub fn draw_stall(&mut self) -> Option<(Duration, Duration)> {
        let pauses = self.behaviour.pauses?;
        let mut draw = |ms: f64| self.random.exponential(Duration::from_secs_f64(ms / 1e3));
        Some((draw(pauses.every_ms), draw(pauses.length_ms)))
    }

    /// Returns the current load, whatever report is configured.
    pub fn load(&self) -> Load {
        Load {
            state: self.behaviour.state,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.behaviour.slots as u32,
        }
    }

    fn run(&mut self, id: JobId, deadline: Option<Instant>, now: Instant) {
        let service = self.service_time(now);
        let running = if self.behaviour.silent {
            Running {
                deadline: None,
                ends: None,
            }
        } else {
            Running {
                deadline,
                ends: Some(now + service),
            }
        };
        self.running.insert(id, running);
    }

    fn service_time(&mut self, now: Instant) -> Duration {
        let Behaviour {
            cold_factor,
            cold_ms,
            mean_us,
            slow_factor,
            spread,
            ..
        } = self.behaviour;
        let cold = now < self.start + Duration::from_millis(cold_ms);
        let factor = slow_factor * if cold { cold_factor } else { 1.0 };
        let base = self.random.spread(Duration::from_micros(mean_us), spread);
        base.mul_f64(factor)
    }
}
