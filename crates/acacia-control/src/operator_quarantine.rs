//! Operators' requests about quarantined calls: `GET /v1/quarantine` lists the suspect calls, and
//! `DELETE /v1/quarantine/FINGERPRINT` lifts a quarantine, `DELETE /v1/quarantine/parts/PART` that of a part of prompts.

use acaciabay::core::serving::call_fingerprint::CallFingerprint;
use acaciabay::core::serving::prompt::PartId;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::operator_api::{OperatorRefusal, OperatorResult};
use crate::suspect_calls::SuspectRecorder;

/// Carries a request out. Returns `None` if its path is another one. `segments` are the parts of the path.
pub(crate) async fn operate_quarantine(
    recorder: &SuspectRecorder,
    method: &Method,
    segments: &[&str],
) -> Option<OperatorResult> {
    match (method, segments) {
        (&Method::GET, ["v1", "quarantine"]) => Some(recorder.list().await.map_err(OperatorRefusal::from)),
        (&Method::DELETE, ["v1", "quarantine", fingerprint]) => Some(lift(recorder, fingerprint).await),
        (&Method::DELETE, ["v1", "quarantine", "parts", part]) => Some(lift_part(recorder, part).await),
        _ => None,
    }
}

async fn lift(recorder: &SuspectRecorder, text: &str) -> OperatorResult {
    let fingerprint = CallFingerprint::from_hex(text).ok_or_else(|| {
        let message = format!("`{text}` is not a fingerprint of 32 hexadecimal digits");
        OperatorRefusal::new(StatusCode::BAD_REQUEST, "bad_fingerprint", message)
    })?;
    if recorder.lift(fingerprint).await? {
        Ok(json!({"lifted": text}))
    } else {
        let message = format!("no call with the fingerprint `{text}` is suspect");
        Err(OperatorRefusal::new(StatusCode::NOT_FOUND, "no_such_call", message))
    }
}

async fn lift_part(recorder: &SuspectRecorder, text: &str) -> OperatorResult {
    let part = u64::from_str_radix(text, 16).map_err(|_error| {
        let message = format!("`{text}` is not a part of up to 16 hexadecimal digits");
        OperatorRefusal::new(StatusCode::BAD_REQUEST, "bad_part", message)
    })?;
    if recorder.lift_part(PartId(part)).await? {
        Ok(json!({"lifted": text}))
    } else {
        let message = format!("no part `{text}` is suspect");
        Err(OperatorRefusal::new(StatusCode::NOT_FOUND, "no_such_part", message))
    }
}
