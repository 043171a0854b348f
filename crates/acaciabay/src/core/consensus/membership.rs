//! Changes of the group's members, one at a time.

use std::time::Duration;

use super::entry::{EntryPayload, LogIndex};
use super::members::{DiskId, ReplicaId};
use super::progress::FollowerProgress;
use super::replica::{NotLeader, Replica, ReplicaRole};
use super::timing::{HEARTBEAT_INTERVAL, PROMOTION_LAG};
use crate::core::name::HostName;

/// A change of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Admits a replica on a host; it learns first and votes once it has caught up.
    Add {
        /// The host.
        host: HostName,
        /// Its peer address.
        address: String,
    },
    /// Admits a replica on a host together with the data folder that the host has come with.
    Admit {
        /// The host.
        host: HostName,
        /// Its peer address.
        address: String,
        /// The folder.
        disk: DiskId,
    },
    /// Binds a member to the data folder that its host has come with.
    Bind {
        /// The member.
        replica: ReplicaId,
        /// The folder.
        disk: DiskId,
    },
    /// Removes a member for good.
    Remove {
        /// The member.
        replica: ReplicaId,
    },
}

/// What a leader sees of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerState {
    /// The member.
    pub replica: ReplicaId,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it has synced nearly all that is committed.
    pub caught_up: bool,
    /// For how long it has answered no round.
    pub silence: Duration,
}

/// Why a change of the members was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRefusal {
    /// This replica does not lead.
    NotLeader(NotLeader),
    /// The change before is not committed, or this leader has committed nothing yet.
    Busy,
    /// The host has a replica already.
    HostTaken(ReplicaId),
    /// There is no such member.
    NoSuchMember,
    /// The member is bound to another data folder: its disk was emptied or replaced.
    OtherDisk(DiskId),
    /// It is the only voter.
    LastVoter,
}

impl Replica {
    /// Proposes a change of the members and returns the place of its entry and the member concerned.
    ///
    /// # Errors
    ///
    /// Refuses while another change is under way: two at a time could lead to two quorums without a common member.
    pub fn change_members(&mut self, change: MemberChange) -> Result<(LogIndex, ReplicaId), MemberRefusal> {
        if self.role != ReplicaRole::Leader {
            return Err(MemberRefusal::NotLeader(NotLeader { leader: self.leader }));
        }
        if self.is_changing() {
            return Err(MemberRefusal::Busy);
        }
        let (members, replica) = match change {
            MemberChange::Add { host, address } => {
                if let Some((taken, _)) = self.members.on_host(&host) {
                    return Err(MemberRefusal::HostTaken(taken));
                }
                self.members.with_learner(host, address)
            }
            MemberChange::Admit { host, address, disk } => {
                if let Some((taken, _)) = self.members.on_host(&host) {
                    return Err(MemberRefusal::HostTaken(taken));
                }
                self.members.with_bound_learner(host, address, disk)
            }
            MemberChange::Bind { replica, disk } => {
                let row = self.members.get(replica).ok_or(MemberRefusal::NoSuchMember)?;
                match row.disk {
                    Some(bound) if bound != disk => return Err(MemberRefusal::OtherDisk(bound)),
                    _ => (self.members.with_changed(replica, |row| row.disk = Some(disk)), replica),
                }
            }
            MemberChange::Remove { replica } => {
                let row = self.members.get(replica).ok_or(MemberRefusal::NoSuchMember)?;
                if row.voter && self.members.voters().count() == 1 {
                    return Err(MemberRefusal::LastVoter);
                }
                (self.members.without(replica), replica)
            }
        };
        Ok((self.append_own(EntryPayload::Members(members)), replica))
    }

    /// Tells whether a change of the members, or the first entry of this leader, is not committed yet.
    pub fn is_changing(&self) -> bool {
        self.members_index > self.commit || self.commit < self.term_start
    }

    /// Makes a learner a voter once it has synced nearly all that is committed, its own admission included.
    ///
    /// Counting it earlier would let a quorum consist of replicas that lack committed entries: if a second host were
    /// lost right after a repair, they would be lost with it.
    pub(super) fn promote_learner(&mut self, id: ReplicaId) {
        let learner = self.members.get(id).is_some_and(|row| !row.voter && row.disk.is_some());
        let matched = self.progress.get(&id).map_or(LogIndex(0), |progress| progress.matched);
        let caught_up = matched >= self.members_index && matched.0 + PROMOTION_LAG >= self.commit.0;
        let wanted = self
            .policy
            .voters
            .is_none_or(|most| self.members.voters().count() < most);
        if learner && caught_up && wanted && !self.is_changing() {
            let members = self.members.with_changed(id, |row| row.voter = true);
            self.append_own(EntryPayload::Members(members));
        }
    }

    /// Returns how far the other members have come, as a leader sees it; nothing on a replica that does not lead.
    pub fn followers(&self) -> Vec<FollowerState> {
        let rows = self.progress.iter();
        let states = rows.map(|(id, progress)| FollowerState {
            replica: *id,
            voter: self.members.is_voter(*id),
            caught_up: progress.matched >= self.members_index && progress.matched.0 + PROMOTION_LAG >= self.commit.0,
            silence: self.silence_of(progress),
        });
        states.collect()
    }

    /// A member that was added a moment ago has answered no round yet, which is no silence of its own.
    fn silence_of(&self, progress: &FollowerProgress) -> Duration {
        let heard = progress.round.max(progress.since_round).min(self.round);
        HEARTBEAT_INTERVAL * u32::try_from(self.round - heard).unwrap_or(u32::MAX)
    }

    /// Keeps the leader's view of followers in step with the members.
    pub(super) fn adjust_progress(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let (next, round) = (self.log.last_index().next(), self.round);
        let others: Vec<ReplicaId> = self
            .members
            .rows()
            .map(|(id, _)| id)
            .filter(|id| *id != self.id)
            .collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress
                .entry(id)
                .or_insert_with(|| FollowerProgress::starting_at(next, round));
        }
    }

    /// Steps down once the removal of this replica is committed.
    pub(super) fn leave_if_removed(&mut self) {
        if self.commit >= self.members_index && !self.members.is_voter(self.id) {
            self.role = ReplicaRole::Follower;
            self.leader = None;
            self.progress.clear();
        }
    }
}
