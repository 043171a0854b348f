//! Limit on retries that all entries obey together without communicating.
//!
//! When a service fails, every entry retries its calls, which multiplies the load on a service that is already failing.
//! Operators limit the retries of all entries together: in any window, a ratio of the calls plus a fixed slack. Each
//! entry applies the ratio to its own calls, and the slack is divided by the number of entries.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::clock::BootTime;

/// Limit on the retries of all entries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Number of retries allowed per call.
    pub ratio: f64,
    /// Number of retries allowed beyond the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the limit that is used. The rest covers calls that the clocks of two hosts assign to different windows.
const USABLE_FRACTION: f64 = 0.8;

/// What an entry decides by whether a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Calls within the window.
    pub calls: usize,
    /// Retries within the window.
    pub retries: usize,
    /// Number of retries that the calls and the share of the slack allow.
    pub allowed: f64,
}

/// Calls and retries that one entry has sent to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    calls: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryLimiter {
    /// Records a call that the entry has received. Retries of it are not recorded here.
    pub fn record_call(&mut self, now: BootTime, limit: &RetryLimit) {
        self.expire(now, limit);
        self.calls.push_back(now);
    }

    /// Acquires one retry and returns true, or returns false if the limit is reached.
    ///
    /// `entries` is the number of entries that may be sending at present. If the caller passes fewer than there are,
    /// each entry takes too large a share of the slack, and together they may exceed it.
    pub fn try_acquire(&mut self, now: BootTime, limit: &RetryLimit, entries: u32) -> bool {
        let usage = self.usage(now, limit, entries);
        if (usage.retries + 1) as f64 > usage.allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns what [`Self::try_acquire`] would decide by.
    pub fn usage(&mut self, now: BootTime, limit: &RetryLimit, entries: u32) -> RetryUsage {
        self.expire(now, limit);
        let own = limit.ratio * self.calls.len() as f64;
        RetryUsage {
            calls: self.calls.len(),
            retries: self.retries.len(),
            allowed: USABLE_FRACTION * (own + limit.slack / f64::from(entries.max(1))),
        }
    }

    fn expire(&mut self, now: BootTime, limit: &RetryLimit) {
        for times in [&mut self.calls, &mut self.retries] {
            while times.front().is_some_and(|first| now.since(*first) >= limit.window) {
                times.pop_front();
            }
        }
    }
}
