//! Tests of the median wall clock of the replicas.

use std::net::SocketAddr;

use acaciabay::core::serving::group_clock::GroupClock;

use crate::fixtures::at;

fn replica(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

/// The wall clock of one replica jumps by two seconds. If an entry followed it, calls would move into another window,
/// and both windows would be billed wrongly.
#[test]
fn one_clock_that_jumps_changes_nothing() {
    let mut clock = GroupClock::default();
    for number in 1..=3 {
        clock.record(at(1_000), replica(number), 50_000);
    }

    clock.record(at(2_000), replica(1), 53_000);

    assert_eq!(clock.wall_millis(at(2_000)), Some(51_000));
}

#[test]
fn two_clocks_that_disagree_are_not_believed() {
    let mut clock = GroupClock::default();
    clock.record(at(0), replica(1), 50_000);
    clock.record(at(0), replica(2), 52_000);
    clock.record(at(0), replica(3), 50_000);

    clock.remove(&replica(3));

    assert_eq!(clock.wall_millis(at(0)), None);
}
