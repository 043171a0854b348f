//! What became of an order for endpoints that was given to the platform.

use std::time::Duration;

use crate::core::clock::BootTime;

/// How much longer than an endpoint takes to start an order may remain without effect before it is given again: a call
/// that got no answer may be carried out seconds late, and undo a newer one.
const EFFECT_MARGIN: Duration = Duration::from_secs(6);
/// How long to wait before an order that was refused, or got no answer, is given again.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The last order for endpoints of one kind in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuedOrder {
    desired: u32,
    is_accepted: bool,
    is_refused: bool,
    /// Whether as many endpoints as were ordered have been there since.
    is_fulfilled: bool,
    retry_at: BootTime,
}

impl IssuedOrder {
    /// Notes an order that is given now, after an earlier one for the same endpoints. `boot` is how long an endpoint takes
    /// to start.
    pub fn issue(now: BootTime, desired: u32, boot: Duration, previous: Option<&Self>) -> Self {
        Self {
            desired,
            is_accepted: false,
            // Until the platform has answered, it is taken to refuse as it did before.
            is_refused: previous.is_some_and(|previous| previous.is_refused),
            is_fulfilled: false,
            retry_at: now + boot + EFFECT_MARGIN,
        }
    }

    /// Takes the platform's answer.
    pub fn record_answer(&mut self, now: BootTime, is_accepted: bool) {
        self.is_accepted = is_accepted;
        self.is_refused = !is_accepted;
        if !is_accepted {
            self.retry_at = now + RETRY_DELAY;
        }
    }

    /// Takes how many endpoints there are.
    pub const fn record_present(&mut self, count: u32) {
        self.is_fulfilled |= self.is_accepted && count >= self.desired;
    }

    /// Tells whether the same need not be ordered again yet.
    ///
    /// Endpoints that were there and are gone were taken back or have died: the order has had its effect, and only a new one
    /// brings others.
    pub fn is_pending(&self, now: BootTime, desired: u32) -> bool {
        self.desired == desired && now < self.retry_at && !self.is_fulfilled
    }

    /// Returns how many endpoints the platform has agreed to.
    pub fn accepted_count(&self) -> Option<u32> {
        self.is_accepted.then_some(self.desired)
    }

    /// Tells whether the platform has refused it.
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }
}
