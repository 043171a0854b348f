//! Handling of calls that arrive while an entry has no serving lease.
//!
//! An entry that has just started usually gets its first lease within a moment, even after a power failure of all
//! hosts, when entries start before the control group has a leader. A refused caller would retry much later than that,
//! or not at all if its time limit is short. Such an entry therefore holds calls until it has a lease, for a limited
//! time.
//!
//! An entry that has lost its lease cannot tell when it will get another one, and other entries may serve the calls. It
//! refuses calls at once.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Time until entries have a serving lease again after the control group has started or lost its leader. The leader
/// lease of the former leader, by which other replicas grant no vote, has to end (0.8 s). An election (up to 1.3 s) and
/// a renewal of the entry's serving lease follow.
const LEASE_RECOVERY: Duration = Duration::from_millis(2_200);
/// Minimum retry delay for callers that are refused for lack of a lease.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after the start of an entry during which a call may be held for the first lease. The control group starts at
/// about the same time. It has a leader within one second if the former leader returns, and within two if another one
/// has to be elected.
const FIRST_LEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Minimum time that a call needs for its answer once the entry has a lease. A call that has less time left is refused
/// at once.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Period without a lease, with its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutage {
    /// No lease since the process started, at this time.
    SinceStart(BootTime),
    /// No lease since the last one ended, at this time.
    SinceEnd(BootTime),
}

impl LeaseOutage {
    /// Returns how long to hold a call that has to be answered by `deadline`, or `None` if it is refused at once.
    pub fn hold_time(self, now: BootTime, deadline: BootTime) -> Option<Duration> {
        let Self::SinceStart(started_at) = self else {
            return None;
        };
        let until_timeout = (started_at + FIRST_LEASE_TIMEOUT).since(now);
        let until_deadline = deadline.since(now + MIN_ANSWER_TIME);
        let hold_time = until_timeout.min(until_deadline);
        (!hold_time.is_zero()).then_some(hold_time)
    }

    /// Returns the delay after which a refused caller may retry.
    pub fn retry_after(self, now: BootTime) -> Duration {
        let (Self::SinceStart(since) | Self::SinceEnd(since)) = self;
        LEASE_RECOVERY.saturating_sub(now.since(since)).max(MIN_RETRY_AFTER)
    }
}
