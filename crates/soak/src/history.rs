//! History of the requests that callers sent and workers ran, and the invariants checked against it.
//!
//! The checks don't depend on how daemons work. Invariants without a time bound are checked at every
//! event, those with one only for events within a calm period.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_testkit::worker::{WorkerRun, answer_body};

/// Bounds of the invariants.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Allowed runs beyond the first of each request, as a share of the requests.
    pub budget_ratio: f64,
    /// Runs beyond the first that are allowed in addition, whatever the number of requests.
    pub budget_slack: usize,
    /// Window in which runs and requests are counted.
    pub budget_window: Duration,
    /// Requests per second that a cold worker bears, as configurations state it. Each worker gets about 40.
    pub cold_rate: f64,
    /// Requests in a second that a cold worker may get, as a multiple of `cold_rate`.
    pub cold_over: f64,
    /// Requests in a second that a cold worker may get in addition.
    pub cold_slack: f64,
    /// Time within which a written configuration must be in force.
    pub config: Duration,
    /// Maximum time by which the deadline that a worker receives may be later than the caller's.
    pub deadline_excess: Duration,
    /// Time after which a leaving worker must not receive requests.
    pub drain: Duration,
    /// Time after which no worker of an evacuated zone must receive requests.
    pub evacuation: Duration,
    /// Age of a request from which a planned stop must not close its connection without an answer.
    pub lost: Duration,
    /// Maximum number of workers that run the same request.
    pub max_workers: usize,
    /// Time after the first answer from a version's route after which a missing route is a violation.
    pub regression: Duration,
    /// Minimum share of requests that must be served in a calm period.
    pub served: f64,
}

impl Default for Bounds {
    /// Bounds for the size of the users' deployments.
    fn default() -> Self {
        Self {
            budget_ratio: 0.2,
            budget_slack: 62,
            budget_window: Duration::from_secs(10),
            cold_rate: 4.0,
            cold_over: 1.5,
            cold_slack: 8.0,
            config: Duration::from_millis(2_500),
            deadline_excess: Duration::from_millis(500),
            drain: Duration::from_millis(2_500),
            // Half of what operators are promised: evacuations reach daemons in the same way as configurations.
            evacuation: Duration::from_millis(2_500),
            lost: Duration::from_millis(200),
            max_workers: 2,
            regression: Duration::from_millis(250),
            served: 0.95,
        }
    }
}

/// A property that must hold under all faults.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// Daemons don't exit unless they are stopped or killed.
    Alive,
    /// A caller receives the complete answer to its own request.
    Answer,
    /// Repeated runs stay within the budget.
    Budget,
    /// A cold worker gets only the requests that it bears.
    Cold,
    /// A written configuration is in force in time.
    Configuration,
    /// Workers receive a deadline that isn't later than the caller's.
    Deadline,
    /// A leaving worker receives no new requests.
    Drain,
    /// Workers of an evacuated zone receive no requests.
    Evacuation,
    /// A request runs on at most the allowed number of workers.
    MaxAttempts,
    /// A request that isn't idempotent runs at most once.
    Once,
    /// A planned stop doesn't close the connections of requests without an answer.
    PlannedStop,
    /// A refused request that isn't idempotent doesn't run.
    Refusal,
    /// A daemon doesn't return to an older configuration.
    Regression,
    /// Nearly all requests are served in a calm period.
    Served,
    /// Workers run only requests that callers sent, unchanged and attributed to the right service.
    Unsolicited,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Time since the start of the test.
    pub at: Duration,
    /// The violated invariant.
    pub invariant: Invariant,
    /// Description of the observation.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            invariant,
            text,
        } = self;
        write!(f, "{:.3} s {invariant:?}: {text}", at.as_secs_f64())
    }
}

/// A request as sent by a caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// When the request was sent.
    pub at: Instant,
    /// Body of the request.
    pub body: Bytes,
    /// Index of the daemon to which the request was sent, and the number of times it had been started.
    pub daemon: (usize, u32),
    /// Deadline that the request states, as time after sending.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Method and path, separated by a space.
    pub line: String,
    /// Service to which workers must see the request attributed.
    pub origin: String,
    /// Service that the route selects; `None` if the route splits requests between several.
    pub service: Option<String>,
    /// Configuration version whose route is requested; `None` for routes of all versions.
    pub version: Option<u64>,
}

