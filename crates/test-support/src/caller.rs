//! A caller with its key.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::{ClientOptions, ConnectionChoice, EndpointClient, FetchRequest, FetchedAnswer, fetch_json};
use acaciabay::core::clock::BootTime;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends requests to one entry with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The entry's caller address.
    pub entry: SocketAddr,
    /// The key.
    pub key: String,
}

/// What became of a streamed request.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// The status.
    pub status: u16,
    /// The text of all chunks together.
    pub text: String,
    /// The chunks.
    pub chunks: Vec<Value>,
    /// Whether the answer came to its end as the protocol asks.
    pub whole: bool,
}

impl Caller {
    /// Creates a caller.
    pub fn new(entry: SocketAddr, key: impl Into<String>) -> Self {
        Self { entry, key: key.into() }
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached or breaks the connection.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> anyhow::Result<FetchedAnswer> {
        let request = FetchRequest {
            token: Some(&self.key),
            headers,
            ..FetchRequest::post(path, body)
        };
        fetch_json(self.entry, request, ANSWER_TIMEOUT).await
    }

    /// Sends a request without a body.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached or breaks the connection.
    pub async fn get(&self, path: &str) -> anyhow::Result<FetchedAnswer> {
        let request = FetchRequest {
            token: Some(&self.key),
            ..FetchRequest::new(&Method::GET, path)
        };
        fetch_json(self.entry, request, ANSWER_TIMEOUT).await
    }

    /// Books a slot under an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached or breaks the connection.
    pub async fn book(&self, idempotency_key: &str, body: &Value) -> anyhow::Result<FetchedAnswer> {
        self.post(
            "/v1/services/booking/slots",
            &[("idempotency-key", idempotency_key)],
            body,
        )
        .await
    }

    /// Asks for a completion and collects its stream.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached.
    pub async fn stream(&self, prompt: &str, max_tokens: u64) -> anyhow::Result<StreamedAnswer> {
        let body = json!({
            "model": "liuto-7b",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
        });
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header("host", self.entry.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())))?;
        let client = EndpointClient::new(ClientOptions::default());
        let answer = client
            .send(BootTime::default(), self.entry, ConnectionChoice::Fresh, request)
            .await?;
        let status = answer.response.status();
        let (bytes, clean) = collect(answer.response.into_body()).await;
        let mut streamed = StreamedAnswer {
            status: status.as_u16(),
            ..StreamedAnswer::default()
        };
        if status != StatusCode::OK {
            streamed
                .chunks
                .push(serde_json::from_slice(&bytes).unwrap_or(Value::Null));
            return Ok(streamed);
        }
        take_chunks(&mut streamed, &bytes, clean);
        Ok(streamed)
    }
}

fn take_chunks(streamed: &mut StreamedAnswer, bytes: &[u8], clean: bool) {
    let text = String::from_utf8_lossy(bytes);
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        streamed
            .text
            .push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        streamed.chunks.push(chunk);
    }
    streamed.whole = done && clean;
}

async fn collect(mut body: Incoming) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| &data[..])),
            Err(_broken) => return (bytes, false),
        }
    }
    (bytes, true)
}
