//! Tests of the time without calls.

use acaciabay::core::serving::call_gap::CallGap;

use crate::fixtures::at;

#[test]
fn service_is_idle_before_its_first_call() {
    assert!(CallGap::default().is_idle(at(5)));
}

/// Guards against a moment between two calls in which engines change their stage as if no call came any more.
#[test]
fn service_is_not_idle_between_two_calls() {
    let mut gap = CallGap::default();

    gap.record_call(at(1_000));

    assert!(!gap.is_idle(at(1_000)));
    assert!(!gap.is_idle(at(60_999)));
    assert!(gap.is_idle(at(61_000)));
}

/// Guards against a new leader that takes a service for idle since it has not seen its calls.
#[test]
fn service_is_not_idle_just_after_a_handover() {
    let gap = CallGap::since(at(1_000));

    assert!(!gap.is_idle(at(60_999)));
    assert!(gap.is_idle(at(61_000)));
}
