//! Restarts of one replica or of the whole group.

use std::collections::BTreeSet;

use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::{
    AppendRequest, DiskId, HardState, LogIndex, MemberRow, MemberSet, MessageBody, Replica, ReplicaId, ReplicaLog,
    ReplicaMessage, ReplicaRole, RestoredReplica, Term,
};

const LEADER: ReplicaId = ReplicaId(1);
const OTHER: ReplicaId = ReplicaId(3);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn members() -> MemberSet {
    let rows = (1..=5).map(|number| {
        let row = MemberRow {
            host: format!("host-{number}").as_str().into(),
            address: String::new(),
            disk: Some(DiskId(number)),
            voter: true,
        };
        (ReplicaId(number), row)
    });
    MemberSet::new(rows, ReplicaId(5))
}

/// Creates a restarted replica that has stored the leader of term 7, if it knew one.
fn restarted(now: BootTime, number: u64, leader: Option<ReplicaId>) -> Replica {
    let restored = RestoredReplica {
        hard_state: HardState {
            term: Term(7),
            vote: None,
            leader,
        },
        log: ReplicaLog::after_snapshot(LogIndex(1), Term(1), members()),
    };
    Replica::new(now, ReplicaId(number), restored, number)
}

/// Sends a pre-vote request to a replica and returns true if it grants the pre-vote.
fn grants_pre_vote(replica: &mut Replica, now: BootTime, from: ReplicaId, term: u64) -> bool {
    let body = MessageBody::VoteRequest {
        pre_vote: true,
        last_index: LogIndex(1),
        last_term: Term(1),
    };
    replica.step(
        now,
        ReplicaMessage {
            from,
            to: replica.id(),
            term: Term(term),
            body,
        },
    );
    let output = replica.take_output();
    let mut replies = output.messages.iter().map(|message| &message.body);
    replies.any(|body| matches!(body, MessageBody::VoteReply { granted: true, .. }))
}

/// Ticks all replicas at `now`, delivers their messages without delay, and returns the hard states that they stored.
fn tick_and_deliver(replicas: &mut [Replica], now: u64) -> Vec<(ReplicaId, HardState)> {
    let (mut messages, mut stored) = (Vec::new(), Vec::new());
    for replica in replicas.iter_mut() {
        replica.tick(at(now));
        let output = replica.take_output();
        replica.note_synced();
        stored.extend(output.hard_state.map(|state| (replica.id(), state)));
        messages.extend([output.early_messages, output.messages].concat());
    }
    for message in messages {
        let receiver = replicas.iter_mut().find(|replica| replica.id() == message.to);
        if let Some(receiver) = receiver {
            receiver.step(at(now), message);
        }
    }
    stored
}

/// Runs the replicas until one of them leads and returns the time of its election.
fn run_until_leader(replicas: &mut [Replica], from: u64) -> u64 {
    for now in from..from + 5_000 {
        tick_and_deliver(replicas, now);
        if replicas.iter().any(|replica| replica.role() == ReplicaRole::Leader) {
            return now;
        }
    }
    panic!("no leader was elected within five seconds");
}

/// Runs a replica that gets no replies for `millis` milliseconds and returns the times at which it requested votes.
fn run_without_replies(replica: &mut Replica, millis: u64) -> Vec<u64> {
    let mut requested_at = Vec::new();
    for now in 0..millis {
        replica.tick(at(now));
        let output = replica.take_output();
        replica.note_synced();
        let mut bodies = output.messages.iter().map(|message| &message.body);
        if bodies.any(|body| matches!(body, MessageBody::VoteRequest { .. })) {
            requested_at.push(now);
        }
    }
    requested_at
}

/// All processes of the group are killed at once and restart. Each replica must assume that it confirmed a lease just
/// before, and requests are refused until a leader is elected. The former leader need not wait, because its own lease
/// ended with its process.
#[test]
fn the_leader_returns_at_once_after_all_were_killed() {
    let mut replicas: Vec<_> = (1..=5).map(|number| restarted(at(0), number, Some(LEADER))).collect();

    let elected_at = run_until_leader(&mut replicas, 0);

    assert!(elected_at < 200, "{elected_at} ms");
    assert_eq!(replicas[0].role(), ReplicaRole::Leader);
}

/// All processes were killed and the leader's host does not come back. The others wait until the lease has expired.
#[test]
fn the_others_wait_the_lease_out_without_the_leader() {
    let mut replicas: Vec<_> = (2..=5).map(|number| restarted(at(0), number, Some(LEADER))).collect();

    let elected_at = run_until_leader(&mut replicas, 0);

    assert!((800..2_700).contains(&elected_at), "{elected_at} ms");
}

