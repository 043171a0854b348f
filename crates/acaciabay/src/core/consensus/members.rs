//! Who belongs to the group.

use std::collections::BTreeMap;

use crate::core::name::HostName;

/// Identifies a replica. A number is given once: a host whose disk was lost comes back under a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

/// Identifies a data folder; it is drawn at random when the folder is first used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DiskId(pub u64);

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The host that the replica runs on.
    pub host: HostName,
    /// The replica's peer address.
    pub address: String,
    /// The data folder that the replica is bound to, once the host has come with one.
    ///
    /// An emptied folder draws another number. Without the binding, the host would come back under its old number
    /// having forgotten what it voted for and which entries it had confirmed, and a committed entry could be lost.
    pub disk: Option<DiskId>,
    /// Whether it votes; otherwise it only learns.
    pub voter: bool,
}

/// All members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSet {
    rows: BTreeMap<ReplicaId, MemberRow>,
    last: ReplicaId,
}

impl MemberSet {
    /// Builds a set from its rows and the highest number ever given.
    pub fn new(rows: impl IntoIterator<Item = (ReplicaId, MemberRow)>, last: ReplicaId) -> Self {
        Self {
            rows: rows.into_iter().collect(),
            last,
        }
    }

    /// Returns all members in the order of their numbers.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaId, &MemberRow)> {
        self.rows.iter().map(|(id, row)| (*id, row))
    }

    /// Returns a member.
    pub fn get(&self, id: ReplicaId) -> Option<&MemberRow> {
        self.rows.get(&id)
    }

    /// Returns the member that runs on a host.
    pub fn on_host(&self, host: &HostName) -> Option<(ReplicaId, &MemberRow)> {
        self.rows().find(|(_, row)| row.host == *host)
    }

    /// Returns the highest number ever given.
    pub const fn last(&self) -> ReplicaId {
        self.last
    }

    /// Tells whether a replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.rows.get(&id).is_some_and(|row| row.voter)
    }

    /// Returns the replicas that vote.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.rows().filter(|(_, row)| row.voter).map(|(id, _)| id)
    }

    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that a quorum of voters has reached.
    pub(super) fn quorum_value(&self, mut value_of: impl FnMut(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(&mut value_of).collect();
        values.sort_unstable_by(|first, second| second.cmp(first));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns the highest value that at least `copies` voters have reached, or all voters where there are fewer.
    pub(super) fn copies_value(&self, copies: usize, mut value_of: impl FnMut(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(&mut value_of).collect();
        values.sort_unstable_by(|first, second| second.cmp(first));
        let place = copies.min(values.len()).saturating_sub(1);
        values.get(place).copied().unwrap_or(0)
    }

    /// Returns the set with one more learner that is bound to a data folder, and the number given to it.
    pub(super) fn with_bound_learner(&self, host: HostName, address: String, disk: DiskId) -> (Self, ReplicaId) {
        let (added, id) = self.with_learner(host, address);
        (added.with_changed(id, |row| row.disk = Some(disk)), id)
    }

    /// Returns the set with one more learner, and the number given to it.
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

    /// Returns the set with a change to one member.
    pub(super) fn with_changed(&self, id: ReplicaId, change: impl FnOnce(&mut MemberRow)) -> Self {
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
