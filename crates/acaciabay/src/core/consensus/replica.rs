//! State of one replica, its inputs, and its output for the caller.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::entry::{EntryPayload, HardState, LogEntry, LogIndex, ReplicaSnapshot, Term};
use super::log::ReplicaLog;
use super::members::{MemberSet, ReplicaId};
use super::message::{MessageBody, ReplicaMessage};
use super::progress::FollowerProgress;
use super::timing::{
    CLOCK_DRIFT_MARGIN, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, LEADER_LEASE, LEASE_RENEWAL_GRACE,
    RETURNING_LEADER_PERIOD, RETURNING_LEADER_TIMEOUT,
};
use crate::core::clock::BootTime;

/// State that a replica restores from its data folder.
#[derive(Clone, Debug, Default)]
pub struct RestoredReplica {
    /// Term, vote and leader.
    pub hard_state: HardState,
    /// Log after the latest snapshot.
    pub log: ReplicaLog,
}

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks in a pre-vote whether it would be elected.
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Error of a request that only the leader accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// Leader, if this replica knows it.
    pub leader: Option<ReplicaId>,
}

/// Entries to write to the log on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogAppend {
    /// Index of the first entry. Existing entries on disk from this index on are removed.
    pub first: LogIndex,
    /// Entries, in log order.
    pub entries: Vec<LogEntry>,
}

/// Work for the caller, in this order: install and sync the snapshot, sync the hard state and the entries, call
/// [`Replica::note_synced`], send the messages, and apply the committed entries.
///
/// `early_messages` may be sent before the sync, so that followers sync at the same time as the leader. If `hard_state`
/// is set, it has to be synced before any message is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaOutput {
    /// Snapshot that replaces the replica's state and log.
    pub snapshot: Option<ReplicaSnapshot>,
    /// Term, vote and leader, if one of them changed.
    pub hard_state: Option<HardState>,
    /// New entries, if any.
    pub append: Option<LogAppend>,
    /// Messages that do not depend on syncing `append`.
    pub early_messages: Vec<ReplicaMessage>,
    /// Messages to send only after the sync.
    pub messages: Vec<ReplicaMessage>,
    /// Newly committed entries to apply, in log order.
    pub committed: Vec<LogEntry>,
    /// Followers that need a snapshot, which the caller sends with [`Replica::send_snapshot`].
    pub needs_snapshot: BTreeSet<ReplicaId>,
}

/// Minimum number of copies of a committed entry, and maximum number of voters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuorumPolicy {
    /// Minimum number of synced copies of a committed entry, if it is larger than a majority of the voters.
    ///
    /// While the group is being created or a member is being replaced, there are few voters, and a majority of three
    /// does not survive the loss of two disks.
    pub min_copies: usize,
    /// Maximum number of voters, or `None` for no limit. Further replicas stay learners that can replace a lost voter.
    pub max_voters: Option<usize>,
}

/// Replica of the group, as a state machine without I/O.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) term: Term,
    pub(super) vote: Option<ReplicaId>,
    /// Leader of the current term, also after it has stepped down.
    pub(super) term_leader: Option<ReplicaId>,
    pub(super) log: ReplicaLog,
    pub(super) members: MemberSet,
    pub(super) members_index: LogIndex,
    pub(super) commit: LogIndex,
    pub(super) synced: LogIndex,
    pub(super) role: ReplicaRole,
    pub(super) leader: Option<ReplicaId>,
    pub(super) votes_received: BTreeSet<ReplicaId>,
    pub(super) election_deadline: BootTime,
    /// Time until which this replica grants no vote, because it has confirmed a lease or may have done so before a
    /// restart.
    pub(super) confirmed_lease_until: BootTime,
    /// Leader whose lease was confirmed, if known.
    pub(super) confirmed_lease_leader: Option<ReplicaId>,
    /// Time until which this replica, which led before it restarted, uses the short [`RETURNING_LEADER_TIMEOUT`].
    pub(super) returning_leader_until: BootTime,
    /// Number of election attempts since this replica last knew a leader.
    pub(super) election_attempts: u32,
    pub(super) progress: BTreeMap<ReplicaId, FollowerProgress>,
    pub(super) term_start_index: LogIndex,
    pub(super) round: u64,
    pub(super) unconfirmed_rounds: VecDeque<(u64, BootTime)>,
    pub(super) next_round_at: BootTime,
    pub(super) lease_until: BootTime,
    pub(super) output: ReplicaOutput,
    pub(super) policy: QuorumPolicy,
    delivered: LogIndex,
    random: StdRng,
}

