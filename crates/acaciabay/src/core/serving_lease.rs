//! The lease under which an entry serves.
//!
//! An entry that is disconnected from the control group does not learn that a key was withdrawn. It therefore serves
//! requests only for a limited time after a leader has confirmed its configuration. After that it refuses every request
//! as "not run". This bounds the time until a change is in force everywhere (`docs/design/authority.md`).

use std::time::Duration;

use crate::core::clock::BootTime;

/// Duration of a lease, counted from the time at which the entry sent the request for it.
pub const SERVING_LEASE: Duration = Duration::from_secs(3);

/// Interval between two requests for a confirmation. Six attempts fit into one lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time that the leader waits beyond the end of a lease, to allow for clocks whose rates differ by up to 1 %.
pub const LEASE_DRIFT: Duration = Duration::from_millis(30);

/// The serving lease as seen by the entry that holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingLease {
    until: BootTime,
}

impl ServingLease {
    /// Extends the lease on a confirmation that the entry requested at `asked_at`.
    ///
    /// If the lease started when the confirmation arrived, it would be longer by the time that the message was in
    /// transit, during which a key may have been withdrawn.
    pub fn confirm(&mut self, asked_at: BootTime) {
        self.until = self.until.max(asked_at + SERVING_LEASE);
    }

    /// Returns true if the entry may serve requests at `now`.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.until
    }
}
