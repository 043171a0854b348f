//! Tests of calls that arrive while an entry has no lease.

use std::time::Duration;

use acaciabay::core::serving::lease_recovery::LeaseOutage;

use crate::fixtures::at;

/// After a power failure of all hosts, entries are back half a second before the control group has a leader. A refused
/// caller with a short time limit would not retry in time.
#[test]
fn a_call_is_held_for_the_first_lease() {
    let outage = LeaseOutage::SinceStart(at(10_000));

    assert_eq!(
        outage.hold_time(at(10_200), at(11_400)),
        Some(Duration::from_millis(1_050))
    );
    assert_eq!(
        outage.hold_time(at(10_200), at(14_200)),
        Some(Duration::from_millis(2_300))
    );
}

/// The caller gives up before an endpoint could answer. If its call were held anyway, the caller would learn of the
/// failure too late to react.
#[test]
fn a_call_without_the_time_for_an_answer_is_refused_at_once() {
    let outage = LeaseOutage::SinceStart(at(10_000));

    assert_eq!(outage.hold_time(at(10_200), at(10_340)), None);
}

/// The control group still has no leader long after the start, or a running entry has lost its lease. The end of the
/// outage is unknown, and other entries may serve the calls.
#[test]
fn no_call_is_held_when_the_end_of_the_outage_is_unknown() {
    let late = LeaseOutage::SinceStart(at(10_000));
    let lost = LeaseOutage::SinceEnd(at(10_000));

    assert_eq!(late.hold_time(at(12_500), at(16_500)), None);
    assert_eq!(lost.hold_time(at(10_100), at(14_100)), None);
}

/// A caller that is told to retry too early would find the entry still without a lease.
#[test]
fn a_refused_caller_retries_when_a_lease_is_expected() {
    let lost = LeaseOutage::SinceEnd(at(10_000));

    assert_eq!(lost.retry_after(at(10_200)), Duration::from_secs(2));
    assert_eq!(lost.retry_after(at(20_000)), Duration::from_millis(300));
}
