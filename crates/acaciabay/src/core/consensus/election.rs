//! Leader elections: candidates, votes, and the leases during which a replica may neither vote nor become a candidate.

use super::entry::EntryPayload;
use super::entry::{LogIndex, Term};
use super::members::ReplicaId;
use super::message::{MessageBody, ReplicaMessage};
use super::progress::FollowerProgress;
use super::replica::{Replica, ReplicaRole};
use super::timing::{ELECTION_TIMEOUT, FIRST_RETRY_TIMEOUT, RETURNING_LEADER_TIMEOUT};
use crate::core::clock::BootTime;

impl Replica {
    /// Starts a pre-vote if this replica is a voter and its election timeout has expired. Also schedules the next
    /// attempt, in case this one fails.
    pub(super) fn tick_election(&mut self, now: BootTime) {
        if now < self.election_deadline || !self.members.is_voter(self.id) {
            return;
        }
        // A returning leader led its last known term before it restarted. It repeats its pre-votes quickly, but a
        // candidate gives the others more time to vote.
        let is_returning = now < self.returning_leader_until && self.role != ReplicaRole::Candidate;
        // The range of the time until the next attempt. If this is the first one, the next one is the first retry.
        let range = if is_returning {
            RETURNING_LEADER_TIMEOUT
        } else if self.election_attempts == 0 {
            FIRST_RETRY_TIMEOUT
        } else {
            ELECTION_TIMEOUT
        };
        self.schedule_election(now, range);
        self.election_attempts += 1;
        self.role = ReplicaRole::PreCandidate;
        self.leader = None;
        self.votes_received.clear();
        self.votes_received.insert(self.id);
        self.request_votes(Term(self.term.0 + 1), true);
        self.count_votes(now);
    }

    /// Returns true if a message's term allows the message to be handled. If the message proves that a newer term has
    /// begun, this replica adopts that term.
    pub(super) fn accept_term(&mut self, now: BootTime, message: &ReplicaMessage) -> bool {
        if message.term < self.term {
            self.reject_older_term(message);
            return false;
        }
        if message.term == self.term {
            return true;
        }
        match &message.body {
            // Neither a pre-vote request nor a granted pre-vote proves that the term has begun.
            MessageBody::VoteRequest { pre_vote: true, .. }
            | MessageBody::VoteReply {
                pre_vote: true,
                granted: true,
            } => true,
            // Adopting the term here would depose a leader that still holds its lease.
            MessageBody::VoteRequest { pre_vote: false, .. } if self.is_bound_by_lease(now) => false,
            MessageBody::VoteRequest { pre_vote: false, .. }
            | MessageBody::VoteReply { .. }
            | MessageBody::AppendReply { .. } => {
                self.become_follower(now, message.term, None);
                true
            }
            MessageBody::AppendRequest(_) | MessageBody::SnapshotRequest { .. } => {
                self.become_follower(now, message.term, Some(message.from));
                true
            }
        }
    }

    /// Rejects a request from an older term, so that a deposed leader or an outdated candidate learns the current term.
    fn reject_older_term(&mut self, message: &ReplicaMessage) {
        match &message.body {
            MessageBody::VoteRequest { pre_vote, .. } => {
                let pre_vote = *pre_vote;
                self.send(
                    message.from,
                    MessageBody::VoteReply {
                        pre_vote,
                        granted: false,
                    },
                );
            }
            MessageBody::AppendRequest(_) | MessageBody::SnapshotRequest { .. } => {
                // The reply only tells the sender the current term. Index and round are placeholders: the sender must
                // neither count the reply as a confirmed round nor probe from its index.
                let index = LogIndex(0);
                self.send(
                    message.from,
                    MessageBody::AppendReply {
                        accepted: false,
                        index,
                        round: 0,
                    },
                );
            }
            MessageBody::VoteReply { .. } | MessageBody::AppendReply { .. } => {}
        }
    }

    /// Drops the confirmed lease if its holder requests votes in a later term than this replica's.
    ///
    /// A confirmed lease is the time during which this replica grants no vote because it has accepted a message of the
    /// leader, or may have done so before a restart. By requesting votes in a later term, the holder proves that it no
    /// longer leads: a leader requests no votes, and the holder cannot become leader in the term of the lease again. A
    /// delayed request from before it became leader does not name a later term.
    pub(super) fn release_confirmed_lease(&mut self, message: &ReplicaMessage) {
        let requests_votes = matches!(message.body, MessageBody::VoteRequest { .. });
        if requests_votes && message.term > self.term && self.confirmed_lease_leader == Some(message.from) {
            self.confirmed_lease_until = BootTime::default();
            self.confirmed_lease_leader = None;
        }
    }

