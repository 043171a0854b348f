//! The replicated log against one plain list, under schedules of faults drawn from fixed seeds.

mod directed;
mod schedule;
mod simulated_disk;
mod simulation;
mod starts;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use schedule::{Action, schedules};
use simulation::Simulation;

/// How many schedules each of the four tests runs; together 20,000.
const SCHEDULES: u32 = 5_000;

fn run_schedules(seed: u8) {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config {
        cases: SCHEDULES,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&schedules(), |schedule| {
        let mut simulation = Simulation::new(schedule.replicas, schedule.seed);
        for action in &schedule.actions {
            simulation.act(action).map_err(TestCaseError::fail)?;
        }
        simulation.heal_and_settle().map_err(TestCaseError::fail)
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Replicas are killed, cut off, paused and lose disks, messages are lost, reordered and repeated. A user would notice
/// a fault in the group as a key that works again after its withdrawal, or as a booking that runs twice.
#[test]
fn every_replica_applies_one_list_first_seed() {
    run_schedules(1);
}

/// As above, from another seed, so that the four parts run side by side.
#[test]
fn every_replica_applies_one_list_second_seed() {
    run_schedules(2);
}

/// As above, from a third seed.
#[test]
fn every_replica_applies_one_list_third_seed() {
    run_schedules(3);
}

/// As above, from a fourth seed.
#[test]
fn every_replica_applies_one_list_fourth_seed() {
    run_schedules(4);
}

/// Without faults a group elects a leader within two seconds and commits what is proposed; otherwise the schedules
/// above could pass by never committing anything.
#[test]
fn schedules_commit_entries() {
    let mut simulation = Simulation::new(3, 7);
    simulation
        .act(&Action::Run { millis: 2_000 })
        .expect("nothing goes wrong");
    for _ in 0..50 {
        simulation.act(&Action::Propose).expect("nothing goes wrong");
        simulation.act(&Action::Run { millis: 20 }).expect("nothing goes wrong");
    }
    simulation.heal_and_settle().expect("nothing goes wrong");

    assert!(
        simulation.acknowledged() >= 50,
        "only {} were acknowledged",
        simulation.acknowledged()
    );
}
