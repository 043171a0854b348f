//! Tests of the slack of retry limits that the leader divides.

use acaciabay::core::name::{HostName, ServiceName};
use acaciabay::core::serving::retry_ledger::{RetryDemand, RetryLedger};
use acaciabay::core::serving::retry_limiter::RetryLimit;

use crate::fixtures::at;
use crate::retry_rule::LIMIT;

fn demand(wanted: u64) -> RetryDemand {
    RetryDemand { wanted, limit: LIMIT }
}

/// Asks for retries until there are no more, and returns how many were granted.
fn drain(ledger: &mut RetryLedger, now: u64, entry: &str) -> u64 {
    let (entry, service) = (HostName::new(entry), ServiceName::new("llm"));
    let grants = std::iter::from_fn(|| {
        let granted = ledger.grant(at(now), &entry, &service, &demand(100));
        (granted > 0).then_some(granted)
    });
    grants.sum()
}

/// The predecessor may have granted everything a moment ago.
#[test]
fn a_new_leader_has_nothing_to_grant() {
    let mut ledger = RetryLedger::new(at(5_000), 2);

    let granted = drain(&mut ledger, 5_100, "edge-1");

    assert_eq!(granted, 0);
}

/// A fleet that has just been installed would retry nothing in its first seconds.
#[test]
fn the_first_leader_of_a_group_grants_at_once() {
    let mut ledger = RetryLedger::first(at(5_000), 1);

    let granted = drain(&mut ledger, 5_000, "edge-1");

    assert_eq!(granted, 16);
}

/// What a leader has to grant would otherwise depend on when a service first fails.
#[test]
fn a_leader_of_long_standing_grants_to_a_service_that_fails_for_the_first_time() {
    let mut ledger = RetryLedger::new(at(0), 1);

    let granted = drain(&mut ledger, 60_000, "edge-1");

    assert_eq!(granted, 16);
}

/// One entry that asks for everything would leave the others with nothing.
#[test]
fn an_entry_is_granted_a_part_of_what_there_is() {
    let mut ledger = RetryLedger::new(at(0), 1);
    let (entry, service) = (HostName::new("edge-1"), ServiceName::new("llm"));

    let first = ledger.grant(at(60_000), &entry, &service, &demand(100));
    let others = drain(&mut ledger, 60_000, "edge-2");

    assert!(first <= others + 2, "{first} and {others}");
}

/// An entry with older settings must not raise what the others keep to.
#[test]
fn the_strictest_limit_of_all_entries_counts() {
    let mut ledger = RetryLedger::new(at(0), 1);
    let (entry, service) = (HostName::new("edge-1"), ServiceName::new("llm"));
    let strict = RetryDemand {
        wanted: 0,
        limit: RetryLimit { slack: 6.0, ..LIMIT },
    };
    ledger.grant(at(0), &entry, &service, &strict);

    let granted = drain(&mut ledger, 60_000, "edge-2");

    assert_eq!(granted, 2);
}

/// Operators could not tell which entry uses up what a service has.
#[test]
fn operators_see_who_was_granted_what() {
    let mut ledger = RetryLedger::new(at(0), 1);
    drain(&mut ledger, 60_000, "edge-1");

    let views = ledger.views(at(60_000));

    assert_eq!(views.len(), 1);
    assert_eq!(views[0].granted.get(&HostName::new("edge-1")), Some(&16));
    assert_eq!(views[0].available, 0);
}
