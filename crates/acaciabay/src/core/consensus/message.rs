//! Messages between replicas.

use super::entry::{LogEntry, LogIndex, ReplicaSnapshot, Term};
use super::members::ReplicaId;

/// Message with its sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaMessage {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Term of the sender; in pre-vote requests and granted pre-votes, the term that the candidate would start.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Request for a vote or, with `pre_vote`, for the information whether the receiver would grant one.
    ///
    /// A pre-vote commits the receiver to nothing and raises no term. So a replica that was partitioned, or removed
    /// without knowing it, cannot depose a leader by asking.
    VoteRequest {
        /// True for a pre-vote.
        pre_vote: bool,
        /// Index of the candidate's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a vote request.
    VoteReply {
        /// True if the request was a pre-vote.
        pre_vote: bool,
        /// True if the vote is granted.
        granted: bool,
    },
    /// Entries to append; without entries, a heartbeat.
    AppendRequest(AppendRequest),
    /// Reply to an append or a snapshot.
    AppendReply {
        /// True if the receiver's log now contains the entries or the snapshot.
        accepted: bool,
        /// If accepted, the highest index up to which the log is known to match the leader's; if rejected, the highest
        /// index up to which it may match.
        index: LogIndex,
        /// Heartbeat round of the request; 0 when a request from an older term is rejected.
        round: u64,
    },
    /// Snapshot for a replica that needs entries the leader has already compacted.
    SnapshotRequest {
        /// State, with its position in the log.
        snapshot: ReplicaSnapshot,
        /// Heartbeat round of the leader.
        round: u64,
    },
}

/// Entries to append, with the position that they follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendRequest {
    /// Index of the entry before the first one in `entries`.
    pub previous_index: LogIndex,
    /// Term of that entry.
    pub previous_term: Term,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Heartbeat round of the leader. A quorum of replies extends the lease, counted from when the round was sent.
    pub round: u64,
    /// Entries, in log order.
    pub entries: Vec<LogEntry>,
}
