//! Tests of the replacement of members of the control group.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::{
    DiskId, FollowerState, HardState, LogIndex, MemberChange, MemberRow, MemberSet, MessageBody, QuorumPolicy, Replica,
    ReplicaId, ReplicaLog, ReplicaMessage, ReplicaRole, RestoredReplica, Term,
};
use acaciabay::ops::plan_members::{LEARNER_SILENCE, VOTER_SILENCE, plan_members};

use crate::fixtures::at;

fn follower(replica: u64, voter: bool, silence: Duration) -> FollowerState {
    FollowerState {
        replica: ReplicaId(replica),
        voter,
        caught_up: true,
        silence,
    }
}

/// Returns the leader of a group with one member, and the current time.
fn single_member_leader(policy: QuorumPolicy) -> (Replica, BootTime) {
    let row = MemberRow {
        host: "h1".into(),
        address: "10.0.0.1:1".to_owned(),
        disk: Some(DiskId(1)),
        voter: true,
    };
    let members = MemberSet::new([(ReplicaId(1), row)], ReplicaId(1));
    let restored = RestoredReplica {
        hard_state: HardState::founding(),
        log: ReplicaLog::after_snapshot(LogIndex(1), Term(1), members),
    };
    let mut replica = Replica::new(at(0), ReplicaId(1), restored, 7).with_policy(policy);
    let mut now = at(0);
    while replica.role() != ReplicaRole::Leader {
        now = now + Duration::from_millis(20);
        replica.tick(now);
    }
    sync_log(&mut replica);
    (replica, now)
}

/// Confirms the log writes of the replica and drops its messages, in three rounds.
fn sync_log(replica: &mut Replica) {
    for _ in 0..3 {
        let _output = replica.take_output();
        replica.note_synced();
    }
}

/// Guards against the removal of a new member right after it is admitted, over and over. The leader has led for many
/// rounds, and the host has an empty disk and has not answered yet. If it counted as silent since the first round, it
/// would be removed at once.
#[test]
fn new_member_does_not_count_as_silent() {
    let (mut replica, mut now) = single_member_leader(QuorumPolicy::default());
    for _ in 0..2_000 {
        now = now + Duration::from_millis(20);
        replica.tick(now);
        sync_log(&mut replica);
    }
    let change = MemberChange::Admit {
        host: "h2".into(),
        address: "10.0.0.2:1".to_owned(),
        disk: DiskId(70_000),
    };
    replica.change_members(change).expect("no other change is in progress");
    sync_log(&mut replica);

    let followers = replica.followers();

    assert_eq!(followers.len(), 1);
    assert!(followers[0].silence < VOTER_SILENCE, "{followers:?}");
    assert_eq!(plan_members(&followers, 1, 5), None);
}

/// Three replicas that exchange messages, except with those that are isolated.
struct ThreeReplicas {
    replicas: Vec<Replica>,
    now: BootTime,
}

impl ThreeReplicas {
    fn new(policy: QuorumPolicy) -> Self {
        let row = |number: u64| MemberRow {
            host: format!("h{number}").as_str().into(),
            address: format!("10.0.0.{number}:1"),
            disk: Some(DiskId(number)),
            voter: true,
        };
        let members = MemberSet::new((1..=3).map(|number| (ReplicaId(number), row(number))), ReplicaId(3));
        let replica = |number: u64| {
            let restored = RestoredReplica {
                hard_state: HardState::founding(),
                log: ReplicaLog::after_snapshot(LogIndex(1), Term(1), members.clone()),
            };
            Replica::new(at(0), ReplicaId(number), restored, number).with_policy(policy)
        };
        Self {
            replicas: (1..=3).map(replica).collect(),
            now: at(0),
        }
    }

