//! Time types. Decision functions receive the current time as an argument instead of reading a clock.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point in time on the host's boot clock, which keeps counting while the host is suspended.
///
/// With a monotonic clock that stops during suspension, a resumed leader could treat an expired lease as valid (see
/// `docs/design/authority.md`). Times from different hosts must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates a time from the duration since the host booted.
    pub const fn from_boot(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Creates a time from the number of milliseconds since the host booted.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the duration since the host booted.
    pub const fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, delay: Duration) -> Self {
        Self(self.0 + delay)
    }
}

impl fmt::Display for BootTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

/// Wall-clock time in seconds since the Unix epoch, for values that are read by people or by the billing platform.
///
/// Leases and timeouts must not be derived from it, because wall clocks can jump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from the number of seconds since the Unix epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs)
    }

    /// Returns the number of seconds since the Unix epoch.
    pub const fn as_secs(self) -> u64 {
        self.0
    }
}
