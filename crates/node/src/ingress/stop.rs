//! Notice of a planned stop to the connections of callers and to their calls.

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{LocalBoxFuture, Shared};
use hawthornwall_core::stop::StopPlan;

/// Resolves to the plan once a stop has been requested; never if the sender is dropped.
pub(super) type StopNotice = Shared<LocalBoxFuture<'static, StopPlan>>;

/// Resolves when a phase of the stop begins.
pub(super) type Phase = Shared<oneshot::Receiver<()>>;

/// Creates a notice from the channel on which the plan arrives.
pub(super) fn notice(stop: oneshot::Receiver<StopPlan>) -> StopNotice {
    let plan = async {
        match stop.await {
            Ok(plan) => plan,
            Err(oneshot::Canceled) => std::future::pending().await,
        }
    };
    plan.boxed_local().shared()
}

/// The phases of a stop that end connections.
#[derive(Clone, Debug)]
pub(super) struct Phases {
    /// Answers close their connections, and idle connections close.
    pub closing: Phase,
    /// No request is read any more.
    pub ended: Phase,
}

/// Begins the phases of a stop; a phase also begins if this is dropped.
#[derive(Debug)]
pub(super) struct PhaseSenders {
    pub closing: oneshot::Sender<()>,
    pub ended: oneshot::Sender<()>,
}

/// Creates the phases of a stop that hasn't begun.
pub(super) fn phases() -> (PhaseSenders, Phases) {
    let (closing, closing_begins) = oneshot::channel();
    let (ended, ended_begins) = oneshot::channel();
    let phases = Phases {
        closing: closing_begins.shared(),
        ended: ended_begins.shared(),
    };
    (PhaseSenders { closing, ended }, phases)
}

/// How long a connection is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionUse {
    /// For as many requests as the caller sends.
    Kept,
    /// For one request, since the daemon stops.
    Single,
}
