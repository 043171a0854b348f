//! What the leader knows of its own attempts to deliver orders and usage windows.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::consensus::{CLOCK_DRIFT_MARGIN, LEADER_LEASE};

/// How long the kernel may go on delivering what was written on a connection for orders (`TCP_USER_TIMEOUT`).
pub const DELIVERY_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after its election a leader sends nothing.
///
/// Until then the leader before it may still hold its lease, and what it wrote under that lease may still be under way.
/// An endpoint that ignores fencing numbers would then obey whichever arrives last.
pub const DELIVERY_GRACE: Duration = LEADER_LEASE
    .saturating_add(DELIVERY_USER_TIMEOUT)
    .saturating_add(CLOCK_DRIFT_MARGIN);

/// How long to wait before an attempt is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// One delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryState {
    /// An attempt is under way.
    Sending,
    /// The last attempt ended without a clear answer.
    Ended(BootTime),
}

/// The deliveries of this leader, by the number of what is delivered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeliveryTable {
    leader_since: BootTime,
    rows: BTreeMap<u64, DeliveryState>,
}

impl DeliveryTable {
    /// Starts anew, as a replica does that has just become leader.
    pub const fn starting_at(leader_since: BootTime) -> Self {
        Self {
            leader_since,
            rows: BTreeMap::new(),
        }
    }

    /// Returns since when this leader leads.
    pub const fn leader_since(&self) -> BootTime {
        self.leader_since
    }

    /// Tells whether an attempt may begin now.
    pub fn may_send(&self, number: u64, now: BootTime) -> bool {
        let waited = |since: BootTime| now >= since + REPEAT_AFTER;
        let free = match self.rows.get(&number) {
            None => true,
            Some(DeliveryState::Sending) => false,
            Some(DeliveryState::Ended(at)) => waited(*at),
        };
        free && now >= self.leader_since + DELIVERY_GRACE
    }

    /// Returns from when on nothing that this leader sent under the number can still be under way.
    ///
    /// Returns nothing while an attempt is under way, and for what this leader has not sent at all.
    pub fn quiet_since(&self, number: u64) -> Option<BootTime> {
        match self.rows.get(&number)? {
            DeliveryState::Sending => None,
            DeliveryState::Ended(at) => Some(*at + DELIVERY_USER_TIMEOUT),
        }
    }

    /// Notes that an attempt begins.
    pub fn begin(&mut self, number: u64) {
        self.rows.insert(number, DeliveryState::Sending);
    }

    /// Notes that an attempt ended without a clear answer.
    pub fn end(&mut self, number: u64, now: BootTime) {
        self.rows.insert(number, DeliveryState::Ended(now));
    }

    /// Forgets what is settled.
    pub fn forget(&mut self, number: u64) {
        self.rows.remove(&number);
    }
}