/// How a request ended from the caller's view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The caller received an answer.
    Answer {
        /// Body of the answer.
        body: Bytes,
        /// Seal of the worker that answered; empty if the daemon answered itself.
        seal: String,
        /// Status code of the answer.
        status: u16,
    },
    /// The connection was closed before the answer was complete.
    Closed,
    /// The caller closed the connection before the answer.
    Disconnected,
    /// The connection couldn't be opened.
    NotConnected,
}

#[derive(Debug)]
struct RequestRecord {
    ended: Option<(Instant, RequestEnd)>,
    runs: Vec<(String, Instant)>,
    sent: SentRequest,
}

/// History of a soak test. It records the events and checks the invariants.
#[derive(Debug)]
pub struct History {
    bounds: Bounds,
    calm: Vec<(Instant, Instant)>,
    /// When each cold worker started requests in the last second.
    cold_runs: BTreeMap<String, Vec<Instant>>,
    configured: BTreeMap<u64, Instant>,
    /// Begin and end of each evacuation, by index of each instance of the zone.
    evacuations: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    /// Newest version whose route each start of a daemon has answered, and when it did so first.
    served_versions: BTreeMap<(usize, u32), (u64, Instant)>,
    /// When each leaving worker was marked as such.
    leaving: BTreeMap<String, Instant>,
    records: BTreeMap<String, RequestRecord>,
    start: Instant,
    stops: Vec<(usize, Instant)>,
    /// Index of each paused daemon, with the start and the end of the pause.
    paused: Vec<(usize, Instant, Instant)>,
    violations: Vec<Violation>,
}

