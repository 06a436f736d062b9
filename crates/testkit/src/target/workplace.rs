//! Slots and queue of one target.
//!
//! Invariants: at most `slots` jobs run at once; a job that was shed or expired in the queue never
//! ran; each job ends exactly once.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::behaviour::{Behaviour, Load};
use crate::random::Random;

/// Number of a job, unique within one target.
pub type JobId = u64;

/// What happened to a job that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It waits for a slot.
    Queued,
    /// It was not run.
    Shed,
    /// It holds a slot.
    Started,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finished {
    /// Its work is done.
    Done,
    /// Its deadline passed before it got a slot.
    ExpiredQueued,
    /// Its deadline passed while it ran.
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
    /// `None` if the work never ends.
    ends: Option<Instant>,
}

/// The slots, the queue and the rules that decide who gets a slot.
#[derive(Debug)]
pub struct Workplace {
    behaviour: Behaviour,
    queue: VecDeque<Waiting>,
    random: Random,
    running: BTreeMap<JobId, Running>,
    start: Instant,
}

impl Workplace {
    /// An empty workplace of a target that starts now.
    pub fn new(behaviour: Behaviour, seed: u64, now: Instant) -> Self {
        Self {
            behaviour,
            queue: VecDeque::new(),
            random: Random::new(seed),
            running: BTreeMap::new(),
            start: now,
        }
    }

    /// How the target behaves.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// Replaces the behaviour; running work keeps the service time it was given.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Starts, queues or sheds a job.
    pub fn offer(&mut self, id: JobId, deadline: Option<Instant>, now: Instant) -> Offer {
        let shed = self.random.chance(self.behaviour.shed_percent);
        if !shed && self.running.len() < self.behaviour.slots {
            self.run(id, deadline, now);
            Offer::Started
        } else if !shed && self.queue.len() < self.behaviour.queue {
            self.queue.push_back(Waiting { deadline, id });
            Offer::Queued
        } else {
            Offer::Shed
        }
    }

    /// Forgets a job whose caller is gone; `true` if it was running.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.queue.retain(|w| w.id != id);
        self.running.remove(&id).is_some()
    }

    /// Jobs that have ended by now.
    pub fn take_finished(&mut self, now: Instant) -> Vec<(JobId, Finished)> {
        let passed = |time: Option<Instant>| time.is_some_and(|t| t <= now);
        let mut finished = Vec::new();
        self.running.retain(|id, job| {
            let end = match (passed(job.ends), passed(job.deadline)) {
                (true, _) => Finished::Done,
                (false, true) => Finished::ExpiredRunning,
                (false, false) => return true,
            };
            finished.push((*id, end));
            false
        });
        self.queue.retain(|w| {
            if passed(w.deadline) {
                finished.push((w.id, Finished::ExpiredQueued));
            }
            !passed(w.deadline)
        });
        finished
    }

    /// Gives free slots to waiting jobs, in order of arrival, and returns them.
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

    /// Lengthens running work by a stall in which none of it progressed.
    pub fn stall(&mut self, length: Duration) {
        for job in self.running.values_mut() {
            job.ends = job.ends.map(|end| end + length);
        }
    }

    /// When the next job ends.
    pub fn next_end(&self) -> Option<Instant> {
        let running = self.running.values().flat_map(|j| [j.ends, j.deadline]);
        let queued = self.queue.iter().map(|w| w.deadline);
        running.chain(queued).flatten().min()
    }

    /// The time from one stall to the next and its length, if stalls are set.
    pub fn draw_stall(&mut self) -> Option<(Duration, Duration)> {
        let pauses = self.behaviour.pauses?;
        let mut draw = |ms: f64| self.random.exponential(Duration::from_secs_f64(ms / 1e3));
        Some((draw(pauses.every_ms), draw(pauses.length_ms)))
    }

    /// The present load.
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