impl Replica {
    /// Creates a replica from its stored state.
    ///
    /// The replica does not know whether it confirmed a lease just before it stopped. It therefore neither votes nor
    /// starts an election for a full lease; otherwise a second leader could be elected while the first still holds its
    /// lease. The wait ends early when the leader of the stored term requests votes, which proves that it no longer
    /// holds a lease. That leader itself does not wait, because its own lease ended with its process. So if all
    /// processes are killed at once, the group has a leader again before the others have finished waiting.
    pub fn new(now: BootTime, id: ReplicaId, restored: RestoredReplica, seed: u64) -> Self {
        let RestoredReplica { hard_state, log } = restored;
        let (members_index, members) = log.latest_members();
        let mut replica = Self {
            id,
            term: hard_state.term,
            vote: hard_state.vote,
            term_leader: hard_state.leader,
            members_index,
            members: members.clone(),
            commit: log.base_index(),
            synced: log.last_index(),
            delivered: log.base_index(),
            log,
            role: ReplicaRole::Follower,
            leader: None,
            votes_received: BTreeSet::new(),
            election_deadline: now,
            confirmed_lease_until: now + LEADER_LEASE,
            confirmed_lease_leader: hard_state.leader,
            returning_leader_until: BootTime::default(),
            election_attempts: 0,
            progress: BTreeMap::new(),
            term_start_index: LogIndex(0),
            round: 0,
            unconfirmed_rounds: VecDeque::new(),
            next_round_at: now,
            lease_until: BootTime::default(),
            output: ReplicaOutput::default(),
            policy: QuorumPolicy::default(),
            random: StdRng::seed_from_u64(seed),
        };
        if hard_state.leader == Some(id) {
            replica.confirmed_lease_until = BootTime::default();
            replica.returning_leader_until = now + RETURNING_LEADER_PERIOD;
        }
        replica.reset_election_timer(now);
        replica
    }

