//! How much of its time a caller has spent on a request before it arrives.
//!
//! A caller that comes back after a refusal states only the time that it has left. Its answer is wanted as
//! long after its first attempt as anyone's, so that it may be late already when it arrives. Callers give
//! their first attempts one of few budgets, and what is left of one is another figure each time.
//!
//! Invariant: the memory is bounded, whatever callers state.

use std::collections::BTreeMap;
use std::time::Duration;

/// Share of a route's recent requests from which a budget counts as one of first attempts: 1 in 16.
const USUAL_SHARE: u32 = 16;
/// Requests with one budget from which it may count as such.
const USUAL_LEAST: u32 = 3;
/// Requests of a route after which older ones weigh half.
const MEMORY: u32 = 256;
/// Routes that are remembered.
const ROUTE_LIMIT: usize = 4_096;

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
    hosts: BTreeMap<String, BTreeMap<String, Budgets>>,
    routes: usize,
}

/// Requests of one route by their budgets.
#[derive(Clone, Debug, Default)]
struct Budgets {
    by_ms: BTreeMap<u64, u32>,
    total: u32,
}

impl UsualBudgets {
    /// Notes a request with `budget` left, and returns how much of its caller's time is over: what it
    /// lacks to the next greater usual budget of the route.
    pub fn spent(&mut self, host: &str, prefix: &str, budget: Duration) -> Duration {
        let budget = u64::try_from(budget.as_millis()).unwrap_or(u64::MAX);
        let known = self.hosts.get_mut(host).and_then(|h| h.get_mut(prefix));
        let budgets = match known {
            Some(budgets) => budgets,
            None => self.add(host, prefix),
        };
        budgets.note(budget);
        let usual = budgets.next_usual(budget).unwrap_or(budget);
        Duration::from_millis(usual - budget)
    }

    fn add(&mut self, host: &str, prefix: &str) -> &mut Budgets {
        if self.routes >= ROUTE_LIMIT {
            *self = Self::default();
        }
        self.routes += 1;
        let host = self.hosts.entry(host.to_owned()).or_default();
        host.entry(prefix.to_owned()).or_default()
    }
}

impl Budgets {
    fn note(&mut self, budget: u64) {
        *self.by_ms.entry(budget).or_default() += 1;
        self.total += 1;
        if self.total >= MEMORY {
            self.by_ms.values_mut().for_each(|count| *count /= 2);
            self.by_ms.retain(|_, count| *count > 0);
            self.total = self.by_ms.values().sum();
        }
    }

    fn next_usual(&self, budget: u64) -> Option<u64> {
        let least = (self.total / USUAL_SHARE).max(USUAL_LEAST);
        let mut above = self.by_ms.range(budget..);
        above
            .find(|(_, count)| **count >= least)
            .map(|(usual, _)| *usual)
    }
}
