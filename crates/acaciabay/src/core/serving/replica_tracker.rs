//! Which replicas of the control group an entry keeps sessions with, and which of them it asks for its lease.
//!
//! Each replica tells who votes as it knows it, and may be behind the others. An entry that believed the last word alone
//! could drop its session with the very replica that leads later, and nobody would tell it again: without a lease it then
//! refuses all calls while every other entry serves. So it keeps a session with each replica that any of them names.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;

/// How long after the last confirmation all replicas are asked instead of the one that is taken for the leader: two
/// renewals and the way there and back. Two replicas that are cut off from the others may name each other as the leader
/// for as long as the cut lasts, so a name alone is not believed for longer.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(600);

#[derive(Clone, Debug, Default)]
struct ReplicaReport {
    voters: BTreeSet<SocketAddr>,
    is_connected: bool,
}

/// What an entry knows of the control group.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTracker {
    reports: BTreeMap<SocketAddr, ReplicaReport>,
    leader: Option<SocketAddr>,
    confirmed_at: Option<BootTime>,
}

impl ReplicaTracker {
    /// Notes who votes as a replica says.
    pub fn record_voters(&mut self, replica: SocketAddr, voters: BTreeSet<SocketAddr>) {
        // A replica that is lost and that this one no longer names has left the group.
        self.reports
            .retain(|other, report| report.is_connected || voters.contains(other));
        let report = ReplicaReport {
            voters,
            is_connected: true,
        };
        self.reports.insert(replica, report);
    }

    /// Notes that the session with a replica has ended. Its word is kept: after all sessions were cut, and the seeds were
    /// exchanged, it may be the only way back.
    pub fn mark_disconnected(&mut self, replica: SocketAddr) {
        if let Some(report) = self.reports.get_mut(&replica) {
            report.is_connected = false;
        }
        self.clear_leader(replica);
    }

    /// Returns the replicas to keep sessions with: all that any replica names, and the seeds.
    pub fn session_targets(&self, seeds: impl IntoIterator<Item = SocketAddr>) -> BTreeSet<SocketAddr> {
        let named = self.reports.values().flat_map(|report| report.voters.iter().copied());
        named.chain(seeds).collect()
    }

    /// Notes that a replica has confirmed the lease, as only the leader can.
    pub const fn record_confirmed(&mut self, now: BootTime, replica: SocketAddr) {
        self.leader = Some(replica);
        self.confirmed_at = Some(now);
    }

    /// Notes that a replica says that it has come to lead; whether it still does shows when it is asked.
    pub const fn record_leader_claim(&mut self, replica: SocketAddr) {
        self.leader = Some(replica);
    }

    /// Notes that a replica does not lead, and whom it takes for the leader.
    pub fn record_not_leader(&mut self, replica: SocketAddr, named: Option<SocketAddr>) {
        if self.leader.is_none_or(|leader| leader == replica) {
            self.leader = named.filter(|named| *named != replica);
        }
    }

    /// Takes a replica no longer for the leader; tells whether it was taken for it.
    pub fn clear_leader(&mut self, replica: SocketAddr) -> bool {
        self.leader.take_if(|leader| *leader == replica).is_some()
    }

    /// Tells whether a replica is to be asked to confirm the lease.
    pub fn should_ask(&self, now: BootTime, replica: SocketAddr) -> bool {
        let is_unconfirmed = self
            .confirmed_at
            .is_none_or(|confirmed_at| now.since(confirmed_at) >= LEADER_TIMEOUT);
        is_unconfirmed || self.leader.is_none_or(|leader| leader == replica)
    }
}
