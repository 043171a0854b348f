//! Limit on the retries of a service that all entries keep together.
//!
//! When a service fails, every entry retries its calls, which multiplies the load on a service that is already failing.
//! Operators limit the retries of all entries together: in any window, a ratio of the calls plus a fixed slack. An entry
//! admits retries by the ratio on its own, from the calls that it has received since it began. The slack belongs to all
//! entries, and is granted by the leader, see [`RetryLedger`](super::retry_ledger::RetryLedger).
//! `docs/design/retries.md` shows why the sum stays within the limit however often entries and leaders change.

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

/// Time from the report that asked for a retry until it expires. A granted retry outlives the leader by this time at most.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which calls are refused at once after the leader could not grant all that was asked: one renewal.
const EXHAUSTED_TIME: Duration = Duration::from_millis(250);
/// Fraction of the ratio that is used. The rest covers calls and retries that arrive later than they are counted.
const USABLE_FRACTION: f64 = 0.95;
/// Number of slices into which a window is divided. A window that begins inside a slice contains all but one of them.
const SLICES: u64 = 100;
/// Parts that the calls in a window and in the one half a window before it have in the mean of both. The larger of the two
/// would not do: it may be another one at each entry.
const OWN_WINDOW_PART: f64 = 0.6;
const EARLIER_WINDOW_PART: f64 = 1.0 - OWN_WINDOW_PART;

impl RetryLimit {
    /// Returns the number of the slice of a time.
    fn slice(&self, at: BootTime) -> u64 {
        let length = (self.window.as_nanos() / u128::from(SLICES)).max(1);
        u64::try_from(at.since_boot().as_nanos() / length).unwrap_or(u64::MAX)
    }
}

/// Retry that an entry may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquiredRetry {
    /// It is admitted by the entry's own calls, and counted in this slice.
    Own {
        /// Number of the slice.
        slice: u64,
    },
    /// The leader has granted it from the slack.
    Granted {
        /// Time at which it expires.
        until: BootTime,
    },
}

/// What an entry decides by whether a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries within the window that allows the fewest further ones.
    pub retries: u64,
    /// Number of retries that the entry's calls allow within this window.
    pub allowed: f64,
    /// Retries that the leader has granted and that are not used.
    pub held: usize,
}

impl RetryUsage {
    /// Returns true if the entry's own calls allow one more retry.
    fn has_room(&self) -> bool {
        self.spare() >= 1.0
    }

    fn spare(&self) -> f64 {
        self.allowed - self.retries as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RetrySlice {
    number: u64,
    calls: u64,
    retries: u64,
}

/// Calls and retries of one entry to one service, and the retries that the leader has granted it.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    /// Slices with calls or retries, the oldest first.
    slices: VecDeque<RetrySlice>,
    held: VecDeque<BootTime>,
    /// Retries that were wanted and not admitted since the last report to the leader.
    wanted: u64,
    /// Time until which the leader has nothing more to grant.
    exhausted_until: BootTime,
}

impl RetryLimiter {
    /// Records a call that the entry has received at `at`. Retries of it are not recorded here.
    pub fn record_call(&mut self, at: BootTime, limit: &RetryLimit) {
        let number = limit.slice(at);
        self.forget_before(number);
        self.slice_mut(number).calls += 1;
    }

    /// Acquires one retry: one that the leader has granted, since it expires, or one that the entry's own calls allow.
    pub fn try_acquire(&mut self, now: BootTime, limit: &RetryLimit) -> Option<AcquiredRetry> {
        if let Some(until) = self.take_held(now) {
            return Some(AcquiredRetry::Granted { until });
        }
        self.acquire_own(now, limit)
    }

    /// Returns what [`Self::try_acquire`] decides by.
    pub fn usage(&mut self, now: BootTime, limit: &RetryLimit) -> RetryUsage {
        let newest = limit.slice(now);
        self.forget_before(newest);
        self.held.retain(|until| now < *until);
        let held = self.held.len();
        let counts = SliceCounts::new(self.slices.iter().copied(), newest);
        let windows = counts.begins().map(|begin| RetryUsage {
            retries: counts.retries(begin, newest),
            allowed: USABLE_FRACTION * limit.ratio * counts.mean_calls(begin),
            held,
        });
        let tightest = windows.min_by(|one, other| one.spare().total_cmp(&other.spare()));
        tightest.unwrap_or(RetryUsage {
            retries: 0,
            allowed: 0.0,
            held,
        })
    }

    /// Counts an acquired retry at the moment in which it is sent. Returns what it is counted as, or `None` if it may no
    /// longer be sent: the limit counts what arrives in a window, and a retry may wait long for a connection.
    pub fn confirm(&mut self, now: BootTime, limit: &RetryLimit, acquired: AcquiredRetry) -> Option<AcquiredRetry> {
        match acquired {
            AcquiredRetry::Granted { until } if now < until => Some(acquired),
            AcquiredRetry::Own { slice } if slice == limit.slice(now) => Some(acquired),
            AcquiredRetry::Granted { .. } | AcquiredRetry::Own { .. } => {
                self.release(acquired);
                self.try_acquire(now, limit)
            }
        }
    }

