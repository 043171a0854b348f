//! Property tests that compare decision code with slow but simple reference implementations, on inputs generated from a
//! fixed seed.

mod claims;
mod deltas;
mod orders;
mod placement;
mod queue;
mod shares;
mod tables;
mod usage;

use acaciabay::core::name::{CustomerName, PoolName};
use acaciabay::core::table::{EndpointPattern, PoolKind, PoolRow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

pub(crate) fn check<S: Strategy>(cases: u32, strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    if let Err(error) = TestRunner::new_with_rng(config, random).run(strategy, test) {
        panic!("{error}");
    }
}

pub(crate) fn customer(number: usize) -> CustomerName {
    CustomerName::new(format!("customer-{number}"))
}

pub(crate) fn pool_row(name: usize, endpoints: usize) -> PoolRow {
    let pattern = EndpointPattern(format!("e{endpoints}*"));
    PoolRow {
        name: PoolName::new(format!("pool-{name}")),
        kind: PoolKind::Engine,
        endpoints: vec![pattern],
    }
}
