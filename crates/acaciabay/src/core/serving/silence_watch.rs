//! When an entry looks for another endpoint because that of a call writes nothing.
//!
//! Silence alone ends nothing: the endpoint may go on, and what it has done so far would be lost. `docs/design/silence.md`
//! describes the whole.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Interval at which another endpoint is looked for again after none was found that does better.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// What an entry has heard of one call from its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SilenceWatch {
    heard_at: BootTime,
    searched_at: Option<BootTime>,
}

impl SilenceWatch {
    /// Creates the watch of a call that was sent, or whose answer last grew, at `now`.
    pub const fn new(now: BootTime) -> Self {
        Self {
            heard_at: now,
            searched_at: None,
        }
    }

    /// Returns the time for which nothing has come.
    pub const fn silence(&self, now: BootTime) -> Duration {
        now.since(self.heard_at)
    }

    /// Records that another endpoint was looked for in vain.
    pub const fn record_search(&mut self, now: BootTime) {
        self.searched_at = Some(now);
    }

    /// Returns the time after which another endpoint is looked for, if nothing comes until then. `patience` is the silence
    /// that is not worth a search.
    pub fn time_to_search(&self, now: BootTime, patience: Duration) -> Duration {
        let again_at = self.searched_at.map(|at| at + SEARCH_INTERVAL);
        let search_at = again_at.map_or(self.heard_at + patience, |at| at.max(self.heard_at + patience));
        search_at.since(now)
    }
}
