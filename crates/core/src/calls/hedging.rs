//! Whether a second copy of an idempotent request is sent while the first attempt is late.
//!
//! Invariants:
//! - in any sequence of events, the copies of a service's requests are at most the share of them that operators
//!   set;
//! - each copy also takes a retry from the retry budget of the service, and leaves one there for a failure;
//! - no copy is sent to a service that is overloaded or has targets in an evacuated failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RetryBudget;
use crate::ids::ServiceId;
use crate::link::LARGE_BODY;
use crate::outcome::{AttemptResult, Refusal};
use crate::routing::HedgeTargets;

/// The amount of one copy in the unit of balances, hundredths of a copy.
const COPY_COST: u32 = 100;
/// Most copies that a daemon saves for one service, so that a long period without late requests doesn't allow
/// a burst of copies when the service becomes slow.
const MAX_SAVED_COPIES: u32 = 2;
/// Least quantile of the answer times after which a copy is sent. The requests that are later are the tail;
/// copies of others would mostly lose.
const MIN_QUANTILE: f64 = 0.95;
/// Least delay before a copy is sent: below it, the round trip to another failure domain costs more than is
/// gained.
const MIN_DELAY: Duration = Duration::from_millis(2);
/// Weight of one attempt in the share of refused attempts.
const REFUSED_WEIGHT: f64 = 1.0 / 64.0;
/// Share of recent attempts refused for lack of capacity from which the service counts as overloaded: about
/// four of the last 64. Single refusals also occur at targets that are full for a moment.
const REFUSED_LIMIT: f64 = 1.0 / 16.0;

/// Least number of recent answers from which a delay can be told.
pub const MIN_SAMPLES: u32 = 50;

/// Why no copy of a late request is sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suppression {
    /// The share of copies that operators set is used up.
    Budget,
    /// A failure domain with targets of the service is evacuated.
    Evacuation,
    /// Too few recent answers to tell how long one takes.
    FewSamples,
    /// The request has a large body.
    LargeBody,
    /// The link of this daemon is saturated.
    Link,
    /// No target for a copy: all others are strained, full, cold, starting, in backoff, or in the same failure domain.
    NoTarget,
    /// Most targets of the service are busy, or they refuse requests.
    Overload,
    /// The retry budget of the service is needed for failures.
    RetryBudget,
    /// The copy would not be answered before the deadline.
    TimeLeft,
}

impl Suppression {
    /// Name in counters.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Evacuation => "evacuation",
            Self::FewSamples => "few-samples",
            Self::LargeBody => "large-body",
            Self::Link => "link",
            Self::NoTarget => "no-target",
            Self::Overload => "overload",
            Self::RetryBudget => "retry-budget",
            Self::TimeLeft => "time-left",
        }
    }
}

/// What the decision on a copy depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeConditions {
    /// Length of the request's body in bytes.
    pub body: usize,
    /// Whether a failure domain with targets of the service is evacuated.
    pub evacuated: bool,
    /// Time that most answers take; `None` if too few are known.
    pub expected: Option<Duration>,
    /// Time until the deadline of the request.
    pub left: Duration,
    /// Whether the link of this daemon is saturated.
    pub link_saturated: bool,
    /// The targets of the service.
    pub targets: HedgeTargets,
}

/// Copies and refusals of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceState {
    /// Copies that may be sent, in hundredths of a copy.
    balance: u32,
    /// Moving average of the share of attempts that were refused for lack of capacity.
    refused: f64,
}

/// Decides on copies of late requests, for all services of one daemon.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::calls::{HedgeConditions, Hedging, RetryBudget, Suppression};
/// use hawthornwall_core::ids::ServiceId;
/// use hawthornwall_core::routing::HedgeTargets;
///
/// let mut hedging = Hedging::new(5).unwrap();
/// let mut retries = RetryBudget::new(10);
/// let conditions = HedgeConditions {
///     body: 0,
///     evacuated: false,
///     expected: Some(Duration::from_millis(20)),
///     left: Duration::from_secs(1),
///     link_saturated: false,
///     targets: HedgeTargets { accepting: 4, free: 4, suitable: 2 },
/// };
/// let service = ServiceId(0);
/// assert_eq!(hedging.decide(service, &conditions, &mut retries), Err(Suppression::Budget));
/// (0..20).for_each(|_| hedging.deposit(service));
/// assert_eq!(hedging.decide(service, &conditions, &mut retries), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct Hedging {
    percent: u32,
    services: BTreeMap<ServiceId, ServiceState>,
}

