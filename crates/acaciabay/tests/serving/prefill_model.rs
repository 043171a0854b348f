//! Tests of the expected prefill time.

use std::time::Duration;

use acaciabay::core::serving::prefill_model::PrefillModel;

use crate::fixtures::noise;

/// Unread tokens of the prompts of three call types, with and without their shared parts, and of long ones.
const LENGTHS: [u64; 7] = [1_110, 1_460, 2_890, 3_720, 9_190, 17_020, 30_000];
/// Milliseconds per token by which the model starts: that of the fastest tenth of the prompts.
const PACE: f64 = 0.015;

/// Prompts of 30,000 tokens take half as long again as by the term per token alone.
fn true_ms(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    6.0 + 0.02 * tokens + 0.02 * 0.5 / 30_000.0 * tokens * tokens
}

/// Records `count` prefills that take `factor` times as long as the true time, with noise.
fn record(model: &mut PrefillModel, lengths: &[u64], count: u64, factor: impl Fn(u64) -> f64) {
    for number in 0..count {
        let hash = noise(number, 1.0).to_bits();
        let tokens = lengths[usize::try_from(hash % lengths.len() as u64).expect("it is small")];
        let took_ms = true_ms(tokens) * factor(number) * noise(number, 0.15).exp();
        model.record(tokens, Duration::from_secs_f64(took_ms / 1_000.0), 1.0, PACE);
    }
}

fn error(model: &PrefillModel, tokens: u64) -> f64 {
    let expected = model.expected_ms(tokens as f64).expect("it has data");
    expected / true_ms(tokens) - 1.0
}

/// With a term per token alone, the prefill of a long prompt takes half as long again as is expected.
#[test]
fn long_prompts_are_expected_to_take_longer_per_token() {
    let mut model = PrefillModel::default();

    record(&mut model, &LENGTHS, 400, |_| 1.0);

    for tokens in LENGTHS {
        assert!(error(&model, tokens).abs() < 0.1, "{tokens}: {}", error(&model, tokens));
    }
}

/// In a burst, a third of the prompts wait in queues that their entry does not know of. Their time must not become the
/// expected one.
#[test]
fn unknown_queues_hardly_raise_the_expected_time() {
    let mut model = PrefillModel::default();

    record(
        &mut model,
        &LENGTHS,
        600,
        |number| if number % 3 == 0 { 5.0 } else { 1.0 },
    );

    for tokens in LENGTHS {
        assert!(error(&model, tokens).abs() < 0.2, "{tokens}: {}", error(&model, tokens));
    }
}

/// An entry that has measured prompts of one length only must not expect a long one to take no time, or forever.
#[test]
fn prompts_of_one_length_give_a_time_per_token() {
    for tokens in [1_110, 3_720, 17_020] {
        let mut model = PrefillModel::default();

        record(&mut model, &[tokens], 7, |_| 1.0);
        assert_eq!(model.expected_ms(tokens as f64), None);
        record(&mut model, &[tokens], 200, |_| 1.0);

        assert!(error(&model, tokens).abs() < 0.1, "{tokens}: {}", error(&model, tokens));
        assert!(error(&model, 30_000).abs() < 0.5, "{tokens}: {}", error(&model, 30_000));
        assert!(error(&model, 1_110).abs() < 0.5, "{tokens}: {}", error(&model, 1_110));
        assert!(model.terms().iter().all(|term| *term >= 0.0));
    }
}

/// An entry whose slice has slow engines alone must not take their time for the usual one.
#[test]
fn time_of_slow_engines_counts_by_their_slowdown() {
    let mut model = PrefillModel::default();

    for number in 0..200 {
        let tokens = LENGTHS[number % LENGTHS.len()];
        let took_ms = 1.7 * true_ms(tokens);
        model.record(tokens, Duration::from_secs_f64(took_ms / 1_000.0), 1.7, PACE);
    }

    assert!(error(&model, 9_190).abs() < 0.05, "{}", error(&model, 9_190));
}
