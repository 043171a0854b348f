//! The catalogues in `docs/` and the code must name the same things.

use std::collections::BTreeSet;

use acacia_runtime::event;

#[test]
fn events_in_the_code_and_in_the_catalogue_are_the_same() {
    let catalogue = include_str!("../../docs/EVENTS.md");
    let rows = catalogue.lines().filter_map(|line| line.strip_prefix("| E"));
    let documented: BTreeSet<String> = rows.map(|row| format!("E{}", &row[..4])).collect();

    let known: BTreeSet<String> = event::ALL.iter().map(|(code, _)| (*code).to_owned()).collect();

    assert_eq!(known.len(), event::ALL.len(), "two events share a number");
    assert_eq!(known, documented);
}
