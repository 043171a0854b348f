//! Average rate of calls.

use acaciabay::core::serving::call_rate::CallRate;

use crate::fixtures::at;

/// The plan would follow a single busy half second, or the pause between two reports.
#[test]
fn a_rate_follows_within_seconds_and_not_at_once() {
    let mut rate = CallRate::default();
    rate.record(at(100_000), 0);

    rate.record(at(100_500), 50);
    let early = rate.per_second();
    for step in 1..20 {
        rate.record(at(100_500 + 500 * step), 50);
    }
    let late = rate.per_second();
    rate.record(at(110_500), 0);

    assert!((15.0..30.0).contains(&early), "{early}");
    assert!((95.0..=100.0).contains(&late), "{late}");
    assert!(rate.per_second() < late);
}
