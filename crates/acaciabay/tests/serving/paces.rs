//! How fast engines read, as entries measure it.

use std::time::Duration;

use acaciabay::core::serving::endpoint_load::{LoadTable, ReadingTime};

use crate::fixtures::name;

/// Tokens of a prompt that take an engine of the tests 10 ms.
const TOKENS: u64 = 3_000;

fn reading(queued: u64, millis: u64) -> ReadingTime {
    ReadingTime {
        queued,
        unread: TOKENS,
        took: Duration::from_millis(millis),
    }
}

fn own_pace(loads: &LoadTable) -> f64 {
    loads.own_pace(&name("e")).expect("something was measured")
}

/// A burst makes prompts wait for a second each. Taken for work, the waiting would have several times as many endpoints
/// ordered as can be used, and paid for long after the burst.
#[test]
fn waiting_in_a_queue_is_not_taken_for_reading() {
    let mut loads = LoadTable::default();
    for _ in 0..20 {
        loads.note_reading(&name("e"), reading(0, 10));
    }
    let calm = own_pace(&loads);

    for _ in 0..200 {
        loads.note_reading(&name("e"), reading(60_000, 1_000));
    }

    assert!((own_pace(&loads) - calm).abs() < f64::EPSILON);
}

/// A few prompts meet a queue that no entry knew of, or an engine that kept all of their parts. They are off by a
/// multiple, and the pace must not follow them.
#[test]
fn a_few_readings_that_are_off_hardly_move_the_pace() {
    let mut loads = LoadTable::default();
    for round in 0..100 {
        let millis = if round % 10 == 0 { 500 } else { 10 };
        loads.note_reading(&name("e"), reading(0, millis));
    }

    let true_pace = 10.0 / TOKENS as f64;
    assert!(own_pace(&loads) < true_pace * 1.2, "{}", own_pace(&loads));
}

/// An engine becomes slower for good. The need follows within some tens of prompts.
#[test]
fn the_pace_follows_an_engine_that_becomes_slower() {
    let mut loads = LoadTable::default();
    loads.note_reading(&name("e"), reading(0, 10));

    for _ in 0..80 {
        loads.note_reading(&name("e"), reading(0, 30));
    }

    let true_pace = 30.0 / TOKENS as f64;
    assert!((own_pace(&loads) / true_pace - 1.0).abs() < 0.1, "{}", own_pace(&loads));
}