    /// Takes back a retry that was not sent.
    pub fn release(&mut self, acquired: AcquiredRetry) {
        match acquired {
            AcquiredRetry::Granted { until } => self.held.push_front(until),
            AcquiredRetry::Own { slice } => {
                let counted = self.slices.iter_mut().find(|known| known.number == slice);
                if let Some(counted) = counted {
                    counted.retries = counted.retries.saturating_sub(1);
                }
            }
        }
    }

    /// Records that a call could not be retried, so that the leader is asked for a retry.
    pub const fn record_want(&mut self) {
        self.wanted += 1;
    }

    /// Returns how many retries the leader has to be asked for.
    pub const fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Returns how many retries the leader has to be asked for, and counts anew.
    pub const fn take_wanted(&mut self) -> u64 {
        std::mem::replace(&mut self.wanted, 0)
    }

    /// Records the leader's answer to the report that was sent at `reported_at` and asked for `wanted` retries.
    pub fn record_granted(&mut self, now: BootTime, reported_at: BootTime, wanted: u64, granted: u64) {
        let until = reported_at + GRANT_LIFETIME;
        let granted = granted.min(wanted);
        self.held.extend((0..granted).map(|_| until));
        if granted < wanted {
            self.exhausted_until = now + EXHAUSTED_TIME;
        }
    }

    /// Returns true if the leader has just granted less than it was asked for.
    pub fn is_exhausted(&self, now: BootTime) -> bool {
        now < self.exhausted_until
    }

    fn acquire_own(&mut self, now: BootTime, limit: &RetryLimit) -> Option<AcquiredRetry> {
        if !self.usage(now, limit).has_room() {
            return None;
        }
        let slice = limit.slice(now);
        self.slice_mut(slice).retries += 1;
        Some(AcquiredRetry::Own { slice })
    }

    fn take_held(&mut self, now: BootTime) -> Option<BootTime> {
        self.held.retain(|until| now < *until);
        self.held.pop_front()
    }

    /// Returns the slice with this number. Calls may be recorded a little later than they came.
    fn slice_mut(&mut self, number: u64) -> &mut RetrySlice {
        let place = self.slices.partition_point(|slice| slice.number < number);
        if self.slices.get(place).is_none_or(|slice| slice.number != number) {
            let slice = RetrySlice {
                number,
                ..RetrySlice::default()
            };
            self.slices.insert(place, slice);
        }
        &mut self.slices[place]
    }

    /// Forgets the slices of which no window that begins with a retry of the last window is made.
    fn forget_before(&mut self, newest: u64) {
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number + 2 * SLICES < newest)
        {
            self.slices.pop_front();
        }
    }
}

/// Sums of calls and retries over the slices up to the newest one.
struct SliceCounts {
    /// Number of the first slice of the sums.
    first: u64,
    newest: u64,
    /// Calls and retries before each slice.
    calls: Vec<u64>,
    retries: Vec<u64>,
}

impl SliceCounts {
    fn new(slices: impl Iterator<Item = RetrySlice>, newest: u64) -> Self {
        let first = newest.saturating_sub(2 * SLICES);
        let length = usize::try_from(newest - first + 2).unwrap_or(usize::MAX);
        let (mut calls, mut retries) = (vec![0; length], vec![0; length]);
        for slice in slices.filter(|slice| (first..=newest).contains(&slice.number)) {
            let place = usize::try_from(slice.number - first).unwrap_or(usize::MAX) + 1;
            calls[place] = slice.calls;
            retries[place] = slice.retries;
        }
        for place in 1..length {
            calls[place] += calls[place - 1];
            retries[place] += retries[place - 1];
        }
        Self {
            first,
            newest,
            calls,
            retries,
        }
    }

    /// Returns the slices in which a window may begin that is not over yet.
    fn begins(&self) -> impl Iterator<Item = u64> {
        self.newest.saturating_sub(SLICES)..=self.newest
    }

    /// Returns the retries of the slices from `from` to `to`.
    fn retries(&self, from: u64, to: u64) -> u64 {
        Self::sum(&self.retries, self.place(from), self.place(to + 1))
    }

    /// Returns the mean number of calls in a window that begins in this slice, and in the one half a window before it, as far
    /// as every such window contains them.
    fn mean_calls(&self, begin: u64) -> f64 {
        let calls = |begin: u64| Self::sum(&self.calls, self.place(begin + 1), self.place(begin + SLICES)) as f64;
        OWN_WINDOW_PART * calls(begin) + EARLIER_WINDOW_PART * calls(begin.saturating_sub(SLICES / 2))
    }

    fn place(&self, number: u64) -> usize {
        let place = number.clamp(self.first, self.newest + 1) - self.first;
        usize::try_from(place).unwrap_or(usize::MAX)
    }

    fn sum(sums: &[u64], from: usize, to: usize) -> u64 {
        sums[to.max(from)] - sums[from]
    }
}
