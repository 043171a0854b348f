//! The wall clock that most replicas agree on.
//!
//! The wall clock of a host may jump by seconds. Calls are billed by the window of the wall clock in which they began, so
//! an entry goes by the middle one of what the replicas say, and only without them by its own clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::core::clock::BootTime;

/// The fewest replicas whose middle is believed: of two that disagree, either may be wrong.
const MIN_REPLICAS: usize = 3;

/// How far the wall clock of each replica is ahead of this host's boot clock.
#[derive(Clone, Debug, Default)]
pub struct GroupClock {
    offsets_millis: BTreeMap<SocketAddr, i128>,
}

impl GroupClock {
    /// Notes what a replica's wall clock says at `now`.
    pub fn record(&mut self, now: BootTime, replica: SocketAddr, wall_millis: u64) {
        let offset = i128::from(wall_millis) - boot_millis(now);
        self.offsets_millis.insert(replica, offset);
    }

    /// Forgets a replica that is no longer heard.
    pub fn forget(&mut self, replica: &SocketAddr) {
        self.offsets_millis.remove(replica);
    }

    /// Returns the time that most replicas agree on, in milliseconds since 1970; nothing while too few are heard.
    pub fn wall_millis(&self, now: BootTime) -> Option<u64> {
        if self.offsets_millis.len() < MIN_REPLICAS {
            return None;
        }
        let mut sorted: Vec<i128> = self.offsets_millis.values().copied().collect();
        sorted.sort_unstable();
        u64::try_from(boot_millis(now) + sorted[sorted.len() / 2]).ok()
    }
}

fn boot_millis(now: BootTime) -> i128 {
    i128::try_from(now.since_boot().as_millis()).unwrap_or(i128::MAX)
}
