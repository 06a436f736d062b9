//! The retry budget, which limits retries and hedges to a share of recent requests.
//!
//! Invariant: the balance stays between zero and its limit, so that a long period without retries
//! doesn't allow a large burst of them.

/// The amount of one retry in the unit of balances and limits, hundredths of a retry.
const RETRY_COST: u32 = 100;
/// Maximum number of saved retries of a daemon whose budget is not shared.
const MAX_SAVED_RETRIES: u32 = 50;
/// Maximum number of saved retries of all daemons together if the budget is shared. A burst of this
/// size stays within the tolerance of the limit on retries of the whole fleet.
const MAX_FLEET_RETRIES: u32 = 30;
/// Number of retries available at the start, so that failures can be retried before requests have
/// added to the balance.
const INITIAL_RETRIES: u32 = 10;

/// The number of retries and hedges that may be sent for one service.
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
    /// Available retries, in hundredths of a retry.
    balance: u32,
    /// Least number of retries that the limit allows.
    least: u32,
    /// Upper bound of the balance, in hundredths of a retry.
    limit: u32,
    /// Retries allowed per hundred requests, which each request adds to the balance.
    percent: u32,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries per hundred requests; 0 allows none.
    pub fn new(percent: u32) -> Self {
        let initial = if percent == 0 {
            0
        } else {
            INITIAL_RETRIES * RETRY_COST
        };
        Self {
            balance: initial,
            least: 1,
            limit: MAX_SAVED_RETRIES * RETRY_COST,
            percent,
        }
    }

    /// Lets the budget save a second retry, however many daemons share it, so that a hedge can leave one.
    pub fn allow_hedges(&mut self) {
        self.least = 2;
    }

    /// Divides [`MAX_FLEET_RETRIES`] evenly among `daemons` daemons, but leaves each of them at least one retry, or two
    /// after [`Self::allow_hedges`], so that its own requests can always add up to one. In a larger fleet, that is the
    /// maximum of the fleet.
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
        self.limit = (MAX_FLEET_RETRIES * RETRY_COST / daemons).max(self.least * RETRY_COST);
        self.balance = self.balance.min(MAX_FLEET_RETRIES * RETRY_COST / daemons);
    }

    /// Changes the number of retries per hundred requests. The balance is kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds `percent` hundredths of a retry to the balance; called once for each request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.limit);
    }

    /// Takes one retry for a hedge, if another one is left then for a failure; returns `false` otherwise.
    pub fn withdraw_surplus(&mut self) -> bool {
        self.balance >= 2 * RETRY_COST && self.withdraw()
    }

    /// Takes one retry from the balance; returns `false` if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
