//! Event streams from engines to callers, with backpressure from the caller.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ResponseBody, empty_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::answer_end::{AnswerEnd, AskedEvents, BodyEnd, StreamProgress};
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::event_stream::{EventSplitter, MAX_EVENT_BYTES, ResumePoint};
use acaciabay::core::serving::silence_watch::SilenceWatch;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::OwnedSemaphorePermit;

use super::answer_buffer::pass_on;
use super::call::refuse;
use super::endpoint_choice::ChosenEndpoint;
use super::handover::{Handover, KeptReason};
use super::plain_body::{MAX_BUFFERED_BYTES, READY_GRACE};
use super::plain_call::build_response;
use super::refusal::CallRefusal;
use super::stream_call::{EngineSearch, StreamAttempts};
use super::stream_opening::OpenStream;

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
    /// Bytes from the current engine since its last event, which may be comments without end.
    bytes_since_event: usize,
    /// What the current engine has written of this stream.
    watch: SilenceWatch,
    /// Why the call was last kept at a silent engine.
    kept: Option<KeptReason>,
    /// What the current engine was asked for.
    asked: AskedEvents,
    /// Held while an event is larger than [`MAX_BUFFERED_BYTES`].
    large_event: Option<OwnedSemaphorePermit>,
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
            let call = Arc::clone(&relay.attempts.call);
            pass_on(&call, first.chain(stream_events(relay)))
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

