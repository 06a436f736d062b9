//! The retry budget: retries and hedges as a share of recent requests.
//!
//! Invariant: the balance stays between zero and its limit, so a long quiet time doesn't allow a
//! burst of retries.

/// Cost of one retry, in hundredths of a request.
const RETRY_COST: u32 = 100;
/// Most retries that can be saved up by one daemon alone.
const MAX_SAVED_RETRIES: u32 = 50;
/// Most retries that can be saved up by all daemons together, where they share a bound. A burst of
/// them stays within the slack of that bound.
const MAX_FLEET_RETRIES: u32 = 30;
/// Retries available at the start, so that the first failures after a start can be retried.
const INITIAL_RETRIES: u32 = 10;

/// Retries and hedges that may still be sent for one service.
///
/// ```
/// use hawthornwall_core::calls::RetryBudget;
///
/// let mut budget = RetryBudget::new(10);
/// while budget.withdraw() {}
/// for _ in 0..10 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
    /// Most that can be saved up, in hundredths of a request.
    limit: u32,
    percent: u32,
}

impl RetryBudget {
    /// A budget that allows `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> Self {
        let initial = if percent == 0 {
            0
        } else {
            INITIAL_RETRIES * RETRY_COST
        };
        Self {
            balance: initial,
            limit: MAX_SAVED_RETRIES * RETRY_COST,
            percent,
        }
    }

    /// Divides what can be saved up among `sharers` daemons. Each keeps enough for a share of one
    /// retry, which its own requests then complete.
    ///
    /// ```
    /// use hawthornwall_core::calls::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(10);
    /// budget.share(15);
    /// assert!(budget.withdraw() && budget.withdraw());
    /// assert!(!budget.withdraw());
    /// ```
    pub fn share(&mut self, daemons: usize) {
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        self.limit = (MAX_FLEET_RETRIES * RETRY_COST / daemons).max(RETRY_COST);
        self.balance = self.balance.min(MAX_FLEET_RETRIES * RETRY_COST / daemons);
    }

    /// Changes the share; what is saved up stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.limit);
    }

    /// Takes one retry from the budget; `false` if it is spent.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
