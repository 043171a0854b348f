//! Time as a value, so that every function that decides receives the present time from its caller.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A moment on the host's boot clock, which goes on counting while the host is suspended.
///
/// A monotonic clock that stops during suspension would let a resumed leader believe that its lease still runs; the
/// boot clock does not (see `docs/design/authority.md`). Moments of different hosts cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(Duration);

impl BootTime {
    /// Wraps the time elapsed since the host started.
    pub const fn from_boot(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns the moment that many milliseconds after the host started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time elapsed since the host started.
    pub const fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the time from `earlier` to this moment, or zero when `earlier` lies in the future.
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

/// Seconds since the Unix epoch, for figures that people or the billing platform read.
///
/// No lease and no timeout is ever derived from it, because wall clocks jump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Wraps a number of seconds since the Unix epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs)
    }

    /// Returns the number of seconds since the Unix epoch.
    pub const fn as_secs(self) -> u64 {
        self.0
    }
}
