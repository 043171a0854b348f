//! Median wall clock of the replicas.
//!
//! The wall clock of a host may jump by seconds. Calls are billed by the wall-clock window in which they started, so an
//! entry uses the median of the replicas' clocks, and its own clock only if that is not available.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::core::clock::BootTime;

/// Minimum number of replicas for a median. If only two clocks are known and they differ, either may be wrong.
const MIN_REPLICAS: usize = 3;

/// Offsets of the replicas' wall clocks from the boot clock of this host.
#[derive(Clone, Debug, Default)]
pub struct GroupClock {
    offsets_millis: BTreeMap<SocketAddr, i128>,
}

impl GroupClock {
    /// Records that the wall clock of a replica shows `wall_millis` at `now`.
    pub fn record(&mut self, now: BootTime, replica: SocketAddr, wall_millis: u64) {
        let offset = i128::from(wall_millis) - boot_millis(now);
        self.offsets_millis.insert(replica, offset);
    }

    /// Removes a replica that is no longer connected.
    pub fn remove(&mut self, replica: &SocketAddr) {
        self.offsets_millis.remove(replica);
    }

    /// Returns the median time in milliseconds since 1970, or `None` if the clocks of too few replicas are known. For
    /// an even number of replicas it is the later of the two middle times.
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
