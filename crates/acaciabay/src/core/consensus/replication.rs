//! Log replication: sends the leader's entries to the followers and commits what enough of them have confirmed.

use super::entry::{LogEntry, LogIndex, ReplicaSnapshot, Term};
use super::log::ReplicaLog;
use super::members::ReplicaId;
use super::message::{AppendRequest, MessageBody, ReplicaMessage};
use super::replica::{Replica, ReplicaRole};
use super::timing::{LEADER_LEASE, MAX_IN_FLIGHT_ENTRIES, SNAPSHOT_RETRY_ROUNDS};
use crate::core::clock::BootTime;

impl Replica {
    /// Accepts the sender as the leader of this term and grants no votes for the length of a lease.
    fn accept_leader(&mut self, now: BootTime, from: ReplicaId, term: Term) {
        if self.role != ReplicaRole::Follower || self.leader != Some(from) {
            self.become_follower(now, term, Some(from));
        }
        self.record_term_leader(from);
        self.returning_leader_until = BootTime::default();
        self.election_attempts = 0;
        self.reset_election_timer(now);
        self.confirmed_lease_until = self.confirmed_lease_until.max(now + LEADER_LEASE);
        self.confirmed_lease_leader = Some(from);
    }

    pub(super) fn handle_append_request(&mut self, now: BootTime, from: ReplicaId, term: Term, request: AppendRequest) {
        self.accept_leader(now, from, term);
        let round = request.round;
        let last_new = LogIndex(request.previous_index.0 + request.entries.len() as u64);
        if last_new <= self.commit {
            // The message contains nothing beyond the commit index: a heartbeat without entries, or a delayed or
            // duplicated message. The leader has every committed entry, so both logs match up to the commit index.
            self.send(
                from,
                MessageBody::AppendReply {
                    accepted: true,
                    index: self.commit,
                    round,
                },
            );
            return;
        }
        if let Some(hint) = self.find_mismatch(&request) {
            self.send(
                from,
                MessageBody::AppendReply {
                    accepted: false,
                    index: hint,
                    round,
                },
            );
            return;
        }
        self.merge_entries(request.entries);
        // Own entries after those in the message may differ from the leader's, so this message does not commit them.
        self.commit = self.commit.max(request.commit.min(last_new));
        self.send(
            from,
            MessageBody::AppendReply {
                accepted: true,
                index: last_new,
                round,
            },
        );
    }

    /// Compares the log with the leader's at the entry before those in the request. Returns `None` if the logs match
    /// there. Otherwise returns the highest index at which they may still match, for the leader to try next.
    fn find_mismatch(&self, request: &AppendRequest) -> Option<LogIndex> {
        if request.previous_index < self.log.base_index() {
            // The snapshot includes this entry. Everything in a snapshot is committed, so it matches.
            return None;
        }
        if request.previous_index > self.log.last_index() {
            return Some(self.log.last_index());
        }
        if self.log.term_at(request.previous_index) == Some(request.previous_term) {
            return None;
        }
        // Skips the whole run of entries that have the conflicting term. Committed entries match in any case.
        Some(self.log.index_before_term_of(request.previous_index).max(self.commit))
    }