/// Two replicas become candidates at the same moment and neither gets enough votes. Requests are refused until the next
/// attempt succeeds, so that attempt must not wait for a full election timeout.
#[test]
fn a_replica_that_stood_in_vain_stands_again_soon() {
    let mut replica = restarted(at(0), 2, Some(LEADER));

    let requested_at = run_without_replies(&mut replica, 2_000);

    assert!((900..1_300).contains(&requested_at[0]), "{requested_at:?}");
    assert!(requested_at[1] - requested_at[0] < 420, "{requested_at:?}");
}

/// With slow disks, votes arrive later than a candidate waits before its second attempt. If it kept that short timeout,
/// it would discard every vote in flight, and no leader would ever be elected.
#[test]
fn a_replica_that_goes_on_standing_in_vain_leaves_each_round_its_time() {
    let mut replica = restarted(at(0), 2, Some(LEADER));

    let requested_at = run_without_replies(&mut replica, 6_000);

    let pauses: Vec<_> = requested_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses[1..].iter().all(|pause| *pause >= 900), "{pauses:?}");
}

/// A replica restarts while the leader keeps running, and another replica that cannot reach the leader starts an
/// election. If the restarted replica voted for it, two leaders could send conflicting orders to one endpoint.
#[test]
fn a_replica_that_starts_again_votes_for_nobody_but_the_leader_it_followed() {
    let mut replica = restarted(at(0), 2, Some(LEADER));

    assert!(!grants_pre_vote(&mut replica, at(100), OTHER, 8));
    assert!(grants_pre_vote(&mut replica, at(100), LEADER, 8));
}

/// The replica stopped before it had stored the leader, so it does not know whose lease it may have confirmed.
#[test]
fn a_replica_that_does_not_know_the_leader_waits_the_whole_lease() {
    let mut replica = restarted(at(0), 2, None);

    assert!(!grants_pre_vote(&mut replica, at(100), LEADER, 8));
    assert!(grants_pre_vote(&mut replica, at(801), LEADER, 8));
}

/// The vote request with which the leader was elected is delayed and arrives after its lease was confirmed. It does not
/// prove that the leader has lost its lease.
#[test]
fn a_late_request_of_the_leader_ends_no_promise() {
    let mut replica = restarted(at(0), 2, None);
    replica.step(
        at(900),
        ReplicaMessage {
            from: LEADER,
            to: replica.id(),
            term: Term(8),
            body: MessageBody::AppendRequest(AppendRequest {
                previous_index: LogIndex(1),
                previous_term: Term(1),
                commit: LogIndex(1),
                round: 1,
                entries: Vec::new(),
            }),
        },
    );
    replica.take_output();

    grants_pre_vote(&mut replica, at(1_000), LEADER, 8);

    assert!(!grants_pre_vote(&mut replica, at(1_000), OTHER, 9));
}

/// Every replica stores the leader of a term as soon as it knows it. Otherwise it would not know it after a restart.
#[test]
fn who_leads_is_stored() {
    let mut replicas: Vec<_> = (1..=5).map(|number| restarted(at(0), number, None)).collect();

    let elected_at = run_until_leader(&mut replicas, 0);
    let leader = replicas.iter().find(|replica| replica.role() == ReplicaRole::Leader);
    let leader = leader.map(Replica::id);
    let stored: Vec<_> = (elected_at..elected_at + 300)
        .flat_map(|now| tick_and_deliver(&mut replicas, now))
        .collect();

    let records = stored.iter().filter(|(_, state)| state.leader == leader);
    let replicas_with_leader: BTreeSet<_> = records.map(|(replica, _)| *replica).collect();
    assert_eq!(replicas_with_leader.len(), 5);
}

/// All processes were killed, and the former leader is back before most others can be reached. If it repeated a lost
/// pre-vote request only after a candidate's timeout, each lost request would delay service as long as a second
/// election.
#[test]
fn the_returning_leader_asks_again_soon() {
    let mut replica = restarted(at(0), 1, Some(LEADER));

    let requested_at = run_without_replies(&mut replica, 1_400);

    let pauses: Vec<_> = requested_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.len() >= 8, "{requested_at:?}");
    assert!(pauses.iter().all(|pause| *pause <= 140), "{pauses:?}");
}
