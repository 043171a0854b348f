//! The users' rule on retries, summed over all entries, and what its tests have in common.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::retry_limiter::RetryLimit;

pub(crate) const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

/// What callers have sent and what has arrived beyond the first of each call, in the order of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryRecord {
    pub(crate) calls: Vec<BootTime>,
    pub(crate) retries: Vec<BootTime>,
}

/// The window in which the retries come nearest to what the rule allows, or exceed it most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorstWindow {
    pub(crate) retries: usize,
    pub(crate) allowed: f64,
}

impl WorstWindow {
    pub(crate) fn is_kept(self) -> bool {
        self.retries as f64 <= self.allowed
    }

    pub(crate) fn used(self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

impl RetryRecord {
    /// Returns the worst of all windows.
    pub(crate) fn worst_window(&self) -> WorstWindow {
        let windows = self.retries.iter().map(|begin| WorstWindow {
            retries: count(&self.retries, *begin, *begin + LIMIT.window),
            allowed: LIMIT.ratio * self.calls_for(*begin) as f64 + LIMIT.slack,
        });
        let worst = windows.max_by(|one, other| one.used().total_cmp(&other.used()));
        worst.unwrap_or(WorstWindow {
            retries: 0,
            allowed: LIMIT.slack,
        })
    }

    /// Returns the calls in the window, the one before it or the one half a window before it, whichever has most.
    fn calls_for(&self, begin: BootTime) -> usize {
        let window = LIMIT.window;
        let earlier = |time: Duration| BootTime::from_boot(begin.since_boot().saturating_sub(time));
        let spans = [
            (begin, begin + window),
            (earlier(window / 2), begin + window / 2),
            (earlier(window), begin),
        ];
        let counts = spans.map(|(from, until)| count(&self.calls, from, until));
        counts.into_iter().max().unwrap_or(0)
    }
}

/// Returns how many of the sorted times lie in a span.
fn count(times: &[BootTime], from: BootTime, until: BootTime) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}
