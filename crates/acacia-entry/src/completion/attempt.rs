//! Attempts of a completion: where each of them goes, and how it is sent.

use std::pin::pin;
use std::time::Duration;

use acacia_http::{ConnectionChoice, FinishedConnection, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::trace::{ActiveSpan, TRACEPARENT, TraceContext};
use acaciabay::core::attempt::AttemptState;
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint::{EndpointIncarnation, EndpointRow};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::serving::suspect_view::CallStanding;
use acaciabay::ops::place_request::{PlacementRequest, rest_end};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::error::Elapsed;

use super::{CompletionRun, FIRST_TOKEN_TIMEOUT, MOST_ATTEMPTS};
use crate::caller_request::place_by_policy;
use crate::endpoint_stream::EndpointStream;
use crate::refusal::CallerRefusal;
use crate::service_attempt::says_not_run;
use crate::shared::SendGuard;

/// Largest refusal of an endpoint that is read, in bytes.
const LARGEST_REFUSAL: usize = 64 * 1024;
/// Time for the body of a refusal to come after its head.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) endpoint: EndpointName,
    pub(super) row: EndpointRow,
    pub(super) sent_at: BootTime,
    pub(super) stream: EndpointStream,
    /// When the request was sent, or its last token came.
    pub(super) last_token_at: BootTime,
    pub(super) has_begun: bool,
    pub(super) connection: FinishedConnection,
    pub(super) was_again: bool,
    /// Whether another attempt was made while its engine was silent.
    pub(super) is_sought: bool,
    pub(super) guard: SendGuard,
    /// Lasts as long as the attempt.
    pub(super) _span: ActiveSpan,
}

/// Endpoint that has written the first token of an answer.
#[derive(Debug)]
pub(super) struct AnswerBeginner {
    pub(super) endpoint: EndpointName,
    pub(super) incarnation: EndpointIncarnation,
    pub(super) version: StreamVersion,
}

impl AnswerBeginner {
    /// Returns true if the endpoint may write the rest: it has the same software version, or is the same process.
    fn may_be_continued_by(&self, endpoint: &EndpointName, row: &EndpointRow) -> bool {
        let is_same_process = self.endpoint == *endpoint && self.incarnation == row.incarnation;
        is_same_process || self.version.admits(row.version.as_ref())
    }
}

/// Where the next attempt goes.
#[derive(Debug)]
struct AttemptPlace {
    endpoint: EndpointName,
    row: EndpointRow,
    choice: ConnectionChoice,
}

impl CompletionRun {
    pub(super) async fn open_attempt(&mut self, left: Duration) -> Result<OpenAttempt, CallerRefusal> {
        loop {
            self.count_attempt()?;
            let place = self.place()?;
            let guard = self.entry.begin_send(&place.endpoint, self.body.cost.pieces);
            let id = format!("{}-{}", self.caller.id, self.attempts);
            let mut span = self.entry.spans.start("attempt", self.caller.trace);
            span.set_attribute("endpoint", &place.endpoint);
            span.set_attribute("offset", &self.next_offset);
            let request = self.endpoint_request(&place, &id, span.context());
            let sent_at = boot_now();
            let sent = self
                .entry
                .client
                .send_if(sent_at, place.row.address, place.choice, request, || {
                    self.entry.may_write(boot_now(), &place.endpoint, &place.row)
                });
            let sent = self.wait_for_head(sent, left);
            let answer = match sent.await {
                Ok(Ok(answer)) => answer,
                Ok(Err(failure)) => {
                    if failure.state != AttemptState::Unsent {
                        self.record_break(&place.endpoint, &place.row, sent_at);
                    }
                    self.note_failed_send(place.endpoint, failure.state, &failure.to_string());
                    continue;
                }
                Err(_elapsed) => {
                    self.note_failed_send(place.endpoint, AttemptState::Written, "no answer in time");
                    continue;
                }
            };
            let asked = (&place.endpoint, &place.row);
            self.entry.record_rest_request(&self.caller.id, asked, &answer.response);
            if answer.response.status() != StatusCode::OK {
                self.note_refusal(place.endpoint, answer.response, left).await;
                continue;
            }
            self.maybe_run = true;
            if self.attempts > 1 && self.next_offset > 0 {
                slog::info!(self.entry.log, "stream resumed"; "event" => event::STREAM_RESUMED,
                    "endpoint" => place.endpoint.as_str(), "request" => &self.caller.id, "offset" => self.next_offset);
                metrics::counter!("acacia_streams_resumed_total").increment(1);
            }
            let was_again = place.choice == ConnectionChoice::Fresh;
            let stream = EndpointStream::new(answer.response.into_body(), &id);
            let connection = answer.connection;
            return Ok(OpenAttempt {
                endpoint: place.endpoint,
                row: place.row,
                sent_at,
                stream,
                last_token_at: sent_at,
                has_begun: false,
                connection,
                was_again,
                is_sought: false,
                guard,
                _span: span,
            });
        }
    }