    /// Appends new entries and replaces conflicting ones. Entries that are already in the log stay, because a delayed
    /// or duplicated message must not truncate entries that later messages have added.
    fn merge_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            if entry.index <= self.log.base_index() || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate_from(entry.index);
            }
            self.append(entry);
        }
    }

    fn truncate_from(&mut self, index: LogIndex) {
        assert!(index > self.commit, "a committed entry must not be truncated");
        self.log.truncate_from(index);
        self.synced = self.synced.min(index.previous());
        let (members_index, members) = self.log.latest_members();
        self.members = members.clone();
        self.members_index = members_index;
        if let Some(append) = &mut self.output.append {
            append.entries.retain(|entry| entry.index < index);
            append.first = append.first.min(index);
        }
    }

    pub(super) fn handle_snapshot_request(
        &mut self,
        now: BootTime,
        from: ReplicaId,
        term: Term,
        snapshot: ReplicaSnapshot,
        round: u64,
    ) {
        self.accept_leader(now, from, term);
        let index = snapshot.index;
        if index > self.commit {
            self.install_snapshot(snapshot);
        }
        let index = index.max(self.commit);
        self.send(
            from,
            MessageBody::AppendReply {
                accepted: true,
                index,
                round,
            },
        );
    }

    fn install_snapshot(&mut self, snapshot: ReplicaSnapshot) {
        self.log = ReplicaLog::after_snapshot(snapshot.index, snapshot.term, snapshot.members.clone());
        self.members = snapshot.members.clone();
        self.members_index = snapshot.index;
        self.commit = snapshot.index;
        self.synced = snapshot.index;
        self.set_delivered(snapshot.index);
        self.output.append = None;
        self.output.committed.clear();
        self.output.snapshot = Some(snapshot);
    }

    pub(super) fn handle_append_reply(&mut self, from: ReplicaId, accepted: bool, index: LogIndex, round: u64) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.round = progress.round.max(round);
        if accepted && index <= last {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(index.next());
            progress.probing = false;
            if progress.snapshot.is_some_and(|(snapshot, _)| index >= snapshot) {
                progress.snapshot = None;
            }
        } else if !accepted && round > 0 {
            // Messages were lost or the logs differ: probe from the index that the follower suggests. A rejection with
            // round 0 suggests none: it answers a request from an older term.
            progress.next_index = index
                .min(progress.next_index.previous())
                .max(progress.match_index)
                .next();
            progress.probing = true;
        }
        self.renew_lease();
        self.advance_commit();
        self.promote_learner(from);
    }

    /// Advances the commit index to the last entry that enough voters have synced: a quorum of them, and at least
    /// [`QuorumPolicy::min_copies`](super::QuorumPolicy::min_copies).
    ///
    /// It advances only to an entry of the current term, which also commits all entries before it. An entry of an older
    /// term is not committed by itself: even if a quorum has synced it, a leader that lacks it may still be elected and
    /// replace it.
    pub(super) fn advance_commit(&mut self) {
        let (own, synced) = (self.id, self.synced);
        let copies = self.policy.min_copies.max(self.members.quorum());
        // The highest index that at least `copies` voters have synced.
        let replicated = self.members.replicated_value(copies, |id| {
            if id == own {
                synced.0
            } else {
                self.progress.get(&id).map_or(0, |progress| progress.match_index.0)
            }
        });
        let replicated = LogIndex(replicated);
        if replicated > self.commit && self.log.term_at(replicated) == Some(self.term) {
            self.commit = replicated;
            self.step_down_if_removed();
        }
    }

    /// Sends a heartbeat of the current round to every other member.
    pub(super) fn send_heartbeats(&mut self) {
        let others: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for to in others {
            self.send_append(to, true);
        }
    }

    /// Sends new entries to all members that are not being probed.
    pub(super) fn send_entries(&mut self) {
        let last = self.log.last_index();
        let behind: Vec<ReplicaId> = self
            .progress
            .iter()
            .filter(|(_, progress)| !progress.probing && progress.next_index <= last)
            .map(|(id, _)| *id)
            .collect();
        for to in behind {
            while self.send_append(to, false) {}
        }
    }

    /// Sends one message with the next entries of a follower. With `heartbeat`, it is sent even without entries.
    /// Returns true if further entries can follow immediately.
    ///
    /// If the log no longer contains the entry before the next ones, nothing is sent. With `heartbeat`, the follower is
    /// instead listed in [`ReplicaOutput::needs_snapshot`](super::ReplicaOutput::needs_snapshot), unless a snapshot is
    /// already in flight.
    fn send_append(&mut self, to: ReplicaId, heartbeat: bool) -> bool {
        let Some(progress) = self.progress.get(&to).copied() else {
            return false;
        };
        let previous_index = progress.next_index.previous();
        let Some(previous_term) = self.log.term_at(previous_index) else {
            let snapshot_in_flight = progress
                .snapshot
                .is_some_and(|(_, sent)| self.round < sent + SNAPSHOT_RETRY_ROUNDS);
            if heartbeat && !snapshot_in_flight {
                self.output.needs_snapshot.insert(to);
            }
            return false;
        };
        let window_full = progress.next_index.0 > progress.match_index.0 + MAX_IN_FLIGHT_ENTRIES;
        let entries = if window_full && !progress.probing {
            Vec::new()
        } else {
            self.log.entries_for_message(progress.next_index)
        };
        if entries.is_empty() && !heartbeat {
            return false;
        }
        let sent_last = LogIndex(previous_index.0 + entries.len() as u64);
        let more = !entries.is_empty() && sent_last < self.log.last_index();
        if !progress.probing
            && let Some(progress) = self.progress.get_mut(&to)
        {
            progress.next_index = sent_last.next();
        }
        let request = AppendRequest {
            previous_index,
            previous_term,
            commit: self.commit,
            round: self.round,
            entries,
        };
        let body = MessageBody::AppendRequest(request);
        // May be sent before the leader has synced its own entries, since `advance_commit` counts only synced copies.
        self.output.early_messages.push(ReplicaMessage {
            from: self.id,
            to,
            term: self.term,
            body,
        });
        more && !progress.probing
    }

    /// Sends a snapshot to a follower listed in
    /// [`ReplicaOutput::needs_snapshot`](super::ReplicaOutput::needs_snapshot).
    ///
    /// At most one snapshot is in flight to each follower. If the follower has not acknowledged it after
    /// `SNAPSHOT_RETRY_ROUNDS` heartbeat rounds, the leader lists the follower again.
    pub fn send_snapshot(&mut self, to: ReplicaId, snapshot: ReplicaSnapshot) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        progress.snapshot = Some((snapshot.index, self.round));
        let body = MessageBody::SnapshotRequest {
            snapshot,
            round: self.round,
        };
        self.send(to, body);
    }

    /// Returns a snapshot at the last entry delivered to the caller, with that entry's term and the members as of it.
    /// `state` is the caller's state after it has applied that entry.
    pub fn snapshot_at_delivered(&self, state: bytes::Bytes) -> ReplicaSnapshot {
        let index = self.delivered();
        let term = self.log.term_at(index).unwrap_or_default();
        ReplicaSnapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            state,
        }
    }
}
