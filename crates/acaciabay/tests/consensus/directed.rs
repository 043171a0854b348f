//! Tests of single mechanisms, each with the shortest sequence of events that fails without it.

use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::{
    AppendRequest, DiskId, EntryPayload, HardState, LEADER_LEASE, LogEntry, LogIndex, MemberChange, MemberChangeError,
    MemberRow, MemberSet, MessageBody, Replica, ReplicaId, ReplicaLog, ReplicaMessage, ReplicaRole, RestoredReplica,
    Term,
};
use bytes::Bytes;

const FIRST: ReplicaId = ReplicaId(1);
const SECOND: ReplicaId = ReplicaId(2);
const THIRD: ReplicaId = ReplicaId(3);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn three_members() -> MemberSet {
    let rows = [FIRST, SECOND, THIRD].map(|id| {
        let host = format!("host-{}", id.0).as_str().into();
        (
            id,
            MemberRow {
                host,
                address: String::new(),
                disk: Some(DiskId(id.0)),
                voter: true,
            },
        )
    });
    MemberSet::new(rows, THIRD)
}

fn restored(term: u64, entries: &[(u64, u64)]) -> RestoredReplica {
    let mut log = ReplicaLog::after_snapshot(LogIndex(1), Term(1), three_members());
    for (index, term) in entries {
        let payload = EntryPayload::Command(Bytes::from(format!("{index}/{term}")));
        log.push(LogEntry {
            index: LogIndex(*index),
            term: Term(*term),
            payload,
        });
    }
    RestoredReplica {
        hard_state: HardState {
            term: Term(term),
            vote: None,
            leader: None,
        },
        log,
    }
}

fn replica(id: ReplicaId, restored: RestoredReplica) -> Replica {
    Replica::new(at(0), id, restored, id.0)
}

fn message(from: ReplicaId, to: ReplicaId, term: u64, body: MessageBody) -> ReplicaMessage {
    ReplicaMessage {
        from,
        to,
        term: Term(term),
        body,
    }
}

/// Syncs the replica's output and returns all messages that it sends.
fn drain(replica: &mut Replica) -> Vec<ReplicaMessage> {
    let output = replica.take_output();
    replica.note_synced();
    let later = replica.take_output();
    [
        output.early_messages,
        output.messages,
        later.early_messages,
        later.messages,
    ]
    .concat()
}

/// Makes the first replica the leader of `term` with the vote of the second one.
fn elect(replica: &mut Replica, now: BootTime, term: u64) {
    replica.tick(now);
    replica.step(
        now,
        message(
            SECOND,
            FIRST,
            term,
            MessageBody::VoteReply {
                pre_vote: true,
                granted: true,
            },
        ),
    );
    replica.step(
        now,
        message(
            SECOND,
            FIRST,
            term,
            MessageBody::VoteReply {
                pre_vote: false,
                granted: true,
            },
        ),
    );
    assert_eq!(replica.role(), ReplicaRole::Leader);
}

fn append_reply(term: u64, index: u64, round: u64) -> ReplicaMessage {
    let body = MessageBody::AppendReply {
        accepted: true,
        index: LogIndex(index),
        round,
    };
    message(SECOND, FIRST, term, body)
}

fn vote_request(from: ReplicaId, to: ReplicaId, term: u64) -> ReplicaMessage {
    let body = MessageBody::VoteRequest {
        pre_vote: false,
        last_index: LogIndex(99),
        last_term: Term(term - 1),
    };
    message(from, to, term, body)
}

fn granted(messages: &[ReplicaMessage]) -> bool {
    messages
        .iter()
        .any(|message| matches!(message.body, MessageBody::VoteReply { granted: true, .. }))
}

/// A replica confirms a leader's lease, crashes, restarts within milliseconds and gets a vote request from a replica
/// that cannot reach the leader. If it voted, two leaders could send orders to the same engine at once.
#[test]
fn restarted_replica_votes_only_after_one_whole_lease() {
    let mut replica = replica(THIRD, restored(2, &[]));

    replica.step(at(10), vote_request(SECOND, THIRD, 3));
    let early = drain(&mut replica);
    replica.step(at(10) + LEADER_LEASE, vote_request(SECOND, THIRD, 3));
    let late = drain(&mut replica);

    assert!(
        !granted(&early),
        "granted a vote within a lease that it may have confirmed"
    );
    assert!(granted(&late));
}

