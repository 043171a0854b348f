//! Bodies of HTTP requests and responses.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::Value;

/// Body of a response, either complete or streamed. An error closes the connection, so that the client detects that the
/// body is incomplete.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive within the timeout.
    TimedOut,
    /// The connection failed before the end of the body.
    Broken,
    /// Other bodies use the memory.
    NoRoom,
}

/// Returns a body with the given content.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an empty body.
pub fn empty_body() -> ResponseBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    typed_response(status, "application/json", value.to_string())
}

/// Returns a response with a plain-text body.
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

/// Reads a body to its end.
///
/// # Errors
///
/// Fails as soon as the body is known to be larger than `limit` bytes, or when it takes longer than `timeout`. Without
/// the timeout, a client that sends one byte per second could hold memory indefinitely.
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
