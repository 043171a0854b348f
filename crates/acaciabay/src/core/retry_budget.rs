//! A budget that keeps retries from multiplying.
//!
//! When a pool fails, callers, entries and the balancer all retry, and the pool gets several times its usual load at
//! the worst moment. The budget lets an entry retry a share of its successes only, so that its own part of that stays
//! small.

/// How much of a retry each success earns.
const DEPOSIT_PER_SUCCESS: f64 = 0.1;
/// The most that can be balance up, and what an entry starts with.
const MAX_BALANCE: f64 = 20.0;

/// Retries that one entry may still make.
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
    /// Notes a request that succeeded.
    pub const fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget and tells whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
