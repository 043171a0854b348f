//! Tests of which replicas an entry connects to and asks.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use acaciabay::core::serving::replica_tracker::ReplicaTracker;

use crate::fixtures::at;

fn replica(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn replicas(numbers: impl IntoIterator<Item = u8>) -> BTreeSet<SocketAddr> {
    numbers.into_iter().map(replica).collect()
}

/// Two hosts join the group while an entry starts, and the last replica to report its voters does not know the second
/// one yet. If the entry closed its session with that host, it would refuse all calls once the host becomes the leader.
/// In one case an entry host served no calls for 21 s.
#[test]
fn a_stale_replica_closes_no_session() {
    let mut tracker = ReplicaTracker::default();

    tracker.record_voters(replica(1), replicas(1..=5));
    tracker.record_voters(replica(2), replicas(1..=4));

    assert_eq!(tracker.session_targets([]), replicas(1..=5));
}

/// A host of the group was replaced. The entry does not try its old address forever.
#[test]
fn a_replica_that_has_left_is_forgotten_once_nobody_names_it() {
    let mut tracker = ReplicaTracker::default();
    tracker.record_voters(replica(1), replicas(1..=3));
    tracker.record_voters(replica(3), replicas(1..=3));

    tracker.mark_disconnected(replica(3));
    tracker.record_voters(replica(1), replicas([1, 2, 4]));

    assert_eq!(tracker.session_targets([]), replicas([1, 2, 4]));
}

/// All sessions are lost for a while, and the seeds were replaced by hosts that are down. The entry must be able to
/// reconnect to the replicas that it knew.
#[test]
fn replicas_are_known_while_no_session_is_open() {
    let mut tracker = ReplicaTracker::default();
    tracker.record_voters(replica(1), replicas(1..=3));

    tracker.mark_disconnected(replica(1));

    assert_eq!(tracker.session_targets([replica(9)]), replicas([1, 2, 3, 9]));
}

/// Two replicas are partitioned from the three others, and one of them keeps naming the other as the leader. An entry
/// that asks each replica four times a second, always in the same order, would only ask these two in turn and never the
/// leader, and refuse its callers for as long as the partition lasts.
#[test]
fn replicas_that_name_each_other_do_not_hide_the_leader() {
    let mut tracker = ReplicaTracker::default();
    tracker.record_confirmed(at(0), replica(1));
    let mut asked_leader_at = None;

    for tick in 0..12 {
        let now = tick * 250;
        // The old leader knows that it is no longer the leader; its follower does not.
        if tracker.should_ask(at(now + 10), replica(1)) {
            tracker.record_not_leader(replica(1), None);
        }
        if tracker.should_ask(at(now + 20), replica(2)) {
            tracker.record_not_leader(replica(2), Some(replica(1)));
        }
        if asked_leader_at.is_none() && tracker.should_ask(at(now + 30), replica(3)) {
            asked_leader_at = Some(now);
        }
    }

    assert_eq!(asked_leader_at, Some(750));
}

/// While the leader answers, the other replicas are not asked, because each request costs every replica time.
#[test]
fn only_the_leader_is_asked_while_it_answers() {
    let mut tracker = ReplicaTracker::default();

    tracker.record_confirmed(at(0), replica(1));

    assert!(tracker.should_ask(at(250), replica(1)));
    assert!(!tracker.should_ask(at(250), replica(2)));
}
