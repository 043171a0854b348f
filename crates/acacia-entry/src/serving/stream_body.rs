//! Response bodies that are streamed from an endpoint to the caller, with backpressure from the caller.

use std::sync::Arc;

use acacia_http::{ResponseBody, empty_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::answer_end::{AnswerEnd, BodyEnd, BodyFraming, StreamProgress};
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::event_stream::{EventSplitter, ResumePoint};
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};

use super::attempt::KeptConnection;
use super::call::{AcceptedCall, refuse};
use super::endpoint_choice::ChosenEndpoint;
use super::plain_call::build_response;
use super::refusal::CallRefusal;
use super::shared::LoadGuard;
use super::stream_call::{OpenStream, StreamAttempts};

/// A large answer that is passed on as it arrives.
#[derive(Debug)]
pub(super) struct PlainStream {
    pub(super) call: Arc<AcceptedCall>,
    pub(super) chosen: ChosenEndpoint,
    pub(super) status: StatusCode,
    /// Time at which the call was sent to the endpoint.
    pub(super) sent_at: BootTime,
    pub(super) framing: BodyFraming,
    pub(super) incoming: Incoming,
    pub(super) connection: KeptConnection,
    pub(super) guard: LoadGuard,
}

impl PlainStream {
    /// Records how the answer ended. If it is whole, its connection is kept for other calls.
    async fn finish(self, end: AnswerEnd) {
        let call = &self.call;
        count_end(self.framing, end);
        if end.may_be_crash(self.framing) {
            call.record_break(&self.chosen, self.sent_at);
        }
        let number = if end.is_whole() {
            event::CALL_ENDED
        } else {
            event::ATTEMPT_FAILED
        };
        slog::info!(call.shared.log, "answer passed on"; "event" => number, "request" => &call.head.request,
            "endpoint" => self.chosen.name.as_str(), "framing" => self.framing.name(), "end" => end.name(),
            "after_ms" => whole_millis(boot_now().since(call.received_at)));
        record_outcome(call, &self.chosen, self.status, end);
        drop(self.guard);
        if end.is_whole() {
            self.connection.return_to_pool(call).await;
        }
    }
}

/// Records the outcome of an attempt that was answered, for later choices of endpoints and for the judgement of the call.
pub(super) fn record_outcome(call: &AcceptedCall, chosen: &ChosenEndpoint, status: StatusCode, end: AnswerEnd) {
    if end.is_whole() {
        call.record_whole_answer();
    }
    let mut state = call.shared.state();
    if end.is_whole() && !status.is_server_error() {
        state.loads.record_success(&chosen.name);
    } else {
        state.loads.record_failure(boot_now(), &chosen.name);
    }
}

