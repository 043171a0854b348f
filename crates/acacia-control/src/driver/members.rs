//! Membership changes: hosts that join the group, and voters that are replaced.

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::consensus::{DiskId, MemberChange, MemberChangeError, ReplicaId, ReplicaRole};
use acaciabay::core::name::HostName;
use acaciabay::ops::plan_members::plan_members;
use tokio::sync::oneshot;

use super::GroupDriver;
use crate::group::{JoinAnswer, JoinCall};

impl GroupDriver {
    /// Binds a member to the data folder of its host, or answers with the reason for a refusal.
    ///
    /// The reason is empty if this replica is not the leader.
    pub(super) fn identify(
        &mut self,
        host: &HostName,
        disk: DiskId,
        answer: oneshot::Sender<Result<ReplicaId, String>>,
    ) {
        let member = self
            .replica
            .members()
            .find_by_host(host)
            .map(|(id, row)| (id, row.disk));
        let refusal = match member {
            _ if self.replica.role() != ReplicaRole::Leader => String::new(),
            None => format!("host `{host}` is not a member; run `acacia members add`"),
            Some((id, Some(bound))) if bound == disk => {
                let _receiver_dropped = answer.send(Ok(id));
                return;
            }
            Some((_, Some(_))) => {
                format!("host `{host}` is bound to another data folder; run `acacia members replace`")
            }
            Some((replica, None)) => match self.replica.change_members(MemberChange::Bind { replica, disk }) {
                Ok((index, _)) => {
                    // The answer is sent once the change is committed. Before that, another leader could bind the
                    // member to a different folder.
                    self.pending_binds.insert(index, (replica, answer));
                    return;
                }
                Err(refusal) => describe_change_error(&refusal),
            },
        };
        let _receiver_dropped = answer.send(Err(refusal));
    }

    /// Answers a join request and proposes the next membership change that it needs; the host repeats the request until
    /// it is a member.
    ///
    /// If the host's member is bound to a different folder, the host has lost its disk. That member is removed first,
    /// because under its old id the host would acknowledge entries that it no longer has.
    pub(super) fn answer_join(&mut self, request: JoinCall) -> JoinAnswer {
        if !self.replica.may_act(boot_now()) {
            return JoinAnswer::NotLeading(self.not_leading());
        }
        if self.replica.has_pending_change() {
            return JoinAnswer::Pending;
        }
        let JoinCall {
            host,
            address,
            disk,
            replica,
        } = request;
        if let Some(replica) = replica {
            let row = self.replica.members().get(replica);
            return match row {
                Some(row) if row.disk == Some(disk) => JoinAnswer::Member(replica),
                Some(_) | None => JoinAnswer::Removed,
            };
        }
        let member = self
            .replica
            .members()
            .find_by_host(&host)
            .map(|(id, row)| (id, row.disk));
        let change = match member {
            Some((id, Some(bound))) if bound == disk => return JoinAnswer::Member(id),
            Some((replica, _)) => MemberChange::Remove { replica },
            None => MemberChange::Admit { host, address, disk },
        };
        self.change_members(change, "a host asked for its place");
        JoinAnswer::Pending
    }

    /// Removes a voter that is silent while another member could take its place.
    pub(super) fn replace_silent_voter(&mut self) {
        let Some(max_voters) = self.policy.max_voters else {
            return;
        };
        if self.replica.has_pending_change() || !self.replica.may_act(boot_now()) {
            return;
        }
        let voters = self.replica.members().voters().count();
        if let Some(replica) = plan_members(&self.replica.followers(), voters, max_voters) {
            self.change_members(MemberChange::Remove { replica }, "silent while a substitute waits");
        }
    }

    fn change_members(&mut self, change: MemberChange, reason: &str) {
        let text = format!("{change:?}");
        match self.replica.change_members(change) {
            Ok(_) => {
                slog::info!(self.log, "membership change proposed"; "event" => event::MEMBERS_CHANGED,
                    "change" => text, "reason" => reason);
            }
            Err(refusal) => {
                slog::warn!(self.log, "membership change refused"; "event" => event::MEMBERS_CHANGED,
                    "change" => text, "reason" => describe_change_error(&refusal));
            }
        }
    }
}

/// Describes why a membership change was refused.
pub(crate) fn describe_change_error(refusal: &MemberChangeError) -> String {
    match refusal {
        MemberChangeError::NotLeader(_) => "this replica does not lead".to_owned(),
        MemberChangeError::ChangePending => "the change before is not committed yet; try again".to_owned(),
        MemberChangeError::HostTaken(id) => format!("the host is member {} already", id.0),
        MemberChangeError::NoSuchMember => "there is no such member".to_owned(),
        MemberChangeError::DiskMismatch(_) => "the member is bound to another data folder".to_owned(),
        MemberChangeError::LastVoter => "the only voter cannot be removed".to_owned(),
    }
}
