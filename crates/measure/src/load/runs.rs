//! Runs of requests as the targets recorded them.

use std::collections::HashMap;

use hawthornwall_testkit::history::{Event, Record};

/// One run of a request at one target; times are wall clock in microseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Whether the target sent a whole answer.
    pub answered: bool,
    /// Its end, the start if none was recorded.
    pub end: u64,
    /// Its start.
    pub start: u64,
    /// The target.
    pub target: String,
}

/// When targets worked on a request until it was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Busy<'a> {
    /// The target that started first.
    pub first: &'a str,
    /// Time in which at least one target ran the request, in microseconds.
    pub us: u64,
}

/// All runs by request number.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    by_request: HashMap<u64, Vec<Run>>,
}

impl Runs {
    /// Collects the runs from the targets' records, each target's in the order of writing.
    pub fn of(records: &[Record]) -> Self {
        let mut runs = Self::default();
        for record in records {
            match record.event {
                Event::RunStarted { request } => runs.start(request, record),
                Event::RunEnded { answered, request } => runs.end(request, answered, record),
                Event::InForce { .. }
                | Event::Leaving
                | Event::Presence { .. }
                | Event::Routed { .. }
                | Event::Probed { .. }
                | Event::Published { .. }
                | Event::Received { .. }
                | Event::Sent { .. } => {}
            }
        }
        runs
    }

    /// The runs of one request.
    pub fn request(&self, request: u64) -> &[Run] {
        self.by_request.get(&request).map_or(&[], Vec::as_slice)
    }

    /// All runs.
    pub fn all(&self) -> impl Iterator<Item = &Run> {
        self.by_request.values().flatten()
    }

    /// When targets worked on a request up to the end of the run that `target` answered; `None` if
    /// there is no such run.
    ///
    /// A second attempt overlaps the first, whose time must not count as time outside the targets.
    pub fn busy_until_answer(&self, request: u64, target: &str) -> Option<Busy<'_>> {
        let runs = self.request(request);
        let answer = runs.iter().rfind(|r| r.answered && r.target == target)?;
        let mut spans: Vec<&Run> = runs.iter().filter(|r| r.start < answer.end).collect();
        spans.sort_by_key(|r| r.start);
        let (mut us, mut reached) = (0, 0);
        for run in &spans {
            let end = run.end.min(answer.end);
            us += end.saturating_sub(run.start.max(reached));
            reached = reached.max(end);
        }
        let first = spans.first().map_or(answer, |run| run);
        Some(Busy {
            first: &first.target,
            us,
        })
    }

    fn start(&mut self, request: u64, record: &Record) {
        self.by_request.entry(request).or_default().push(Run {
            answered: false,
            end: record.at,
            start: record.at,
            target: record.party.clone(),
        });
    }

    fn end(&mut self, request: u64, answered: bool, record: &Record) {
        let runs = self.by_request.entry(request).or_default();
        if let Some(run) = runs.iter_mut().rfind(|r| r.target == record.party) {
            run.answered = answered;
            run.end = record.at;
        }
    }
}
