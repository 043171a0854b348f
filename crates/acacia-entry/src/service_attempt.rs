//! One attempt to have a call of a plain service run by an endpoint.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{BodyRefusal, ConnectionChoice, EndpointAnswer, body_framing, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::trace::{TRACEPARENT, TraceContext};
use acaciabay::core::answer_end::BodyFraming;
use acaciabay::core::attempt::AttemptState;
use acaciabay::core::endpoint::EndpointRow;
use acaciabay::core::fair_queue::RequestCost;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::call_fingerprint::CallContent;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use serde_json::Value;

use crate::caller_request::{CallerIdentity, CallerRoute, time_left};
use crate::shared::Entry;
use crate::suspect_calls::{LazyFingerprint, SentAttempt, TrackedCall};

/// The largest answer of a service.
const LARGEST_ANSWER: usize = 16 * 1024 * 1024;
/// What a call counts for: one piece, and as many tokens as a short completion.
pub(crate) const CALL_COST: RequestCost = RequestCost { pieces: 1, tokens: 100 };
/// The header that makes a call safe to send again to us.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A call as it goes to an endpoint.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) caller: CallerIdentity,
    pub(crate) route: CallerRoute,
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) idempotency_key: Option<HeaderValue>,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: LazyFingerprint,
}

impl ServiceCall {
    /// Returns the call as it is recognised when it is sent again.
    pub(crate) fn tracked(&self) -> TrackedCall<'_> {
        TrackedCall {
            content: CallContent {
                method: self.method.as_str(),
                host: "",
                target: self.path.path_and_query().map_or("", |path| path.as_str()),
                customer: Some(&self.caller.customer),
                body: &self.body,
            },
            route: self.route.pool.name.as_str(),
            fingerprint: &self.fingerprint,
            parts: &[],
        }
    }
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    pub(crate) status: StatusCode,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// Why one attempt yielded no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The endpoint cannot have run the call.
    NotRun,
    /// The endpoint may have run the call.
    Unknown,
}

/// Sends a call to one endpoint and reads its answer. A failed attempt is logged and counted.
pub(crate) async fn attempt(
    entry: &Arc<Entry>,
    call: &ServiceCall,
    endpoint: &EndpointName,
    row: &EndpointRow,
    choice: ConnectionChoice,
) -> Result<ServiceAnswer, AttemptFailure> {
    let guard = entry.begin_send(endpoint, CALL_COST.pieces);
    let left = time_left(boot_now(), call.route.deadline);
    if left.is_zero() {
        return Err(AttemptFailure::NotRun);
    }
    let mut span = entry.spans.start("attempt", call.caller.trace);
    span.set_attribute("endpoint", endpoint);
    let request = endpoint_request(call, row, span.context());
    let sent_at = boot_now();
    let record_break = || {
        let sent = SentAttempt::to_row(endpoint, row, sent_at);
        entry.suspects.record_break(&call.tracked(), sent);
    };
    let whole = async {
        let may_send = || entry.may_write(boot_now(), endpoint, row);
        let sent = entry
            .client
            .send_if(sent_at, row.address, choice, request, may_send)
            .await;
        let answer = sent.map_err(|failure| {
            let unsent = failure.state == AttemptState::Unsent;
            if !unsent {
                record_break();
            }
            (
                if unsent {
                    AttemptFailure::NotRun
                } else {
                    AttemptFailure::Unknown
                },
                failure.to_string(),
            )
        })?;
        entry.record_rest_request(&call.caller.id, (endpoint, row), &answer.response);
        read_answer(entry, call, answer, left, record_break).await
    };
    let result = match tokio::time::timeout(left, whole).await {
        Ok(result) => result,
        Err(_elapsed) => Err((AttemptFailure::Unknown, "no answer before the deadline".to_owned())),
    };
    drop(guard);
    if result.is_ok() {
        entry.suspects.record_whole_answer(&call.tracked());
    }
    result.map_err(|(failure, reason)| {
        slog::info!(entry.log, "attempt failed"; "event" => event::ATTEMPT_FAILED,
            "endpoint" => endpoint.as_str(), "request" => &call.caller.id, "reason" => reason);
        metrics::counter!("acacia_attempts_failed_total").increment(1);
        failure
    })
}

async fn read_answer(
    entry: &Entry,
    call: &ServiceCall,
    answer: EndpointAnswer,
    left: Duration,
    record_break: impl Fn(),
) -> Result<ServiceAnswer, (AttemptFailure, String)> {
    let EndpointAnswer { response, connection } = answer;
    let framing = body_framing(&response);
    let (parts, body) = response.into_parts();
    if parts
        .headers
        .get("x-request-id")
        .is_some_and(|id| id.as_bytes() != call.caller.id.as_bytes())
    {
        slog::error!(entry.log, "answer belongs to another request"; "event" => event::ANSWER_CROSSED,
            "request" => &call.caller.id);
        return Err((AttemptFailure::Unknown, "answer belongs to another request".to_owned()));
    }
    let body = read_body(body, LARGEST_ANSWER, left).await.map_err(|refusal| {
        let reason = match refusal {
            BodyRefusal::TooLarge => "answer is too large",
            BodyRefusal::TimedOut => "answer was not whole before the deadline",
            BodyRefusal::NoRoom => "no memory for the answer",
            BodyRefusal::Broken => {
                record_break();
                "connection broke within the answer"
            }
        };
        (AttemptFailure::Unknown, reason.to_owned())
    })?;
    entry.client.give_back(boot_now(), connection).await;
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && says_not_run(&body) {
        return Err((
            AttemptFailure::NotRun,
            "endpoint says that it did not run the call".to_owned(),
        ));
    }
    if framing == BodyFraming::UntilClose {
        // Half of an answer would be stored, and be the answer to every resend.
        let reason = "answer has neither a length nor chunks, so it may be cut";
        return Err((AttemptFailure::Unknown, reason.to_owned()));
    }
    Ok(ServiceAnswer {
        status: parts.status,
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        body,
    })
}

/// Returns true if a refusal says itself that nothing has run. Without that, it is not certain.
pub(crate) fn says_not_run(body: &[u8]) -> bool {
    let error: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    error["error"]["not_run"] == Value::Bool(true)
}

fn endpoint_request(call: &ServiceCall, row: &EndpointRow, trace: TraceContext) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone();
    let headers = request.headers_mut();
    if let Some(kind) = &call.content_type {
        headers.insert(CONTENT_TYPE, kind.clone());
    }
    if let Some(key) = &call.idempotency_key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    let trace = trace.to_string();
    for (name, text) in [("x-request-id", call.caller.id.as_str()), (TRACEPARENT, trace.as_str())] {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(&row.address.to_string()) {
        headers.insert(HOST, value);
    }
    request
}
