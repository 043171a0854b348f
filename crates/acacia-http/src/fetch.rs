//! Client for single JSON requests to the interfaces of the daemons, each on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use serde_json::Value;

use crate::body::read_body;
use crate::client::{ClientOptions, ConnectionChoice, EndpointClient};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct FetchedAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, or null if it was empty or of another media type.
    pub body: Value,
}

/// A request with a JSON body.
#[derive(Clone, Copy, Debug)]
pub struct FetchRequest<'req> {
    /// Request method.
    pub method: &'req Method,
    /// Path and query.
    pub path: &'req str,
    /// Bearer token of the `Authorization` header.
    pub token: Option<&'req str>,
    /// Additional headers.
    pub headers: &'req [(&'req str, &'req str)],
    /// JSON body.
    pub body: Option<&'req Value>,
}

impl<'req> FetchRequest<'req> {
    /// Creates a request without a token, additional headers or a body.
    pub const fn new(method: &'req Method, path: &'req str) -> Self {
        Self {
            method,
            path,
            token: None,
            headers: &[],
            body: None,
        }
    }

    /// Creates a `POST` request with a body.
    pub const fn post(path: &'req str, body: &'req Value) -> Self {
        Self {
            body: Some(body),
            ..Self::new(&Method::POST, path)
        }
    }
}

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// Fails if the address cannot be reached, or if the response does not arrive within `timeout` or cannot be read.
pub async fn fetch_json(
    address: SocketAddr,
    request: FetchRequest<'_>,
    timeout: Duration,
) -> anyhow::Result<FetchedAnswer> {
    let mut head = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, address.to_string());
    if let Some(token) = request.token {
        head = head.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    for (name, value) in request.headers {
        head = head.header(*name, *value);
    }
    let bytes = request
        .body
        .map(|body| Bytes::from(body.to_string()))
        .unwrap_or_default();
    let request = head.header(CONTENT_TYPE, "application/json").body(Full::new(bytes))?;
    tokio::time::timeout(timeout, fetch(address, request, timeout))
        .await
        .with_context(|| format!("`{address}` did not answer within {timeout:?}"))?
        .with_context(|| format!("failed to reach `{address}`"))
}

async fn fetch(address: SocketAddr, request: Request<Full<Bytes>>, timeout: Duration) -> anyhow::Result<FetchedAnswer> {
    let client = EndpointClient::new(ClientOptions::default());
    let answer = client
        .send(BootTime::default(), address, ConnectionChoice::Fresh, request)
        .await?;
    let (parts, incoming) = answer.response.into_parts();
    let bytes = read_body(incoming, MAX_RESPONSE_BYTES, timeout)
        .await
        .map_err(|refusal| anyhow::anyhow!("answer could not be read: {refusal:?}"))?;
    Ok(FetchedAnswer {
        status: parts.status,
        body: read_json(&parts.headers, &bytes)?,
        headers: parts.headers,
    })
}

/// Reads a body, which is null if it is no JSON by its own account. One that should be and cannot be read may be cut.
fn read_json(headers: &HeaderMap, bytes: &[u8]) -> anyhow::Result<Value> {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let is_json = kind.is_some_and(|kind| kind.starts_with("application/json"));
    match serde_json::from_slice(bytes) {
        Ok(body) => Ok(body),
        Err(_source) if !is_json || bytes.is_empty() => Ok(Value::Null),
        Err(error) => Err(error).with_context(|| format!("answer of {} bytes is no whole JSON", bytes.len())),
    }
}
