//! Tests of the quarantine of calls under which endpoints end.

use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::broken_attempt::{
    BreakExamination, BreakVerdict, BrokenAttempt, CallIdentity, EndpointSighting, PortState, examine_break,
};
use acaciabay::core::serving::call_fingerprint::{CallContent, CallFingerprint, FingerprintKey};
use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointPhase, EndpointRegistry, ServingEndpoint,
};
use acaciabay::core::serving::suspect_table::{
    EndingEvidence, EndpointEnding, SuspectCall, SuspectTable, SuspectUpdate,
};
use acaciabay::core::serving::suspect_view::{CallStanding, SuspectAnswer, SuspectView};
use acaciabay::core::serving::trial_table::TrialTable;
use proptest::prelude::*;

use crate::fixtures::{at, endpoint, fixed_cases, name};

/// Longer than the table waits for what other entries report of an ending.
const SETTLED_MS: u64 = 1_000;

fn key() -> FingerprintKey {
    FingerprintKey::from_bytes(&[7; 32]).expect("the key has 32 bytes")
}

fn fingerprint(number: u32) -> CallFingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    CallFingerprint::from_bytes(&bytes).expect("a fingerprint has 16 bytes")
}

fn identity(number: u32, customer: &str) -> CallIdentity {
    CallIdentity {
        fingerprint: fingerprint(number),
        customer: Some(customer.into()),
        route: "story".to_owned(),
        body_bytes: 100,
    }
}

/// Evidence that endpoint `engine` ended at `ended_ms`, when it had run the call for `ran_ms`.
fn ending(call: u32, engine: u64, ended_ms: u64, ran_ms: u64) -> EndingEvidence {
    ending_of("one", call, engine, ended_ms, ran_ms)
}

fn ending_of(customer: &str, call: u32, engine: u64, ended_ms: u64, ran_ms: u64) -> EndingEvidence {
    EndingEvidence {
        call: identity(call, customer),
        ending: EndpointEnding {
            endpoint: name(&format!("engine-{engine}")),
            incarnation: EndpointIncarnation(engine),
            sent_ms: ended_ms - ran_ms,
            ended_ms,
            recorded_ms: 0,
        },
    }
}

fn commit(table: &mut SuspectTable, now_ms: u64, evidence: Vec<EndingEvidence>) {
    table.apply(&SuspectUpdate {
        now_ms,
        evidence,
        ..SuspectUpdate::default()
    });
}

fn settle(table: &mut SuspectTable, now_ms: u64) {
    commit(table, now_ms + SETTLED_MS, Vec::new());
}

fn quarantined(table: &SuspectTable) -> Vec<CallFingerprint> {
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
    assert_eq!((table.version, table.published().count()), (0, 0));
    commit(&mut table, 20_000, vec![ending(1, 2, 20_000, 80)]);

    assert_eq!((table.version, table.published().count()), (1, 1));
}

fn published(calls: &[(u32, u64)]) -> SuspectTable {
    let mut table = SuspectTable::default();
    for (call, endings) in calls {
        let evidence = (1..=*endings).map(|engine| ending(*call, engine, 1_000 * engine, 80));
        commit(&mut table, 1_000 * endings, evidence.collect());
    }
    settle(&mut table, 10_000);
    SuspectTable::restore(table.version, Some(key()), table.published().cloned())
}

/// Guards against an entry that goes on with a call of which it has seen the third ending, while the leader has not judged it
/// or there is none.
#[test]
fn entry_holds_a_call_back_at_the_third_ending() {
    let mut view = SuspectView::default();
    view.apply_published(published(&[(1, 2)]));
    assert_eq!(view.standing(&fingerprint(1)), CallStanding::Suspected);

    view.record_ending(at(0), ending(1, 9, 20_000, 80));
    view.judge();
    assert_eq!(view.standing(&fingerprint(1)), CallStanding::HeldBack);
    view.apply_answer(
        at(0),
        SuspectAnswer {
            table: Some(published(&[(1, 3)])),
            committed_endings: 1,
            ..SuspectAnswer::default()
        },
    );

    assert_eq!(view.standing(&fingerprint(1)), CallStanding::Quarantined);
}

