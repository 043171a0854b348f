//! Check that an endpoint which is to write the rest of a stream is still the process whose version is known.
//!
//! An endpoint may have started again under its name, at another version, and its first report not have come yet.

use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::util::number::whole_millis;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;
use super::endpoint_request::{RequestOutcome, ask_endpoint};
use super::write_permits::WithheldReason;

/// Time limit for the whole check: many times the way to an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// What an endpoint has said of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartAnswer {
    Same,
    Other(EndpointIncarnation),
    /// It does not say when it started.
    Untold,
    /// It has not answered in time, or is not reached.
    None,
    /// It may be asked nothing at present.
    Withheld(WithheldReason),
}

/// Returns true if the endpoint is the process that was chosen, or does not say which one it is.
pub(super) async fn is_same_incarnation(call: &AcceptedCall, chosen: &ChosenEndpoint) -> bool {
    if chosen.endpoint.incarnation == EndpointIncarnation::default() {
        return true;
    }
    let began_at = boot_now();
    let answer = ask_start(call, chosen).await;
    let is_same = matches!(answer, StartAnswer::Same | StartAnswer::Untold);
    if !is_same {
        slog::info!(call.shared.log, "endpoint is not known to be the one that was chosen";
            "event" => event::INCARNATION_UNCONFIRMED, "request" => &call.head.request,
            "endpoint" => chosen.name.as_str(), "birth" => chosen.endpoint.incarnation.0, "answer" => ?answer,
            "after_ms" => whole_millis(boot_now().since(began_at)));
    }
    metrics::counter!("acacia_incarnation_checks_total", "same" => if is_same { "yes" } else { "no" }).increment(1);
    is_same
}

async fn ask_start(call: &AcceptedCall, chosen: &ChosenEndpoint) -> StartAnswer {
    let codec = &call.shared.codec;
    let outcome = ask_endpoint(&call.shared, chosen, codec.status_request(), CHECK_TIMEOUT).await;
    let (status, body) = match outcome {
        RequestOutcome::Answered(status, body) => (status, body),
        RequestOutcome::NoAnswer => return StartAnswer::None,
        RequestOutcome::Withheld(reason) => return StartAnswer::Withheld(reason),
    };
    match codec.read_incarnation(&body).filter(|_| status.is_success()) {
        Some(incarnation) if incarnation == chosen.endpoint.incarnation => StartAnswer::Same,
        Some(incarnation) => StartAnswer::Other(incarnation),
        None => StartAnswer::Untold,
    }
}
