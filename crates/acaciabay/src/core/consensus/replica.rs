//! One replica: what it knows, what it was told, what its caller has to do.

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
    CLOCK_DRIFT, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, LEADER_GRACE, LEADER_LEASE, RETURN_TIME, RETURN_TIMEOUT,
};
use crate::core::clock::BootTime;

/// What a replica has found in its data folder.
#[derive(Clone, Debug, Default)]
pub struct RestoredReplica {
    /// Term and vote.
    pub hard_state: HardState,
    /// The log after the latest snapshot.
    pub log: ReplicaLog,
}

/// The part that a replica plays at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

/// This replica does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// Who does, as far as this replica knows.
    pub leader: Option<ReplicaId>,
}

/// Entries to write into the log on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogAppend {
    /// Where the first entry goes; whatever the log on disk holds from there on is dropped.
    pub first: LogIndex,
    /// The entries.
    pub entries: Vec<LogEntry>,
}

/// What the caller has to do, in this order: install and sync the snapshot, sync hard state and entries, then call
/// [`Replica::note_synced`], send the messages, apply the committed entries.
///
/// `early_messages` may go out before the sync, so that followers sync while the leader does; unless `hard_state` is
/// set, which has to be synced before anything goes out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaOutput {
    /// A snapshot that replaces the replica's state and log.
    pub snapshot: Option<ReplicaSnapshot>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries, if there are new ones.
    pub append: Option<LogAppend>,
    /// Messages that do not vouch for anything that has to be synced first.
    pub early_messages: Vec<ReplicaMessage>,
    /// Messages that go out only after the sync.
    pub messages: Vec<ReplicaMessage>,
    /// Entries that are committed and not applied yet, in order.
    pub committed: Vec<LogEntry>,
    /// Followers that need a snapshot; see [`Replica::send_snapshot`].
    pub wants_snapshot: BTreeSet<ReplicaId>,
}

/// How many copies a committed entry has, and how many replicas vote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuorumPolicy {
    /// The least number of synced copies of a committed entry, where a majority of the voters would be fewer.
    ///
    /// While the group is being founded or a member is being replaced, few replicas vote. A majority of three does not
    /// survive the loss of two disks.
    pub copies: usize,
    /// The most replicas that vote; further ones learn and wait to replace one that is lost. No bound without it.
    pub voters: Option<usize>,
}

/// One replica of the group.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) term: Term,
    pub(super) vote: Option<ReplicaId>,
    /// Who leads or has led in the present term.
    pub(super) term_leader: Option<ReplicaId>,
    pub(super) log: ReplicaLog,
    pub(super) members: MemberSet,
    pub(super) members_index: LogIndex,
    pub(super) commit: LogIndex,
    pub(super) synced: LogIndex,
    pub(super) role: ReplicaRole,
    pub(super) leader: Option<ReplicaId>,
    pub(super) grants: BTreeSet<ReplicaId>,
    pub(super) election_due: BootTime,
    /// Until then this replica votes for nobody, because it has confirmed a lease or may have done so before it started.
    pub(super) promise_until: BootTime,
    /// To whom that lease was confirmed, where it is known.
    pub(super) promised_to: Option<ReplicaId>,
    /// Until then this replica, which led before it started, stands again and again.
    pub(super) returns_until: BootTime,
    /// How often it has stood since it last knew a leader.
    pub(super) stood_in_vain: u32,
    pub(super) progress: BTreeMap<ReplicaId, FollowerProgress>,
    pub(super) term_start: LogIndex,
    pub(super) round: u64,
    pub(super) rounds: VecDeque<(u64, BootTime)>,
    pub(super) round_due: BootTime,
    pub(super) lease_until: BootTime,
    pub(super) output: ReplicaOutput,
    pub(super) policy: QuorumPolicy,
    delivered: LogIndex,
    random: StdRng,
}

