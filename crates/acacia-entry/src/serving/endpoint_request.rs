//! Requests to endpoints that are no part of a call: short, without a body, under the permits of their limits.

use std::time::Duration;

use acacia_http::{ConnectionChoice, read_body};
use acacia_runtime::clock::boot_now;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};

use super::endpoint_choice::ChosenEndpoint;
use super::endpoint_rests::record_rest_request;
use super::shared::EntryShared;
use super::write_permits::WithheldReason;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Result of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Answered(StatusCode, Bytes),
    /// The endpoint was not reached, or has not answered whole in time.
    NoAnswer,
    /// The endpoint may be sent nothing at present. Nothing was sent.
    Withheld(WithheldReason),
}

/// Sends a request to an endpoint, and reads the answer to its end so that the connection can be reused.
pub(super) async fn ask_endpoint(
    shared: &EntryShared,
    chosen: &ChosenEndpoint,
    (method, path): (Method, &str),
    timeout: Duration,
) -> RequestOutcome {
    if let Err(reason) = shared.acquire_permit(boot_now(), chosen) {
        return RequestOutcome::Withheld(reason);
    }
    let exchanged = tokio::time::timeout(timeout, exchange(shared, chosen, (method, path), timeout));
    let answer = exchanged.await.ok().flatten();
    answer.map_or(RequestOutcome::NoAnswer, |(status, body)| {
        RequestOutcome::Answered(status, body)
    })
}

async fn exchange(
    shared: &EntryShared,
    chosen: &ChosenEndpoint,
    (method, path): (Method, &str),
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    let address = chosen.endpoint.address;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let may_send = || shared.may_write(boot_now(), chosen);
    let sent = shared.client.send_if(
        boot_now(),
        address,
        ConnectionChoice::PooledWhileReachable,
        request,
        may_send,
    );
    let answer = sent.await.ok()?;
    shared.state().loads.record_activity(boot_now(), &chosen.name);
    let status = answer.response.status();
    let head = shared.codec.read_answer_head(status, answer.response.headers());
    record_rest_request(shared, chosen, path, (status, head.rest), answer.connection.path());
    let body = read_body(answer.response.into_body(), MAX_ANSWER_BYTES, timeout).await;
    let body = body.ok()?;
    shared.client.give_back(boot_now(), answer.connection).await;
    Some((status, body))
}
