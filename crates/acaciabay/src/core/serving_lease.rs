//! The lease under which an entry serves.
//!
//! An entry that is cut off from the control group cannot know whether a key was withdrawn meanwhile. It therefore
//! serves only while a leader has recently confirmed the entry's configuration; afterwards it refuses every request
//! as "not run". That bounds the time until a change is in force everywhere (`docs/design/authority.md`).

use std::time::Duration;

use crate::core::clock::BootTime;

/// How long a confirmation lets an entry serve, counted from when the entry asked.
pub const SERVING_LEASE: Duration = Duration::from_secs(3);

/// How often an entry asks for a confirmation; six attempts fit into one lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How much longer the leader waits than the entry serves, for clocks that run at different rates (1 in 100).
pub const LEASE_DRIFT: Duration = Duration::from_millis(30);

/// An entry's own view of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingLease {
    until: BootTime,
}

impl ServingLease {
    /// Extends the lease by a confirmation that the entry had asked for at `asked_at`.
    ///
    /// Counting from the answer instead would add the time that the answer spent under way, during which a key may
    /// have been withdrawn.
    pub fn confirm(&mut self, asked_at: BootTime) {
        self.until = self.until.max(asked_at + SERVING_LEASE);
    }

    /// Tells whether the entry may serve at `now`.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.until
    }
}