/// Streams a large body as it arrives. If it breaks off, the caller's connection is broken too, so that the caller
/// cannot take the body for complete.
pub(super) fn stream_answer(stream: PlainStream) -> ResponseBody {
    let frames = stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        let call = Arc::clone(&stream.call);
        let left = call.deadline.since(boot_now());
        match tokio::time::timeout(left, stream.incoming.frame()).await {
            Ok(Some(Ok(frame))) => Some((Ok(frame), Some(stream))),
            Ok(None) => {
                stream.finish(AnswerEnd::InOrder).await;
                None
            }
            Ok(Some(Err(_))) => {
                stream.finish(AnswerEnd::Broken).await;
                Some((Err(std::io::Error::other("endpoint broke off")), None))
            }
            Err(_elapsed) => {
                stream.finish(AnswerEnd::Silent).await;
                Some((Err(std::io::Error::other("no end in time")), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Counts how an endpoint's answer was framed and how it ended.
pub(super) fn count_end(framing: BodyFraming, end: AnswerEnd) {
    metrics::counter!("acacia_answers_ended_total", "framing" => framing.name(), "end" => end.name()).increment(1);
}

/// State of an event stream to the caller.
#[derive(Debug)]
struct EventRelay {
    attempts: StreamAttempts,
    /// Stream of the current engine, or `None` while another engine is being chosen.
    stream: Option<OpenStream>,
    splitter: EventSplitter,
    events: usize,
    /// Number of events from the current engine.
    engine_events: usize,
    /// True if the current engine may have no event to send.
    may_be_empty: bool,
}

/// Answers a call with events as they arrive. If an engine breaks off, the stream is resumed at another one. The head is
/// sent with the first of them: until then, a call that cannot be answered is refused with a status.
pub(super) async fn answer_with_events(attempts: StreamAttempts, stream: OpenStream) -> Response<ResponseBody> {
    let mut relay = EventRelay::new(attempts, stream);
    let first = relay.next().await;
    if let RelayStep::Broken(end) = first {
        return relay.refuse(end);
    }
    let Some((status, headers)) = relay.head() else {
        return relay.refuse(AnswerEnd::Broken);
    };
    let body = match first {
        RelayStep::Events(bytes) => {
            let first = stream::once(async { Ok(Frame::data(bytes)) });
            StreamBody::new(first.chain(stream_events(relay))).boxed_unsync()
        }
        RelayStep::End | RelayStep::Broken(_) => {
            relay.finish().await;
            empty_body()
        }
    };
    build_response(status, headers, body)
}

/// Streams the events that have not been sent yet.
fn stream_events(relay: EventRelay) -> impl Stream<Item = std::io::Result<Frame<Bytes>>> {
    stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            RelayStep::Events(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
            RelayStep::End => {
                relay.finish().await;
                None
            }
            RelayStep::Broken(_) => Some((Err(std::io::Error::other("stream broke off")), None)),
        }
    })
}

#[derive(Debug)]
enum RelayStep {
    Events(Bytes),
    /// The answer is whole.
    End,
    /// The answer of the last engine ended like this, and no other one goes on.
    Broken(AnswerEnd),
}

impl EventRelay {
    fn new(attempts: StreamAttempts, stream: OpenStream) -> Self {
        Self {
            may_be_empty: attempts.call.head.resume_after.is_some(),
            attempts,
            stream: Some(stream),
            splitter: EventSplitter::new(),
            events: 0,
            engine_events: 0,
        }
    }

    /// Returns the head of the answer to the caller, and logs that the stream has begun.
    fn head(&self) -> Option<(StatusCode, HeaderMap)> {
        let stream = self.stream.as_ref()?;
        let call = &self.attempts.call;
        slog::info!(call.shared.log, "stream begun"; "event" => event::CALL_ENDED, "request" => &call.head.request,
            "route" => &call.route().name, "endpoint" => stream.chosen.name.as_str(),
            "status" => stream.status.as_u16(), "after_ms" => whole_millis(boot_now().since(call.received_at)));
        let mut headers = call.shared.codec.filter_answer_headers(&stream.headers);
        // If the stream is resumed at another engine, its total length differs.
        headers.remove(CONTENT_LENGTH);
        Some((stream.status, headers))
    }

    /// Refuses the call, of whose answer nothing has been sent.
    fn refuse(&self, end: AnswerEnd) -> Response<ResponseBody> {
        let call = &self.attempts.call;
        let refusal = match end {
            AnswerEnd::Silent => CallRefusal::TimedOut,
            _ => CallRefusal::AnswerLost,
        };
        refuse(&call.shared, Some(&call.head), refusal, call.received_at)
    }

    /// Waits for the next events, and for another engine if one breaks off.
    async fn next(&mut self) -> RelayStep {
        loop {
            let timeout = self.attempts.silence_timeout();
            let Some(stream) = &mut self.stream else {
                return RelayStep::Broken(AnswerEnd::Broken);
            };
            let (body, reason) = match tokio::time::timeout(timeout, stream.incoming.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = self.splitter.push(&data);
                    if events.bytes.is_empty() {
                        continue;
                    }
                    self.record_events(events.count);
                    return RelayStep::Events(events.bytes);
                }
                Ok(None) => (BodyEnd::InOrder, String::new()),
                Ok(Some(Err(error))) => (BodyEnd::Broken, error.to_string()),
                Err(_elapsed) => (BodyEnd::Silent, String::new()),
            };
            let end = AnswerEnd::of_stream(stream.framing, body, self.progress());
            if end.is_whole() {
                return RelayStep::End;
            }
            if !self.resume_elsewhere(end, &reason).await {
                return RelayStep::Broken(end);
            }
        }
    }

    /// Returns what the current engine has sent.
    fn progress(&self) -> StreamProgress {
        StreamProgress {
            events: self.engine_events,
            is_inside_event: self.splitter.is_inside_event(),
            may_be_empty: self.may_be_empty,
        }
    }

    fn record_events(&mut self, count: usize) {
        let call = &self.attempts.call;
        if self.events == 0 && count > 0 {
            call.shared.count_start(call.customer());
            metrics::histogram!("acacia_first_event_seconds").record(boot_now().since(call.received_at).as_secs_f64());
        }
        self.events += count;
        self.engine_events += count;
    }

    /// Returns the place after which another engine would have to go on.
    fn resume_point(&self) -> ResumePoint {
        match (self.splitter.resume_point(), self.attempts.call.head.resume_after) {
            (ResumePoint::Start, Some(event)) => ResumePoint::After(event),
            (point, _) => point,
        }
    }

    /// Resumes the stream at another engine after the last complete event. Returns true if that succeeded.
    async fn resume_elsewhere(&mut self, end: AnswerEnd, reason: &str) -> bool {
        // Closed before another engine is asked: an engine that is merely slow would otherwise keep working on the
        // call.
        let Some(OpenStream {
            chosen,
            sent_at,
            framing,
            ..
        }) = self.stream.take()
        else {
            return false;
        };
        count_end(framing, end);
        let call = &self.attempts.call;
        if end.may_be_crash(framing) {
            call.record_break(&chosen, sent_at);
        }
        call.shared.state().loads.record_failure(boot_now(), &chosen.name);
        let resume_point = self.resume_point();
        let can_retry = resume_point != ResumePoint::Unknown && self.attempts.acquire_retry();
        slog::info!(call.shared.log, "stream broke off"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "framing" => framing.name(),
            "end" => end.name(), "reason" => reason, "partial_bytes" => self.splitter.pending_bytes(),
            "events" => self.events, "resume_point" => ?resume_point, "goes_on" => can_retry);
        if !can_retry {
            return false;
        }
        let (request, log) = (call.head.request.clone(), call.shared.log.clone());
        match self.attempts.open(resume_point.event()).await {
            Ok(stream) if stream.has_events() => {
                slog::info!(log, "stream resumed"; "event" => event::STREAM_RESUMED, "request" => request,
                    "endpoint" => stream.chosen.name.as_str(), "after" => ?resume_point);
                self.stream = Some(stream);
                self.may_be_empty = resume_point.event().is_some() && !self.splitter.is_inside_event();
                self.splitter = self.splitter.continued();
                self.engine_events = 0;
                true
            }
            Ok(stream) => {
                slog::info!(log, "stream not resumed"; "event" => event::ATTEMPT_FAILED, "request" => request,
                    "endpoint" => stream.chosen.name.as_str(), "status" => stream.status.as_u16());
                false
            }
            Err(refusal) => {
                slog::info!(log, "stream not resumed"; "event" => event::ATTEMPT_FAILED, "request" => request,
                    "refusal" => ?refusal);
                false
            }
        }
    }

    async fn finish(self) {
        let Some(stream) = self.stream else { return };
        let call = &self.attempts.call;
        count_end(stream.framing, AnswerEnd::InOrder);
        slog::info!(call.shared.log, "stream ended"; "event" => event::CALL_ENDED, "request" => &call.head.request,
            "endpoint" => stream.chosen.name.as_str(), "framing" => stream.framing.name(),
            "end" => AnswerEnd::InOrder.name(), "events" => self.events,
            "after_ms" => whole_millis(boot_now().since(call.received_at)));
        call.record_whole_answer();
        call.shared.state().loads.record_success(&stream.chosen.name);
        drop(stream.guard);
        stream.connection.return_to_pool(call).await;
    }
}
