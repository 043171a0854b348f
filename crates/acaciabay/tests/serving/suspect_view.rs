//! Tests of what an entry knows about suspect calls, and of their trials.

use acaciabay::core::serving::suspect_table::SuspectTable;
use acaciabay::core::serving::suspect_view::{CallStanding, SuspectAnswer, SuspectView};
use acaciabay::core::serving::trial_table::TrialTable;

use crate::fixtures::at;
use crate::suspects::{commit, ending, fingerprint, key, settle};

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

    assert_eq!(held_back.calls.len(), 1);
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
