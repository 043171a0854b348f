//! Compares numbered tables with a list of all accepted contents.

use acaciabay::core::table::{PoolRow, PoolTable, TableEdit, TableNumber};
use acaciabay::util::digest::ContentDigest;
use proptest::prelude::*;
use std::collections::BTreeSet;

use crate::{check, pool_row};

/// The reference implementation is a list of all accepted contents, indexed by table number.
#[test]
fn table_accepts_the_same_edits_as_a_list_of_contents() {
    let writes = prop::collection::vec((0..4_u64, prop::collection::btree_set(0..4_usize, 0..4)), 1..30);
    check(500, &writes, |writes| {
        let (mut table, mut naive) = (PoolTable::default(), vec![BTreeSet::new()]);
        for (back, names) in writes {
            let current = naive.len() as u64 - 1;
            let expected = current.saturating_sub(back);
            let wanted: Vec<PoolRow> = names.iter().map(|name| pool_row(*name, 0)).collect();
            let digest = ContentDigest::of(format!("{names:?}"));
            let edit = table.diff(TableNumber(expected), digest, wanted);

            let accepted = table
                .apply(&edit)
                .map(|number| number.0)
                .map_err(|conflict| conflict.current.0);

            let resent = naive.get(usize::try_from(expected + 1).unwrap_or(0)) == Some(&names);
            let expected_result = if resent {
                Ok(expected + 1)
            } else if expected == current {
                naive.push(names);
                Ok(current + 1)
            } else {
                Err(current)
            };
            prop_assert_eq!(accepted, expected_result);
            let actual_names: BTreeSet<String> = table.rows().map(|row| row.name.to_string()).collect();
            let expected_names: BTreeSet<String> = naive
                .last()
                .into_iter()
                .flatten()
                .map(|name| format!("pool-{name}"))
                .collect();
            prop_assert_eq!(actual_names, expected_names);
        }
        Ok(())
    });
}

/// A copy to which all accepted edits are applied in order must contain the same rows as the table.
#[test]
fn copy_of_a_table_contains_the_same_rows() {
    let writes = prop::collection::vec(prop::collection::btree_map(0..6_usize, 0..3_usize, 0..5), 1..20);
    check(300, &writes, |writes| {
        let (mut table, mut copy) = (PoolTable::default(), PoolTable::default());
        for (number, rows) in (0..).zip(writes) {
            let wanted: Vec<PoolRow> = rows
                .iter()
                .map(|(name, endpoints)| pool_row(*name, *endpoints))
                .collect();
            let edit: TableEdit<PoolRow> =
                table.diff(TableNumber(number), ContentDigest::of(number.to_be_bytes()), wanted);
            let number = table.apply(&edit).expect("the edit names the present number");
            copy.apply_accepted(number, &edit.upserts, &edit.removals);
            prop_assert!(table.rows().eq(copy.rows()));
        }
        Ok(())
    });
}