/// A heartbeat and its reply take half a second. The follower may vote for another replica one lease after it received
/// the heartbeat, possibly just after it was sent. A lease counted from the reply would still be valid then, and two
/// leaders would act at once.
#[test]
fn lease_is_counted_from_when_the_round_was_sent() {
    let mut replica = replica(FIRST, restored(1, &[]));
    elect(&mut replica, at(1_400), 2);
    drain(&mut replica);

    replica.step(at(1_900), append_reply(2, 2, 1));
    drain(&mut replica);

    assert!(replica.may_act(at(1_400 + 779)));
    assert!(!replica.may_act(at(1_400 + 781)));
}

/// A new leader replicates an entry of an older term to a quorum. A leader elected without the entry could still
/// replace it, so committing it at this point could lose an accepted table.
#[test]
fn entries_of_older_terms_are_committed_only_with_one_of_the_own_term() {
    let mut replica = replica(FIRST, restored(2, &[(2, 2)]));
    elect(&mut replica, at(1_400), 3);
    drain(&mut replica);

    replica.step(at(1_410), append_reply(3, 2, 1));
    drain(&mut replica);
    let before = replica.delivered();
    replica.step(at(1_420), append_reply(3, 3, 1));
    drain(&mut replica);

    assert_eq!((before, replica.delivered()), (LogIndex(1), LogIndex(3)));
}

/// A leader with a slow disk counts its own copy of an entry before it is synced, and one follower has the entry. If
/// the leader loses power, only one of three replicas has it, and the other two may elect a leader without it.
#[test]
fn leader_counts_its_own_entries_only_when_they_are_synced() {
    let mut replica = replica(FIRST, restored(1, &[]));
    elect(&mut replica, at(1_400), 2);

    replica.step(at(1_410), append_reply(2, 2, 1));
    let before = replica.take_output().committed.len();
    replica.note_synced();
    let after = replica.take_output().committed.len();

    assert_eq!((before, after), (0, 1));
}

/// A follower's log contains entries of a deposed leader after those in the leader's message. If the leader's commit
/// index covered them, the follower would apply commands that the group never accepted.
#[test]
fn follower_commits_nothing_beyond_what_the_message_brought() {
    let mut replica = replica(THIRD, restored(2, &[(2, 2), (3, 2)]));
    let request = AppendRequest {
        previous_index: LogIndex(1),
        previous_term: Term(1),
        commit: LogIndex(3),
        round: 1,
        entries: vec![LogEntry {
            index: LogIndex(2),
            term: Term(2),
            payload: EntryPayload::Empty,
        }],
    };

    replica.step(at(10), message(FIRST, THIRD, 3, MessageBody::AppendRequest(request)));
    drain(&mut replica);

    assert_eq!(replica.delivered(), LogIndex(2));
}

/// Two candidates request the vote of one replica in the same term. If it voted for both, the term could have two
/// leaders.
#[test]
fn replica_votes_once_in_a_term_even_across_a_restart() {
    let mut before = replica(THIRD, restored(1, &[]));
    let now = at(2_000);
    before.step(now, vote_request(FIRST, THIRD, 2));
    let output = before.take_output();
    let hard_state = output.hard_state.expect("the vote has to be synced before it is sent");
    let mut after = replica(
        THIRD,
        RestoredReplica {
            hard_state,
            ..restored(2, &[])
        },
    );

    before.step(now, vote_request(SECOND, THIRD, 2));
    after.step(now, vote_request(SECOND, THIRD, 2));

    assert!(granted(&output.messages));
    assert!(!granted(&drain(&mut before)) && !granted(&drain(&mut after)));
}

/// A replica that lacks the latest entries requests votes. If it were elected, accepted tables would be lost.
#[test]
fn replica_with_an_older_log_gets_no_vote() {
    let mut replica = replica(THIRD, restored(2, &[(2, 2)]));
    let body = MessageBody::VoteRequest {
        pre_vote: false,
        last_index: LogIndex(1),
        last_term: Term(1),
    };

    replica.step(at(2_000), message(SECOND, THIRD, 3, body));

    assert!(!granted(&drain(&mut replica)));
}

