//! Runs of requests, as recorded by the targets.

use std::collections::HashMap;

use hawthornwall_testkit::history::{Event, Record};

/// A run of a request at one target. Times are wall clock times in microseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Whether the target sent a complete answer.
    pub answered: bool,
    /// End of the run, equal to the start if no end was recorded.
    pub end: u64,
    /// Start of the run.
    pub start: u64,
    /// Name of the target.
    pub target: String,
}

/// Time that targets spent on a request until it was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BusyTime<'a> {
    /// Name of the target that started the first run.
    pub first: &'a str,
    /// Time during which at least one target ran the request, in microseconds.
    pub us: u64,
}

/// All recorded runs, by request number.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    by_request: HashMap<u64, Vec<Run>>,
}

impl Runs {
    /// Collects the runs from the targets' records. The records of each target must be in the order
    /// in which they were written.
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

    /// Runs of one request, in the order of the records.
    pub fn request(&self, request: u64) -> &[Run] {
        self.by_request.get(&request).map_or(&[], Vec::as_slice)
    }

    /// Runs of all requests, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Run> {
        self.by_request.values().flatten()
    }

    /// Time that targets spent on a request up to the end of the run that `target` answered; `None`
    /// if there is no such run.
    ///
    /// Overlapping runs, such as those of a hedge, count once: time in which any target runs the
    /// request must not count as overhead of the daemons.
    pub fn busy_until_answer(&self, request: u64, target: &str) -> Option<BusyTime<'_>> {
        let runs = self.request(request);
        let answer = runs.iter().rfind(|r| r.answered && r.target == target)?;
        let mut spans: Vec<&Run> = runs.iter().filter(|r| r.start < answer.end).collect();
        spans.sort_by_key(|r| r.start);
        let (mut us, mut counted_until) = (0, 0);
        for run in &spans {
            let end = run.end.min(answer.end);
            us += end.saturating_sub(run.start.max(counted_until));
            counted_until = counted_until.max(end);
        }
        let first = spans.first().map_or(answer, |run| run);
        Some(BusyTime {
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
