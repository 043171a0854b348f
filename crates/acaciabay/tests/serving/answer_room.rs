//! Tests of the memory for answers that callers read slowly and for request bodies.

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::answer_room::{AnswerNumber, AnswerRoom, MIN_ANSWER_BYTES};

use crate::fixtures::at;

const KIB: usize = 1024;
const BUDGET: usize = 1024 * KIB;
/// Deadline of calls that is not reached.
const LATE: u64 = 60_000;

/// Opens an answer that was last read at a time and of which bytes are buffered.
fn hold(room: &mut AnswerRoom, read_at: BootTime, bytes: usize) -> AnswerNumber {
    let number = room.open(read_at, at(LATE));
    assert!(room.admit_answer(read_at, number, bytes).is_admitted);
    number
}

/// Guards against one large answer that takes the room of all others and of new calls.
#[test]
fn one_answer_leaves_as_much_free_as_it_takes() {
    let mut room = AnswerRoom::new(BUDGET);
    let large = room.open(at(0), at(LATE));
    let mut taken = 0;
    while room.admit_answer(at(0), large, 16 * KIB).is_admitted {
        taken += 16 * KIB;
    }

    assert_eq!(taken, BUDGET / 2);
    assert!(room.admit_body(at(0), BUDGET / 4).is_admitted);
    let other = room.open(at(0), at(LATE));
    assert!(room.admit_answer(at(0), other, 2 * MIN_ANSWER_BYTES).is_admitted);
}

/// Guards against an answer that gets less than the entry buffered before there was a budget.
#[test]
fn an_answer_has_its_minimum_while_the_budget_lasts() {
    let mut room = AnswerRoom::new(4 * MIN_ANSWER_BYTES);
    for _ in 0..4 {
        hold(&mut room, at(0), MIN_ANSWER_BYTES);
    }

    let fifth = room.open(at(0), at(LATE));
    let decision = room.admit_answer(at(0), fifth, 1);

    assert!(!decision.is_admitted);
    assert_eq!(decision.dropped, []);
}

/// Guards against a drop of an answer whose caller reads, or of more answers than are in the way.
#[test]
fn the_answer_that_was_unread_for_the_longest_time_is_dropped_first() {
    let mut room = AnswerRoom::new(4 * MIN_ANSWER_BYTES);
    let unread_since = [700, 300, 500];
    let unread = unread_since.map(|time| hold(&mut room, at(time), MIN_ANSWER_BYTES));
    let read = hold(&mut room, at(0), MIN_ANSWER_BYTES);
    room.record_read(at(2_900), read);

    let asking = room.open(at(3_000), at(LATE));
    let first = room.admit_answer(at(3_000), asking, MIN_ANSWER_BYTES);
    let second = room.admit_body(at(3_000), 2 * MIN_ANSWER_BYTES);
    let third = room.admit_body(at(3_000), MIN_ANSWER_BYTES);

    assert_eq!((first.is_admitted, first.dropped), (true, vec![unread[1]]));
    assert_eq!((second.is_admitted, second.dropped), (true, vec![unread[2], unread[0]]));
    assert_eq!((third.is_admitted, third.dropped), (false, vec![]));
}

/// Guards against the loss of a ready answer while one that is still being made could go instead.
#[test]
fn an_answer_that_has_ended_is_dropped_last() {
    let mut room = AnswerRoom::new(2 * MIN_ANSWER_BYTES);
    let ended = hold(&mut room, at(0), MIN_ANSWER_BYTES);
    let open = hold(&mut room, at(500), MIN_ANSWER_BYTES);
    room.record_ended(ended);

    let first = room.admit_body(at(3_000), MIN_ANSWER_BYTES);
    let second = room.admit_body(at(3_000), MIN_ANSWER_BYTES);

    assert_eq!(first.dropped, [open]);
    assert_eq!(second.dropped, [ended]);
}

/// Guards against answers that are dropped for a body that has no room all the same.
#[test]
fn nothing_is_dropped_in_vain() {
    let mut room = AnswerRoom::new(2 * MIN_ANSWER_BYTES);
    hold(&mut room, at(0), MIN_ANSWER_BYTES);

    let decision = room.admit_body(at(5_000), 3 * MIN_ANSWER_BYTES);

    assert!(!decision.is_admitted);
    assert_eq!(decision.dropped, []);
    assert_eq!(room.current_use().answers, 1);
}

/// Guards against an answer at its own limit that takes the room of others, and against one that keeps it unread for ever.
#[test]
fn an_answer_at_its_own_limit_displaces_itself_alone() {
    let mut room = AnswerRoom::new(BUDGET);
    let other = hold(&mut room, at(0), KIB);
    let large = hold(&mut room, at(1_000), BUDGET / 2 - KIB);

    let early = room.admit_answer(at(2_500), large, 16 * KIB);
    let late = room.admit_answer(at(3_100), large, 16 * KIB);

    assert_eq!((early.is_admitted, early.dropped), (false, vec![]));
    assert_eq!((late.is_admitted, late.dropped), (false, vec![large]));
    assert_eq!(room.current_use().answer_bytes, KIB);
    room.close(other);
}

/// Guards against the loss of a ready answer at the deadline, and of one whose caller reads.
#[test]
fn only_an_unread_answer_that_is_not_whole_is_dropped_at_the_deadline() {
    let mut room = AnswerRoom::new(BUDGET);
    let [unread, read, ended] = [0; 3].map(|_| {
        let number = room.open(at(0), at(3_000));
        assert!(room.admit_answer(at(0), number, KIB).is_admitted);
        number
    });
    room.record_read(at(2_500), read);
    room.record_ended(ended);

    assert_eq!(room.take_overdue(at(2_900)), []);
    assert_eq!(room.take_overdue(at(3_100)), [unread]);
    assert_eq!(room.take_overdue(at(3_200)), []);
}

/// Guards against bytes that stay counted when they are no longer held, until no call is taken any more.
#[test]
fn what_is_released_is_free_again() {
    let mut room = AnswerRoom::new(BUDGET);
    for _ in 0..100 {
        let number = hold(&mut room, at(0), BUDGET / 2);
        assert!(room.admit_body(at(0), BUDGET / 2).is_admitted);
        assert!(!room.admit_body(at(0), 1).is_admitted);
        room.release_answer(number, BUDGET / 4);
        room.close(number);
        room.release_body(BUDGET / 2);
        room.release_answer(number, BUDGET / 4);
    }

    assert_eq!(room.current_use(), AnswerRoom::new(BUDGET).current_use());
}

/// Guards against an endpoint's request that goes on after the deadline, because nothing of its answer found room and its
/// caller reads nothing.
#[test]
fn an_overdue_answer_without_buffered_bytes_is_dropped() {
    let mut room = AnswerRoom::new(BUDGET);
    let unread = room.open(at(0), at(5_000));
    let read = room.open(at(0), at(5_000));
    room.record_read(at(4_000), read);

    let early = room.take_overdue(at(4_900));
    let overdue = room.take_overdue(at(5_000));

    assert_eq!((early, overdue), (vec![], vec![unread]));
}

/// Guards against answers that are dropped for one that is dropped with them.
#[test]
fn an_answer_does_not_make_room_for_itself() {
    let mut room = AnswerRoom::new(BUDGET);
    hold(&mut room, at(0), 16 * KIB);
    let asking = hold(&mut room, at(1), 24 * KIB);
    assert!(room.admit_body(at(1), BUDGET - 40 * KIB).is_admitted);

    let decision = room.admit_answer(at(4_000), asking, 40 * KIB);

    assert_eq!((decision.is_admitted, decision.dropped), (false, vec![]));
}
