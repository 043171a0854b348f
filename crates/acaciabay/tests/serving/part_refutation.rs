//! Tests of verdicts on parts of prompts that evidence refutes, and of the choice among several parts.

use acaciabay::core::serving::prompt::PartId;
use acaciabay::core::serving::suspect_table::{SuspectTable, SuspectUpdate};

use crate::suspect_parts::{BAD, FIRST, GAP_MS, after_bad_endings, evidence, evidence_of, held_parts, holds};
use crate::suspects::{commit, fingerprint, settle};

/// Returns endings at all of which an innocent part was, and of which the entry with the bad one has told of `told`.
fn half_told_endings(told: u64) -> SuspectTable {
    let mut table = SuspectTable::default();
    for number in 1..=4 {
        let ended_ms = 10_000 + GAP_MS * number;
        let call = u32::try_from(number).unwrap_or(0) * 10;
        let mut known = vec![evidence(call, number, ended_ms, &[FIRST, 7])];
        if number <= told {
            known.push(evidence(call + 1, number, ended_ms, &[FIRST, BAD]));
        }
        commit(&mut table, ended_ms, known);
    }
    settle(&mut table, 10_800);
    table
}

/// Guards against sound calls that are refused for an hour, and endpoints that go on ending, since evidence came after the verdict.
#[test]
fn evidence_that_comes_late_withdraws_a_wrong_verdict() {
    let mut table = half_told_endings(2);
    assert_eq!(held_parts(&table.parts), [[FIRST, 7]]);

    for number in 3..=4 {
        let ended_ms = 10_000 + GAP_MS * number;
        let call = u32::try_from(number).unwrap_or(0) * 10 + 1;
        let late = evidence(call, number, ended_ms, &[FIRST, BAD]);
        commit(&mut table, 13_000, vec![late]);
    }
    for number in 5..=6 {
        let ended_ms = 13_000 + GAP_MS * number;
        let call = u32::try_from(number).unwrap_or(0) * 10;
        commit(
            &mut table,
            ended_ms,
            vec![evidence(call, number, ended_ms, &[FIRST, BAD])],
        );
    }
    settle(&mut table, 15_000);

    assert_eq!(held_parts(&table.parts), [[FIRST, BAD]]);
}

/// Guards against the blame of calls that were sent again after each ending, and met the next ones by chance.
#[test]
fn two_calls_at_four_endings_prove_nothing() {
    let mut table = SuspectTable::default();
    for number in 1..=4_u64 {
        let ended_ms = 10_000 + GAP_MS * number;
        let call = u32::try_from(number).unwrap_or(0) / 3;
        commit(
            &mut table,
            ended_ms,
            vec![evidence(call, number, ended_ms, &[FIRST, 7])],
        );
    }
    settle(&mut table, 11_000);

    assert!(held_parts(&table.parts).is_empty());
}

/// Guards against the refusal of nearly all calls because their first part was under way at two endings without the cause.
#[test]
fn a_group_is_not_narrowed_to_a_part_of_most_calls() {
    let mut table = SuspectTable::default();
    for number in 1..=4 {
        let ended_ms = 10_000 + GAP_MS * number;
        let call = u32::try_from(number).unwrap_or(0) * 10;
        commit(
            &mut table,
            ended_ms,
            vec![evidence(call, number, ended_ms, &[FIRST, BAD])],
        );
    }
    settle(&mut table, 10_800);
    for number in 5..=7_u32 {
        let ended_ms = 12_000 + GAP_MS * u64::from(number);
        let calls = (0..4).map(|call| {
            let parts = [FIRST, 20 + u64::from(call)];
            evidence(number * 10 + call, number.into(), ended_ms, &parts)
        });
        commit(&mut table, ended_ms, calls.collect());
    }
    settle(&mut table, 14_000);

    assert_eq!(held_parts(&table.parts), [[FIRST, BAD]]);
}

/// Guards against the blame of calls that a port accepts after its endpoint has ended, and that break when it closes.
#[test]
fn calls_that_were_sent_after_an_ending_are_not_blamed_for_it() {
    let mut table = SuspectTable::default();
    for number in 1..=6_u64 {
        let ended_ms = 10_000 + 1_000 * number;
        let call = u32::try_from(number).unwrap_or(0) * 10;
        let later = evidence_of("two", call + 1, number, (ended_ms + 600, 500), &[FIRST, 7]);
        commit(&mut table, ended_ms + 650, vec![later]);
        let bad = [FIRST, BAD, 20 + number % 2];
        commit(&mut table, ended_ms + 700, vec![evidence(call, number, ended_ms, &bad)]);
    }
    settle(&mut table, 18_000);

    assert!(holds(&table, &[FIRST, 20, BAD]));
    assert!(!holds(&table, &[FIRST, 7]));
    let blamed = table
        .calls()
        .filter(|call| call.identity.customer == Some("two".into()));
    assert!(blamed.flat_map(|call| &call.endings).count() <= 6);
}

/// Guards against a second verdict on the same endings after an operator has lifted the first.
#[test]
fn endings_of_a_lifted_quarantine_blame_no_other_part() {
    let mut table = after_bad_endings(5);
    assert!(holds(&table, &[FIRST, 20, BAD]));

    table.apply(&SuspectUpdate {
        now_ms: 13_000,
        lifted_parts: vec![PartId(BAD)],
        ..SuspectUpdate::default()
    });
    let last = 13_000 + GAP_MS;
    commit(&mut table, last, vec![evidence(900, 900, last, &[FIRST, 22])]);
    settle(&mut table, last);

    assert!(held_parts(&table.parts).is_empty());
}

