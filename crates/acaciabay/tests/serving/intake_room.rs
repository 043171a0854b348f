//! Tests of the memory for request bodies.

use std::collections::BTreeMap;

use acaciabay::core::intake_room::{BodyNumber, IntakeRoom};
use proptest::prelude::*;

use crate::fixtures::{at, fixed_cases};

const BUDGET: usize = 1_000_000;
/// Body of an ordinary call.
const USUAL_BYTES: usize = 2_000;

/// Opens a body that has come this far at 0 ms.
fn open_with(room: &mut IntakeRoom, bytes: usize) -> BodyNumber {
    let number = room.open(at(0));
    assert!(room.grow(at(0), number, bytes).is_admitted);
    number
}

/// Guards against clients that announce much, send nothing, and leave others without memory.
#[test]
fn a_body_of_which_nothing_has_come_takes_nothing() {
    let mut room = IntakeRoom::new(BUDGET);
    for _body in 0..1_000 {
        room.open(at(0));
    }

    assert_eq!(room.held(), 0);
}

/// Guards against the refusal of a request that is inside the limits and alone.
#[test]
fn a_body_that_is_alone_is_admitted_however_large() {
    let mut room = IntakeRoom::new(BUDGET);

    let number = open_with(&mut room, 4 * BUDGET);

    room.close(number);
    assert_eq!(room.held(), 0);
}

/// Guards against callers with small bodies that are refused because others send large ones.
#[test]
fn small_bodies_are_admitted_beside_a_crowd() {
    let mut room = IntakeRoom::new(BUDGET);
    let crowd: Vec<_> = (0..100).map(|_body| room.open(at(0))).collect();
    for millis in 0..100 {
        for number in &crowd {
            room.grow(at(millis), *number, 20_000);
        }
    }

    let small = room.open(at(100));
    let decision = room.grow(at(100), small, USUAL_BYTES);

    assert!(decision.is_admitted);
}

/// Guards against the loss of bodies that come, while others have stopped.
#[test]
fn bodies_that_have_stopped_give_way_first() {
    let mut room = IntakeRoom::new(BUDGET);
    let stopped = open_with(&mut room, 100_000);
    let coming = open_with(&mut room, 700_000);
    room.record_progress(at(900), coming);

    let number = room.open(at(1_000));
    let decision = room.grow(at(1_000), number, 100_000);

    assert!(decision.is_admitted);
    assert_eq!(decision.dropped, [stopped]);
}

/// Guards against the loss of a whole body that waits for its endpoint, for one that may never end.
#[test]
fn whole_bodies_give_way_to_none() {
    let mut room = IntakeRoom::new(BUDGET);
    let whole = open_with(&mut room, 800_000);
    room.finish(whole);

    let number = room.open(at(5_000));
    let decision = room.grow(at(5_000), number, 200_000);

    assert!(!decision.is_admitted);
    assert_eq!(room.held(), 800_000);
}

/// What a client does next.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Grow(usize, usize),
    Finish(usize),
    Close(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Open),
        (0..40_usize, 1..200_000_usize).prop_map(|(body, bytes)| Step::Grow(body, bytes)),
        (0..40_usize).prop_map(Step::Finish),
        (0..40_usize).prop_map(Step::Close),
    ];
    proptest::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Guards against an account that goes beyond its bound, forgets bytes, or counts some for ever.
    #[test]
    fn the_account_is_right_and_within_its_bound(steps in steps()) {
        let mut room = IntakeRoom::new(BUDGET);
        let mut numbers: Vec<BodyNumber> = Vec::new();
        let mut held: BTreeMap<BodyNumber, usize> = BTreeMap::new();
        for (millis, step) in (0..).zip(steps) {
            let now = at(millis * 20);
            match step {
                Step::Open => numbers.push(room.open(now)),
                Step::Grow(body, bytes) => if let Some(number) = numbers.get(body) {
                    let before: usize = held.values().sum();
                    let own = held.get(number).copied().unwrap_or(0);
                    let decision = room.grow(now, *number, bytes);
                    for dropped in &decision.dropped {
                        held.remove(dropped);
                    }
                    if decision.is_admitted {
                        *held.entry(*number).or_default() += bytes;
                        prop_assert!(room.held() <= BUDGET || before == own, "{}", room.held());
                    }
                },
                Step::Finish(body) => if let Some(number) = numbers.get(body) {
                    room.finish(*number);
                },
                Step::Close(body) => if let Some(number) = numbers.get(body) {
                    room.close(*number);
                    held.remove(number);
                },
            }
            prop_assert_eq!(room.held(), held.values().sum::<usize>());
        }
        for number in numbers {
            room.close(number);
        }
        prop_assert_eq!(room.held(), 0);
    }
}
