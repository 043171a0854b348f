//! Delivery state: the leader's own attempts to deliver orders and usage windows.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::consensus::{CLOCK_DRIFT_MARGIN, LEADER_LEASE};

/// Maximum time for which the kernel may still deliver data written to an order connection (`TCP_USER_TIMEOUT`).
pub const DELIVERY_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after its election during which a leader sends nothing.
///
/// During this time the previous leader may still hold its lease, and data that it wrote under that lease may still be
/// in flight. An endpoint that ignores fencing numbers would obey whichever order arrives last.
pub const DELIVERY_GRACE: Duration = LEADER_LEASE
    .saturating_add(DELIVERY_USER_TIMEOUT)
    .saturating_add(CLOCK_DRIFT_MARGIN);

/// Minimum delay between the end of an attempt and the next one.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The state of one delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryState {
    /// An attempt is in progress.
    Sending,
    /// The last attempt ended without a clear answer.
    Ended(BootTime),
}

/// The deliveries of this leader, by the number of the order or usage window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeliveryTable {
    leader_since: BootTime,
    rows: BTreeMap<u64, DeliveryState>,
}

impl DeliveryTable {
    /// Creates an empty table for a replica that became leader at `leader_since`.
    pub const fn starting_at(leader_since: BootTime) -> Self {
        Self {
            leader_since,
            rows: BTreeMap::new(),
        }
    }

    /// Returns the time at which this replica became leader.
    pub const fn leader_since(&self) -> BootTime {
        self.leader_since
    }

    /// Returns true if an attempt may start at `now`.
    pub fn may_send(&self, number: u64, now: BootTime) -> bool {
        let waited = |since: BootTime| now >= since + RETRY_DELAY;
        let is_idle = match self.rows.get(&number) {
            None => true,
            Some(DeliveryState::Sending) => false,
            Some(DeliveryState::Ended(at)) => waited(*at),
        };
        is_idle && now >= self.leader_since + DELIVERY_GRACE
    }

    /// Returns the time until which data that this leader sent under `number` may still be in flight.
    ///
    /// Returns `None` while an attempt is in progress, and if this leader has made no attempt.
    pub fn in_flight_until(&self, number: u64) -> Option<BootTime> {
        match self.rows.get(&number)? {
            DeliveryState::Sending => None,
            DeliveryState::Ended(at) => Some(*at + DELIVERY_USER_TIMEOUT),
        }
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, number: u64) {
        self.rows.insert(number, DeliveryState::Sending);
    }

    /// Records that an attempt ended without a conclusive answer.
    pub fn end(&mut self, number: u64, now: BootTime) {
        self.rows.insert(number, DeliveryState::Ended(now));
    }

    /// Removes a delivery that is settled.
    pub fn forget(&mut self, number: u64) {
        self.rows.remove(&number);
    }
}