impl Hedging {
    /// Forgets the services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(ServiceId) -> bool) {
        self.services.retain(|id, _| keep(*id));
    }

    /// A policy that allows `percent` copies per hundred requests; `None` for 0, which turns it off.
    pub fn new(percent: u32) -> Option<Self> {
        (percent > 0).then(|| Self {
            percent,
            services: BTreeMap::new(),
        })
    }

    /// The quantile of a route's answer times after which a copy is sent. With a small share of copies it is
    /// higher, so that the copies go to the latest requests and not to the first ones that are a little late.
    pub fn quantile(&self) -> f64 {
        MIN_QUANTILE.max(1.0 - f64::from(self.percent) / 100.0)
    }

    /// The delay that follows from a quantile of answer times.
    pub fn delay(quantile: Duration) -> Duration {
        quantile.max(MIN_DELAY)
    }

    /// Counts a request of a service, which adds to the number of copies that may be sent.
    pub fn deposit(&mut self, service: ServiceId) {
        let percent = self.percent;
        let state = self.services.entry(service).or_default();
        state.balance = (state.balance + percent).min(MAX_SAVED_COPIES * COPY_COST);
    }

    /// Records how an attempt at a target of a service ended.
    pub fn record(&mut self, service: ServiceId, result: AttemptResult) {
        let refused = match result {
            AttemptResult::Answered | AttemptResult::Failed => 0.0,
            AttemptResult::Refused(refusal) if lacks_capacity(refusal) => 1.0,
            AttemptResult::Lost(_) | AttemptResult::Refused(_) => return,
        };
        let state = self.services.entry(service).or_default();
        state.refused += REFUSED_WEIGHT * (refused - state.refused);
    }

    /// Decides whether a copy of a late request is sent, and takes it from both budgets.
    ///
    /// # Errors
    ///
    /// The first reason against the copy; nothing is taken then.
    pub fn decide(
        &mut self,
        service: ServiceId,
        conditions: &HedgeConditions,
        retries: &mut RetryBudget,
    ) -> Result<(), Suppression> {
        let state = self.services.entry(service).or_default();
        if conditions.evacuated {
            return Err(Suppression::Evacuation);
        }
        if conditions.link_saturated {
            return Err(Suppression::Link);
        }
        if state.refused >= REFUSED_LIMIT || conditions.targets.mostly_busy() {
            return Err(Suppression::Overload);
        }
        if conditions.body >= LARGE_BODY {
            return Err(Suppression::LargeBody);
        }
        let expected = conditions.expected.ok_or(Suppression::FewSamples)?;
        if conditions.left <= expected {
            return Err(Suppression::TimeLeft);
        }
        if conditions.targets.suitable == 0 {
            return Err(Suppression::NoTarget);
        }
        if state.balance < COPY_COST {
            return Err(Suppression::Budget);
        }
        if !retries.withdraw_surplus() {
            return Err(Suppression::RetryBudget);
        }
        state.balance -= COPY_COST;
        Ok(())
    }
}

/// Whether a target refuses for this reason because it has no capacity for the request.
fn lacks_capacity(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Cold
        | Refusal::Dependency
        | Refusal::Full
        | Refusal::Memory
        | Refusal::Overload
        | Refusal::Shed
        | Refusal::Strained => true,
        Refusal::Budget
        | Refusal::Cancelled
        | Refusal::Down
        | Refusal::Draining
        | Refusal::Evacuated
        | Refusal::Expired
        | Refusal::KeyInvalid
        | Refusal::KeyMismatch
        | Refusal::Link
        | Refusal::Malformed
        | Refusal::Misdirected
        | Refusal::NoTarget
        | Refusal::NotReady
        | Refusal::PeerLink
        | Refusal::Stopping
        | Refusal::TooLarge
        | Refusal::Unreachable
        | Refusal::UnknownService
        | Refusal::WrongTarget => false,
    }
}
