//! Outcome of an order for endpoints that was sent to the platform.
//!
//! An order sets the total number of endpoints of one kind in one failure domain: reclaimable or on-demand ones.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Time to wait beyond the boot time of an endpoint before an order without effect is issued again. The platform may
/// execute an unanswered request seconds late, which would undo a newer order.
const EFFECT_MARGIN: Duration = Duration::from_secs(6);
/// Delay before an order that was refused or not answered is issued again.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The last order for one kind of endpoints, reclaimable or on-demand, in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuedOrder {
    desired: u32,
    is_accepted: bool,
    is_refused: bool,
    /// True once the ordered number of endpoints was present at any time after the order was accepted.
    is_fulfilled: bool,
    retry_at: BootTime,
}

impl IssuedOrder {
    /// Creates the record of an order that is issued now and replaces `previous`. `boot` is the time that an endpoint
    /// takes to start.
    pub fn issue(now: BootTime, desired: u32, boot: Duration, previous: Option<&Self>) -> Self {
        Self {
            desired,
            is_accepted: false,
            // Until the platform answers, the order counts as refused if the previous one was. Otherwise each retry of
            // a refused order would briefly undo the plan to order other endpoints in their place.
            is_refused: previous.is_some_and(|previous| previous.is_refused),
            is_fulfilled: false,
            retry_at: now + boot + EFFECT_MARGIN,
        }
    }

    /// Records the answer of the platform.
    pub fn record_answer(&mut self, now: BootTime, is_accepted: bool) {
        self.is_accepted = is_accepted;
        self.is_refused = !is_accepted;
        if !is_accepted {
            self.retry_at = now + RETRY_DELAY;
        }
    }

    /// Records the number of endpoints that are present.
    pub const fn record_present(&mut self, count: u32) {
        self.is_fulfilled |= self.is_accepted && count >= self.desired;
    }

    /// Returns true if an order for `desired` endpoints must not be issued now, because this order is for the same
    /// number and either may still take effect or was refused and has to wait for its retry.
    ///
    /// Returns false once the order is fulfilled. If its endpoints are gone later, they were reclaimed or have failed,
    /// and only a new order replaces them. Whether an order is needed at all is for the caller to decide.
    pub fn is_pending(&self, now: BootTime, desired: u32) -> bool {
        self.desired == desired && now < self.retry_at && !self.is_fulfilled
    }

    /// Returns the number of endpoints that the platform has agreed to provide, or `None` if it has not accepted the
    /// order.
    pub fn accepted_count(&self) -> Option<u32> {
        self.is_accepted.then_some(self.desired)
    }

    /// Returns true if the platform has refused the order.
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }
}