/// Commits one ending with a call of its own for each of these prompts.
fn commit_ending(table: &mut SuspectTable, number: u64, prompts: &[&[u64]]) {
    let ended_ms = 10_000 + GAP_MS * number;
    let first = u32::try_from(number).unwrap_or(0) * 10;
    let calls = (first..).zip(prompts);
    let broken = calls
        .map(|(call, parts)| evidence(call, number, ended_ms, parts))
        .collect();
    commit(table, ended_ms, broken);
}

/// Guards against the blame of a whole call that a port accepts after its endpoint has ended.
#[test]
fn a_call_that_was_sent_after_an_ending_has_ended_nothing() {
    let mut table = SuspectTable::default();
    commit(&mut table, 10_050, vec![evidence(1, 1, 10_000, &[BAD])]);

    let later = evidence_of("two", 2, 1, (10_600, 500), &[7]);
    commit(&mut table, 10_650, vec![later]);

    assert!(table.get(&fingerprint(1)).is_some());
    assert!(table.get(&fingerprint(2)).is_none());
}

/// Guards against the refusal of nearly all calls by their first part where few calls are under way at each ending.
#[test]
fn a_part_of_all_calls_is_not_blamed_where_few_are_under_way() {
    let mut table = SuspectTable::default();
    for number in 1..=6 {
        commit_ending(&mut table, number, &[&[FIRST, 20 + number], &[FIRST, 30 + number]]);
    }
    settle(&mut table, 12_000);

    assert!(held_parts(&table.parts).is_empty());
}

/// Guards against a verdict by lot where two parts explain four endings as well as each other.
#[test]
fn the_fifth_ending_tells_parts_apart_that_four_do_not() {
    let mut table = SuspectTable::default();
    for number in 1..=4 {
        commit_ending(&mut table, number, &[&[7, 20 + number], &[BAD, 30 + number]]);
    }
    settle(&mut table, 10_800);
    assert!(held_parts(&table.parts).is_empty());

    commit_ending(&mut table, 20, &[&[BAD, 40]]);
    settle(&mut table, 14_000);

    assert_eq!(held_parts(&table.parts), [[BAD]]);
}

/// Guards against a wrong verdict that stays because two parts together explain its endings, and neither does alone.
#[test]
fn a_verdict_is_withdrawn_whose_endings_others_explain() {
    const OTHER_BAD: u64 = 98;
    let mut table = SuspectTable::default();
    for number in 1..=4 {
        commit_ending(&mut table, number, &[&[7, 20 + number]]);
    }
    settle(&mut table, 10_800);
    assert_eq!(held_parts(&table.parts), [[7]]);

    for number in 1..=4 {
        let bad = if number <= 2 { BAD } else { OTHER_BAD };
        let ended_ms = 10_000 + GAP_MS * number;
        let call = u32::try_from(number).unwrap_or(0) * 10 + 5;
        commit(
            &mut table,
            13_000,
            vec![evidence(call, number, ended_ms, &[bad, 50 + number])],
        );
    }
    for number in 20..30 {
        let bad = if number % 2 == 0 { BAD } else { OTHER_BAD };
        commit_ending(&mut table, number, &[&[bad, 60 + number]]);
    }
    settle(&mut table, 17_000);

    let mut held = held_parts(&table.parts);
    held.sort_unstable();
    assert_eq!(held, [[OTHER_BAD], [BAD]]);
}

/// Guards against a verdict while entries still tell of the calls that an ending broke.
#[test]
fn an_ending_settles_after_its_latest_prompt() {
    let mut table = SuspectTable::default();
    for number in 1..=4 {
        commit_ending(&mut table, number, &[&[BAD, 20 + number]]);
    }
    commit(&mut table, 10_940, vec![evidence(900, 4, 10_800, &[8])]);

    assert!(!table.is_update_due(10_960));
    assert!(table.is_update_due(11_090));
}

/// Guards against a cause that is not recorded, since its customer has many calls at an endpoint.
#[test]
fn the_hundredth_call_of_a_customer_at_an_ending_is_recorded() {
    let mut table = SuspectTable::default();
    let calls = (0..99).map(|call| evidence(call, 1, 10_000, &[500 + u64::from(call)]));
    commit(&mut table, 10_000, calls.collect());

    commit(&mut table, 10_050, vec![evidence(99, 1, 10_000, &[BAD])]);

    assert!(table.parts.watched().contains(&PartId(BAD)));
}

/// Guards against a part that later evidence may blame although it was answered whole meanwhile.
#[test]
fn parts_at_several_explained_endings_are_still_watched() {
    let mut table = SuspectTable::default();
    for number in 1..=5 {
        commit_ending(&mut table, number, &[&[BAD, 20 + number], &[8, 30 + number]]);
    }
    commit_ending(&mut table, 6, &[&[BAD, 26], &[9]]);
    commit_ending(&mut table, 7, &[&[BAD, 27]]);
    settle(&mut table, 11_400);
    assert_eq!(held_parts(&table.parts), [[BAD]]);

    let watched = table.parts.watched();

    assert!(watched.contains(&PartId(8)));
    assert!(!watched.contains(&PartId(9)));
}
