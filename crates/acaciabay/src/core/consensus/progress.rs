//! What a leader knows of each other member.

use super::entry::LogIndex;

/// How far one follower has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FollowerProgress {
    /// The last entry that the follower has synced and that equals the leader's.
    pub(super) matched: LogIndex,
    /// The next entry to send.
    pub(super) next: LogIndex,
    /// The latest round that it has answered.
    pub(super) round: u64,
    /// The round in which the leader began to send to it.
    pub(super) since_round: u64,
    /// Whether the follower's log is being searched for where it equals the leader's. Until it is found, one message
    /// goes out each round.
    pub(super) probing: bool,
    /// The snapshot under way, if any, and the round in which it was sent.
    pub(super) snapshot: Option<(LogIndex, u64)>,
}

impl FollowerProgress {
    pub(super) const fn starting_at(next: LogIndex, round: u64) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            round: 0,
            since_round: round,
            probing: true,
            snapshot: None,
        }
    }
}