    /// Records the leader of the current term and stores it if it was unknown.
    pub(super) fn record_term_leader(&mut self, leader: ReplicaId) {
        if self.term_leader != Some(leader) {
            self.term_leader = Some(leader);
            self.store_hard_state();
        }
    }

    /// Returns true if this replica must neither vote nor become a candidate: it leads and holds a lease, or it has
    /// confirmed the lease of a leader.
    fn is_bound_by_lease(&self, now: BootTime) -> bool {
        let holds_lease = self.role == ReplicaRole::Leader && now < self.lease_until;
        holds_lease || now < self.confirmed_lease_until
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: BootTime,
        from: ReplicaId,
        term: Term,
        pre_vote: bool,
        candidate_last: (Term, LogIndex),
    ) {
        let own_last = (self.log.last_term(), self.log.last_index());
        let can_vote = pre_vote || self.vote.is_none_or(|vote| vote == from);
        let granted = can_vote && candidate_last >= own_last && !self.is_bound_by_lease(now);
        if granted && !pre_vote {
            self.vote = Some(from);
            self.store_hard_state();
            self.reset_election_timer(now);
        }
        let body = MessageBody::VoteReply { pre_vote, granted };
        // A granted pre-vote carries the requested term, by which the candidate recognizes the reply to its present
        // request. All other replies carry this replica's term.
        let reply_term = if pre_vote && granted { term } else { self.term };
        self.output.messages.push(ReplicaMessage {
            from: self.id,
            to: from,
            term: reply_term,
            body,
        });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: BootTime,
        from: ReplicaId,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        let expected = match self.role {
            ReplicaRole::PreCandidate => pre_vote && term.0 == self.term.0 + 1,
            ReplicaRole::Candidate => !pre_vote && term == self.term,
            ReplicaRole::Follower | ReplicaRole::Leader => false,
        };
        if expected && granted {
            self.votes_received.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: BootTime) {
        let granted = self
            .members
            .voters()
            .filter(|voter| self.votes_received.contains(voter))
            .count();
        if granted < self.members.quorum() {
            return;
        }
        match self.role {
            ReplicaRole::PreCandidate => self.become_candidate(now),
            ReplicaRole::Candidate => self.become_leader(now),
            ReplicaRole::Follower | ReplicaRole::Leader => {}
        }
    }

    fn become_candidate(&mut self, now: BootTime) {
        // During the pre-vote, this replica may have confirmed a leader's lease.
        if self.is_bound_by_lease(now) {
            self.become_follower(now, self.term, None);
            return;
        }
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.id);
        self.term_leader = None;
        self.store_hard_state();
        self.role = ReplicaRole::Candidate;
        self.votes_received.clear();
        self.votes_received.insert(self.id);
        self.request_votes(self.term, false);
        self.count_votes(now);
    }

    fn request_votes(&mut self, term: Term, pre_vote: bool) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let others: Vec<ReplicaId> = self.members.voters().filter(|voter| *voter != self.id).collect();
        for to in others {
            let body = MessageBody::VoteRequest {
                pre_vote,
                last_index,
                last_term,
            };
            self.output.messages.push(ReplicaMessage {
                from: self.id,
                to,
                term,
                body,
            });
        }
    }

    fn become_leader(&mut self, now: BootTime) {
        self.role = ReplicaRole::Leader;
        self.leader = Some(self.id);
        self.returning_leader_until = BootTime::default();
        self.election_attempts = 0;
        self.record_term_leader(self.id);
        self.round = 0;
        self.unconfirmed_rounds.clear();
        // The leader holds no lease until a quorum has replied to a heartbeat round. If none does, it steps down
        // `LEASE_RENEWAL_GRACE` after this time.
        self.lease_until = now;
        let next = self.log.last_index().next();
        let others = self.members.rows().map(|(id, _)| id).filter(|id| *id != self.id);
        self.progress = others
            .map(|id| (id, FollowerProgress::starting_at(next, self.round)))
            .collect();
        self.term_start_index = self.append_as_leader(EntryPayload::Empty);
        self.start_heartbeat_round(now);
    }
}
