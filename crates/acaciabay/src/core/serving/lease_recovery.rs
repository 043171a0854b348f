//! What becomes of a call that comes while its entry has no lease.
//!
//! After all hosts lost power, entries start before the control group has a leader, and so does a single entry that was
//! restarted: a moment later it has its lease. A caller that was turned away would come back much later than that, or not
//! at all where its time is short. An entry that had a lease and lost it does not know when it gets another, and refuses.

use std::time::Duration;

use crate::core::clock::BootTime;

/// How long a group that has lost its leader, or has just started, takes until entries have a lease again: a lease of
/// the leader before (0.8 s), an election (up to 1.3 s) and a renewal.
const LEASE_RECOVERY: Duration = Duration::from_millis(2_200);
/// The least time after which a caller without a lease is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long after the start of an entry its first lease may be waited for: the group starts about when it does, and has a
/// leader within a second where the former one returns, and within two where another one has to be elected.
const FIRST_LEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// What a call needs after the lease to be answered at all. One that has less left then is refused at once.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Since when an entry has no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutage {
    /// It has had none since the process started.
    SinceStart(BootTime),
    /// The last one ended.
    SinceEnd(BootTime),
}

impl LeaseOutage {
    /// Returns for how long a call is held that has to be answered by `until`; nothing where it is refused at once.
    pub fn hold_time(self, now: BootTime, until: BootTime) -> Option<Duration> {
        let Self::SinceStart(started_at) = self else {
            return None;
        };
        let expected = (started_at + FIRST_LEASE_TIMEOUT).since(now);
        let left = until.since(now + MIN_ANSWER_TIME);
        let hold_time = expected.min(left);
        (!hold_time.is_zero()).then_some(hold_time)
    }

    /// Returns when a caller may come back that is not served.
    pub fn retry_after(self, now: BootTime) -> Duration {
        let (Self::SinceStart(since) | Self::SinceEnd(since)) = self;
        LEASE_RECOVERY.saturating_sub(now.since(since)).max(MIN_RETRY_AFTER)
    }
}