impl History {
    /// Creates an empty history. `calm` contains the start and end of each calm period, as time since
    /// `start`.
    pub fn new(start: Instant, bounds: Bounds, calm: &[(Duration, Duration)]) -> Self {
        let calm = calm.iter().map(|(from, to)| (start + *from, start + *to));
        Self {
            bounds,
            calm: calm.collect(),
            cold_runs: BTreeMap::new(),
            configured: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            served_versions: BTreeMap::new(),
            leaving: BTreeMap::new(),
            records: BTreeMap::new(),
            start,
            stops: Vec::new(),
            paused: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Records a configuration that the store has acknowledged.
    pub fn record_configuration(&mut self, version: u64, at: Instant) {
        self.configured.insert(version, at);
    }

    /// Records that the zone of these instances is evacuated.
    pub fn record_evacuation(&mut self, instances: impl Iterator<Item = usize>, at: Instant) {
        for instance in instances {
            let all = self.evacuations.entry(instance).or_default();
            all.push((at, None));
        }
    }

    /// Records that the evacuation of the zone of these instances is revoked.
    pub fn record_evacuation_end(&mut self, instances: impl Iterator<Item = usize>, at: Instant) {
        for instance in instances {
            let last = self.evacuations.get_mut(&instance);
            if let Some((_, end)) = last.and_then(|all| all.last_mut()) {
                *end = Some(at);
            }
        }
    }

    /// Records that the store has marked a worker as leaving or deleted its entry.
    pub fn record_leaving(&mut self, worker: &str, at: Instant) {
        self.leaving.entry(worker.to_owned()).or_insert(at);
    }

    /// Records that a daemon is stopped as planned.
    pub fn record_planned_stop(&mut self, daemon: usize, at: Instant) {
        self.stops.push((daemon, at));
    }

    /// Records that a daemon was paused. A request that is received but not read during the pause has
    /// less time left than its head states, so the invariant on deadlines doesn't apply to it.
    pub fn record_pause(&mut self, daemon: usize, from: Instant, to: Instant) {
        self.paused.push((daemon, from, to));
    }

    /// Records the unexpected exit of a daemon, or an error that prevents its restart.
    pub fn record_exit(&mut self, daemon: usize, status: &str, at: Instant) {
        self.add_violation(
            Invariant::Alive,
            at,
            format!("daemon {daemon} exited: {status}"),
        );
    }

    /// Records a request; called before it is sent.
    pub fn record_sent(&mut self, id: &str, sent: SentRequest) {
        let record = RequestRecord {
            ended: None,
            runs: Vec::new(),
            sent,
        };
        self.records.insert(id.to_owned(), record);
    }

    /// Records that a worker has started to run a request.
    pub fn record_run(&mut self, run: &WorkerRun) {
        let at = run.started;
        let Some(record) = self.records.get_mut(&run.id) else {
            let text = format!("{} ran {}, which no caller sent", run.worker, run.id);
            return self.add_violation(Invariant::Unsolicited, at, text);
        };
        record.runs.push((run.worker.clone(), at));
        let sent = &record.sent;
        let paused = |(daemon, from, to): &(usize, Instant, Instant)| {
            *daemon == sent.daemon.0 && *from <= at && sent.at <= *to
        };
        let late = self.paused.iter().any(paused);
        let mut faults = check_run(record, run);
        faults.extend(check_deadline(record, run, &self.bounds).filter(|_| !late));
        faults.extend(check_attempts(record, run, &self.bounds));
        for (invariant, text) in faults {
            self.add_violation(invariant, at, text);
        }
        if let Some(begin) = self.evacuated_since(&run.worker, at) {
            let late = at - begin;
            let text = format!(
                "{} received {} {late:.1?} after the evacuation of its zone",
                run.worker, run.id
            );
            self.add_violation(Invariant::Evacuation, at, text);
        }
        if run.cold {
            self.check_cold(run);
        }
        let overdue = self.leaving.get(&run.worker).copied();
        let overdue = overdue.filter(|left| at > *left + self.bounds.drain);
        if let Some(left) = overdue.filter(|left| self.is_calm(*left, at)) {
            let late = at - left;
            let text = format!(
                "{} received {} {late:.1?} after it was marked as leaving",
                run.worker, run.id
            );
            self.add_violation(Invariant::Drain, at, text);
        }
    }

    fn check_cold(&mut self, run: &WorkerRun) {
        let at = run.started;
        let runs = self.cold_runs.entry(run.worker.clone()).or_default();
        runs.retain(|earlier| at.saturating_duration_since(*earlier) < Duration::from_secs(1));
        runs.push(at);
        let Bounds {
            cold_over,
            cold_rate,
            cold_slack,
            ..
        } = self.bounds;
        let (count, allowed) = (runs.len(), cold_rate * cold_over + cold_slack);
        if count as f64 > allowed {
            let text = format!(
                "{} received {count} requests in a second while cold; {allowed} are allowed",
                run.worker
            );
            self.add_violation(Invariant::Cold, at, text);
        }
    }

    /// Records how a request ended for its caller.
    pub fn record_end(&mut self, id: &str, ended: RequestEnd, at: Instant) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.ended = Some((at, ended.clone()));
        let (sent, ran) = (record.sent.clone(), !record.runs.is_empty());
        match ended {
            RequestEnd::Answer { body, seal, status } => {
                let workers: Vec<_> = record.runs.iter().map(|(w, _)| w.clone()).collect();
                if let Some(text) = check_answer(id, &body, &seal, status, &workers) {
                    self.add_violation(Invariant::Answer, at, text);
                }
                if is_refusal(status) && ran && !sent.idempotent {
                    let text =
                        format!("{id} was answered with status {status} although it had run");
                    self.add_violation(Invariant::Refusal, at, text);
                }
                self.check_version(&sent, status, at);
            }
            RequestEnd::Closed => self.check_stop(id, &sent, ran, at),
            RequestEnd::Disconnected | RequestEnd::NotConnected => {}
        }
    }

    /// Checks the invariants on the whole history, and returns all violations ordered by time.
    pub fn finish(mut self) -> Vec<Violation> {
        self.check_budget();
        self.check_served();
        self.violations.sort_by_key(|violation| violation.at);
        self.violations
    }

    /// Returns the number of requests so far, and how many of them were served.
    pub fn counts(&self) -> (usize, usize) {
        let served = self.records.values().filter(|r| r.is_served());
        (self.records.len(), served.count())
    }

    /// Returns the violations found so far, in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn add_violation(&mut self, invariant: Invariant, at: Instant, text: String) {
        let at = at.saturating_duration_since(self.start);
        self.violations.push(Violation {
            at,
            invariant,
            text,
        });
    }

