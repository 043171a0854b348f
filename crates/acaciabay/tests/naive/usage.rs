//! Compares usage accounting with a plain sum.

use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::usage::{UsageFigures, UsageReport, UsageTable};
use proptest::prelude::*;
use std::collections::BTreeMap;

use crate::{check, customer};

/// The reference implementation adds up the reports with distinct numbers. The sealed windows and the open figures
/// together must equal that sum.
#[test]
fn usage_is_the_sum_of_reports_with_different_numbers() {
    let step = (0..3_u64, 0..3_u64, 0..3_usize, 1..100_u64, any::<bool>());
    check(500, &prop::collection::vec(step, 1..60), |steps| {
        let mut table = UsageTable::default();
        let mut next = BTreeMap::new();
        let (mut sum, mut billed) = (0, 0);
        for (entry, repeat, who, tokens, seal) in steps {
            // An entry sends its reports in order, each one at least once.
            let sequence = next.entry(entry).or_insert(0_u64);
            *sequence += u64::from(repeat > 0);
            let figures = UsageFigures {
                prompt_tokens: 0,
                output_tokens: tokens,
                calls: 0,
            };
            let rows = vec![(customer(who), figures)];
            let report = UsageReport {
                incarnation: EntryIncarnation(entry),
                sequence: *sequence,
                rows,
            };
            if *sequence > 0 && table.count(&report) {
                sum += tokens;
            }
            if seal {
                table.seal(table.last_window() + 1);
            }
            while let Some(window) = table.pending().first().cloned() {
                billed += window
                    .rows
                    .iter()
                    .map(|(_, figures)| figures.output_tokens)
                    .sum::<u64>();
                table.acknowledge(window.window);
            }
        }
        table.seal(table.last_window() + 1);
        billed += table
            .pending()
            .iter()
            .flat_map(|window| &window.rows)
            .map(|(_, row)| row.output_tokens)
            .sum::<u64>();
        prop_assert_eq!(billed, sum);
        Ok(())
    });
}
