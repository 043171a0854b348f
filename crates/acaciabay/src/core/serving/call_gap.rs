//! Time for which no call of a service has run.

use crate::core::clock::BootTime;
use crate::core::serving::stream_origin::ORIGIN_RETENTION;

/// Time since the last call of a service.
///
/// A moment without calls does not mean that nobody needs the engines: the next call may come at once, and callers continue
/// streams that have broken off. See `docs/design/stream-versions.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallGap {
    last_call: Option<BootTime>,
}

impl CallGap {
    /// Returns the gap of a service whose calls until `now` are unknown.
    pub const fn since(now: BootTime) -> Self {
        Self { last_call: Some(now) }
    }

    /// Records that a call runs at `now`, or has run since the last record.
    pub const fn record_call(&mut self, now: BootTime) {
        self.last_call = Some(now);
    }

    /// Returns true if no call has ever run, or the last one is so long ago that none of its streams can be continued.
    pub fn is_idle(&self, now: BootTime) -> bool {
        self.last_call.is_none_or(|at| now.since(at) >= ORIGIN_RETENTION)
    }
}
