//! What callers sent and saw, what workers ran, and the promises that both must bear out.
//!
//! The ledger knows nothing of how daemons work. Promises without a bound of time are checked at every
//! event; those with one only for events in a calm time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_testkit::worker::{WorkerRun, body_of};

/// Bounds of the promises.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Arrivals beyond the first of each request, as a share of the requests.
    pub budget_ratio: f64,
    /// The same, for any number of requests.
    pub budget_slack: usize,
    /// Time in which both are counted.
    pub budget_window: Duration,
    /// Time after which a configuration is in force.
    pub config: Duration,
    /// Time by which a worker may be told a later deadline than the caller's.
    pub deadline_excess: Duration,
    /// Time after which a leaving worker gets no more requests.
    pub drain: Duration,
    /// Time after which a connection isn't closed without an answer at a planned stop.
    pub lost: Duration,
    /// Workers that may run one request.
    pub most_workers: usize,
    /// Time after a version's effect after which an older one must not be seen.
    pub regress: Duration,
    /// Share of requests that are served in a calm time.
    pub served: f64,
}

impl Default for Bounds {
    /// The bounds of the users' grown deployments.
    fn default() -> Self {
        Self {
            budget_ratio: 0.2,
            budget_slack: 62,
            budget_window: Duration::from_secs(10),
            config: Duration::from_millis(2_500),
            deadline_excess: Duration::from_millis(500),
            drain: Duration::from_millis(2_500),
            lost: Duration::from_millis(200),
            most_workers: 2,
            regress: Duration::from_millis(250),
            served: 0.95,
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A daemon ended by itself.
    Alive,
    /// The caller gets its own whole answer.
    Answer,
    /// Repeats stay within the budget.
    Budget,
    /// A configuration is in force in time.
    Configuration,
    /// Workers learn how much time is left, and no more.
    Deadline,
    /// A leaving worker gets no more requests.
    Drain,
    /// A request is run by as many workers as its route allows.
    MaxAttempts,
    /// A request that must not run twice runs once.
    Once,
    /// A planned stop cuts no request.
    PlannedStop,
    /// A refused request has not run.
    Refusal,
    /// An older configuration doesn't come back.
    Regress,
    /// In a calm time callers are served.
    Served,
    /// Workers run what callers have sent, for the service that it comes from.
    Unasked,
}

/// One break of a promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Time since the start.
    pub at: Duration,
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, promise, text } = self;
        write!(f, "{:.3} s {promise:?}: {text}", at.as_secs_f64())
    }
}

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When.
    pub at: Instant,
    /// Its body.
    pub body: Bytes,
    /// The daemon that gets it, and which start of that daemon.
    pub daemon: (usize, u32),
    /// How long the caller waits.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Method and path.
    pub line: String,
    /// The service that it must come from.
    pub origin: String,
    /// The service that it goes to, if there is one only.
    pub service: Option<String>,
    /// The version of the configuration that it tests.
    pub version: Option<u64>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ended {
    /// An answer.
    Answer {
        /// The body.
        body: Bytes,
        /// The seal, or an empty text.
        seal: String,
        /// The status.
        status: u16,
    },
    /// The connection closed without a whole answer.
    Closed,
    /// The caller left.
    Left,
    /// The connection could not be opened.
    NotConnected,
}

#[derive(Debug)]
struct Record {
    ended: Option<(Instant, Ended)>,
    runs: Vec<(String, Instant)>,
    sent: Sent,
}

/// Everything seen.
#[derive(Debug)]
pub struct Ledger {
    bounds: Bounds,
    calm: Vec<(Instant, Instant)>,
    configured: BTreeMap<u64, Instant>,
    /// The newest version that a start of a daemon has served, and when first.
    effects: BTreeMap<(usize, u32), (u64, Instant)>,
    left: BTreeMap<String, Instant>,
    records: BTreeMap<String, Record>,
    start: Instant,
    stops: Vec<(usize, Instant)>,
    /// Times in which a daemon stood still, until its callers' requests no longer wait for it.
    stood: Vec<(usize, Instant, Instant)>,
    violations: Vec<Violation>,
}

