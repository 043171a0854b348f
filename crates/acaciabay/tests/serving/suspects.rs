//! Tests of the table of calls under which endpoints end.

use acaciabay::core::serving::broken_attempt::CallIdentity;
use acaciabay::core::serving::call_fingerprint::{CallFingerprint, FingerprintKey};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::suspect_table::{
    EndingEvidence, EndpointEnding, SuspectCall, SuspectTable, SuspectUpdate,
};
use proptest::prelude::*;

use crate::fixtures::{fixed_cases, name};

/// Longer than the table waits for what other entries report of an ending.
const SETTLED_MS: u64 = 1_000;

pub(crate) fn key() -> FingerprintKey {
    FingerprintKey::from_bytes(&[7; 32]).expect("the key has 32 bytes")
}

pub(crate) fn fingerprint(number: u32) -> CallFingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    CallFingerprint::from_bytes(&bytes).expect("a fingerprint has 16 bytes")
}

pub(crate) fn identity(number: u32, customer: &str) -> CallIdentity {
    CallIdentity {
        fingerprint: fingerprint(number),
        customer: Some(customer.into()),
        route: "story".to_owned(),
        body_bytes: 100,
    }
}

/// Evidence that endpoint `engine` ended at `ended_ms`, when it had run the call for `ran_ms`.
pub(crate) fn ending(call: u32, engine: u64, ended_ms: u64, ran_ms: u64) -> EndingEvidence {
    ending_of("one", call, engine, ended_ms, ran_ms)
}

pub(crate) fn ending_of(customer: &str, call: u32, engine: u64, ended_ms: u64, ran_ms: u64) -> EndingEvidence {
    EndingEvidence {
        call: identity(call, customer),
        ending: EndpointEnding {
            endpoint: name(&format!("engine-{engine}")),
            incarnation: EndpointIncarnation(engine),
            sent_ms: ended_ms - ran_ms,
            ended_ms,
            recorded_ms: 0,
        },
        parts: Vec::new(),
    }
}

pub(crate) fn commit(table: &mut SuspectTable, now_ms: u64, evidence: Vec<EndingEvidence>) {
    table.apply(&SuspectUpdate {
        now_ms,
        evidence,
        ..SuspectUpdate::default()
    });
}

pub(crate) fn settle(table: &mut SuspectTable, now_ms: u64) {
    commit(table, now_ms + SETTLED_MS, Vec::new());
}

pub(crate) fn quarantined(table: &SuspectTable) -> Vec<CallFingerprint> {
    table.quarantined().map(|call| call.identity.fingerprint).collect()
}

/// Guards against a call that ends one endpoint after the other, under a new identifier each time.
#[test]
fn call_under_which_three_endpoints_ended_is_quarantined() {
    let mut table = SuspectTable::default();
    commit(
        &mut table,
        10_000,
        vec![ending(1, 1, 10_000, 80), ending(1, 2, 10_200, 80)],
    );
    settle(&mut table, 10_200);
    assert!(quarantined(&table).is_empty());

    commit(&mut table, 20_000, vec![ending(1, 3, 20_000, 80)]);
    settle(&mut table, 20_000);

    assert_eq!(quarantined(&table), [fingerprint(1)]);
}

/// Guards against blame for calls that were on the endpoints which another call ended.
#[test]
fn calls_that_travelled_with_the_cause_are_not_quarantined() {
    let mut table = SuspectTable::default();
    for engine in 1..=3 {
        let ended_ms = 10_000 * engine;
        let companion = ending(2, engine, ended_ms, 900 * engine);
        commit(&mut table, ended_ms, vec![companion, ending(1, engine, ended_ms, 80)]);
    }

    settle(&mut table, 30_000);

    assert_eq!(quarantined(&table), [fingerprint(1)]);
}