    /// Whether both times lie within the same calm period.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let mut calm = self.calm.iter();
        calm.any(|(begin, end)| *begin <= from && to <= *end)
    }

    /// The begin of an evacuation that excludes runs of a worker at `at`, which lies in a calm period. The number
    /// in the worker's name is the index of its instance.
    fn evacuated_since(&self, worker: &str, at: Instant) -> Option<Instant> {
        let number = worker.trim_start_matches('w').split('-').next()?;
        let all = self.evacuations.get(&number.parse().ok()?)?;
        let bound = self.bounds.evacuation;
        let excludes = |(begin, end): &&(Instant, Option<Instant>)| {
            at > *begin + bound && end.is_none_or(|end| at < end)
        };
        let (begin, _) = all.iter().find(excludes)?;
        self.is_calm(at, at).then_some(*begin)
    }

    fn check_version(&mut self, sent: &SentRequest, status: u16, at: Instant) {
        let Some(version) = sent.version else {
            return;
        };
        let known = self.served_versions.get(&sent.daemon).copied();
        match (status, known) {
            (200..=299, None) => {
                self.served_versions.insert(sent.daemon, (version, at));
            }
            (200..=299, Some((newest, _))) if newest < version => {
                self.served_versions.insert(sent.daemon, (version, at));
            }
            (404, Some((newest, seen)))
                if newest >= version && sent.at > seen + self.bounds.regression =>
            {
                let text = format!(
                    "daemon {} no longer serves version {version}",
                    sent.daemon.0
                );
                self.add_violation(Invariant::Regression, at, text);
            }
            (404, _) => {
                let known = self.configured.get(&version).copied();
                let due = known.filter(|known| sent.at > *known + self.bounds.config);
                if due.is_some_and(|known| self.is_calm(known, at)) {
                    let text = format!(
                        "daemon {} doesn't serve version {version} yet",
                        sent.daemon.0
                    );
                    self.add_violation(Invariant::Configuration, at, text);
                }
            }
            _ => {}
        }
    }

    /// A planned stop must not close the connection of a request that the daemon has read. A request that
    /// has run or is older than [`Bounds::lost`] is assumed to be read.
    fn check_stop(&mut self, id: &str, sent: &SentRequest, ran: bool, at: Instant) {
        let stopped = |(daemon, stop): &&(usize, Instant)| {
            *daemon == sent.daemon.0 && *stop <= at && self.is_calm(*stop, at)
        };
        let stopped = self.stops.iter().any(|stop| stopped(&stop));
        if stopped && (ran || at > sent.at + self.bounds.lost) {
            let waited = at - sent.at;
            let text = format!(
                "daemon {} closed the connection of {id} after {waited:.1?}, run: {ran}",
                sent.daemon.0
            );
            self.add_violation(Invariant::PlannedStop, at, text);
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
                let text = format!("{service}: {repeats} repeated runs for {requests} requests");
                self.add_violation(Invariant::Budget, at, text);
            }
        }
    }

    fn check_served(&mut self) {
        for (from, to) in self.calm.clone() {
            let inside = |r: &&RequestRecord| r.sent.at >= from && r.sent.at < to && r.is_counted();
            let all: Vec<_> = self.records.values().filter(inside).collect();
            let served = all.iter().filter(|r| r.is_served()).count();
            if (served as f64) < all.len() as f64 * self.bounds.served {
                let mut ends = BTreeMap::<&str, usize>::new();
                for record in &all {
                    *ends.entry(record.end_label()).or_default() += 1;
                }
                let text = format!(
                    "{served} of {} requests served in a calm period: {ends:?}",
                    all.len()
                );
                self.add_violation(Invariant::Served, from, text);
            }
        }
    }
}