/// Guards against an entry that holds an innocent call back although it has answered it whole meanwhile.
#[test]
fn entry_releases_a_call_that_is_answered_whole() {
    let mut view = SuspectView::default();
    view.apply_published(published(&[(1, 2)]));
    view.record_ending(at(0), ending(1, 9, 20_000, 80));
    view.judge();

    assert!(view.record_whole_answer(fingerprint(1)));

    assert_eq!(view.standing(&fingerprint(1)), CallStanding::Suspected);
    assert_eq!(view.take_report().answered, [fingerprint(1)]);
}

/// Guards against an older table that a slow replica delivers late.
#[test]
fn entry_keeps_the_newest_table() {
    let mut view = SuspectView::default();
    let newest = published(&[(1, 3)]);
    let older = SuspectTable::restore(newest.version - 1, Some(key()), []);

    let held_back = view.apply_published(newest);
    view.apply_published(older);

    assert_eq!(held_back.len(), 1);
    assert_eq!(view.standing(&fingerprint(1)), CallStanding::Quarantined);
}

/// Guards against evidence that a leader receives twice or never because its numbers shift.
#[test]
fn uncommitted_evidence_keeps_its_numbers() {
    let mut view = SuspectView::default();
    for call in 1..=4 {
        view.record_ending(at(0), ending(call, 1, 1_000, 80));
    }

    view.apply_answer(
        at(0),
        SuspectAnswer {
            committed_endings: 2,
            ..SuspectAnswer::default()
        },
    );

    let report = view.take_report();
    let calls: Vec<_> = report
        .evidence
        .iter()
        .map(|evidence| evidence.call.fingerprint)
        .collect();
    assert_eq!((report.first_ending, calls), (3, vec![fingerprint(3), fingerprint(4)]));
}

#[test]
fn entry_computes_no_fingerprint_for_a_call_that_cannot_be_suspect() {
    let mut view = SuspectView::default();
    assert!(!view.may_know(Some(&"one".into()), 100));

    view.apply_published(published(&[(1, 2)]));

    assert!(view.may_know(Some(&"one".into()), 100));
    assert!(!view.may_know(Some(&"two".into()), 100));
    assert!(!view.may_know(Some(&"one".into()), 101));
}

/// Guards against a suspect call that several entries try at once, and that each may end an endpoint with.
#[test]
fn one_entry_at_a_time_tries_a_suspect_call() {
    let mut trials = TrialTable::default();
    let (one, two) = ("one".into(), "two".into());

    assert!(trials.allow(at(0), &one, fingerprint(1)));
    assert!(!trials.allow(at(10), &two, fingerprint(1)));
    assert!(trials.allow(at(10), &two, fingerprint(2)));
    trials.release(&two, fingerprint(1));
    assert!(!trials.allow(at(20), &two, fingerprint(1)));
    trials.release(&one, fingerprint(1));

    assert!(trials.allow(at(30), &two, fingerprint(1)));
}

/// Guards against a trial between an ending and the judgement that follows it.
#[test]
fn call_is_not_tried_while_it_is_judged() {
    let mut trials = TrialTable::default();
    let (one, two) = ("one".into(), "two".into());
    trials.allow(at(0), &one, fingerprint(1));

    trials.record_ending(at(100), fingerprint(1));
    trials.release(&one, fingerprint(1));

    assert!(!trials.allow(at(1_000), &two, fingerprint(1)));
    assert!(trials.allow(at(1_100), &two, fingerprint(1)));
}

/// Guards against a call that is held back for good, because the entry that tried it has died.
#[test]
fn trial_ends_by_itself() {
    let mut trials = TrialTable::default();
    trials.allow(at(0), &"one".into(), fingerprint(1));

    assert!(!trials.allow(at(2_999), &"two".into(), fingerprint(1)));
    assert!(trials.allow(at(3_000), &"two".into(), fingerprint(1)));
}