impl Ledger {
    /// A ledger whose calm times are known ahead.
    pub fn new(start: Instant, bounds: Bounds, calm: &[(Duration, Duration)]) -> Self {
        let calm = calm.iter().map(|(from, to)| (start + *from, start + *to));
        Self {
            bounds,
            calm: calm.collect(),
            configured: BTreeMap::new(),
            effects: BTreeMap::new(),
            left: BTreeMap::new(),
            records: BTreeMap::new(),
            start,
            stops: Vec::new(),
            stood: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Notes a configuration that the store has acknowledged.
    pub fn configured(&mut self, version: u64, at: Instant) {
        self.configured.insert(version, at);
    }

    /// Notes a worker whose leaving the store has acknowledged.
    pub fn leaves(&mut self, worker: &str, at: Instant) {
        self.left.entry(worker.to_owned()).or_insert(at);
    }

    /// Notes a daemon that was told to stop.
    pub fn stops(&mut self, daemon: usize, at: Instant) {
        self.stops.push((daemon, at));
    }

    /// Notes a daemon that stood still. A request that lay unread meanwhile has less time left than its
    /// head tells; the promises on time hold only for daemons that run.
    pub fn stood_still(&mut self, daemon: usize, from: Instant, to: Instant) {
        self.stood.push((daemon, from, to));
    }

    /// Notes a daemon that has ended although nobody told it to.
    pub fn died(&mut self, daemon: usize, status: &str, at: Instant) {
        self.violate(
            Promise::Alive,
            at,
            format!("daemon {daemon} ended: {status}"),
        );
    }

    /// Notes a request before it is sent.
    pub fn sent(&mut self, id: &str, sent: Sent) {
        let record = Record {
            ended: None,
            runs: Vec::new(),
            sent,
        };
        self.records.insert(id.to_owned(), record);
    }

    /// Notes that a worker begins to run a request.
    pub fn ran(&mut self, run: &WorkerRun) {
        let at = run.started;
        let Some(record) = self.records.get_mut(&run.id) else {
            let text = format!("{} runs {}, which nobody sent", run.worker, run.id);
            return self.violate(Promise::Unasked, at, text);
        };
        record.runs.push((run.worker.clone(), at));
        let sent = &record.sent;
        let stood = |(daemon, from, to): &(usize, Instant, Instant)| {
            *daemon == sent.daemon.0 && *from <= at && sent.at <= *to
        };
        let late = self.stood.iter().any(stood);
        let mut faults = faults_of_run(record, run);
        faults.extend(fault_of_deadline(record, run, &self.bounds).filter(|_| !late));
        faults.extend(fault_of_attempts(record, run, &self.bounds));
        for (promise, text) in faults {
            self.violate(promise, at, text);
        }
        let overdue = self.left.get(&run.worker).copied();
        let overdue = overdue.filter(|left| at > *left + self.bounds.drain);
        if let Some(left) = overdue.filter(|left| self.is_calm(*left, at)) {
            let late = at - left;
            let text = format!("{} gets {} {late:.1?} after it left", run.worker, run.id);
            self.violate(Promise::Drain, at, text);
        }
    }

    /// Notes how a request ended.
    pub fn ended(&mut self, id: &str, ended: Ended, at: Instant) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.ended = Some((at, ended.clone()));
        let (sent, ran) = (record.sent.clone(), !record.runs.is_empty());
        match ended {
            Ended::Answer { body, seal, status } => {
                let workers: Vec<_> = record.runs.iter().map(|(w, _)| w.clone()).collect();
                if let Some(text) = fault_of_answer(id, &body, &seal, status, &workers) {
                    self.violate(Promise::Answer, at, text);
                }
                if is_refusal(status) && ran && !sent.idempotent {
                    let text = format!("{id} is answered {status} and has run");
                    self.violate(Promise::Refusal, at, text);
                }
                self.check_version(&sent, status, at);
            }
            Ended::Closed => self.check_stop(id, &sent, ran, at),
            Ended::Left | Ended::NotConnected => {}
        }
    }

    /// Checks what only the whole shows, and returns all violations in order.
    pub fn finish(mut self) -> Vec<Violation> {
        self.check_budget();
        self.check_served();
        self.violations.sort_by_key(|violation| violation.at);
        self.violations
    }

    /// Requests so far, and how many of them were served.
    pub fn counts(&self) -> (usize, usize) {
        let served = self.records.values().filter(|r| r.is_served());
        (self.records.len(), served.count())
    }

    /// Violations so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn violate(&mut self, promise: Promise, at: Instant, text: String) {
        let at = at.saturating_duration_since(self.start);
        self.violations.push(Violation { at, promise, text });
    }

