//! Tests of the limit on retries that an entry keeps, and of what it asks the leader for.

use std::time::Duration;

use acaciabay::core::serving::retry_limiter::{AcquiredRetry, GRANT_LIFETIME, RetryLimiter};

use crate::fixtures::at;
use crate::retry_rule::LIMIT;

/// Returns a limiter that has recorded a call each millisecond until `until`.
fn limiter_with_calls(until: u64) -> RetryLimiter {
    let mut limiter = RetryLimiter::default();
    for call in 0..until {
        limiter.record_call(at(call), &LIMIT);
    }
    limiter
}

/// Acquires retries at `now` until there are no more, and returns how many there were.
fn acquire_all(limiter: &mut RetryLimiter, now: u64) -> usize {
    std::iter::from_fn(|| limiter.try_acquire(at(now), &LIMIT)).count()
}

/// A service fails every call. Without the limit, each entry would retry all its calls and double the load on the
/// service.
#[test]
fn a_failing_service_gets_few_second_sends() {
    let mut limiter = RetryLimiter::default();
    let mut granted = 0;

    for call in 0..1_000 {
        limiter.record_call(at(10 * call), &LIMIT);
        granted += u32::from(limiter.try_acquire(at(10 * call), &LIMIT).is_some());
    }

    assert!((100..=200).contains(&granted), "{granted} of 1,000");
}

/// An entry that begins has the slack of its predecessor to itself.
#[test]
fn an_entry_that_has_just_begun_makes_no_retries_of_its_own() {
    let mut limiter = RetryLimiter::default();
    limiter.record_call(at(0), &LIMIT);

    let acquired = limiter.try_acquire(at(1), &LIMIT);

    assert_eq!(acquired, None);
}

/// Retries at once after long calm would be refused if only the calls since then counted.
#[test]
fn calls_before_a_failure_allow_retries_at_once() {
    let mut limiter = limiter_with_calls(20_000);

    let acquired = acquire_all(&mut limiter, 20_000);

    assert!((300..=500).contains(&acquired), "{acquired} of 2,000");
}

/// A retry that waits for a connection while others are made arrives together with them.
#[test]
fn a_retry_is_counted_when_it_is_sent() {
    let mut limiter = limiter_with_calls(10_000);
    let waiting = limiter.try_acquire(at(10_000), &LIMIT).expect("calls allow it");
    acquire_all(&mut limiter, 30_000);

    let confirmed = limiter.confirm(at(30_000), &LIMIT, waiting);

    assert_eq!(confirmed, None);
}

/// A permit of a leader that has gone must not outlive the time that its successor allows for.
#[test]
fn a_granted_retry_expires() {
    let mut limiter = RetryLimiter::default();
    limiter.record_granted(at(10), at(0), 2, 2);
    let until = at(0) + GRANT_LIFETIME;

    let early = limiter.try_acquire(at(999), &LIMIT).expect("it is granted");
    let late = limiter.try_acquire(until, &LIMIT);

    assert_eq!(early, AcquiredRetry::Granted { until });
    assert_eq!(late, None);
    assert_eq!(limiter.confirm(until, &LIMIT, early), None);
}

/// What a call does not need after all would be lost for the others.
#[test]
fn a_retry_that_was_not_sent_is_there_for_another_call() {
    let mut limiter = RetryLimiter::default();
    limiter.record_granted(at(10), at(0), 1, 1);
    let granted = limiter.try_acquire(at(20), &LIMIT).expect("it is granted");

    limiter.release(granted);

    assert_eq!(limiter.try_acquire(at(30), &LIMIT), Some(granted));
}

/// More than was asked for may belong to another start of the entry.
#[test]
fn no_more_is_held_than_was_asked_for() {
    let mut limiter = RetryLimiter::default();

    limiter.record_granted(at(10), at(0), 1, 5);

    assert_eq!(acquire_all(&mut limiter, 20), 1);
}

/// Calls would wait for a leader that has just said that it has nothing.
#[test]
fn an_entry_knows_for_a_while_that_the_leader_has_nothing() {
    let mut limiter = RetryLimiter::default();
    limiter.record_want();
    let wanted = limiter.take_wanted();

    limiter.record_granted(at(10), at(0), wanted, 0);

    assert!(limiter.is_exhausted(at(20)));
    assert!(!limiter.is_exhausted(at(10) + Duration::from_secs(1)));
}