/// Guards against two calls of one entry that use the same permission, and against one that is used late.
#[test]
fn permission_is_used_once_and_soon() {
    let mut view = SuspectView::default();
    let allowed = || SuspectAnswer {
        trials: vec![fingerprint(1)],
        ..SuspectAnswer::default()
    };
    assert!(!view.begin_trial(at(0), fingerprint(1)));
    assert_eq!(view.take_report().wanted_trials, [fingerprint(1)]);
    view.apply_answer(at(10), allowed());

    assert!(view.begin_trial(at(20), fingerprint(1)));
    assert!(!view.begin_trial(at(30), fingerprint(1)));
    assert!(view.take_report().wanted_trials.is_empty());
    view.end_trial(fingerprint(1));
    assert_eq!(view.take_report().ended_trials, [fingerprint(1)]);
    view.apply_answer(at(40), allowed());

    assert!(!view.begin_trial(at(1_040), fingerprint(1)));
}

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 80);

fn reported(incarnation: u64, sequence: u64, phase: EndpointPhase) -> ServingEndpoint {
    ServingEndpoint {
        address: ADDRESS,
        incarnation: EndpointIncarnation(incarnation),
        sequence,
        phase,
        ..endpoint("a")
    }
}

fn broken(port: PortState) -> BrokenAttempt {
    BrokenAttempt {
        call: identity(1, "one"),
        endpoint: name("e"),
        incarnation: EndpointIncarnation(1),
        address: ADDRESS,
        sent_at: at(900),
        broken_at: at(1_000),
        port,
    }
}

fn registry_with(reports: &[(BootTime, &str, ServingEndpoint)]) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for (now, endpoint, report) in reports {
        registry.apply_report(*now, &name(endpoint), report.clone());
    }
    registry
}

/// Examines a break by what the registry has seen.
fn examine(now: BootTime, port: PortState, registry: &EndpointRegistry) -> BreakVerdict {
    let broken = broken(port);
    examine_break(now, &broken, &registry.sighting(&broken))
}

#[test]
fn refused_connection_shows_that_the_endpoint_ended() {
    let registry = registry_with(&[(at(500), "e", reported(1, 1, EndpointPhase::Ready))]);

    let verdict = examine(at(1_001), PortState::Refused, &registry);

    assert_eq!(verdict, BreakVerdict::Ended);
}

/// Guards against an endpoint that is back so soon that its port answers.
#[test]
fn successor_at_the_address_shows_that_the_endpoint_ended() {
    let ready = EndpointPhase::Ready;
    let same_name = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (at(1_500), "e", reported(2, 1, ready)),
    ]);
    let other_name = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (at(1_500), "f", reported(2, 1, ready)),
    ]);

    for registry in [same_name, other_name] {
        let verdict = examine(at(1_600), PortState::Open, &registry);
        assert_eq!(verdict, BreakVerdict::Ended);
    }
}

/// Guards against blame for calls that a reset of connections breaks.
#[test]
fn endpoint_that_goes_on_reporting_has_not_ended() {
    let ready = EndpointPhase::Ready;
    let registry = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (at(2_100), "e", reported(1, 2, ready)),
    ]);

    let verdict = examine(at(2_200), PortState::Open, &registry);

    assert_eq!(verdict, BreakVerdict::Innocent);
}

/// Guards against blame for calls on an endpoint that leaves as planned or is reclaimed.
#[test]
fn endpoint_that_leaves_as_planned_proves_nothing() {
    for phase in [EndpointPhase::Draining, EndpointPhase::Gone] {
        let registry = registry_with(&[(at(500), "e", reported(1, 1, phase))]);

        let verdict = examine(at(1_100), PortState::Refused, &registry);

        assert_eq!(verdict, BreakVerdict::Innocent);
    }
}

