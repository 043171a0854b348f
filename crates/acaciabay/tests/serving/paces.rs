//! How fast engines read, as entries measure it.

use std::time::Duration;

use acaciabay::core::serving::reading_pace::{ReadingPace, ReadingTime};

/// Tokens of a prompt that take an engine of the tests 10 ms.
const TOKENS: u64 = 3_000;

fn reading(queued: u64, millis: u64) -> ReadingTime {
    ReadingTime {
        queued,
        unread: TOKENS,
        took: Duration::from_millis(millis),
    }
}

fn value(pace: ReadingPace) -> f64 {
    pace.get().expect("something was measured")
}

/// A burst makes prompts wait for a second each. Taken for work, the waiting would have several times as many endpoints
/// ordered as can be used, and paid for long after the burst.
#[test]
fn waiting_in_a_queue_is_not_taken_for_reading() {
    let mut pace = ReadingPace::default();
    for _ in 0..20 {
        pace.note(reading(0, 10));
    }
    let calm = value(pace);

    for _ in 0..200 {
        pace.note(reading(60_000, 1_000));
    }

    assert!((value(pace) - calm).abs() < f64::EPSILON);
}

/// A few prompts meet a queue that no entry knew of, or an engine that kept all of their parts. They are off by a
/// multiple, and the pace must not follow them.
#[test]
fn a_few_readings_that_are_off_hardly_move_the_pace() {
    let mut pace = ReadingPace::default();
    for round in 0..100 {
        let millis = if round % 10 == 0 { 500 } else { 10 };
        pace.note(reading(0, millis));
    }

    let true_pace = 10.0 / TOKENS as f64;
    assert!(value(pace) < true_pace * 1.2, "{}", value(pace));
}

/// In a burst every prompt meets a queue of which its entry has not heard. For ten seconds, at ten prompts a second, all
/// take thirty times as long; the need may grow by the work that has come, not by the waiting.
#[test]
fn queues_that_nobody_knows_of_hardly_raise_the_pace() {
    let mut pace = ReadingPace::default();
    pace.note(reading(0, 10));

    for _ in 0..100 {
        pace.note(reading(0, 300));
    }

    let true_pace = 10.0 / TOKENS as f64;
    assert!(value(pace) < true_pace * 1.8, "{}", value(pace));
}

/// Engines become slower for good. The need follows within some hundred prompts.
#[test]
fn the_pace_follows_engines_that_become_slower() {
    let mut pace = ReadingPace::default();
    pace.note(reading(0, 10));

    for _ in 0..300 {
        pace.note(reading(0, 30));
    }

    let true_pace = 30.0 / TOKENS as f64;
    assert!((value(pace) / true_pace - 1.0).abs() < 0.1, "{}", value(pace));
}