    /// Whether one calm time holds both.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let mut calm = self.calm.iter();
        calm.any(|(begin, end)| *begin <= from && to <= *end)
    }

    fn check_version(&mut self, sent: &Sent, status: u16, at: Instant) {
        let Some(version) = sent.version else {
            return;
        };
        let known = self.effects.get(&sent.daemon).copied();
        match (status, known) {
            (200..=299, None) => {
                self.effects.insert(sent.daemon, (version, at));
            }
            (200..=299, Some((newest, _))) if newest < version => {
                self.effects.insert(sent.daemon, (version, at));
            }
            (404, Some((newest, seen)))
                if newest >= version && sent.at > seen + self.bounds.regress =>
            {
                let text = format!("daemon {} forgets version {version}", sent.daemon.0);
                self.violate(Promise::Regress, at, text);
            }
            (404, _) => {
                let known = self.configured.get(&version).copied();
                let due = known.filter(|known| sent.at > *known + self.bounds.config);
                if due.is_some_and(|known| self.is_calm(known, at)) {
                    let text = format!("daemon {} lacks version {version}", sent.daemon.0);
                    self.violate(Promise::Configuration, at, text);
                }
            }
            _ => {}
        }
    }

    /// A planned stop must not cut a request that was read, at least not once it has run or has waited.
    fn check_stop(&mut self, id: &str, sent: &Sent, ran: bool, at: Instant) {
        let stopped = |(daemon, stop): &&(usize, Instant)| {
            *daemon == sent.daemon.0 && *stop <= at && self.is_calm(*stop, at)
        };
        let stopped = self.stops.iter().any(|stop| stopped(&stop));
        if stopped && (ran || at > sent.at + self.bounds.lost) {
            let waited = at - sent.at;
            let text = format!(
                "daemon {} cuts {id} after {waited:.1?}, run {ran}",
                sent.daemon.0
            );
            self.violate(Promise::PlannedStop, at, text);
        }
    }

    fn check_budget(&mut self) {
        let services: BTreeSet<String> = self
            .records
            .values()
            .filter_map(|r| r.sent.service.clone())
            .collect();
        for service in services {
            let of = self.records.values();
            let of = of.filter(|r| r.sent.service.as_deref() == Some(service.as_str()));
            let (mut requests, mut repeats) = (Vec::new(), Vec::new());
            for record in of {
                requests.push(record.sent.at);
                repeats.extend(record.runs.iter().skip(1).map(|(_, at)| *at));
            }
            let window = self.bounds.budget_window;
            let within = |times: &[Instant], from: Instant| {
                let inside = |at: &&Instant| **at >= from && **at < from + window;
                times.iter().filter(inside).count()
            };
            let worst = repeats
                .iter()
                .map(|from| (within(&repeats, *from), within(&requests, *from), *from))
                .find(|(repeats, requests, _)| {
                    let allowed = *requests as f64 * self.bounds.budget_ratio;
                    *repeats as f64 > allowed + self.bounds.budget_slack as f64
                });
            if let Some((repeats, requests, at)) = worst {
                let text = format!("{service}: {repeats} repeats of {requests} requests");
                self.violate(Promise::Budget, at, text);
            }
        }
    }

    fn check_served(&mut self) {
        for (from, to) in self.calm.clone() {
            let inside = |r: &&Record| r.sent.at >= from && r.sent.at < to && r.counts();
            let all: Vec<_> = self.records.values().filter(inside).collect();
            let served = all.iter().filter(|r| r.is_served()).count();
            if (served as f64) < all.len() as f64 * self.bounds.served {
                let mut ends = BTreeMap::<&str, usize>::new();
                for record in &all {
                    *ends.entry(record.end_name()).or_default() += 1;
                }
                let text = format!("{served} of {} in a calm time: {ends:?}", all.len());
                self.violate(Promise::Served, from, text);
            }
        }
    }
}