    fn count_attempt(&mut self) -> Result<(), CallerRefusal> {
        let standing = self.entry.suspects.standing(&self.tracked());
        let refusal = CallerRefusal::of_standing(standing, self.trial.is_some());
        if let Some(refusal) = refusal.filter(|_| !self.maybe_run) {
            return Err(refusal);
        }
        let is_retry = self.attempts > 0;
        if is_retry && !(self.may_try_again() && self.entry.retries.lock().try_withdraw()) {
            return Err(CallerRefusal::endpoints_failed(self.verdict()));
        }
        self.attempts += 1;
        Ok(())
    }

    /// Returns true if another attempt may follow, as far as the request goes.
    fn may_try_again(&self) -> bool {
        self.attempts < MOST_ATTEMPTS && self.entry.suspects.standing(&self.tracked()) == CallStanding::Unsuspected
    }

    /// Waits for the head of an answer until the time is over, or, if another attempt can follow, until the engine has been
    /// silent for too long.
    async fn wait_for_head<T>(&self, sent: impl Future<Output = T>, left: Duration) -> Result<T, Elapsed> {
        let mut sent = pin!(sent);
        if let Ok(answer) = tokio::time::timeout(left.min(FIRST_TOKEN_TIMEOUT), &mut sent).await {
            return Ok(answer);
        }
        let is_replaceable = self.may_try_again() && self.entry.retries.lock().allows_retry();
        let rest = left.saturating_sub(FIRST_TOKEN_TIMEOUT);
        let rest = if is_replaceable { Duration::ZERO } else { rest };
        tokio::time::timeout(rest, sent).await
    }

    fn place(&mut self) -> Result<AttemptPlace, CallerRefusal> {
        let now = boot_now();
        let view = self.entry.endpoints.lock();
        if let Some(endpoint) = self.again.take() {
            let row = view.table.get(&endpoint).filter(|row| row.takes_work(now));
            let row = row.filter(|row| view.rests.may_write(now, (&endpoint, row.incarnation)));
            let may_continue = |row: &&EndpointRow| {
                let begun_by = self.begun_by.as_ref();
                begun_by.is_none_or(|begun_by| begun_by.may_be_continued_by(&endpoint, row))
            };
            if let Some(row) = row.filter(may_continue) {
                return Ok(AttemptPlace {
                    row: row.clone(),
                    endpoint,
                    choice: ConnectionChoice::Fresh,
                });
            }
            self.tried.push(endpoint);
        }
        let request = PlacementRequest {
            pool: &self.route.pool,
            target: &self.route.target,
            prefix: &self.body.prefix,
            pieces: self.body.cost.pieces,
            tried: &self.tried,
            version: self
                .begun_by
                .as_ref()
                .map_or(&StreamVersion::Any, |begun_by| &begun_by.version),
            rests: &view.rests,
        };
        match place_by_policy(&self.entry, now, &view, request) {
            Some((endpoint, row)) => Ok(AttemptPlace {
                endpoint: endpoint.clone(),
                row: row.clone(),
                choice: ConnectionChoice::Pooled,
            }),
            None if self.maybe_run => Err(CallerRefusal::endpoints_failed(self.verdict())),
            None => Err(CallerRefusal::no_endpoint(now, rest_end(now, &view.table, request))),
        }
    }

    fn endpoint_request(&self, place: &AttemptPlace, id: &str, trace: TraceContext) -> Request<Full<Bytes>> {
        let body = Full::new(self.body.endpoint_body(self.next_offset, &self.text));
        let mut request = Request::new(body);
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(self.body.endpoint_path());
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        for (name, text) in [
            (HOST.as_str(), place.row.address.to_string()),
            ("x-request-id", id.to_owned()),
            (TRACEPARENT, trace.to_string()),
        ] {
            if let (Ok(name), Ok(value)) = (hyper::header::HeaderName::try_from(name), HeaderValue::from_str(&text)) {
                headers.insert(name, value);
            }
        }
        request
    }

    fn note_failed_send(&mut self, endpoint: EndpointName, state: AttemptState, reason: &str) {
        slog::info!(self.entry.log, "attempt failed"; "event" => event::ATTEMPT_FAILED,
            "endpoint" => endpoint.as_str(), "request" => &self.caller.id, "reason" => reason);
        metrics::counter!("acacia_attempts_failed_total").increment(1);
        if state != AttemptState::Unsent {
            self.maybe_run = true;
        }
        self.tried.push(endpoint);
    }

    /// Takes an endpoint's refusal.
    async fn note_refusal(&mut self, endpoint: EndpointName, response: Response<Incoming>, left: Duration) {
        let status = response.status();
        let (state, reason) = match read_body(response.into_body(), LARGEST_REFUSAL, REFUSAL_TIMEOUT.min(left)).await {
            Ok(body) if says_not_run(&body) => (AttemptState::Unsent, format!("endpoint answered {status}")),
            Ok(_) => (AttemptState::Written, format!("endpoint answered {status}")),
            Err(refusal) => (
                AttemptState::Written,
                format!("endpoint answered {status}, not read: {refusal:?}"),
            ),
        };
        self.note_failed_send(endpoint, state, &reason);
    }
}
