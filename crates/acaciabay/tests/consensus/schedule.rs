//! Randomized schedules of events in a group of replicas.

use proptest::prelude::*;

/// Event in a schedule.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Lets time pass.
    Run { millis: u64 },
    /// Proposes a command to the first replica that accepts it.
    Propose,
    /// Kills a replica's process.
    Kill { replica: usize },
    /// Kills a replica's process during its next log write, of which only the first `entries` entries reach the disk.
    KillInWrite { replica: usize, entries: usize },
    /// Restarts all killed replicas.
    Restart,
    /// Pauses a replica. Messages to it wait until it resumes.
    Pause { replica: usize, millis: u64 },
    /// Drops all messages from one replica to another.
    Cut { from: usize, to: usize },
    /// Isolates a replica from all others, in both directions.
    Isolate { replica: usize },
    /// Restores all connections.
    Heal,
    /// Makes a replica write a snapshot and remove the log entries that it includes.
    Compact { replica: usize },
    /// Destroys a replica's disk. Has no effect while a repair is pending or while any replica is down or not a voter.
    LoseDisk { replica: usize },
    /// Takes the operator's next step to replace the replica whose disk was lost.
    Repair,
}

/// Group size, random seed and events of one test case.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) replicas: usize,
    pub(crate) seed: u64,
    pub(crate) actions: Vec<Action>,
}

pub(crate) fn schedules() -> impl Strategy<Value = Schedule> {
    let replicas = prop_oneof![4 => Just(3_usize), 1 => Just(5_usize)];
    let actions = prop::collection::vec(actions(), 10..50);
    (replicas, any::<u64>(), actions).prop_map(|(replicas, seed, actions)| Schedule {
        replicas,
        seed,
        actions,
    })
}

fn actions() -> impl Strategy<Value = Action> {
    let replica = 0..5_usize;
    prop_oneof![
        12 => (1..400_u64).prop_map(|millis| Action::Run { millis }),
        3 => (400..2_500_u64).prop_map(|millis| Action::Run { millis }),
        12 => Just(Action::Propose),
        2 => replica.clone().prop_map(|replica| Action::Kill { replica }),
        2 => (replica.clone(), 0..3_usize).prop_map(|(replica, entries)| Action::KillInWrite { replica, entries }),
        4 => Just(Action::Restart),
        3 => (replica.clone(), 50..3_000_u64).prop_map(|(replica, millis)| Action::Pause { replica, millis }),
        2 => (replica.clone(), replica.clone()).prop_map(|(from, to)| Action::Cut { from, to }),
        2 => replica.clone().prop_map(|replica| Action::Isolate { replica }),
        3 => Just(Action::Heal),
        2 => replica.clone().prop_map(|replica| Action::Compact { replica }),
        1 => replica.prop_map(|replica| Action::LoseDisk { replica }),
        3 => Just(Action::Repair),
    ]
}