impl Record {
    fn is_served(&self) -> bool {
        matches!(&self.ended, Some((_, Ended::Answer { status, .. })) if (200..300).contains(status))
    }

    fn end_name(&self) -> &'static str {
        match &self.ended {
            Some((_, Ended::Answer { status, .. })) => match status {
                200..=299 => "answered",
                500 => "failed by the worker",
                502 => "lost",
                503 => "refused",
                504 => "expired",
                _ => "another status",
            },
            Some((_, Ended::Closed)) => "closed",
            Some((_, Ended::Left)) => "left",
            Some((_, Ended::NotConnected)) => "not connected",
            None => "open",
        }
    }

    /// Whether its caller waited for an answer to a request that the configuration allows.
    fn counts(&self) -> bool {
        let left = matches!(self.ended, None | Some((_, Ended::Left)));
        !left && self.sent.version.is_none()
    }
}

fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn faults_of_run(record: &Record, run: &WorkerRun) -> Vec<(Promise, String)> {
    let (id, worker, sent) = (&run.id, &run.worker, &record.sent);
    let mut faults = Vec::new();
    if run.line != sent.line || run.body != sent.body || run.caller != sent.origin {
        let text = format!(
            "{worker} runs {id} as {} from {:?}, sent as {} from {:?}",
            run.line, run.caller, sent.line, sent.origin
        );
        faults.push((Promise::Unasked, text));
    }
    if !sent.idempotent && record.runs.len() > 1 {
        let text = format!("{id} runs {} times", record.runs.len());
        faults.push((Promise::Once, text));
    }
    let refused = match &record.ended {
        Some((_, Ended::Answer { status, .. })) => is_refusal(*status),
        Some((_, Ended::Closed | Ended::Left | Ended::NotConnected)) | None => false,
    };
    if refused && !sent.idempotent {
        faults.push((Promise::Refusal, format!("{id} was refused and runs")));
    }
    faults
}

fn fault_of_attempts(
    record: &Record,
    run: &WorkerRun,
    bounds: &Bounds,
) -> Option<(Promise, String)> {
    let workers: BTreeSet<_> = record.runs.iter().map(|(worker, _)| worker).collect();
    let text = format!("{} runs on {} workers", run.id, workers.len());
    (workers.len() > bounds.most_workers).then_some((Promise::MaxAttempts, text))
}

fn fault_of_deadline(
    record: &Record,
    run: &WorkerRun,
    bounds: &Bounds,
) -> Option<(Promise, String)> {
    let waited = run.started.saturating_duration_since(record.sent.at);
    let left = record.sent.deadline.saturating_sub(waited);
    match run.deadline {
        Some(told) if told <= left + bounds.deadline_excess => None,
        told => {
            let text = format!(
                "{} is told {told:?} for {}, {left:?} are left",
                run.worker, run.id
            );
            Some((Promise::Deadline, text))
        }
    }
}

/// What is wrong with an answer, which must be the whole one of a worker that has run the request.
fn fault_of_answer(
    id: &str,
    body: &Bytes,
    seal: &str,
    status: u16,
    workers: &[String],
) -> Option<String> {
    let sealed = |worker: &&String| seal == format!("{worker}.{id}");
    let worker = workers.iter().find(sealed);
    match (status, worker) {
        (200..=299, Some(worker)) if *body == body_of(id, worker) => None,
        (200..=299, _) => Some(format!(
            "{id} gets {} bytes with the seal {seal:?}, run by {workers:?}",
            body.len()
        )),
        (500, _) | (_, None) => None,
        (_, Some(_)) => Some(format!("{id} gets {status} with a worker's seal")),
    }
}
