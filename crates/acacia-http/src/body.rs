//! Bodies of requests and answers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::Value;

/// The body of an answer, whole or streamed. An error breaks the connection, so that a caller sees that the answer is
/// not whole.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a request body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It is larger than the limit.
    TooLarge,
    /// It took longer than the timeout.
    TimedOut,
    /// The connection broke.
    Broken,
}

/// Returns a body that is whole from the start.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an empty body.
pub fn empty_body() -> ResponseBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer whose body is JSON.
pub fn json_response(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    typed_response(status, "application/json", value.to_string())
}

/// Returns an answer whose body is plain text.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<ResponseBody> {
    typed_response(status, "text/plain; charset=utf-8", text.into())
}

fn typed_response(status: StatusCode, kind: &'static str, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Reads a whole body.
///
/// # Errors
///
/// Refuses a body that is larger than `limit` bytes as soon as that is known, and one that takes longer than `timeout`:
/// a client that sends a byte a second would otherwise hold memory for as long as it likes.
pub async fn read_body(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, BodyRefusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyRefusal::TooLarge);
    }
    match tokio::time::timeout(timeout, collect(body, limit)).await {
        Ok(result) => result,
        Err(_elapsed) => Err(BodyRefusal::TimedOut),
    }
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, BodyRefusal> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_source| BodyRefusal::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(BodyRefusal::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