    /// Advances the time by `millis`. Messages to and from the replicas in `isolated` are lost.
    fn run(&mut self, millis: u64, isolated: &[ReplicaId]) {
        for _ in 0..millis / 20 {
            self.now = self.now + Duration::from_millis(20);
            let mut messages = Vec::new();
            for replica in &mut self.replicas {
                replica.tick(self.now);
                let output = replica.take_output();
                replica.note_synced();
                messages.extend(output.early_messages);
                messages.extend(output.messages);
            }
            for message in messages {
                if isolated.contains(&message.to) || isolated.contains(&message.from) {
                    continue;
                }
                let to = self.replicas.iter_mut().find(|replica| replica.id() == message.to);
                to.expect("the recipient is one of the three replicas")
                    .step(self.now, message);
            }
        }
    }

    fn leader(&mut self) -> &mut Replica {
        let leader = self
            .replicas
            .iter_mut()
            .find(|replica| replica.role() == ReplicaRole::Leader);
        leader.expect("a leader has been elected")
    }
}

/// Guards against the loss of an accepted log entry. The policy allows for two disks lost at once, and only three hosts
/// have a disk so far. An entry that is accepted once a majority, two disks, has it would be lost with both.
#[test]
fn entry_is_committed_only_once_min_copies_replicas_store_it() {
    let policy = QuorumPolicy {
        min_copies: 3,
        max_voters: Some(5),
    };
    let mut group = ThreeReplicas::new(policy);
    group.run(4_000, &[]);
    let leader = group.leader().id();
    let other = ReplicaId(leader.0 % 3 + 1);
    group
        .leader()
        .propose(bytes::Bytes::from_static(b"x"))
        .expect("the replica is the leader");
    let proposed = group.leader().log().last_index();

    group.run(400, &[other]);
    let on_two_disks = group.leader().delivered();
    group.run(400, &[]);
    let on_three_disks = group.leader().delivered();

    assert!(on_two_disks < proposed);
    assert!(on_three_disks >= proposed);
}

/// Guards against more voters than the policy wants. All of them are present and one more host joins; if it became a
/// voter as well, a tolerated number of losses could leave no majority.
#[test]
fn voters_do_not_exceed_max_voters() {
    let policy = QuorumPolicy {
        min_copies: 1,
        max_voters: Some(1),
    };
    let (mut replica, mut now) = single_member_leader(policy);
    let change = MemberChange::Admit {
        host: "h2".into(),
        address: "10.0.0.2:1".to_owned(),
        disk: DiskId(70_000),
    };
    let (index, learner) = replica.change_members(change).expect("no other change is in progress");
    sync_log(&mut replica);

    for round in 0..20 {
        now = now + Duration::from_millis(100);
        replica.tick(now);
        let reply = MessageBody::AppendReply {
            accepted: true,
            index,
            round,
        };
        let message = ReplicaMessage {
            from: learner,
            to: replica.id(),
            term: replica.term(),
            body: reply,
        };
        replica.step(now, message);
        sync_log(&mut replica);
    }

    assert!(!replica.members().is_voter(learner));
}

/// Guards against a permanently lost voter that stays although a learner could replace it: the loss of one more voter
/// would stop the group.
#[test]
fn longest_silent_voter_is_removed_if_a_learner_can_replace_it() {
    let shorter = VOTER_SILENCE;
    let longer = VOTER_SILENCE * 2;
    let followers = [
        follower(2, true, shorter),
        follower(3, true, longer),
        follower(4, true, Duration::ZERO),
        follower(6, false, Duration::ZERO),
    ];

    assert_eq!(plan_members(&followers, 5, 5), Some(ReplicaId(3)));
}

/// Guards against the removal of a silent voter that no learner can replace. The removal would not restore a copy of
/// the log.
#[test]
fn silent_voter_stays_if_no_learner_can_replace_it() {
    let silent = follower(2, true, VOTER_SILENCE * 10);
    let lagging = FollowerState {
        caught_up: false,
        ..follower(6, false, Duration::ZERO)
    };

    assert_eq!(plan_members(&[silent], 5, 5), None);
    assert_eq!(plan_members(&[silent, lagging], 5, 5), None);
}

#[test]
fn silent_learner_is_removed() {
    let learner = follower(6, false, LEARNER_SILENCE);

    assert_eq!(plan_members(&[learner], 5, 5), Some(ReplicaId(6)));
}