/// Guards against blame for a companion whose entry reports sooner than the entry that had the cause.
#[test]
fn cause_that_is_reported_late_still_explains_the_ending() {
    let mut table = SuspectTable::default();
    for engine in 1..=2 {
        let ended_ms = 10_000 * engine;
        let companion = ending(2, engine, ended_ms, 900 * engine);
        commit(&mut table, ended_ms, vec![companion, ending(1, engine, ended_ms, 80)]);
    }

    commit(&mut table, 30_000, vec![ending(2, 3, 30_000, 2_000)]);
    commit(&mut table, 30_100, vec![ending(1, 3, 30_000, 80)]);
    settle(&mut table, 30_100);

    assert_eq!(quarantined(&table), [fingerprint(1)]);
}

/// Guards against the refusal of a read that many callers send at the same time when many endpoints are lost at once.
#[test]
fn simultaneous_endings_prove_nothing() {
    let mut table = SuspectTable::default();
    let lost = (1..=8).map(|engine| ending(1, engine, 10_000 + engine, 30)).collect();

    commit(&mut table, 10_010, lost);
    settle(&mut table, 10_010);

    assert!(quarantined(&table).is_empty());
}

/// Guards against the refusal of such a read because of one ending more, at another time.
#[test]
fn simultaneous_endings_count_as_one() {
    let mut table = SuspectTable::default();
    commit(&mut table, 10_000, vec![ending(1, 1, 10_000, 30)]);
    let lost = (2..=8).map(|engine| ending(1, engine, 20_000 + engine, 30)).collect();

    commit(&mut table, 20_010, lost);
    settle(&mut table, 20_010);

    assert!(quarantined(&table).is_empty());
    assert!(table.get(&fingerprint(1)).is_some_and(SuspectCall::needs_trial));
}

/// Guards against the refusal of a read that is under way at most crashes and answered in between.
#[test]
fn whole_answer_clears_a_call() {
    let mut table = SuspectTable::default();
    commit(
        &mut table,
        10_000,
        vec![ending(1, 1, 10_000, 80), ending(1, 2, 10_200, 80)],
    );
    table.apply(&SuspectUpdate {
        now_ms: 11_000,
        answered: vec![fingerprint(1)],
        ..SuspectUpdate::default()
    });

    commit(&mut table, 20_000, vec![ending(1, 3, 20_000, 80)]);
    settle(&mut table, 20_000);

    assert!(quarantined(&table).is_empty());
}

/// Guards against one ending that counts several times, because an entry tells it to two leaders.
#[test]
fn ending_that_is_reported_again_counts_once() {
    let mut table = SuspectTable::default();
    for now_ms in [10_000, 10_400, 10_800] {
        commit(&mut table, now_ms, vec![ending(1, 1, 10_000, 80)]);
    }
    settle(&mut table, 10_800);

    assert_eq!(table.get(&fingerprint(1)).map(|call| call.endings.len()), Some(1));
}

/// Guards against a caller whose many different calls drive other customers' calls out of the table.
#[test]
fn flood_of_one_customer_evicts_nothing_of_another() {
    let mut table = SuspectTable::default();
    let proven = (1..=3).map(|engine| ending_of("one", 1, engine, 10_000 * engine, 80));
    commit(&mut table, 30_000, proven.collect());
    settle(&mut table, 30_000);
    let suspected = vec![ending_of("one", 2, 11, 40_000, 80), ending_of("one", 2, 12, 41_000, 80)];
    commit(&mut table, 41_000, suspected);

    for batch in 0..100 {
        let calls = (0..1_000).map(|call| batch * 1_000 + call + 100);
        let flood = calls.map(|call| ending_of("two", call, u64::from(call), 50_000, 80));
        commit(&mut table, 50_000, flood.collect());
    }

    assert!(table.calls().count() <= 66, "{} calls are kept", table.calls().count());
    assert_eq!(quarantined(&table), [fingerprint(1)]);
    assert_eq!(table.get(&fingerprint(2)).map(|call| call.endings.len()), Some(2));
}

