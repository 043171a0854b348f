//! Callers' interface: which path does what (`docs/CALLERS.md`).

use std::sync::Arc;

use acacia_http::{ResponseBody, json_response};
use acacia_runtime::trace::TraceContext;
use acaciabay::core::table::RouteTarget;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::caller_request::{identify, trace_of};
use crate::completion::complete;
use crate::completion_body::CompletionForm;
use crate::refusal::CallerRefusal;
use crate::service_call::call_service;
use crate::shared::Entry;

/// The header with which callers name a request in their own logs; it comes back on the answer.
const REQUEST_ID: &str = "x-request-id";

pub(crate) type CallerAnswer = Result<Response<ResponseBody>, CallerRefusal>;

pub(crate) async fn answer_caller(entry: Arc<Entry>, request: Request<Incoming>) -> Response<ResponseBody> {
    let named = request.headers().get(REQUEST_ID).cloned();
    let path = path_label(request.uri().path());
    let mut span = entry.spans.start("request", trace_of(request.headers()));
    let (mut response, code) = match dispatch(&entry, request, span.context()).await {
        Ok(response) => (response, "ok"),
        Err(refusal) => {
            let code = refusal.code;
            (refusal.into_response(), code)
        }
    };
    span.set_attribute("code", &code);
    metrics::counter!("acacia_requests_total", "path" => path, "code" => code).increment(1);
    let id = named.unwrap_or_else(|| HeaderValue::from(entry.next_number()));
    response.headers_mut().insert(REQUEST_ID, id);
    response
}

async fn dispatch(entry: &Arc<Entry>, request: Request<Incoming>, trace: TraceContext) -> CallerAnswer {
    let caller = identify(entry, request.headers(), trace)?;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => complete(entry, caller, request, CompletionForm::Text).await,
        (&Method::POST, "/v1/chat/completions") => complete(entry, caller, request, CompletionForm::Chat).await,
        (&Method::GET, "/v1/models") => Ok(list_models(entry, &caller.customer)),
        (_, path) if path.starts_with("/v1/services/") => call_service(entry, caller, request).await,
        _ => Err(CallerRefusal::no_such_path()),
    }
}

fn list_models(entry: &Entry, customer: &acaciabay::core::name::CustomerName) -> Response<ResponseBody> {
    let config = entry.config();
    let routes = config.routes.rows().filter(|route| route.customer == *customer);
    let models = routes.filter_map(|route| match &route.target {
        RouteTarget::Model(model) => Some(json!({"id": model.as_str(), "object": "model", "owned_by": "acaciabay"})),
        RouteTarget::Service(_) => None,
    });
    json_response(
        StatusCode::OK,
        &json!({"object": "list", "data": models.collect::<Vec<_>>()}),
    )
}

/// Returns a label with few values, whatever callers ask for.
fn path_label(path: &str) -> &'static str {
    match path {
        "/v1/completions" => "completions",
        "/v1/chat/completions" => "chat_completions",
        "/v1/models" => "models",
        path if path.starts_with("/v1/services/") => "services",
        _ => "other",
    }
}
