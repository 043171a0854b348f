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
pub const LEADER_PATIENCE: Duration = Duration::from_millis(600);

#[derive(Clone, Debug, Default)]
struct ReplicaWord {
    voters: BTreeSet<SocketAddr>,
    is_open: bool,
}

/// What an entry knows of the control group.
#[derive(Clone, Debug, Default)]
pub struct ReplicaBoard {
    words: BTreeMap<SocketAddr, ReplicaWord>,
    leader: Option<SocketAddr>,
    confirmed_at: Option<BootTime>,
}

impl ReplicaBoard {
    /// Notes who votes as a replica says.
    pub fn hear_voters(&mut self, replica: SocketAddr, voters: BTreeSet<SocketAddr>) {
        // A replica that is lost and that this one no longer names has left the group.
        self.words.retain(|other, word| word.is_open || voters.contains(other));
        let word = ReplicaWord { voters, is_open: true };
        self.words.insert(replica, word);
    }

    /// Notes that the session with a replica has ended. Its word is kept: after all sessions were cut, and the seeds were
    /// exchanged, it may be the only way back.
    pub fn lose(&mut self, replica: SocketAddr) {
        if let Some(word) = self.words.get_mut(&replica) {
            word.is_open = false;
        }
        self.doubt(replica);
    }

    /// Returns the replicas to keep sessions with: all that any replica names, and the seeds.
    pub fn wanted(&self, seeds: impl IntoIterator<Item = SocketAddr>) -> BTreeSet<SocketAddr> {
        let named = self.words.values().flat_map(|word| word.voters.iter().copied());
        named.chain(seeds).collect()
    }

    /// Notes that a replica has confirmed the lease, as only the leader can.
    pub const fn note_confirmed(&mut self, now: BootTime, replica: SocketAddr) {
        self.leader = Some(replica);
        self.confirmed_at = Some(now);
    }

    /// Notes that a replica says that it has come to lead; whether it still does shows when it is asked.
    pub const fn hear_leads(&mut self, replica: SocketAddr) {
        self.leader = Some(replica);
    }

    /// Notes that a replica does not lead, and whom it takes for the leader.
    pub fn hear_elsewhere(&mut self, replica: SocketAddr, named: Option<SocketAddr>) {
        if self.leader.is_none_or(|leader| leader == replica) {
            self.leader = named.filter(|named| *named != replica);
        }
    }

    /// Takes a replica no longer for the leader; tells whether it was taken for it.
    pub fn doubt(&mut self, replica: SocketAddr) -> bool {
        self.leader.take_if(|leader| *leader == replica).is_some()
    }

    /// Tells whether a replica is to be asked to confirm the lease.
    pub fn should_ask(&self, now: BootTime, replica: SocketAddr) -> bool {
        let is_unsure = self
            .confirmed_at
            .is_none_or(|confirmed_at| now.since(confirmed_at) >= LEADER_PATIENCE);
        is_unsure || self.leader.is_none_or(|leader| leader == replica)
    }
}
