//! Which path of a stand-in does what.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ResponseBody, empty_body, json_response, read_body};
use acacia_runtime::event;
use acacia_settings::StandinKind;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Version};
use serde_json::{Value, json};
use slog::Logger;

use crate::engine::{CompletionForm, complete};
use crate::fault::FaultPlan;
use crate::order::take_order;
use crate::platform::take_window;
use crate::service::run_service;
use crate::standin::Standin;

const LARGEST_BODY: usize = 64 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Says in an answer that the endpoint leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// A request whose body has arrived.
#[derive(Debug)]
pub(crate) struct WholeRequest {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) traceparent: String,
    pub(crate) saw_authorization: bool,
    pub(crate) body: Bytes,
}

pub(crate) async fn answer(standin: Arc<Standin>, log: Logger, request: Request<Incoming>) -> Response<ResponseBody> {
    let method = request.method().clone();
    let whole = match read_whole(request).await {
        Ok(whole) => whole,
        Err(status) => return json_response(status, &json!({"error": "body could not be read"})),
    };
    match (&method, whole.path.as_str()) {
        (&Method::GET, "/standin/record") => json_response(StatusCode::OK, &json!(standin.lock().record)),
        (&Method::PUT, "/standin/faults") => set_faults(&standin, &whole.body),
        (&Method::POST, "/v1/orders") => {
            slog::info!(log, "order arrived"; "event" => event::STANDIN_ORDERED);
            take_order(&standin, &whole.body).unwrap_or_else(broken_answer)
        }
        _ => {
            let response = run(Arc::clone(&standin), whole).await;
            mark_departure(&standin, response)
        }
    }
}

fn mark_departure(standin: &Standin, response: Response<ResponseBody>) -> Response<ResponseBody> {
    let mut response = response;
    if standin.lock().faults.leave_quietly {
        let headers = response.headers_mut();
        headers.insert(LEAVING, HeaderValue::from_static("1"));
    }
    response
}

async fn run(standin: Arc<Standin>, whole: WholeRequest) -> Response<ResponseBody> {
    if FaultPlan::strike(&mut standin.lock().faults.refuse) {
        return refuse(&standin);
    }
    match (&standin.settings.kind, whole.path.as_str()) {
        (StandinKind::Engine { .. }, "/v1/completions") => complete(standin, whole, CompletionForm::Text).await,
        (StandinKind::Engine { .. }, "/v1/chat/completions") => complete(standin, whole, CompletionForm::Chat).await,
        (StandinKind::Engine { .. }, _) => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        (StandinKind::Service { .. }, _) => run_service(standin, whole).await,
        (StandinKind::Platform, _) => take_window(&standin, &whole),
    }
}

/// Refuses a request in the form that tells an entry that it was not run.
pub(crate) fn refuse(standin: &Standin) -> Response<ResponseBody> {
    let mut state = standin.lock();
    state.record.refused += 1;
    let error = json!({"error": {"message": "no slot is free", "code": "busy", "not_run": true}});
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &error);
    if let Ok(text) = HeaderValue::from_str(&state.faults.retry_after)
        && !text.is_empty()
    {
        response.headers_mut().insert(RETRY_AFTER, text);
    }
    response
}

/// An answer whose connection breaks before its first byte of body.
pub(crate) fn broken_answer() -> Response<ResponseBody> {
    let error = std::io::Error::other("answer lost on purpose");
    Response::new(StreamBody::new(stream::iter([Err(error)])).boxed_unsync())
}

/// Returns an answer that ends in order after half of its body. In HTTP/1.0, nothing but the end of the connection frames it.
pub(crate) fn cut_answer(body: &Value) -> Response<ResponseBody> {
    let mut half = body.to_string().into_bytes();
    half.truncate(half.len() / 2);
    let body = StreamBody::new(stream::iter([Ok(Frame::data(Bytes::from(half)))]));
    let mut response = Response::new(body.boxed_unsync());
    *response.version_mut() = Version::HTTP_10;
    response
}

fn set_faults(standin: &Standin, body: &[u8]) -> Response<ResponseBody> {
    match serde_json::from_slice::<FaultPlan>(body) {
        Ok(plan) => {
            standin.lock().faults = plan;
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::NO_CONTENT;
            response
        }
        Err(error) => json_response(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
    }
}

async fn read_whole(request: Request<Incoming>) -> Result<WholeRequest, StatusCode> {
    let (parts, body) = request.into_parts();
    let header = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let body = read_body(body, LARGEST_BODY, BODY_TIMEOUT)
        .await
        .map_err(|_refusal| StatusCode::PAYLOAD_TOO_LARGE)?;
    Ok(WholeRequest {
        id: header("x-request-id"),
        path: parts.uri.path().to_owned(),
        traceparent: header("traceparent"),
        saw_authorization: parts.headers.contains_key("authorization"),
        body,
    })
}
