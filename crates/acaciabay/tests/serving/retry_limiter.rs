//! Tests of the limit on retries that all entries share.

use std::time::Duration;

use acaciabay::core::serving::retry_limiter::{RetryLimit, RetryLimiter};
use proptest::prelude::*;

use crate::fixtures::{at, fixed_cases};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

/// A service fails every call. Without the limit, each entry would retry all its calls and double the load on the
/// service.
#[test]
fn a_failing_service_gets_few_second_sends() {
    let mut limiter = RetryLimiter::default();
    let mut granted = 0;

    for call in 0..1_000 {
        limiter.record_call(at(call), &LIMIT);
        granted += u32::from(limiter.try_acquire(at(call), &LIMIT, 5));
    }

    assert!((150..=210).contains(&granted), "{granted} of 1,000");
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Entries that each keep their own part of the limit never exceed it together in any window.
    #[test]
    fn entries_together_keep_the_bound(steps in prop::collection::vec((0_usize..4, 0_u64..200, any::<bool>()), 1..400)) {
        let mut limiters = vec![RetryLimiter::default(); 4];
        let (mut calls, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (entry, pause, is_call) in steps {
            now += pause;
            if is_call {
                limiters[entry].record_call(at(now), &LIMIT);
                calls.push(now);
            } else if limiters[entry].try_acquire(at(now), &LIMIT, 4) {
                retries.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|time| **time + 10_000 > now).count();
            let allowed = LIMIT.ratio * within(&calls) as f64 + LIMIT.slack;
            prop_assert!(within(&retries) as f64 <= allowed);
        }
    }
}
