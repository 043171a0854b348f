//! Replication progress of each follower, as the leader tracks it.

use super::entry::LogIndex;

/// Replication progress of one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FollowerProgress {
    /// Highest index up to which the follower's synced log is known to match the leader's.
    pub(super) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// Latest heartbeat round that the follower has replied to.
    pub(super) round: u64,
    /// Heartbeat round in which the leader started to track the follower.
    pub(super) tracked_since_round: u64,
    /// True while the leader searches for the point up to which the follower's log matches its own. Until it finds that
    /// point, it sends one message per heartbeat round.
    pub(super) probing: bool,
    /// Index of the snapshot in flight, if any, and the heartbeat round in which it was sent.
    pub(super) snapshot: Option<(LogIndex, u64)>,
}

impl FollowerProgress {
    pub(super) const fn starting_at(next_index: LogIndex, round: u64) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index,
            round: 0,
            tracked_since_round: round,
            probing: true,
            snapshot: None,
        }
    }
}
