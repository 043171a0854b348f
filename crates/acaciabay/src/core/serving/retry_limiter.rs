//! A bound on second sends that many entries keep without asking each other.
//!
//! When a service fails, every entry sends its calls again, and the service gets a multiple of its load at the worst
//! moment. Operators bound that for all entries together: in any window, a part of the calls plus a fixed slack. The
//! part of the calls can be kept by each entry for its own calls; the slack is divided by the number of entries.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::clock::BootTime;

/// The bound for one service over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Second sends for each call.
    pub ratio: f64,
    /// Second sends beyond that.
    pub slack: f64,
    /// The length of the window that slides.
    pub window: Duration,
}

/// How much of the bound is used: the rest covers calls that two clocks count into different windows.
const USABLE_FRACTION: f64 = 0.8;

/// What one entry has sent to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    calls: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryLimiter {
    /// Notes a caller's request.
    pub fn record_call(&mut self, now: BootTime, limit: &RetryLimit) {
        self.expire(now, limit);
        self.calls.push_back(now);
    }

    /// Takes one second send and tells whether there was one left.
    ///
    /// `entries` is how many entries may be sending at present. Counting too few of them would let all together exceed
    /// the slack.
    pub fn try_acquire(&mut self, now: BootTime, limit: &RetryLimit, entries: u32) -> bool {
        self.expire(now, limit);
        let allowed =
            USABLE_FRACTION * (limit.ratio * self.calls.len() as f64 + limit.slack / f64::from(entries.max(1)));
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: BootTime, limit: &RetryLimit) {
        for times in [&mut self.calls, &mut self.retries] {
            while times.front().is_some_and(|first| now.since(*first) >= limit.window) {
                times.pop_front();
            }
        }
    }
}
