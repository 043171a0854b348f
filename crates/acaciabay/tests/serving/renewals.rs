//! Which renewals an entry asks for, and which answers count.

use acaciabay::core::serving::renewal_ledger::RenewalLedger;

use crate::fixtures::at;

/// Guards against answers that are dropped because they come after the next question.
#[test]
fn an_answer_to_an_older_question_counts_from_that_question() {
    let mut ledger = RenewalLedger::default();
    let first = ledger.ask(at(0), "held at first");
    let second = ledger.ask(at(700), "held later");

    let late = ledger.answer(first).expect("the first is open");
    let next = ledger.answer(second).expect("the second is open");

    assert_eq!((late.asked_at, late.held), (at(0), "held at first"));
    assert_eq!((next.asked_at, next.held), (at(700), "held later"));
}

/// Guards against an answer that counts twice, and against one to a question that was passed over.
#[test]
fn a_question_is_answered_once_and_ends_those_before_it() {
    let mut ledger = RenewalLedger::default();
    let first = ledger.ask(at(0), ());
    let second = ledger.ask(at(700), ());

    assert!(ledger.answer(second).is_some());

    assert_eq!(ledger.answer(first), None);
    assert_eq!(ledger.answer(second), None);
    assert_eq!(ledger.answer(99), None);
}

#[test]
fn the_next_question_waits_for_the_last_but_not_for_ever() {
    let mut ledger = RenewalLedger::default();
    assert!(ledger.may_ask(at(0)));

    ledger.ask(at(0), ());

    assert!(!ledger.may_ask(at(599)));
    assert!(ledger.may_ask(at(600)));
    ledger.ask(at(600), ());
    assert!(!ledger.may_ask(at(1_199)));
    assert_eq!(ledger.overdue(at(1_199)), None);
    assert_eq!(ledger.overdue(at(1_200)).map(|renewal| renewal.number), Some(2));
}

/// Guards against questions that pile up without bound at a replica that never answers.
#[test]
fn questions_without_answers_end() {
    let mut ledger = RenewalLedger::default();
    let mut asked = 0;

    for second in 0..1_000 {
        let now = at(second * 1_000);
        if ledger.may_ask(now) {
            ledger.ask(now, ());
            asked += 1;
        }
    }

    assert_eq!(asked, 32);
    ledger.answer(1).expect("the first is open");
    assert!(ledger.may_ask(at(1_000_000)));
}
