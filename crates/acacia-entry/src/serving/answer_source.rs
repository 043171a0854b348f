//! Where an answer comes from, and what its end says of the endpoint and the call.

use acacia_runtime::clock::boot_now;
use acaciabay::core::answer_end::{AnswerEnd, BodyFraming};
use acaciabay::core::clock::BootTime;
use hyper::StatusCode;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;

/// Endpoint that answers a call, with the head of its answer as far as its end is judged by it.
#[derive(Clone, Debug)]
pub(super) struct AnswerSource {
    pub(super) chosen: ChosenEndpoint,
    pub(super) status: StatusCode,
    pub(super) framing: BodyFraming,
    /// Time at which the call was sent to the endpoint.
    pub(super) sent_at: BootTime,
}

impl AnswerSource {
    /// Counts how the answer ended, and records it for later choices of endpoints and for the judgement of the call.
    pub(super) fn record_end(&self, call: &AcceptedCall, end: AnswerEnd) {
        metrics::counter!("acacia_answers_ended_total", "framing" => self.framing.name(), "end" => end.name())
            .increment(1);
        if end.is_whole() {
            call.record_whole_answer();
        }
        if end.is_whole() && self.status.is_success() {
            call.record_sound_parts();
        }
        if end.may_be_crash(self.framing) {
            call.record_break(&self.chosen, self.sent_at);
        }
        let mut state = call.shared.state();
        if end.is_whole() && !self.status.is_server_error() {
            state.loads.record_success(&self.chosen.name);
        } else {
            state.loads.record_failure(boot_now(), &self.chosen.name);
        }
    }
}