/// Guards against blame for calls that an entry loses because it is cut off itself.
#[test]
fn silence_counts_only_while_other_endpoints_report() {
    let ready = EndpointPhase::Ready;
    let alone = registry_with(&[(at(500), "e", reported(1, 1, ready))]);
    let others_report = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (
            at(3_000),
            "f",
            ServingEndpoint {
                address: SocketAddr::from(([127, 0, 0, 2], 80)),
                ..reported(1, 1, ready)
            },
        ),
    ]);

    let now = at(1_000) + Duration::from_millis(2_700);
    assert_eq!(examine(now, PortState::Silent, &alone), BreakVerdict::Undecided);
    assert_eq!(examine(now, PortState::Silent, &others_report), BreakVerdict::Ended);
    assert_eq!(examine(at(5_000), PortState::Silent, &alone), BreakVerdict::Innocent);
}

/// Guards against a break that is examined for longer than it takes until the call is answered whole elsewhere.
#[test]
fn whole_answer_ends_the_examination() {
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Open));

    examination.forget(&fingerprint(1));

    assert!(examination.is_empty());
}

/// Guards against a connection attempt before the break that is taken for one after it.
#[test]
fn port_state_from_before_a_break_says_nothing() {
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Unknown));

    examination.record_port(at(999), ADDRESS, PortState::Refused);
    assert_eq!(examination.unknown_ports().len(), 1);
    examination.record_port(at(1_000), ADDRESS, PortState::Refused);

    let decided = examination.take_decided(at(1_001), |_broken| Some(EndpointSighting::default()));
    assert_eq!(decided.len(), 1);
    assert!(examination.is_empty());
}

fn content<'call>(customer: Option<&'call CustomerName>, target: &'call str, body: &'call [u8]) -> CallContent<'call> {
    CallContent {
        method: "POST",
        host: "shop.example",
        target,
        customer,
        body,
    }
}

/// Guards against a customer whose call has the fingerprint of another customer's.
#[test]
fn fingerprint_depends_on_each_part_and_on_the_key() {
    let (one, two) = (CustomerName::new("one"), CustomerName::new("two"));
    let other_key = FingerprintKey::from_bytes(&[8; 32]).expect("the key has 32 bytes");
    let fingerprints = [
        key().fingerprint(&content(Some(&one), "/a", b"body")),
        key().fingerprint(&content(Some(&two), "/a", b"body")),
        key().fingerprint(&content(None, "/aone", b"body")),
        key().fingerprint(&content(Some(&one), "/b", b"body")),
        key().fingerprint(&content(Some(&one), "/a", b"other")),
        other_key.fingerprint(&content(Some(&one), "/a", b"body")),
    ];

    let different: std::collections::BTreeSet<_> = fingerprints.iter().collect();

    assert_eq!(different.len(), fingerprints.len());
    assert_eq!(
        CallFingerprint::from_hex(&fingerprints[0].to_string()),
        Some(fingerprints[0])
    );
    assert!(!format!("{:?}", key()).contains('7'));
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

/// An ending is found while a renewal is on its way, and the leader hears of it only with the one after the next.
#[test]
fn evidence_after_a_report_is_known_to_be_unreported() {
    let mut view = SuspectView::default();
    let was_unreported = view.has_unreported();
    view.record_ending(at(0), ending(1, 1, 1_000, 50));
    let is_unreported = view.has_unreported();
    view.take_report();
    let after_report = view.has_unreported();
    view.record_ending(at(10), ending(1, 2, 1_010, 50));

    assert_eq!((was_unreported, is_unreported, after_report), (false, true, false));
    assert!(view.has_unreported());
}

/// Two engines end under a call, and the entry sends it to a third one before the leader has committed the endings.
#[test]
fn own_endings_make_a_call_suspect_before_they_are_committed() {
    let mut view = SuspectView::default();
    view.record_ending(at(0), ending(1, 1, 1_000, 50));
    view.judge();
    let after_one = view.standing(&fingerprint(1));
    view.record_ending(at(100), ending(1, 2, 1_100, 50));
    view.judge();

    assert_eq!(after_one, CallStanding::Unsuspected);
    assert_eq!(view.standing(&fingerprint(1)), CallStanding::Suspected);
}
