//! One streamed request and what became of it.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::{ClientOptions, ConnectionChoice, EndpointClient};
use acaciabay::core::clock::BootTime;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

/// A request that is due.
#[derive(Clone, Debug)]
pub(crate) struct DueRequest {
    pub(crate) entry: SocketAddr,
    pub(crate) key: String,
    pub(crate) model: String,
    /// Names the request in the stand-ins' records.
    pub(crate) id: String,
    pub(crate) prompt: String,
    pub(crate) output_tokens: u64,
    pub(crate) deadline: Duration,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The whole, right answer came.
    Whole,
    /// An answer came that is not what was asked for.
    Wrong,
    /// The request was refused before any answer.
    Refused { code: String, not_run: bool },
    /// The answer broke off, or there was none.
    Broken,
}

/// A request with its times.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    pub(crate) outcome: RequestOutcome,
    pub(crate) total: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) between_tokens: Vec<Duration>,
}

/// Sends requests over connections that are kept.
#[derive(Debug)]
pub(crate) struct LoadClient {
    client: EndpointClient,
    started_at: Instant,
}

impl LoadClient {
    pub(crate) fn new() -> Self {
        let options = ClientOptions {
            idle_connections: 1_024,
            ..ClientOptions::default()
        };
        Self {
            client: EndpointClient::new(options),
            started_at: Instant::now(),
        }
    }

    pub(crate) async fn send(&self, due: &DueRequest) -> RequestResult {
        let sent_at = Instant::now();
        let mut stream = StreamTimes::starting_at(sent_at);
        // Callers give up somewhat after their deadline, so that an answer that is late is seen as late.
        let patience = due.deadline + Duration::from_secs(2);
        let outcome = tokio::time::timeout(patience, self.exchange(due, &mut stream)).await;
        RequestResult {
            outcome: outcome.unwrap_or(RequestOutcome::Broken),
            total: sent_at.elapsed(),
            first_token: stream.first_token,
            between_tokens: stream.between_tokens,
        }
    }

    fn now(&self) -> BootTime {
        BootTime::from_boot(self.started_at.elapsed())
    }

    async fn exchange(&self, due: &DueRequest, times: &mut StreamTimes) -> RequestOutcome {
        let Ok(request) = request_of(due) else {
            return RequestOutcome::Broken;
        };
        let sent = self
            .client
            .send(self.now(), due.entry, ConnectionChoice::Pooled, request)
            .await;
        let Ok(answer) = sent else {
            return RequestOutcome::Broken;
        };
        if answer.response.status() != StatusCode::OK {
            let bytes = answer
                .response
                .into_body()
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            self.client.give_back(self.now(), answer.connection).await;
            return refusal_of(&bytes.unwrap_or_default());
        }
        let outcome = read_stream(answer.response.into_body(), due, times).await;
        if outcome == RequestOutcome::Whole {
            self.client.give_back(self.now(), answer.connection).await;
        }
        outcome
    }
}

fn request_of(due: &DueRequest) -> hyper::http::Result<Request<Full<Bytes>>> {
    let body = json!({
        "model": due.model,
        "prompt": due.prompt,
        "max_tokens": due.output_tokens,
        "stream": true,
        "user": due.id,
    });
    Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header("host", due.entry.to_string())
        .header("authorization", format!("Bearer {}", due.key))
        .header("x-deadline-ms", due.deadline.as_millis().to_string())
        .body(Full::new(Bytes::from(body.to_string())))
}

fn refusal_of(body: &[u8]) -> RequestOutcome {
    let error: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    RequestOutcome::Refused {
        code: error["error"]["code"].as_str().unwrap_or("unknown").to_owned(),
        not_run: error["error"]["not_run"] == Value::Bool(true),
    }
}

#[derive(Debug)]
struct StreamTimes {
    last: Instant,
    first_token: Option<Duration>,
    between_tokens: Vec<Duration>,
}

impl StreamTimes {
    const fn starting_at(now: Instant) -> Self {
        Self {
            last: now,
            first_token: None,
            between_tokens: Vec::new(),
        }
    }

    fn token(&mut self) {
        let gap = self.last.elapsed();
        self.last = Instant::now();
        if self.first_token.is_none() {
            self.first_token = Some(gap);
        } else {
            self.between_tokens.push(gap);
        }
    }
}

async fn read_stream(mut body: Incoming, due: &DueRequest, times: &mut StreamTimes) -> RequestOutcome {
    let mut buffer = BytesMut::new();
    let mut text = String::new();
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return RequestOutcome::Broken;
        };
        buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| &data[..]));
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            done |= take_line(&line, &mut text, times);
        }
    }
    if !done {
        return RequestOutcome::Broken;
    }
    let expected = acacia_standin::naive_text(&due.prompt, due.output_tokens);
    if text == expected {
        RequestOutcome::Whole
    } else {
        RequestOutcome::Wrong
    }
}

/// Takes one line of the stream and tells whether it was the end mark.
fn take_line(line: &[u8], text: &mut String, times: &mut StreamTimes) -> bool {
    let Some(data) = line.strip_prefix(b"data: ") else {
        return false;
    };
    if data == b"[DONE]" {
        return true;
    }
    let chunk: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
    if let Some(token) = chunk["choices"][0]["text"].as_str().filter(|token| !token.is_empty()) {
        text.push_str(token);
        times.token();
    }
    false
}
