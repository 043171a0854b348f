//! When endpoints last wrote something, as one entry saw it.
//!
//! An endpoint that says nothing may have ended, or be about to go on. Whether others of its service are as silent tells the
//! two apart. `docs/design/silence.md` describes the whole.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::core::clock::BootTime;

/// Time for which an endpoint that has written something counts as active: some steps of an engine's batch loop.
const ACTIVITY_WINDOW: Duration = Duration::from_millis(200);

/// Time at which one endpoint last wrote something. Shared by the calls that read from it, which record each piece without a
/// lock.
#[derive(Debug, Default)]
pub struct EndpointActivity {
    /// Microseconds of the boot clock, or 0 if it has written nothing.
    at_us: AtomicU64,
}

impl EndpointActivity {
    /// Records that the endpoint wrote something.
    pub fn record(&self, now: BootTime) {
        let now_us = u64::try_from(now.since_boot().as_micros()).unwrap_or(u64::MAX);
        self.at_us.fetch_max(now_us, Ordering::Relaxed);
    }

    /// Returns the time since the endpoint last wrote something, or `None` if it has written nothing.
    pub fn silence(&self, now: BootTime) -> Option<Duration> {
        match self.at_us.load(Ordering::Relaxed) {
            0 => None,
            at_us => Some(now.since(BootTime::from_boot(Duration::from_micros(at_us)))),
        }
    }

    /// Returns true if the endpoint has written something just now.
    pub fn is_active(&self, now: BootTime) -> bool {
        self.silence(now).is_some_and(|silence| silence < ACTIVITY_WINDOW)
    }
}
