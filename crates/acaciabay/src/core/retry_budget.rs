//! A retry budget, which limits the load that retries add.
//!
//! When a pool fails, callers, entries and the load balancer all retry. The pool then gets several times its usual load
//! when it can handle it least. The budget limits an entry's retries to a fraction of its successful requests, so that
//! its own contribution to the extra load stays small.

/// Fraction of a retry that each successful request adds to the budget.
const DEPOSIT_PER_SUCCESS: f64 = 0.1;
/// Maximum balance, which is also the initial balance.
const MAX_BALANCE: f64 = 20.0;

/// The number of retries that an entry may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Adds the deposit for a successful request.
    pub const fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Returns true if the budget allows a retry.
    pub const fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Withdraws one retry from the budget, and returns false if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