impl Replica {
    /// Starts a replica from what it has stored.
    ///
    /// It has forgotten whether it confirmed a lease just before it stopped, so it neither votes nor stands for one
    /// whole lease; otherwise a second leader could be elected while the first still holds its lease. The wait ends when
    /// the leader of its term stands for election, which proves that it holds no lease any more. The leader of that term
    /// itself need not wait at all: what it was as a leader has ended with its process. So after all processes were killed
    /// at once, the group has a leader again before the wait of the others is over.
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
            grants: BTreeSet::new(),
            election_due: now,
            promise_until: now + LEADER_LEASE,
            promised_to: hard_state.leader,
            returns_until: BootTime::default(),
            stood_in_vain: 0,
            progress: BTreeMap::new(),
            term_start: LogIndex(0),
            round: 0,
            rounds: VecDeque::new(),
            round_due: now,
            lease_until: BootTime::default(),
            output: ReplicaOutput::default(),
            policy: QuorumPolicy::default(),
            random: StdRng::seed_from_u64(seed),
        };
        if hard_state.leader == Some(id) {
            replica.promise_until = BootTime::default();
            replica.returns_until = now + RETURN_TIME;
        }
        replica.reset_election(now);
        replica
    }

    /// Sets how many copies and voters there are to be.
    #[must_use]
    pub const fn with_policy(mut self, policy: QuorumPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Lets time pass; to be called every few milliseconds.
    pub fn tick(&mut self, now: BootTime) {
        match self.role {
            ReplicaRole::Leader => self.tick_leader(now),
            ReplicaRole::Follower | ReplicaRole::PreCandidate | ReplicaRole::Candidate => self.tick_election(now),
        }
    }

    /// Takes a message from another replica.
    pub fn step(&mut self, now: BootTime, message: ReplicaMessage) {
        if message.to != self.id {
            return;
        }
        self.release_promise(&message);
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
                self.answer_vote(now, from, term, pre_vote, (last_term, last_index));
            }
            MessageBody::VoteReply { pre_vote, granted } => self.take_vote(now, from, term, pre_vote, granted),
            MessageBody::AppendRequest(request) => self.take_append(now, from, term, request),
            MessageBody::AppendReply { accepted, index, round } => self.take_reply(from, accepted, index, round),
            MessageBody::SnapshotRequest { snapshot, round } => self.take_snapshot(now, from, term, snapshot, round),
        }
    }

    /// Proposes a command and returns the term and place of its entry.
    ///
    /// The command is committed when an entry with this term comes out at this place; if one with another term does,
    /// the command is lost. If this replica loses its leadership before either, the outcome is open.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead.
    pub fn propose(&mut self, command: Bytes) -> Result<(Term, LogIndex), NotLeader> {
        if self.role != ReplicaRole::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        Ok((self.term, self.append_own(EntryPayload::Command(command))))
    }

    /// Tells whether this replica may act for the group at `now`, and what it has applied is all that is committed.
    ///
    /// That takes a lease that a quorum has confirmed and a committed entry of its own term: before that, entries of
    /// earlier terms may be committed without this leader knowing it.
    pub fn may_act(&self, now: BootTime) -> bool {
        self.role == ReplicaRole::Leader && self.delivered >= self.term_start && now < self.lease_until
    }

    /// Returns when the lease ends, for guards that check it again at the moment of writing.
    pub fn lease_until(&self) -> BootTime {
        match self.role {
            ReplicaRole::Leader if self.delivered >= self.term_start => self.lease_until,
            _ => BootTime::default(),
        }
    }

    /// Returns and clears what the caller has to do.
    pub fn take_output(&mut self) -> ReplicaOutput {
        if self.role == ReplicaRole::Leader {
            self.send_entries();
        }
        let mut output = std::mem::take(&mut self.output);
        output.committed = self.log.between(self.delivered, self.commit);
        self.delivered = self.commit.max(self.delivered);
        output
    }

    /// Notes that everything in the last output is synced.
    pub fn note_synced(&mut self) {
        self.synced = self.log.last_index();
        if self.role == ReplicaRole::Leader {
            self.advance_commit();
        }
    }

    /// Drops log entries that a stored snapshot contains.
    pub fn compact(&mut self, index: LogIndex) {
        self.log.compact_to(index.min(self.delivered));
    }

    /// Returns this replica's number.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the part that it plays.
    pub const fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns its term.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader that it knows of.
    pub const fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the members as of its last entry.
    pub const fn members(&self) -> &MemberSet {
        &self.members
    }

    /// Returns the last entry that it has handed out as committed.
    pub const fn delivered(&self) -> LogIndex {
        self.delivered
    }

    /// Returns its log.
    pub const fn log(&self) -> &ReplicaLog {
        &self.log
    }

    fn tick_leader(&mut self, now: BootTime) {
        if now >= self.round_due {
            self.start_round(now);
        }
        if now >= self.lease_until + LEADER_GRACE {
            self.become_follower(now, self.term, None);
        }
    }

    pub(super) fn start_round(&mut self, now: BootTime) {
        self.round += 1;
        self.round_due = now + HEARTBEAT_INTERVAL;
        self.rounds.push_back((self.round, now));
        self.renew_lease();
        self.send_round();
    }

    /// Extends the lease to the latest round that a quorum has answered, counted from when that round was sent.
    pub(super) fn renew_lease(&mut self) {
        let (own, round) = (self.id, self.round);
        let confirmed = self.members.quorum_value(|id| {
            if id == own {
                round
            } else {
                self.progress.get(&id).map_or(0, |progress| progress.round)
            }
        });
        while let Some((oldest, sent_at)) = self.rounds.front().copied() {
            if oldest > confirmed {
                break;
            }
            self.lease_until = self.lease_until.max(sent_at + LEADER_LEASE.saturating_sub(CLOCK_DRIFT));
            self.rounds.pop_front();
        }
    }

    pub(super) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        self.append(LogEntry {
            index,
            term: self.term,
            payload,
        });
        index
    }

    /// Adds an entry to the log and to what has to be written.
    pub(super) fn append(&mut self, entry: LogEntry) {
        if let EntryPayload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
            self.adjust_progress();
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

    pub(super) fn reset_election(&mut self, now: BootTime) {
        let range = if now < self.returns_until {
            RETURN_TIMEOUT
        } else {
            ELECTION_TIMEOUT
        };
        self.stand_within(now, range);
    }

    /// Draws when this replica stands for election next.
    pub(super) fn stand_within(&mut self, now: BootTime, range: Range<Duration>) {
        let delay: Duration = self.random.random_range(range);
        self.election_due = now + delay;
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
        self.grants.clear();
        self.progress.clear();
        self.rounds.clear();
        self.reset_election(now);
    }

    pub(super) fn set_delivered(&mut self, index: LogIndex) {
        self.delivered = index;
    }
}
