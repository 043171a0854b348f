//! A budget that keeps retries from multiplying.
//!
//! When a pool fails, callers, entries and the balancer all retry, and the pool gets several times its usual load at
//! the worst moment. The budget lets an entry retry a share of its successes only, so that its own part of that stays
//! small.

/// How much of a retry each success earns.
const EARNED_BY_SUCCESS: f64 = 0.1;
/// The most that can be saved up, and what an entry starts with.
const LARGEST_BUDGET: f64 = 20.0;

/// Retries that one entry may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: LARGEST_BUDGET }
    }
}

impl RetryBudget {
    /// Notes a request that succeeded.
    pub const fn earn(&mut self) {
        self.saved = (self.saved + EARNED_BY_SUCCESS).min(LARGEST_BUDGET);
    }

    /// Takes one retry from the budget and tells whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
