//! Consensus tests: randomized fault schedules from fixed seeds, checked against a reference list, and single
//! scenarios.

mod directed;
mod restarts;
mod schedule;
mod simulated_disk;
mod simulation;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use schedule::{Action, schedules};
use simulation::Simulation;

/// Number of schedules that each of the four tests runs, 20,000 in total.
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
            simulation.apply_action(action).map_err(TestCaseError::fail)?;
        }
        simulation.heal_and_recover().map_err(TestCaseError::fail)
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// All replicas apply the same list of entries while replicas are killed, isolated and paused, disks are lost, and
/// messages are lost, reordered and duplicated. Users would notice a violation as a revoked key that works again, or as
/// a booking that runs twice.
#[test]
fn every_replica_applies_one_list_first_seed() {
    run_schedules(1);
}

/// Same as above with a second seed. The schedules are split into four tests so that they run in parallel.
#[test]
fn every_replica_applies_one_list_second_seed() {
    run_schedules(2);
}

/// Same as above with a third seed.
#[test]
fn every_replica_applies_one_list_third_seed() {
    run_schedules(3);
}

/// Same as above with a fourth seed.
#[test]
fn every_replica_applies_one_list_fourth_seed() {
    run_schedules(4);
}

/// Without faults, a group elects a leader within two seconds and commits all proposals. Otherwise the tests above
/// could pass without ever committing an entry.
#[test]
fn schedules_commit_entries() {
    let mut simulation = Simulation::new(3, 7);
    simulation
        .apply_action(&Action::Run { millis: 2_000 })
        .expect("no invariant is violated");
    for _ in 0..50 {
        simulation
            .apply_action(&Action::Propose)
            .expect("no invariant is violated");
        simulation
            .apply_action(&Action::Run { millis: 20 })
            .expect("no invariant is violated");
    }
    simulation.heal_and_recover().expect("no invariant is violated");

    assert!(
        simulation.acknowledged() >= 50,
        "only {} proposals were acknowledged",
        simulation.acknowledged()
    );
}
