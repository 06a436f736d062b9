//! Messages between a target's executor and its connection and control tasks.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use serde::Serialize;

use super::behaviour::{Behaviour, Load, State};
use super::workplace::JobId;

/// How a job ended, for the connection task that answers it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    Done,
    Expired,
    Failed,
    NotRun,
}

/// A probe's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub cost: Duration,
    pub load: Load,
    pub silent: bool,
}

/// Counts since the start, for `GET /stats` on the control port.
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
    /// The connection task has sent the answer or failed to.
    Sent(u64, bool),
    /// Stall the whole process once for this long.
    Stall(Duration),
    Work(Work),
}

#[derive(Debug)]
pub(super) struct Work {
    pub deadline: Option<Instant>,
    pub id: JobId,
    pub reply: oneshot::Sender<(Verdict, State)>,
    pub request: u64,
}
