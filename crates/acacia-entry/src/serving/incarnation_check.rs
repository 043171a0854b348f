//! Check that an endpoint which is to write the rest of a stream is still the process whose version is known.
//!
//! An endpoint may have started again under its name, at another version, and its first report not have come yet.

use std::time::Duration;

use acacia_http::{ConnectionChoice, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;

/// Time limit for the whole check: many times the way to an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of what an endpoint says about itself, in bytes.
const MAX_STATUS_BYTES: usize = 256 * 1024;

/// What an endpoint has said of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartAnswer {
    Same,
    Other(EndpointIncarnation),
    /// It does not say when it started.
    Untold,
    /// It has not answered in time, or is not reached.
    None,
    /// Its limit allows no question.
    LimitReached,
}

/// Returns true if the endpoint is the process that was chosen, or does not say which one it is.
pub(super) async fn is_same_incarnation(call: &AcceptedCall, chosen: &ChosenEndpoint) -> bool {
    if chosen.endpoint.incarnation == EndpointIncarnation::default() {
        return true;
    }
    let began_at = boot_now();
    let asked = tokio::time::timeout(CHECK_TIMEOUT, ask_start(call, chosen));
    let answer = asked.await.unwrap_or(StartAnswer::None);
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
    let shared = &call.shared;
    if shared.acquire_permit(boot_now(), chosen).is_none() {
        return StartAnswer::LimitReached;
    }
    let (method, path) = shared.codec.status_request();
    let address = chosen.endpoint.address;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    let Ok(request) = request.body(Full::new(Bytes::new())) else {
        return StartAnswer::Untold;
    };
    let sent = shared
        .client
        .send(boot_now(), address, ConnectionChoice::PooledWhileReachable, request);
    let Ok(answer) = sent.await else {
        return StartAnswer::None;
    };
    let is_success = answer.response.status().is_success();
    let Ok(body) = read_body(answer.response.into_body(), MAX_STATUS_BYTES, CHECK_TIMEOUT).await else {
        return StartAnswer::None;
    };
    shared.client.give_back(boot_now(), answer.connection).await;
    match shared.codec.read_incarnation(&body).filter(|_| is_success) {
        Some(incarnation) if incarnation == chosen.endpoint.incarnation => StartAnswer::Same,
        Some(incarnation) => StartAnswer::Other(incarnation),
        None => StartAnswer::Untold,
    }
}