/// Counts what becomes of a stream that has broken off.
fn count_resume(may_resume: bool, can_go_on: bool, goes_on: bool) {
    let outcome = match (may_resume, can_go_on, goes_on) {
        (false, ..) => "not_resumable",
        (true, false, _) => "no_engine",
        (true, true, false) => "no_retry",
        (true, true, true) => "goes_on",
    };
    metrics::counter!("acacia_streams_broken_total", "outcome" => outcome).increment(1);
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
        let asked = match attempts.call.head.resume_after {
            Some(_) => AskedEvents::Rest,
            None => AskedEvents::All,
        };
        Self {
            attempts,
            stream: Some(stream),
            splitter: EventSplitter::new(),
            events: 0,
            engine_events: 0,
            bytes_since_event: 0,
            watch: SilenceWatch::new(boot_now()),
            kept: None,
            asked,
            large_event: None,
        }
    }

    /// Returns the head of the answer to the caller, and logs that the stream has begun.
    fn head(&self) -> Option<(StatusCode, HeaderMap)> {
        let stream = self.stream.as_ref()?;
        let call = &self.attempts.call;
        slog::info!(call.shared.log, "stream begun"; "event" => event::CALL_ENDED, "request" => &call.head.request,
            "route" => &call.route().name, "endpoint" => stream.source.chosen.name.as_str(),
            "version" => call.stream_version().label(), "status" => stream.source.status.as_u16(),
            "after_ms" => whole_millis(boot_now().since(call.received_at)));
        let mut headers = call.shared.codec.filter_answer_headers(&stream.headers);
        // If the stream is resumed at another engine, its total length differs.
        headers.remove(CONTENT_LENGTH);
        Some((stream.source.status, headers))
    }

    /// Refuses the call, of whose answer nothing has been sent.
    fn refuse(&self, end: AnswerEnd) -> Response<ResponseBody> {
        let call = &self.attempts.call;
        let refusal = match end {
            AnswerEnd::DeadlinePassed => CallRefusal::TimedOut,
            _ => CallRefusal::AnswerLost,
        };
        refuse(&call.shared, Some(&call.head), refusal, call.received_at)
    }

    /// Waits for the next events, and for another engine if one breaks off.
    async fn next(&mut self) -> RelayStep {
        loop {
            let (end, reason) = match self.next_frame().await {
                Ok(bytes) if bytes.is_empty() => continue,
                Ok(bytes) => return RelayStep::Events(bytes),
                Err((end, reason)) => (end, reason),
            };
            if end.is_whole() {
                return RelayStep::End;
            }
            if !self.resume_elsewhere(end, &reason).await {
                return RelayStep::Broken(end);
            }
        }
    }

    /// Waits for the next bytes of the current engine. Returns the events that they complete, or how the answer has ended,
    /// with the reason.
    async fn next_frame(&mut self) -> Result<Bytes, (AnswerEnd, String)> {
        if !self.has_room() {
            return Err((AnswerEnd::EventTooLarge, String::new()));
        }
        if self.bytes_since_event > MAX_EVENT_BYTES {
            return Err((AnswerEnd::Endless, String::new()));
        }
        if boot_now() >= self.attempts.call.deadline + READY_GRACE {
            return Err((self.end_of(BodyEnd::Overdue), String::new()));
        }
        let wait = self.time_to_search();
        let Some(stream) = &mut self.stream else {
            return Err((AnswerEnd::Broken, "no engine".to_owned()));
        };
        match tokio::time::timeout(wait, stream.incoming.frame()).await {
            Ok(frame) => self.take_frame(frame),
            Err(_elapsed) if boot_now() < self.attempts.call.deadline => self.seek_other_engine().await,
            Err(_elapsed) => Err((self.end_of(BodyEnd::Overdue), String::new())),
        }
    }

    /// Returns the time after which another engine is to be looked for while this one is silent, or that until the deadline of
    /// the call if no other could go on.
    fn time_to_search(&self) -> Duration {
        let attempts = &self.attempts;
        if self.resume_point() == ResumePoint::Unknown {
            return attempts.call.deadline.since(boot_now());
        }
        attempts.time_to_search(&self.watch, attempts.silence_patience())
    }

    /// Takes what has come from the current engine. Returns the events that it completes, or how the answer has ended.
    fn take_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Result<Bytes, (AnswerEnd, String)> {
        let (body, reason) = match frame {
            Some(Ok(_)) if !self.is_of_version() => (BodyEnd::Broken, "written at another version".to_owned()),
            Some(Ok(frame)) => {
                let data = frame.data_ref().map_or(&[] as &[u8], |data| data);
                let events = self.splitter.push(data);
                self.bytes_since_event = if events.count > 0 {
                    0
                } else {
                    self.bytes_since_event + data.len()
                };
                self.record_heard(boot_now());
                self.record_events(events.count);
                return Ok(events.bytes);
            }
            None => (BodyEnd::InOrder, String::new()),
            Some(Err(error)) => (BodyEnd::Broken, error.to_string()),
        };
        Err((self.end_of(body), reason))
    }

    /// Returns how the answer has ended, with its body.
    fn end_of(&self, body: BodyEnd) -> AnswerEnd {
        self.stream.as_ref().map_or(AnswerEnd::Broken, |stream| {
            AnswerEnd::of_stream(stream.source.framing, body, self.progress())
        })
    }

    /// Hands the stream over to another engine if there is one that does better, and listens to the current one until then.
    async fn seek_other_engine(&mut self) -> Result<Bytes, (AnswerEnd, String)> {
        // What has come may be of another version than was thought when it began.
        self.is_of_version();
        let now = boot_now();
        self.watch.record_search(now);
        let resume_point = self.resume_point();
        let Some(stream) = &mut self.stream else {
            return Err((AnswerEnd::Broken, "no engine".to_owned()));
        };
        let silent = (&stream.source.chosen, self.watch.silence(now));
        let frame = stream.incoming.frame();
        match self.attempts.hand_over(silent, frame, resume_point.event()).await {
            Handover::GoesOn(frame) => self.take_frame(frame),
            Handover::Kept(reason) => {
                self.kept = Some(reason);
                Ok(Bytes::new())
            }
            Handover::Answered(next) => {
                self.give_up_silent();
                self.go_on_with(*next, resume_point);
                Ok(Bytes::new())
            }
            Handover::Sent(opening) => {
                self.give_up_silent();
                let search = EngineSearch::default();
                let opened = self.attempts.finish_opening(opening, search, resume_point.event());
                let opened = opened.await;
                if self.go_on_if_opened(opened, resume_point) {
                    Ok(Bytes::new())
                } else {
                    Err((AnswerEnd::Silent, String::new()))
                }
            }
        }
    }

    /// Closes the stream of the current engine, which was silent when another one took the call over.
    fn give_up_silent(&mut self) {
        if let Some(stream) = self.stream.take() {
            stream.source.record_end(&self.attempts.call, AnswerEnd::Silent);
        }
    }

    /// Goes on with the stream of another engine after what has come.
    fn go_on_with(&mut self, stream: OpenStream, resume_point: ResumePoint) {
        let call = &self.attempts.call;
        slog::info!(call.shared.log, "stream resumed"; "event" => event::STREAM_RESUMED, "request" => &call.head.request,
            "endpoint" => stream.source.chosen.name.as_str(), "after" => ?resume_point,
            "version" => StreamVersion::begun_by(stream.source.chosen.endpoint.version.as_ref()).label());
        self.stream = Some(stream);
        self.asked = self.progress().asked_next(resume_point);
        self.splitter = self.splitter.continued();
        self.engine_events = 0;
        self.bytes_since_event = 0;
        self.kept = None;
        self.watch = SilenceWatch::new(boot_now());
    }

    /// Returns true if what the current engine writes may be passed on: it is of the version of the stream, or all of it is by
    /// this engine.
    ///
    /// The engine was chosen by what it had reported. If it has started again since, under its name and at another version, it
    /// resumes the stream all the same.
    fn is_of_version(&self) -> bool {
        let call = &self.attempts.call;
        let Some(stream) = &self.stream else { return true };
        let chosen = &stream.source.chosen;
        let expected = call.stream_version();
        // A stream of an unknown version goes on where it began.
        if !matches!(expected, StreamVersion::Only(_)) {
            return true;
        }
        if expected == self.written_version(chosen) {
            return true;
        }
        slog::warn!(call.shared.log, "endpoint has started again at another version"; "event" => event::VERSION_CHANGED,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "expected" => expected.label(),
            "birth" => chosen.endpoint.incarnation.0, "began_here" => self.has_begun_here());
        metrics::counter!("acacia_stream_versions_mismatched_total").increment(1);
        if self.has_begun_here() {
            // All that has come is of one process, but it is not certain which one.
            call.doubt_stream_version();
        }
        self.has_begun_here()
    }

    /// Returns true if the current engine has written all events that the caller has.
    fn has_begun_here(&self) -> bool {
        self.events == self.engine_events && !self.attempts.call.head.takes_up_stream()
    }

    /// Returns false if the event that is not complete takes more memory than there is for it.
    fn has_room(&mut self) -> bool {
        let pending = self.splitter.pending_bytes();
        if pending <= MAX_BUFFERED_BYTES {
            self.large_event = None;
            return true;
        }
        if self.large_event.is_none() {
            let permits = Arc::clone(&self.attempts.call.shared.large_events);
            self.large_event = permits.try_acquire_owned().ok();
        }
        pending <= MAX_EVENT_BYTES && self.large_event.is_some()
    }

    /// Returns what the current engine has sent.
    fn progress(&self) -> StreamProgress {
        StreamProgress {
            events: self.engine_events,
            is_inside_event: self.splitter.is_inside_event(),
            asked: self.asked,
        }
    }

    /// Records that the current engine has written something.
    fn record_heard(&mut self, now: BootTime) {
        self.watch = SilenceWatch::new(now);
        if let Some(stream) = &self.stream {
            stream.activity.record(now);
        }
    }

    fn record_events(&mut self, count: usize) {
        if self.events == 0 && count > 0 {
            self.record_first_event();
        }
        self.events += count;
        self.engine_events += count;
    }

    fn record_first_event(&self) {
        let call = &self.attempts.call;
        if let Some(stream) = &self.stream {
            let chosen = &stream.source.chosen;
            call.fix_stream_version(self.written_version(chosen));
            call.record_begun_stream(&chosen.name);
        }
        call.shared.count_start(call.customer());
        metrics::histogram!("acacia_first_event_seconds").record(boot_now().since(call.received_at).as_secs_f64());
    }

    /// Returns the version of what an engine writes, as far as it is certain.
    fn written_version(&self, chosen: &ChosenEndpoint) -> StreamVersion {
        let state = self.attempts.call.shared.state();
        state.registry.written_version(&chosen.name, &chosen.endpoint)
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
        // What has come may be of another version than was thought when it began.
        self.is_of_version();
        let Some(OpenStream { source, .. }) = self.stream.take() else {
            return false;
        };
        source.record_end(&self.attempts.call, end);
        let resume_point = self.resume_point();
        let may_resume = resume_point != ResumePoint::Unknown && end != AnswerEnd::EventTooLarge;
        // Without an engine that can go on, the retry would be taken in vain.
        let can_go_on = may_resume && self.attempts.can_go_on(&[]);
        let can_retry = can_go_on && self.attempts.acquire_retry().await;
        let call = &self.attempts.call;
        count_resume(may_resume, can_go_on, can_retry);
        slog::info!(call.shared.log, "stream broke off"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "endpoint" => source.chosen.name.as_str(), "framing" => source.framing.name(),
            "end" => end.name(), "reason" => reason, "partial_bytes" => self.splitter.pending_bytes(),
            "events" => self.events, "resume_point" => ?resume_point, "version" => call.stream_version().label(),
            "has_engine" => can_go_on, "goes_on" => can_retry,
            "silent_ms" => whole_millis(self.watch.silence(boot_now())), "kept" => self.kept.map(KeptReason::name),
            "others_silent_ms" => call.shared.others_silence(&call.service, &source.chosen.name).map(whole_millis));
        if !can_retry {
            return false;
        }
        let opened = self.attempts.open(resume_point.event()).await;
        self.go_on_if_opened(opened, resume_point)
    }

    /// Goes on with what another engine has answered. Returns false if that is no stream.
    fn go_on_if_opened(&mut self, opened: Result<OpenStream, CallRefusal>, resume_point: ResumePoint) -> bool {
        let reason = match opened {
            Ok(stream) if stream.has_events() => {
                self.go_on_with(stream, resume_point);
                return true;
            }
            Ok(stream) => format!(
                "{} answered {}",
                stream.source.chosen.name.as_str(),
                stream.source.status
            ),
            Err(refusal) => format!("{refusal:?}"),
        };
        let call = &self.attempts.call;
        slog::info!(call.shared.log, "stream not resumed"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "reason" => reason);
        false
    }

    async fn finish(self) {
        let Some(stream) = self.stream else { return };
        let call = &self.attempts.call;
        slog::info!(call.shared.log, "stream ended"; "event" => event::CALL_ENDED, "request" => &call.head.request,
            "endpoint" => stream.source.chosen.name.as_str(), "framing" => stream.source.framing.name(),
            "end" => AnswerEnd::InOrder.name(), "events" => self.events,
            "after_ms" => whole_millis(boot_now().since(call.received_at)));
        stream.source.record_end(call, AnswerEnd::InOrder);
        drop(stream.guard);
        stream.connection.return_to_pool(call).await;
    }
}
