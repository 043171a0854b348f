//! Entries of the log and what else a replica must not forget.

use bytes::Bytes;

use super::members::{MemberSet, ReplicaId};

/// The number of an election; at most one replica leads in each term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

/// The place of an entry in the log, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the place after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the place before this one; the first has 0 before it.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryPayload {
    /// Nothing: a new leader commits it to learn how far its predecessors' entries are committed.
    Empty,
    /// A command for the replicated state, in the form that the embedder has given it.
    Command(Bytes),
    /// The members from this entry on.
    Members(MemberSet),
}

impl EntryPayload {
    /// Returns roughly how many bytes the entry takes in a message.
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

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it says.
    pub payload: EntryPayload,
}

/// What a replica must have synced before it answers in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term that the replica has taken part in.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
    /// Who leads or has led in that term, once the replica knows it. A term has one leader, so this stays true; it tells a
    /// replica that starts again to whom it may have confirmed a lease.
    pub leader: Option<ReplicaId>,
}

impl HardState {
    /// Returns what the first members of a group start with.
    pub const fn founding() -> Self {
        Self {
            term: Term(1),
            vote: None,
            leader: None,
        }
    }
}

/// The replicated state after the entry at `index`, in place of all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSnapshot {
    /// The last entry that the state contains.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The members after it.
    pub members: MemberSet,
    /// The state, in the form that the embedder has given it.
    pub state: Bytes,
}

impl ReplicaSnapshot {
    /// Returns the state of a group that is founded with these members: nothing.
    pub fn founding(members: MemberSet) -> Self {
        Self {
            index: LogIndex(1),
            term: Term(1),
            members,
            state: Bytes::new(),
        }
    }
}
