//! Operators' interface to the quarantined calls: `GET /v1/quarantine` lists the suspect calls, and
//! `DELETE /v1/quarantine/FINGERPRINT` lifts a quarantine. Only the leader answers.

use acacia_http::{ResponseBody, json_response};
use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::call_fingerprint::CallFingerprint;
use acaciabay::core::serving::suspect_table::SuspectCall;
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};

use super::shared::ControlShared;
use super::suspect_calls::commit_lift;

/// Path of the list, and of the calls below it.
const QUARANTINE_PATH: &str = "/v1/quarantine";

/// Answers a request to one of the paths, or returns `None` if the path is another one.
pub(super) async fn answer(shared: &ControlShared, method: &Method, path: &str) -> Option<Response<ResponseBody>> {
    let rest = path.strip_prefix(QUARANTINE_PATH)?;
    if shared.group.confirm_leadership().await.is_err() {
        return Some(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_leading",
            "this replica does not lead",
        ));
    }
    Some(match (method, rest.strip_prefix('/')) {
        (&Method::GET, None) if rest.is_empty() => list(shared),
        (&Method::DELETE, Some(fingerprint)) => lift(shared, fingerprint).await,
        _ => refusal(StatusCode::NOT_FOUND, "not_found", "no such operation"),
    })
}

fn refusal(status: StatusCode, code: &str, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"error": {"code": code, "message": message}}))
}

fn list(shared: &ControlShared) -> Response<ResponseBody> {
    let state = shared.group.read();
    let calls: Vec<Value> = state.serving.suspects.calls().map(call_json).collect();
    json_response(StatusCode::OK, &json!({"calls": calls}))
}

fn call_json(call: &SuspectCall) -> Value {
    let endings = call.endings.iter().map(|ending| {
        json!({
            "endpoint": ending.endpoint.as_str(),
            "birth": ending.incarnation.0,
            "sent_ms": ending.sent_ms,
            "ended_ms": ending.ended_ms,
        })
    });
    json!({
        "fingerprint": call.identity.fingerprint.to_string(),
        "route": call.identity.route,
        "customer": call.identity.customer.as_ref().map(CustomerName::as_str),
        "body_bytes": call.identity.body_bytes,
        "quarantined_ms": call.quarantined_ms,
        "endings": endings.collect::<Vec<_>>(),
    })
}

async fn lift(shared: &ControlShared, text: &str) -> Response<ResponseBody> {
    let Some(fingerprint) = CallFingerprint::from_hex(text) else {
        let message = format!("`{text}` is not a fingerprint of 32 hexadecimal digits");
        return refusal(StatusCode::BAD_REQUEST, "bad_fingerprint", &message);
    };
    if shared.group.read().serving.suspects.get(&fingerprint).is_none() {
        return refusal(StatusCode::NOT_FOUND, "not_found", "no such call is suspect");
    }
    if commit_lift(shared, fingerprint).await {
        json_response(StatusCode::OK, &json!({"lifted": text}))
    } else {
        refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_leading",
            "this replica no longer leads; the outcome is open",
        )
    }
}