    /// Sets the minimum number of copies and the maximum number of voters.
    #[must_use]
    pub const fn with_policy(mut self, policy: QuorumPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Advances the time; must be called every few milliseconds.
    pub fn tick(&mut self, now: BootTime) {
        match self.role {
            ReplicaRole::Leader => self.tick_leader(now),
            ReplicaRole::Follower | ReplicaRole::PreCandidate | ReplicaRole::Candidate => self.tick_election(now),
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: BootTime, message: ReplicaMessage) {
        if message.to != self.id {
            return;
        }
        self.release_confirmed_lease(&message);
        if !self.accept_term(now, &message) {
            return;
        }
        let ReplicaMessage { from, term, body, .. } = message;
        match body {
            MessageBody::VoteRequest {
                pre_vote,
                last_index,
                last_term,
            } => {
                self.handle_vote_request(now, from, term, pre_vote, (last_term, last_index));
            }
            MessageBody::VoteReply { pre_vote, granted } => self.handle_vote_reply(now, from, term, pre_vote, granted),
            MessageBody::AppendRequest(request) => self.handle_append_request(now, from, term, request),
            MessageBody::AppendReply { accepted, index, round } => {
                self.handle_append_reply(from, accepted, index, round);
            }
            MessageBody::SnapshotRequest { snapshot, round } => {
                self.handle_snapshot_request(now, from, term, snapshot, round);
            }
        }
    }

    /// Proposes a command and returns the term and index of its entry.
    ///
    /// The command is committed once [`ReplicaOutput::committed`] contains an entry with this term at this index. If
    /// the entry there has another term, the command is lost. If this replica loses its leadership before either
    /// happens, the outcome is unknown.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead.
    pub fn propose(&mut self, command: Bytes) -> Result<(Term, LogIndex), NotLeader> {
        if self.role != ReplicaRole::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        Ok((self.term, self.append_as_leader(EntryPayload::Command(command))))
    }

    /// Returns true if this replica may act for the group at `now`, on a state that includes everything committed in
    /// earlier terms.
    ///
    /// It needs a lease confirmed by a quorum, and a committed entry of its own term. Before that, entries of earlier
    /// terms may be committed without this leader knowing it.
    pub fn may_act(&self, now: BootTime) -> bool {
        self.role == ReplicaRole::Leader && self.delivered >= self.term_start_index && now < self.lease_until
    }

    /// Returns true if this replica leads and no other has acted for the group before it: nothing was committed since the
    /// group was founded.
    pub fn is_first_leader(&self) -> bool {
        self.role == ReplicaRole::Leader && self.term_start_index == ReplicaSnapshot::FOUNDING_INDEX.next()
    }

    /// Returns the end of the lease, for callers that check it again when they write. Without a lease it is in the
    /// past.
    pub fn lease_until(&self) -> BootTime {
        match self.role {
            ReplicaRole::Leader if self.delivered >= self.term_start_index => self.lease_until,
            _ => BootTime::default(),
        }
    }

    /// Returns the pending work for the caller and clears it.
    pub fn take_output(&mut self) -> ReplicaOutput {
        if self.role == ReplicaRole::Leader {
            self.send_entries();
        }
        let mut output = std::mem::take(&mut self.output);
        output.committed = self.log.entries_between(self.delivered, self.commit);
        self.delivered = self.commit.max(self.delivered);
        output
    }

    /// Records that everything in the last output is synced.
    pub fn note_synced(&mut self) {
        self.synced = self.log.last_index();
        if self.role == ReplicaRole::Leader {
            self.advance_commit();
        }
    }

    /// Removes log entries up to `index`, which a stored snapshot includes.
    pub fn compact(&mut self, index: LogIndex) {
        self.log.compact_to(index.min(self.delivered));
    }

    /// Returns the id of this replica.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current role.
    pub const fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns the current term.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader, if this replica knows one.
    pub const fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the members as of the last entry of the log, committed or not.
    pub const fn members(&self) -> &MemberSet {
        &self.members
    }

    /// Returns the index of the last entry returned as committed by [`Replica::take_output`], or included in an
    /// installed or restored snapshot.
    pub const fn delivered(&self) -> LogIndex {
        self.delivered
    }

    /// Returns the log.
    pub const fn log(&self) -> &ReplicaLog {
        &self.log
    }

    fn tick_leader(&mut self, now: BootTime) {
        if now >= self.next_round_at {
            self.start_heartbeat_round(now);
        }
        if now >= self.lease_until + LEASE_RENEWAL_GRACE {
            self.become_follower(now, self.term, None);
        }
    }

    pub(super) fn start_heartbeat_round(&mut self, now: BootTime) {
        self.round += 1;
        self.next_round_at = now + HEARTBEAT_INTERVAL;
        self.unconfirmed_rounds.push_back((self.round, now));
        self.renew_lease();
        self.send_heartbeats();
    }

    /// Extends the lease according to the latest round that a quorum has replied to, counted from when the round was
    /// sent.
    pub(super) fn renew_lease(&mut self) {
        let (own, round) = (self.id, self.round);
        let confirmed = self.members.quorum_value(|id| {
            if id == own {
                round
            } else {
                self.progress.get(&id).map_or(0, |progress| progress.round)
            }
        });
        while let Some((oldest, sent_at)) = self.unconfirmed_rounds.front().copied() {
            if oldest > confirmed {
                break;
            }
            self.lease_until = self
                .lease_until
                .max(sent_at + LEADER_LEASE.saturating_sub(CLOCK_DRIFT_MARGIN));
            self.unconfirmed_rounds.pop_front();
        }
    }

    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        self.append(LogEntry {
            index,
            term: self.term,
            payload,
        });
        index
    }

    /// Adds an entry to the log and to the output to be written.
    pub(super) fn append(&mut self, entry: LogEntry) {
        if let EntryPayload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
            self.track_members();
        }
        let append = self.output.append.get_or_insert_with(|| LogAppend {
            first: entry.index,
            entries: Vec::new(),
        });
        append.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(super) fn send(&mut self, to: ReplicaId, body: MessageBody) {
        let message = ReplicaMessage {
            from: self.id,
            to,
            term: self.term,
            body,
        };
        self.output.messages.push(message);
    }

    pub(super) fn reset_election_timer(&mut self, now: BootTime) {
        let range = if now < self.returning_leader_until {
            RETURNING_LEADER_TIMEOUT
        } else {
            ELECTION_TIMEOUT
        };
        self.schedule_election(now, range);
    }

    /// Schedules the next election attempt at a random time within `range` from now.
    pub(super) fn schedule_election(&mut self, now: BootTime, range: Range<Duration>) {
        let delay: Duration = self.random.random_range(range);
        self.election_deadline = now + delay;
    }

    pub(super) fn store_hard_state(&mut self) {
        self.output.hard_state = Some(HardState {
            term: self.term,
            vote: self.vote,
            leader: self.term_leader,
        });
    }

    pub(super) fn become_follower(&mut self, now: BootTime, term: Term, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.term_leader = None;
            self.store_hard_state();
        }
        self.role = ReplicaRole::Follower;
        self.leader = leader;
        self.votes_received.clear();
        self.progress.clear();
        self.unconfirmed_rounds.clear();
        self.reset_election_timer(now);
    }

    pub(super) fn set_delivered(&mut self, index: LogIndex) {
        self.delivered = index;
    }
}
