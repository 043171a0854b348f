//! The replicas of the control group that an entry keeps sessions with, and those that it asks for its lease.
//!
//! Each replica reports the voters that it knows of, and its view may be stale. An entry that used only the latest
//! report could close its session with a replica that the report lacks. If that replica became the leader and no later
//! report listed it, the entry would have no session to renew its lease on, and would refuse all calls while every
//! other entry serves. It therefore keeps a session with every replica that is listed in any report.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;

/// Time after the last confirmation of the lease from which an entry asks all replicas instead of only the presumed
/// leader: two renewal intervals and a round trip.
///
/// Only a confirmation restarts this time. Two replicas that are partitioned from the others may name each other as the
/// leader for as long as the partition lasts, and an entry that followed them would never ask the actual leader.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(600);

/// Replica that has reported its voters.
#[derive(Clone, Debug, Default)]
struct KnownReplica {
    /// Voters that it last reported.
    voters: BTreeSet<SocketAddr>,
    /// True while the entry has a session with it.
    is_connected: bool,
}

/// State of the control group as an entry knows it.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTracker {
    replicas: BTreeMap<SocketAddr, KnownReplica>,
    /// Presumed leader.
    leader: Option<SocketAddr>,
    confirmed_at: Option<BootTime>,
}

impl ReplicaTracker {
    /// Records the voters that a replica reports.
    pub fn record_voters(&mut self, replica: SocketAddr, voters: BTreeSet<SocketAddr>) {
        // A disconnected replica that is missing from the new report has left the group.
        self.replicas
            .retain(|address, known| known.is_connected || voters.contains(address));
        let known = KnownReplica {
            voters,
            is_connected: true,
        };
        self.replicas.insert(replica, known);
    }

    /// Records that the session with a replica has ended. If it was the presumed leader, there is none any more.
    ///
    /// Its report is kept. If all sessions are lost and the seeds, which are the replica addresses in the settings,
    /// were replaced, the reports may be the only way to reconnect.
    pub fn mark_disconnected(&mut self, replica: SocketAddr) {
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.is_connected = false;
        }
        self.clear_leader(replica);
    }

    /// Returns how many replicas vote, by the report that names the most.
    pub fn voter_count(&self) -> usize {
        let counts = self.replicas.values().map(|known| known.voters.len());
        counts.max().unwrap_or(0)
    }

    /// Returns the replicas to keep sessions with: the seeds, and all voters in any report.
    pub fn session_targets(&self, seeds: impl IntoIterator<Item = SocketAddr>) -> BTreeSet<SocketAddr> {
        let reported = self.replicas.values().flat_map(|known| known.voters.iter().copied());
        reported.chain(seeds).collect()
    }

    /// Records that a replica has confirmed the lease, which only the leader can.
    pub const fn record_confirmed(&mut self, now: BootTime, replica: SocketAddr) {
        self.leader = Some(replica);
        self.confirmed_at = Some(now);
    }

    /// Records that a replica claims to have become the leader. The next request shows whether it still is.
    pub const fn record_leader_claim(&mut self, replica: SocketAddr) {
        self.leader = Some(replica);
    }

    /// Records that a replica is not the leader, and which one it names as the leader. Ignored while another replica is
    /// the presumed leader.
    pub fn record_not_leader(&mut self, replica: SocketAddr, named: Option<SocketAddr>) {
        if self.leader.is_none_or(|leader| leader == replica) {
            self.leader = named.filter(|named| *named != replica);
        }
    }

    /// Clears the presumed leader if it is `replica`. Returns true if it was.
    pub fn clear_leader(&mut self, replica: SocketAddr) -> bool {
        self.leader.take_if(|leader| *leader == replica).is_some()
    }

    /// Returns true if a replica has to be asked to confirm the lease.
    ///
    /// Only the presumed leader is asked. If there is none, or the lease has not been confirmed for [`LEADER_TIMEOUT`],
    /// all replicas are.
    pub fn should_ask(&self, now: BootTime, replica: SocketAddr) -> bool {
        let is_unconfirmed = self
            .confirmed_at
            .is_none_or(|confirmed_at| now.since(confirmed_at) >= LEADER_TIMEOUT);
        is_unconfirmed || self.leader.is_none_or(|leader| leader == replica)
    }
}