/// A replica that was isolated for a long time returns and starts a pre-vote. If the pre-vote raised the term, the
/// leader would be deposed, and the control group would do no work until the next election is over.
#[test]
fn pre_vote_of_a_returning_replica_does_not_unseat_the_leader() {
    let mut replica = replica(FIRST, restored(1, &[]));
    elect(&mut replica, at(1_400), 2);
    replica.step(at(1_410), append_reply(2, 2, 1));
    let body = MessageBody::VoteRequest {
        pre_vote: true,
        last_index: LogIndex(1),
        last_term: Term(1),
    };

    replica.step(at(1_420), message(THIRD, FIRST, 9, body));

    assert_eq!((replica.role(), replica.term()), (ReplicaRole::Leader, Term(2)));
    assert!(!granted(&drain(&mut replica)));
}

/// An operator removes one host and adds another within the same second. If both changes were pending at once, the old
/// and the new members could form disjoint quorums, and two configurations could be accepted.
#[test]
fn second_change_of_members_waits_for_the_first() {
    let mut replica = replica(FIRST, restored(1, &[]));
    elect(&mut replica, at(1_400), 2);
    drain(&mut replica);
    let add = |host: &str| MemberChange::Add {
        host: host.into(),
        address: String::new(),
    };

    let before_own_entry = replica.change_members(add("host-4"));
    replica.step(at(1_410), append_reply(2, 2, 1));
    let first = replica.change_members(add("host-4"));
    let second = replica.change_members(add("host-5"));
    drain(&mut replica);
    replica.step(at(1_420), append_reply(2, 3, 1));
    let third = replica.change_members(add("host-5"));

    assert_eq!(before_own_entry, Err(MemberChangeError::ChangePending));
    assert!(first.is_ok());
    assert_eq!(second, Err(MemberChangeError::ChangePending));
    assert!(third.is_ok());
}

/// A repaired host starts with an empty replica. If it counted towards the quorum at once and a second host were lost,
/// a quorum could consist of replicas that lack accepted entries.
#[test]
fn learner_votes_only_after_it_has_caught_up() {
    let entries: Vec<(u64, u64)> = (2..300).map(|index| (index, 1)).collect();
    let mut replica = replica(FIRST, restored(1, &entries));
    elect(&mut replica, at(1_400), 2);
    drain(&mut replica);
    replica.step(at(1_410), append_reply(2, 300, 1));
    let add = MemberChange::Add {
        host: "host-4".into(),
        address: String::new(),
    };
    let (index, learner) = replica.change_members(add).expect("no other change is pending");
    drain(&mut replica);
    replica.step(at(1_420), append_reply(2, index.0, 1));
    let bind = MemberChange::Bind {
        replica: learner,
        disk: DiskId(44),
    };
    let (index, _) = replica.change_members(bind).expect("no other change is pending");
    drain(&mut replica);
    replica.step(at(1_430), append_reply(2, index.0, 1));
    let reply = |index: u64| {
        let body = MessageBody::AppendReply {
            accepted: true,
            index: LogIndex(index),
            round: 1,
        };
        message(learner, FIRST, 2, body)
    };

    replica.step(at(1_440), reply(50));
    let early = replica.members().is_voter(learner);
    replica.step(at(1_450), reply(index.0));
    let late = replica.members().is_voter(learner);

    assert_eq!((early, late), (false, true));
}

/// A host's data folder was emptied, and the host rejoins with a new folder. Under its old replica id it would lack
/// entries that it had confirmed, and they could be lost.
#[test]
fn emptied_disk_does_not_come_back_as_the_old_member() {
    let mut replica = replica(FIRST, restored(1, &[]));
    elect(&mut replica, at(1_400), 2);
    drain(&mut replica);
    replica.step(at(1_410), append_reply(2, 2, 1));

    let refused = replica.change_members(MemberChange::Bind {
        replica: THIRD,
        disk: DiskId(77),
    });

    assert_eq!(refused, Err(MemberChangeError::DiskMismatch(DiskId(3))));
}
