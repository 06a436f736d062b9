//! The retry budget: retries and hedges as a share of recent requests.
//!
//! Invariant: the balance stays between zero and its limit, so a long quiet time doesn't allow a
//! burst of retries.

/// Cost of one retry, in hundredths of a request.
const RETRY_COST: u32 = 100;
/// Most retries that can be saved up.
const SAVED_RETRIES: u32 = 50;
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
            percent,
        }
    }

    /// Changes the share; what is saved up stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(SAVED_RETRIES * RETRY_COST);
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
