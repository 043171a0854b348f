//! Members of the group.

use std::collections::BTreeMap;

use crate::core::name::HostName;

/// Identifier of a replica. An id is never reused: a host that lost its disk rejoins under a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

/// Identifier of a data folder, generated at random when the folder is first used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DiskId(pub u64);

/// Member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// Host that the replica runs on.
    pub host: HostName,
    /// Peer address of the replica.
    pub address: String,
    /// Data folder that the replica is bound to, once its host has reported one.
    ///
    /// An emptied folder gets a new identifier. Without the binding, the host would rejoin under its old replica id
    /// without its votes and the entries that it had confirmed, and a committed entry could be lost.
    pub disk: Option<DiskId>,
    /// True for a voter, false for a learner.
    pub voter: bool,
}

/// Set of all members of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSet {
    rows: BTreeMap<ReplicaId, MemberRow>,
    last: ReplicaId,
}

impl MemberSet {
    /// Creates a set from its members and the highest replica id ever assigned.
    pub fn new(rows: impl IntoIterator<Item = (ReplicaId, MemberRow)>, last: ReplicaId) -> Self {
        Self {
            rows: rows.into_iter().collect(),
            last,
        }
    }

    /// Returns all members in the order of their ids.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaId, &MemberRow)> {
        self.rows.iter().map(|(id, row)| (*id, row))
    }

    /// Returns the member with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&MemberRow> {
        self.rows.get(&id)
    }

    /// Returns the member that runs on a host.
    pub fn find_by_host(&self, host: &HostName) -> Option<(ReplicaId, &MemberRow)> {
        self.rows().find(|(_, row)| row.host == *host)
    }

    /// Returns the highest replica id ever assigned.
    pub const fn last(&self) -> ReplicaId {
        self.last
    }

    /// Returns true if a replica is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.rows.get(&id).is_some_and(|row| row.voter)
    }

    /// Returns the ids of all voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.rows().filter(|(_, row)| row.voter).map(|(id, _)| id)
    }

    /// Returns the number of voters in a quorum, which is a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that a quorum of the voters has reached.
    pub(super) fn quorum_value(&self, mut value_of: impl FnMut(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(&mut value_of).collect();
        values.sort_unstable_by(|first, second| second.cmp(first));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns the highest value that at least `copies` voters have reached, or all voters if there are fewer.
    pub(super) fn replicated_value(&self, copies: usize, mut value_of: impl FnMut(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(&mut value_of).collect();
        values.sort_unstable_by(|first, second| second.cmp(first));
        let rank = copies.min(values.len()).saturating_sub(1);
        values.get(rank).copied().unwrap_or(0)
    }

    /// Returns the set with an additional learner that is bound to a data folder, and the id assigned to it.
    pub(super) fn with_bound_learner(&self, host: HostName, address: String, disk: DiskId) -> (Self, ReplicaId) {
        let (added, id) = self.with_learner(host, address);
        (added.with_updated(id, |row| row.disk = Some(disk)), id)
    }

    /// Returns the set with an additional learner, and the id assigned to it.
    pub(super) fn with_learner(&self, host: HostName, address: String) -> (Self, ReplicaId) {
        let id = ReplicaId(self.last.0 + 1);
        let mut next = self.clone();
        next.rows.insert(
            id,
            MemberRow {
                host,
                address,
                disk: None,
                voter: false,
            },
        );
        next.last = id;
        (next, id)
    }

    /// Returns the set with `change` applied to one member.
    pub(super) fn with_updated(&self, id: ReplicaId, change: impl FnOnce(&mut MemberRow)) -> Self {
        let mut next = self.clone();
        if let Some(row) = next.rows.get_mut(&id) {
            change(row);
        }
        next
    }

    /// Returns the set without one member.
    pub(super) fn without(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        next.rows.remove(&id);
        next
    }
}