impl RequestRecord {
    fn is_served(&self) -> bool {
        matches!(&self.ended, Some((_, RequestEnd::Answer { status, .. })) if (200..300).contains(status))
    }

    fn end_label(&self) -> &'static str {
        match &self.ended {
            Some((_, RequestEnd::Answer { status, .. })) => match status {
                200..=299 => "answered",
                500 => "failed by the worker",
                502 => "lost",
                503 => "refused",
                504 => "expired",
                _ => "another status",
            },
            Some((_, RequestEnd::Closed)) => "closed",
            Some((_, RequestEnd::Disconnected)) => "disconnected",
            Some((_, RequestEnd::NotConnected)) => "not connected",
            None => "unanswered",
        }
    }

    /// Whether [`Invariant::Served`] applies: the caller waited for the end of the request, and every
    /// version of the configuration has its route.
    fn is_counted(&self) -> bool {
        let left = matches!(self.ended, None | Some((_, RequestEnd::Disconnected)));
        !left && self.sent.version.is_none()
    }
}

fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn check_run(record: &RequestRecord, run: &WorkerRun) -> Vec<(Invariant, String)> {
    let (id, worker, sent) = (&run.id, &run.worker, &record.sent);
    let mut faults = Vec::new();
    if run.line != sent.line || run.body != sent.body || run.caller != sent.origin {
        let text = format!(
            "{worker} ran {id} as {} from {:?}, sent as {} from {:?}",
            run.line, run.caller, sent.line, sent.origin
        );
        faults.push((Invariant::Unsolicited, text));
    }
    if !sent.idempotent && record.runs.len() > 1 {
        let text = format!("{id} ran {} times", record.runs.len());
        faults.push((Invariant::Once, text));
    }
    let refused = match &record.ended {
        Some((_, RequestEnd::Answer { status, .. })) => is_refusal(*status),
        Some((_, RequestEnd::Closed | RequestEnd::Disconnected | RequestEnd::NotConnected))
        | None => false,
    };
    if refused && !sent.idempotent {
        faults.push((Invariant::Refusal, format!("{id} ran after it was refused")));
    }
    faults
}

fn check_attempts(
    record: &RequestRecord,
    run: &WorkerRun,
    bounds: &Bounds,
) -> Option<(Invariant, String)> {
    let workers: BTreeSet<_> = record.runs.iter().map(|(worker, _)| worker).collect();
    let text = format!("{} ran on {} workers", run.id, workers.len());
    (workers.len() > bounds.max_workers).then_some((Invariant::MaxAttempts, text))
}

fn check_deadline(
    record: &RequestRecord,
    run: &WorkerRun,
    bounds: &Bounds,
) -> Option<(Invariant, String)> {
    let waited = run.started.saturating_duration_since(record.sent.at);
    let left = record.sent.deadline.saturating_sub(waited);
    match run.deadline {
        Some(stated) if stated <= left + bounds.deadline_excess => None,
        stated => {
            let text = format!(
                "{} received the deadline {stated:?} for {}, {left:?} remain",
                run.worker, run.id
            );
            Some((Invariant::Deadline, text))
        }
    }
}

/// Describes the fault of an answer. A successful answer must be the complete one of a worker that has
/// run the request.
fn check_answer(
    id: &str,
    body: &Bytes,
    seal: &str,
    status: u16,
    workers: &[String],
) -> Option<String> {
    let sealed = |worker: &&String| seal == format!("{worker}.{id}");
    let worker = workers.iter().find(sealed);
    match (status, worker) {
        (200..=299, Some(worker)) if *body == answer_body(id, worker) => None,
        (200..=299, _) => Some(format!(
            "{id} received {} bytes with the seal {seal:?}, run by {workers:?}",
            body.len()
        )),
        (500, _) | (_, None) => None,
        (_, Some(_)) => Some(format!(
            "{id} received status {status} with the seal of a worker"
        )),
    }
}
