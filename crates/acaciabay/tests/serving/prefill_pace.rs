//! Tests of the estimate of the prefill time per token.

use std::time::Duration;

use acaciabay::core::serving::prefill_pace::{PrefillPace, PrefillTime};

/// Length of the test prompts. An idle test engine prefills one in 10 ms.
const TOKENS: u64 = 3_000;

fn prefill(queued: u64, millis: u64) -> PrefillTime {
    PrefillTime {
        queued,
        unread: TOKENS,
        took: Duration::from_millis(millis),
    }
}

fn value(pace: PrefillPace) -> f64 {
    pace.get().expect("something was measured")
}

/// In a burst, prompts wait in known queues for a second each. If this time counted as work, several times as many
/// endpoints as needed would be ordered, and paid for long after the burst.
#[test]
fn known_queueing_time_does_not_count_as_prefill() {
    let mut pace = PrefillPace::default();
    for _ in 0..20 {
        pace.record(prefill(0, 10));
    }
    let calm = value(pace);

    for _ in 0..200 {
        pace.record(prefill(60_000, 1_000));
    }

    assert!((value(pace) - calm).abs() < f64::EPSILON);
}

/// A few measurements are off by a multiple, since the prompt met an unknown queue or an engine that had cached all of
/// its parts. The pace must not follow them.
#[test]
fn outliers_hardly_move_the_pace() {
    let mut pace = PrefillPace::default();
    for round in 0..100 {
        let millis = if round % 10 == 0 { 500 } else { 10 };
        pace.record(prefill(0, millis));
    }

    let true_pace = 10.0 / TOKENS as f64;
    assert!(value(pace) < true_pace * 1.2, "{}", value(pace));
}

/// In a burst, every prompt meets a queue that its entry does not know of. For ten seconds, at ten prompts a second,
/// all of them take thirty times as long. The need may grow with the incoming work but not with the queueing time.
#[test]
fn unknown_queues_hardly_raise_the_pace() {
    let mut pace = PrefillPace::default();
    pace.record(prefill(0, 10));

    for _ in 0..100 {
        pace.record(prefill(0, 300));
    }

    let true_pace = 10.0 / TOKENS as f64;
    assert!(value(pace) < true_pace * 1.8, "{}", value(pace));
}

/// Engines become slower permanently. The pace follows within a few hundred prompts.
#[test]
fn pace_follows_engines_that_become_slower() {
    let mut pace = PrefillPace::default();
    pace.record(prefill(0, 10));

    for _ in 0..300 {
        pace.record(prefill(0, 30));
    }

    let true_pace = 30.0 / TOKENS as f64;
    assert!((value(pace) / true_pace - 1.0).abs() < 0.1, "{}", value(pace));
}
