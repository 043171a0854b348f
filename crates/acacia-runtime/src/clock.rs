//! Functions that read the boot clock and the wall clock of the host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use acaciabay::core::clock::{BootTime, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// Reads the boot clock, which also advances while the host is suspended.
pub fn boot_now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    BootTime::from_boot(Duration::new(secs, nanos))
}

/// Reads the wall clock.
pub fn wall_now() -> WallTime {
    WallTime::from_secs(since_epoch().as_secs())
}

/// Reads the wall clock in nanoseconds since the Unix epoch, the unit of OTLP span timestamps.
pub fn wall_nanos() -> u64 {
    u64::try_from(since_epoch().as_nanos()).unwrap_or(u64::MAX)
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
