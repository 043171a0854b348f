//! Membership changes, one at a time, and the leader's view of its followers.

use std::time::Duration;

use super::entry::{EntryPayload, LogIndex};
use super::members::{DiskId, ReplicaId};
use super::progress::FollowerProgress;
use super::replica::{NotLeader, Replica, ReplicaRole};
use super::timing::{HEARTBEAT_INTERVAL, MAX_PROMOTION_LAG};
use crate::core::name::HostName;

/// Change to the members of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica on a host. It starts as a learner that is bound to no data folder. It becomes a voter once it is
    /// bound to one and has caught up, if the group has fewer voters than its maximum.
    Add {
        /// Host of the new replica.
        host: HostName,
        /// Peer address of the new replica.
        address: String,
    },
    /// Adds a replica on a host and binds it to the data folder that the host has reported. It starts as a learner too.
    Admit {
        /// Host of the new replica.
        host: HostName,
        /// Peer address of the new replica.
        address: String,
        /// Identifier of the host's data folder.
        disk: DiskId,
    },
    /// Binds a member to the data folder that its host has reported.
    Bind {
        /// Member to bind.
        replica: ReplicaId,
        /// Identifier of the data folder of its host.
        disk: DiskId,
    },
    /// Removes a member permanently.
    Remove {
        /// Member to remove.
        replica: ReplicaId,
    },
}

/// State of another member as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerState {
    /// Id of the member.
    pub replica: ReplicaId,
    /// True for a voter, false for a learner.
    pub voter: bool,
    /// True if the member has synced the latest membership change and nearly all committed entries.
    pub caught_up: bool,
    /// Time since the latest heartbeat round that the member has replied to.
    pub silence: Duration,
}

/// Reason for which a membership change is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChangeError {
    /// This replica is not the leader.
    NotLeader(NotLeader),
    /// The previous membership change is not committed, or this leader has not committed its first entry.
    ChangePending,
    /// The host already runs a member.
    HostTaken(ReplicaId),
    /// No member has this id.
    NoSuchMember,
    /// The member is bound to this other data folder, which a [`DiskId`] identifies. Its host has a new data folder
    /// after the old one was emptied or the disk was replaced.
    DiskMismatch(DiskId),
    /// The member is the only voter.
    LastVoter,
}

impl Replica {
    /// Proposes a membership change and returns the index of its entry and the id of the affected member.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead, and while another change is pending: two concurrent changes could produce
    /// two quorums without a common member. Also fails if the host of the new replica already runs a member, if the
    /// member to bind or remove does not exist, if the member to bind is bound to another data folder, or if the member
    /// to remove is the only voter.
    pub fn change_members(&mut self, change: MemberChange) -> Result<(LogIndex, ReplicaId), MemberChangeError> {
        if self.role != ReplicaRole::Leader {
            return Err(MemberChangeError::NotLeader(NotLeader { leader: self.leader }));
        }
        if self.has_pending_change() {
            return Err(MemberChangeError::ChangePending);
        }
        let (members, replica) = match change {
            MemberChange::Add { host, address } => {
                if let Some((taken, _)) = self.members.find_by_host(&host) {
                    return Err(MemberChangeError::HostTaken(taken));
                }
                self.members.with_learner(host, address)
            }
            MemberChange::Admit { host, address, disk } => {
                if let Some((taken, _)) = self.members.find_by_host(&host) {
                    return Err(MemberChangeError::HostTaken(taken));
                }
                self.members.with_bound_learner(host, address, disk)
            }
            MemberChange::Bind { replica, disk } => {
                let row = self.members.get(replica).ok_or(MemberChangeError::NoSuchMember)?;
                match row.disk {
                    Some(bound) if bound != disk => return Err(MemberChangeError::DiskMismatch(bound)),
                    _ => (self.members.with_updated(replica, |row| row.disk = Some(disk)), replica),
                }
            }
            MemberChange::Remove { replica } => {
                let row = self.members.get(replica).ok_or(MemberChangeError::NoSuchMember)?;
                if row.voter && self.members.voters().count() == 1 {
                    return Err(MemberChangeError::LastVoter);
                }
                (self.members.without(replica), replica)
            }
        };
        Ok((self.append_as_leader(EntryPayload::Members(members)), replica))
    }

    /// Returns true while a membership change or the first entry of this leader is not committed.
    pub fn has_pending_change(&self) -> bool {
        self.members_index > self.commit || self.commit < self.term_start_index
    }

    /// Promotes a learner to a voter once it has synced the latest membership change and nearly all committed entries,
    /// if it is bound to a data folder, the group has fewer voters than its maximum, and no membership change is
    /// pending.
    ///
    /// An earlier promotion would let a quorum consist of replicas that lack committed entries. After a repair, the new
    /// replica lacks most entries. If a second host were lost before the new replica has caught up, committed entries
    /// would be lost with that host.
    pub(super) fn promote_learner(&mut self, id: ReplicaId) {
        let is_bound_learner = self.members.get(id).is_some_and(|row| !row.voter && row.disk.is_some());
        let match_index = self
            .progress
            .get(&id)
            .map_or(LogIndex(0), |progress| progress.match_index);
        let caught_up = match_index >= self.members_index && match_index.0 + MAX_PROMOTION_LAG >= self.commit.0;
        let has_vacancy = self
            .policy
            .max_voters
            .is_none_or(|max_voters| self.members.voters().count() < max_voters);
        if is_bound_learner && caught_up && has_vacancy && !self.has_pending_change() {
            let members = self.members.with_updated(id, |row| row.voter = true);
            self.append_as_leader(EntryPayload::Members(members));
        }
    }

    /// Returns the state of the other members as the leader sees it, or nothing on a replica that does not lead.
    pub fn followers(&self) -> Vec<FollowerState> {
        let rows = self.progress.iter();
        let states = rows.map(|(id, progress)| FollowerState {
            replica: *id,
            voter: self.members.is_voter(*id),
            caught_up: progress.match_index >= self.members_index
                && progress.match_index.0 + MAX_PROMOTION_LAG >= self.commit.0,
            silence: self.time_since_reply(progress),
        });
        states.collect()
    }

    /// Returns the time since the follower's last reply. For a new member that has not replied yet, it counts from the
    /// round in which the leader started to track it.
    fn time_since_reply(&self, progress: &FollowerProgress) -> Duration {
        let last_round = progress.round.max(progress.tracked_since_round).min(self.round);
        HEARTBEAT_INTERVAL * u32::try_from(self.round - last_round).unwrap_or(u32::MAX)
    }

    /// Starts to track new members and stops to track removed ones.
    pub(super) fn track_members(&mut self) {
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

    /// Steps down once the membership change that removes this replica is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        if self.commit >= self.members_index && !self.members.is_voter(self.id) {
            self.role = ReplicaRole::Follower;
            self.leader = None;
            self.progress.clear();
        }
    }
}
