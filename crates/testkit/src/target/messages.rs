//! Messages that connection and control tasks send to the executor.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use serde::Serialize;

use super::behaviour::{Behaviour, Load, State};
use super::scheduler::JobId;

/// Result of a request, from which its connection task builds the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    Done,
    Expired,
    Failed,
    NotRun,
}

/// Reply to a health or load request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub cost: Duration,
    pub load: Load,
    pub silent: bool,
}

/// Counters since the start of the target, for `GET /stats` on the control port.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Counts {
    pub cancelled: u64,
    pub connections: u64,
    pub expired: u64,
    pub probe_us: u64,
    pub probes: u64,
    pub shed: u64,
    pub started: u64,
    pub work_us: u64,
}

#[derive(Debug)]
pub(super) enum Message {
    Behaviour(oneshot::Sender<Behaviour>),
    Cancel(JobId),
    Connected(oneshot::Sender<Duration>),
    Control(Vec<u8>, oneshot::Sender<Result<Behaviour, String>>),
    Counts(oneshot::Sender<Counts>),
    Probe(oneshot::Sender<Probe>),
    /// The connection task has sent the answer to this request, or sending has failed (`false`).
    Sent(u64, bool),
    /// Stall the whole process once for this duration.
    Stall(Duration),
    Work(Work),
}

#[derive(Debug)]
pub(super) struct Work {
    pub deadline: Option<Instant>,
    pub id: JobId,
    pub reply: oneshot::Sender<(Outcome, State)>,
    pub request: u64,
}
