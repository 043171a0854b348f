//! Tests of the counts of started calls.

use std::collections::BTreeMap;

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::start_counts::{CallCounts, EntryStart, GatheredCounts, GatheredRow, WindowNumber};
use proptest::prelude::*;

use crate::fixtures::fixed_cases;

fn row(entry: u64, window: u64, customer: &str, count: u64) -> GatheredRow {
    GatheredRow {
        entry: EntryStart(entry),
        window: WindowNumber(window),
        counts: BTreeMap::from([(CustomerName::new(customer), count)]),
    }
}

/// Two entries that start at the same moment count calls of the same customer. If they were taken for one entry, only
/// the higher count would be kept, and some calls would never be billed.
#[test]
fn counts_of_two_entries_add_up() {
    let mut gathered = GatheredCounts::default();

    gathered.merge(&row(1, 9, "c", 5));
    gathered.merge(&row(2, 9, "c", 7));

    assert_eq!(gathered.totals(WindowNumber(9)), BTreeMap::from([("c".into(), 12)]));
}

#[test]
fn a_window_begins_at_its_number_times_its_length() {
    assert_eq!(WindowNumber::at(14_999, 5_000), WindowNumber(2));
    assert_eq!(WindowNumber::at(15_000, 5_000), WindowNumber(3));
}

#[test]
fn an_entry_forgets_old_windows() {
    let mut starts = CallCounts::default();
    starts.count(WindowNumber(1), &"c".into());
    starts.count(WindowNumber(5), &"c".into());

    starts.remove_before(WindowNumber(2));

    assert_eq!(
        starts.windows().map(|(window, _)| window).collect::<Vec<_>>(),
        [WindowNumber(5)]
    );
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Reports that arrive repeatedly, late and in any order result in the highest count of each entry, and only a
    /// report with a higher count is new.
    #[test]
    fn any_order_results_in_the_highest_counts(reports in prop::collection::vec((0_u64..3, 0_u64..20), 0..30)) {
        let mut gathered = GatheredCounts::default();
        let mut highest: BTreeMap<u64, u64> = BTreeMap::new();
        for (entry, count) in reports {
            let report = row(entry, 4, "c", count);
            let held = highest.entry(entry).or_default();
            prop_assert_eq!(gathered.has_new_counts(&report), count > *held);
            gathered.merge(&report);
            *held = (*held).max(count);
        }
        let expected: u64 = highest.values().sum();
        let totals = gathered.totals(WindowNumber(4));
        prop_assert_eq!(totals.values().sum::<u64>(), expected);
    }
}
