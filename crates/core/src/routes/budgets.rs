//! How much of the time for a request its caller has spent before the request arrives.
//!
//! A caller that retries after a refusal states only its remaining time. The time for the answer still
//! counts from the first attempt, so that the request may already be late on arrival. Callers use only
//! a few different budgets for first attempts, whereas the remaining budgets of retries differ from each
//! other.
//!
//! Invariant: memory use is bounded, whatever budgets callers state.

use std::collections::BTreeMap;
use std::time::Duration;

use super::by_route::ByRoute;

/// Divisor of a route's recent requests: a budget is usual if at least one in 16 of them states it.
const USUAL_DIVISOR: u32 = 16;
/// Least number of requests with a budget before it can be usual.
const USUAL_MIN_COUNT: u32 = 3;
/// Requests of a route after which all counts are halved, so that older requests weigh less.
const HALVING_LIMIT: u32 = 256;

/// Budgets of recent requests by route.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::routes::UsualBudgets;
///
/// let mut budgets = UsualBudgets::default();
/// let ms = Duration::from_millis;
/// for _ in 0..3 {
///     assert_eq!(budgets.spent("a.example", "/x/", ms(3_000)), ms(0));
/// }
/// assert_eq!(budgets.spent("a.example", "/x/", ms(1_900)), ms(1_100));
/// assert_eq!(budgets.spent("a.example", "/y/", ms(1_900)), ms(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualBudgets {
    routes: ByRoute<Budgets>,
}

/// Requests of one route by their budgets.
#[derive(Clone, Debug, Default)]
struct Budgets {
    count_by_ms: BTreeMap<u64, u32>,
    total: u32,
}

impl UsualBudgets {
    /// Records a request with `budget` left, and returns the time that its caller has already spent: the
    /// difference to the next greater usual budget of the route, or 0 if there is none.
    pub fn spent(&mut self, host: &str, prefix: &str, budget: Duration) -> Duration {
        let budget = u64::try_from(budget.as_millis()).unwrap_or(u64::MAX);
        let budgets = self.routes.entry(host, prefix);
        budgets.record(budget);
        let usual = budgets.next_usual(budget).unwrap_or(budget);
        Duration::from_millis(usual - budget)
    }
}

impl Budgets {
    fn record(&mut self, budget: u64) {
        *self.count_by_ms.entry(budget).or_default() += 1;
        self.total += 1;
        if self.total >= HALVING_LIMIT {
            self.count_by_ms.values_mut().for_each(|count| *count /= 2);
            self.count_by_ms.retain(|_, count| *count > 0);
            self.total = self.count_by_ms.values().sum();
        }
    }

    fn next_usual(&self, budget: u64) -> Option<u64> {
        let least = (self.total / USUAL_DIVISOR).max(USUAL_MIN_COUNT);
        let mut above = self.count_by_ms.range(budget..);
        above
            .find(|(_, count)| **count >= least)
            .map(|(usual, _)| *usual)
    }
}
