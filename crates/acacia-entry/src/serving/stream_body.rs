//! Response bodies that are streamed from an endpoint to the caller, with backpressure from the caller.

use std::sync::Arc;

use acacia_http::ResponseBody;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::answer_end::{AnswerEnd, BodyFraming};
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::event_stream::EventSplitter;
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::attempt::KeptConnection;
use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;
use super::shared::LoadGuard;
use super::stream_call::{OpenStream, StreamAttempts};

/// A large answer that is passed on as it arrives.
#[derive(Debug)]
pub(super) struct PlainStream {
    pub(super) call: Arc<AcceptedCall>,
    pub(super) chosen: ChosenEndpoint,
    /// Time at which the call was sent to the endpoint.
    pub(super) sent_at: BootTime,
    pub(super) framing: BodyFraming,
    pub(super) incoming: Incoming,
    /// Kept until the answer has ended, like the guard.
    pub(super) _connection: KeptConnection,
    pub(super) _guard: LoadGuard,
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
                count_end(stream.framing, AnswerEnd::InOrder);
                slog::info!(call.shared.log, "answer ended"; "event" => event::CALL_ENDED,
                    "request" => &call.head.request, "endpoint" => stream.chosen.name.as_str(),
                    "framing" => stream.framing.name(), "end" => AnswerEnd::InOrder.name());
                None
            }
            broken => {
                let end = if broken.is_ok() {
                    call.record_break(&stream.chosen, stream.sent_at);
                    AnswerEnd::Broken
                } else {
                    AnswerEnd::Silent
                };
                count_end(stream.framing, end);
                slog::info!(call.shared.log, "answer broke off"; "event" => event::ATTEMPT_FAILED,
                    "request" => &call.head.request, "endpoint" => stream.chosen.name.as_str(),
                    "framing" => stream.framing.name(), "end" => end.name());
                Some((Err(std::io::Error::other("endpoint broke off")), None))
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
    last_id: Option<u64>,
    events: usize,
}

/// Streams events as they arrive. If an engine breaks off, resumes the stream at another one.
pub(super) fn stream_events(attempts: StreamAttempts, stream: OpenStream) -> ResponseBody {
    let state = EventRelay {
        last_id: attempts.call.head.resume_after,
        attempts,
        stream: Some(stream),
        splitter: EventSplitter::default(),
        events: 0,
    };
    let frames = stream::unfold(Some(state), |state| async move {
        let mut state = state?;
        match state.next().await {
            RelayStep::Events(bytes) => Some((Ok(Frame::data(bytes)), Some(state))),
            RelayStep::End(bytes) => {
                state.finish().await;
                (!bytes.is_empty()).then(|| (Ok(Frame::data(bytes)), None))
            }
            RelayStep::Broken => Some((Err(std::io::Error::other("stream broke off")), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

#[derive(Debug)]
enum RelayStep {
    Events(Bytes),
    /// Bytes that were left without an event terminator when the answer ended.
    End(Bytes),
    Broken,
}

impl EventRelay {
    async fn next(&mut self) -> RelayStep {
        loop {
            let timeout = self.attempts.silence_timeout();
            let Some(stream) = &mut self.stream else {
                return RelayStep::Broken;
            };
            match tokio::time::timeout(timeout, stream.incoming.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = self.splitter.push(&data);
                    if events.bytes.is_empty() {
                        continue;
                    }
                    self.record_events(events.count, events.last_id);
                    return RelayStep::Events(events.bytes);
                }
                Ok(None) => return RelayStep::End(Bytes::copy_from_slice(self.splitter.partial_event())),
                Ok(Some(Err(error))) => {
                    self.attempts.call.record_break(&stream.chosen, stream.sent_at);
                    if !self.resume_elsewhere(AnswerEnd::Broken, &error.to_string()).await {
                        return RelayStep::Broken;
                    }
                }
                Err(_elapsed) => {
                    if !self.resume_elsewhere(AnswerEnd::Silent, "").await {
                        return RelayStep::Broken;
                    }
                }
            }
        }
    }

    fn record_events(&mut self, count: usize, last_id: Option<u64>) {
        let call = &self.attempts.call;
        if self.events == 0 {
            call.shared.count_start(call.customer());
            metrics::histogram!("acacia_first_event_seconds").record(boot_now().since(call.received_at).as_secs_f64());
        }
        self.events += count;
        self.last_id = last_id.or(self.last_id);
    }

    /// Resumes the stream at another engine after the last complete event. Returns true if that succeeded.
    async fn resume_elsewhere(&mut self, end: AnswerEnd, reason: &str) -> bool {
        // Closed before another engine is asked: an engine that is merely slow would otherwise keep working on the
        // call.
        let Some(OpenStream { chosen, framing, .. }) = self.stream.take() else {
            return false;
        };
        count_end(framing, end);
        let call = &self.attempts.call;
        call.shared.state().loads.record_failure(boot_now(), &chosen.name);
        let can_retry = self.attempts.acquire_retry();
        slog::info!(call.shared.log, "stream broke off"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "framing" => framing.name(),
            "end" => end.name(), "reason" => reason, "partial_bytes" => self.splitter.partial_event().len(),
            "events" => self.events, "last_id" => self.last_id, "goes_on" => can_retry);
        if !can_retry {
            return false;
        }
        let (request, log) = (call.head.request.clone(), call.shared.log.clone());
        match self.attempts.open(self.last_id).await {
            Ok(stream) if stream.status.is_success() => {
                slog::info!(log, "stream resumed"; "event" => event::STREAM_RESUMED, "request" => request,
                    "endpoint" => stream.chosen.name.as_str(), "after" => self.last_id);
                self.stream = Some(stream);
                self.splitter = EventSplitter::default();
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
            "end" => AnswerEnd::InOrder.name(), "partial_bytes" => self.splitter.partial_event().len(),
            "events" => self.events,
            "after_ms" => whole_millis(boot_now().since(call.received_at)));
        call.record_whole_answer();
        call.shared.state().loads.record_success(&stream.chosen.name);
        drop(stream.guard);
        stream.connection.return_to_pool(call).await;
    }
}