/// Guards against a quarantine that never ends, although the endpoints have been mended, and against one that has to be
/// proved anew each time.
#[test]
fn quarantine_lapses_after_an_hour_and_returns_with_the_next_ending() {
    let mut table = SuspectTable::default();
    let proven = (1..=3).map(|engine| ending(1, engine, 10_000 * engine, 80));
    commit(&mut table, 30_000, proven.collect());
    settle(&mut table, 30_000);
    let hour_ms = 3_600_000;

    commit(&mut table, hour_ms, Vec::new());
    assert_eq!(quarantined(&table), [fingerprint(1)]);
    assert!(!table.is_update_due(hour_ms));
    assert!(table.is_update_due(30_000 + hour_ms));
    commit(&mut table, 30_000 + hour_ms, Vec::new());
    assert!(quarantined(&table).is_empty());

    let again_ms = 2 * hour_ms;
    commit(&mut table, again_ms, vec![ending(1, 9, again_ms, 80)]);
    settle(&mut table, again_ms);
    assert_eq!(quarantined(&table), [fingerprint(1)]);
    commit(&mut table, again_ms + 24 * hour_ms, Vec::new());
    assert_eq!(table.calls().count(), 0);
}

#[test]
fn operator_lifts_a_quarantine() {
    let mut table = SuspectTable::default();
    let proven = (1..=3).map(|engine| ending(1, engine, 10_000 * engine, 80));
    commit(&mut table, 30_000, proven.collect());
    settle(&mut table, 30_000);
    let version = table.version;

    table.apply(&SuspectUpdate {
        now_ms: 40_000,
        lifted: vec![fingerprint(1)],
        ..SuspectUpdate::default()
    });

    assert!(quarantined(&table).is_empty());
    assert!(table.version > version);
}

/// Guards against entries that are sent a table for each of the many calls which an ending hits only once.
#[test]
fn version_changes_only_with_what_entries_have_to_know() {
    let mut table = SuspectTable::default();

    commit(&mut table, 10_000, vec![ending(1, 1, 10_000, 80)]);
    assert_eq!((table.version, table.published().count()), (1, 0));
    commit(
        &mut table,
        10_050,
        vec![ending(2, 1, 10_000, 80), ending(3, 1, 10_000, 80)],
    );
    assert_eq!((table.version, table.published().count()), (1, 0));
    commit(&mut table, 20_000, vec![ending(1, 2, 20_000, 80)]);

    assert_eq!((table.version, table.published().count()), (2, 1));
}

/// A round of a day: a call that ends each endpoint it runs on, or not, with others on the same endpoints.
#[derive(Clone, Debug)]
struct DrawnEnding {
    companions: Vec<(u32, u64)>,
}

fn drawn_endings() -> impl Strategy<Value = Vec<DrawnEnding>> {
    let companions = proptest::collection::vec((100..2_000_u32, 1..3_000_u64), 0..20);
    proptest::collection::vec(companions.prop_map(|companions| DrawnEnding { companions }), 3..12)
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Whoever travels along, the cause is found at its third ending, and no call that travelled along is quarantined.
    #[test]
    fn cause_is_found_among_companions(endings in drawn_endings()) {
        let mut table = SuspectTable::default();
        for (number, drawn) in endings.iter().enumerate() {
            let engine = number as u64 + 1;
            let ended_ms = 10_000 * engine;
            let mut evidence = vec![ending(1, engine, ended_ms, 80)];
            evidence.extend(drawn.companions.iter().map(|(call, ran)| ending(*call, engine, ended_ms, 80 + *ran)));
            commit(&mut table, ended_ms, evidence);
            settle(&mut table, ended_ms);
            let expected = if engine >= 3 { vec![fingerprint(1)] } else { Vec::new() };
            prop_assert_eq!(quarantined(&table), expected);
        }
    }
}

/// Guards against entries that are not told that an endpoint has ended, and against a table that tells it for ever.
#[test]
fn entries_are_told_of_an_ending_for_a_while() {
    let mut table = SuspectTable::default();
    let evidence = ending(1, 7, 10_000, 80);
    let (endpoint, incarnation) = (evidence.ending.endpoint.clone(), evidence.ending.incarnation);
    let before = table.version;
    commit(&mut table, 10_050, vec![evidence]);

    assert!(table.version > before);
    assert!(table.published_table().has_ended(&endpoint, incarnation));
    commit(&mut table, 20_050, Vec::new());
    assert!(!table.has_ended(&endpoint, incarnation));
}
