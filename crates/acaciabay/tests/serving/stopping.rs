//! Tests of the calls that a stopping entry accepts.

use acaciabay::core::serving::stop_state::StopState;

use crate::fixtures::at;

/// An entry is stopped while so few others are ready that the balancer keeps sending callers to it. A long answer that
/// starts after three of the eight seconds is cut off when the process ends, and its caller has to retry.
#[test]
fn calls_are_refused_before_their_answers_would_be_cut() {
    let mut state = StopState::default();

    assert!(state.accepts_calls(at(60_000)));
    state.request_stop(at(60_000));
    state.request_stop(at(62_000));

    assert!(state.accepts_calls(at(62_500)));
    assert!(!state.accepts_calls(at(63_000)));
}
