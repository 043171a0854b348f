//! Tests of when usage windows are sealed.

use std::time::Duration;

use acaciabay::core::serving::start_counts::WindowNumber;
use acaciabay::ops::plan_windows::{WindowClock, plan_windows};

/// Windows of 5 s that are due 10 s after their end; window 9 ends at 50 s.
fn planned(wall_millis: u64, last_sealed: u64, silence_millis: u64) -> Vec<u64> {
    let clock = WindowClock {
        wall_millis,
        length_millis: 5_000,
        due: Duration::from_secs(10),
    };
    let silence = Duration::from_millis(silence_millis);
    plan_windows(&clock, WindowNumber(last_sealed), silence)
        .map(|window| window.0)
        .collect()
}

#[test]
fn a_window_is_fixed_soon_after_its_end() {
    assert_eq!(planned(53_400, 8, 200), []);
    assert_eq!(planned(53_600, 8, 200), [9]);
    assert_eq!(planned(53_600, 9, 200), []);
}

/// An entry is partitioned at the end of a window. If the window were sealed without its counts, the calls that it has
/// served would never be billed.
#[test]
fn a_window_waits_for_an_entry_that_is_cut_off() {
    assert_eq!(planned(55_000, 8, 5_500), []);
    assert_eq!(planned(55_500, 8, 200), [9]);
    assert_eq!(planned(57_100, 8, 8_000), [9]);
}

#[test]
fn windows_are_fixed_in_order_and_old_ones_left_out() {
    assert_eq!(planned(68_600, 9, 200), [10, 11, 12]);
    assert_eq!(planned(53_600, 0, 200), [9]);
    assert_eq!(planned(1_003_600, 9, 200).len(), 13);
}
