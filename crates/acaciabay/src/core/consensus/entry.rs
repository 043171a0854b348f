//! Log entries and the other state that a replica persists.

use bytes::Bytes;

use super::members::{MemberSet, ReplicaId};

/// Election term; each term has at most one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

/// Position of an entry in the log, counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the index after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or 0 if there is none.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryPayload {
    /// No-op that a new leader appends: once it is committed, so are all entries from earlier terms before it.
    Empty,
    /// Command for the replicated state machine, encoded by the embedder.
    Command(Bytes),
    /// Members of the group from this entry on.
    Members(MemberSet),
}

impl EntryPayload {
    /// Returns the approximate size of the entry in a message, in bytes.
    pub(super) fn size(&self) -> usize {
        const FIXED: usize = 32;
        const MEMBER: usize = 64;
        match self {
            Self::Empty => FIXED,
            Self::Command(bytes) => FIXED + bytes.len(),
            Self::Members(members) => FIXED + MEMBER * members.rows().count(),
        }
    }
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// State that a replica must sync to disk before it sends messages in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term that the replica has taken part in.
    pub term: Term,
    /// Candidate that the replica voted for in this term.
    pub vote: Option<ReplicaId>,
    /// Leader of this term, once the replica knows it. It cannot change within the term, so it stays valid after the
    /// leader has stepped down. After a restart it names the leader whose lease the replica may have confirmed.
    pub leader: Option<ReplicaId>,
}

impl HardState {
    /// Returns the initial state of the first members of a group.
    pub const fn founding() -> Self {
        Self {
            term: Term(1),
            vote: None,
            leader: None,
        }
    }
}

/// Replicated state after the entry at `index`. It replaces the log up to and including that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSnapshot {
    /// Index of the last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members of the group after that entry.
    pub members: MemberSet,
    /// State of the state machine, encoded by the embedder.
    pub state: Bytes,
}

impl ReplicaSnapshot {
    /// Index of the initial snapshot of a new group.
    pub(super) const FOUNDING_INDEX: LogIndex = LogIndex(1);

    /// Returns the initial snapshot of a new group: these members and an empty state.
    pub fn founding(members: MemberSet) -> Self {
        Self {
            index: Self::FOUNDING_INDEX,
            term: Term(1),
            members,
            state: Bytes::new(),
        }
    }
}
