//! Reads answers ahead of callers that read slowly, so that their endpoints do not abort them.
//!
//! While a caller keeps up, its connection reads from the endpoint itself: an event costs no other task. A scan of all answers
//! finds the callers that have not asked for more since the last one, and a task then reads for each of them into a buffer
//! until the caller has taken everything. [`AnswerRoom`] decides how much is buffered.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use acacia_http::ResponseBody;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::answer_room::{AnswerNumber, AnswerRoom};
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use parking_lot::Mutex;
use slog::Logger;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use super::call::AcceptedCall;

/// Interval at which callers that read slowly are looked for. Endpoints abort an answer that was not read for some seconds.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which refused bodies are logged.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest piece of memory that is taken for an answer. Small events share one.
const CHUNK_BYTES: usize = 4 * 1024;

type AnswerFrame = std::io::Result<Frame<Bytes>>;
type AnswerFrames = Pin<Box<dyn Stream<Item = AnswerFrame> + Send>>;

/// Answers that are being passed on, and the memory for what is buffered of them and for request bodies.
#[derive(Debug)]
pub(super) struct AnswerBuffers {
    room: Mutex<AnswerRoom>,
    answers: Mutex<BTreeMap<AnswerNumber, Arc<BufferedAnswer>>>,
    /// Number of bodies refused since that was logged.
    refused_bodies: AtomicU64,
    log: Logger,
}

/// Why an answer is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    /// Other answers or bodies need the memory.
    Limit,
    /// The deadline of the call has passed.
    Deadline,
}

impl DropReason {
    const fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Deadline => "deadline",
        }
    }
}

/// An answer that is being passed on.
#[derive(Debug)]
struct BufferedAnswer {
    number: AnswerNumber,
    request: String,
    buffers: Arc<AnswerBuffers>,
    state: Mutex<AnswerState>,
}

/// Piece of the memory for an answer. Never grows beyond its capacity.
#[derive(Debug)]
struct AnswerChunk {
    bytes: Vec<u8>,
    /// Bytes that are counted for it.
    counted: usize,
}

/// What is known of an answer, in the order in which the caller gets it: the chunks, the held frame, the rest of the source, and
/// the error.
struct AnswerState {
    chunks: VecDeque<AnswerChunk>,
    /// Frame that has been read and that was not admitted yet. Nothing more is read before it is passed on.
    held: Option<Frame<Bytes>>,
    /// Frames that have not been read, or `None` once they have ended.
    source: Option<AnswerFrames>,
    error: Option<std::io::Error>,
    /// Task that reads from the source in place of the caller's connection.
    reader: Option<AbortHandle>,
    /// True if the caller's connection has everything that has come and waits for more.
    is_waiting: bool,
    /// True if it has waited since the last scan.
    has_waited: bool,
    /// True if it has taken something since the last scan.
    has_taken: bool,
    read_at: BootTime,
}

impl fmt::Debug for AnswerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerState")
            .field("chunks", &self.chunks.len())
            .field("has_source", &self.source.is_some())
            .field("is_waiting", &self.is_waiting)
            .finish_non_exhaustive()
    }
}

/// Returns the body of the response to a caller. The answer is read ahead of the caller if the entry has memory for that.
pub(super) fn pass_on(call: &AcceptedCall, frames: impl Stream<Item = AnswerFrame> + Send + 'static) -> ResponseBody {
    match &call.shared.answer_buffers {
        Some(buffers) => buffers.open(call, Box::pin(frames)).boxed_unsync(),
        None => StreamBody::new(frames).boxed_unsync(),
    }
}

impl AnswerBuffers {
    pub(super) fn new(budget: usize, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            room: Mutex::new(AnswerRoom::new(budget)),
            answers: Mutex::default(),
            refused_bodies: AtomicU64::new(0),
            log,
        })
    }

    fn open(self: &Arc<Self>, call: &AcceptedCall, source: AnswerFrames) -> AnswerBody {
        let now = boot_now();
        let number = self.room.lock().open(now, call.deadline);
        let answer = Arc::new(BufferedAnswer {
            number,
            request: call.head.request.clone(),
            buffers: Arc::clone(self),
            state: Mutex::new(AnswerState {
                chunks: VecDeque::new(),
                held: None,
                source: Some(source),
                error: None,
                reader: None,
                is_waiting: false,
                has_waited: true,
                has_taken: false,
                read_at: now,
            }),
        });
        self.answers.lock().insert(number, Arc::clone(&answer));
        AnswerBody(answer)
    }

    /// Looks for callers that read slowly until `stop` is cancelled.
    pub(super) async fn scan_until(self: Arc<Self>, stop: CancellationToken) {
        let mut logged_at = boot_now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(SCAN_INTERVAL) => {}
            }
            let now = boot_now();
            self.scan(now);
            if now.since(logged_at) >= REFUSAL_LOG_INTERVAL {
                logged_at = now;
                self.log_refusals();
            }
        }
    }

    fn scan(&self, now: BootTime) {
        let answers: Vec<_> = self.answers.lock().values().map(Arc::clone).collect();
        for answer in answers {
            answer.check(now);
        }
        let overdue = self.room.lock().take_overdue(now);
        self.drop_answers(now, &overdue, DropReason::Deadline);
        let held = self.room.lock().current_use();
        metrics::gauge!("acacia_answer_buffer_bytes").set(held.answer_bytes as f64);
        metrics::gauge!("acacia_answers_buffered").set(held.answers as f64);
        metrics::gauge!("acacia_request_body_bytes").set(held.body_bytes as f64);
    }

    fn log_refusals(&self) {
        let refused = self.refused_bodies.swap(0, Ordering::Relaxed);
        if refused == 0 {
            return;
        }
        let held = self.room.lock().current_use();
        slog::warn!(self.log, "calls refused for want of memory"; "event" => event::BODY_ROOM_FULL,
            "refused" => refused, "body_bytes" => held.body_bytes, "answer_bytes" => held.answer_bytes,
            "answers" => held.answers);
    }

    /// Drops what is held of answers that the account has removed. Their callers find them broken off.
    fn drop_answers(&self, now: BootTime, numbers: &[AnswerNumber], reason: DropReason) {
        for number in numbers {
            let answer = self.answers.lock().get(number).map(Arc::clone);
            if let Some(answer) = answer {
                answer.drop_unread(now, reason);
            }
        }
    }

    /// Returns the share of a request body that is about to be read.
    pub(super) fn begin_body(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            buffers: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Counts so many more bytes of a body, if there is room for them.
    fn admit_body(&self, bytes: usize) -> bool {
        let now = boot_now();
        let decision = self.room.lock().admit_body(now, bytes);
        self.drop_answers(now, &decision.dropped, DropReason::Limit);
        if !decision.is_admitted {
            self.refused_bodies.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("acacia_bodies_refused_total").increment(1);
        }
        decision.is_admitted
    }
}

impl BufferedAnswer {
    /// Lets a task read from the endpoint if the caller has not asked for more since the last check.
    fn check(self: &Arc<Self>, now: BootTime) {
        let mut state = self.state.lock();
        let keeps_up = state.is_waiting || state.has_waited;
        if keeps_up || state.has_taken {
            state.read_at = now;
            self.buffers.room.lock().record_read(now, self.number);
        }
        state.has_waited = state.is_waiting;
        state.has_taken = false;
        if keeps_up || state.reader.is_some() || state.source.is_none() {
            return;
        }
        let dropped = self.admit_held(&mut state, now);
        if state.held.is_none() {
            let reader = tokio::spawn(Arc::clone(self).read_ahead());
            state.reader = Some(reader.abort_handle());
        }
        drop(state);
        self.buffers.drop_answers(now, &dropped, DropReason::Limit);
    }

    /// Reads from the endpoint until the answer has ended, there is no room, or the caller has taken everything.
    async fn read_ahead(self: Arc<Self>) {
        poll_fn(|context| self.poll_ahead(context)).await;
    }

    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut state = self.state.lock();
            // The caller's connection may have taken over while this task was about to run.
            if state.reader.as_ref().map(AbortHandle::id) != tokio::task::try_id() {
                return Poll::Ready(());
            }
            let Some(source) = &mut state.source else {
                return Poll::Ready(());
            };
            let next = ready!(source.as_mut().poll_next(context));
            let now = boot_now();
            let mut dropped = Vec::new();
            let ended = match next {
                Some(Ok(frame)) => {
                    state.held = Some(frame);
                    dropped = self.admit_held(&mut state, now);
                    None
                }
                Some(Err(error)) => {
                    state.error = Some(error);
                    state.source.take()
                }
                None => {
                    self.buffers.room.lock().record_ended(self.number);
                    state.source.take()
                }
            };
            let goes_on = ended.is_none() && state.held.is_none();
            if !goes_on {
                state.reader = None;
            }
            drop(state);
            drop(ended);
            self.buffers.drop_answers(now, &dropped, DropReason::Limit);
            if !goes_on {
                return Poll::Ready(());
            }
        }
    }

    /// Moves the held frame into the buffer if there is room for it. Returns the answers that are to be dropped for it.
    fn admit_held(&self, state: &mut AnswerState, now: BootTime) -> Vec<AnswerNumber> {
        let Some(data) = state.held.as_ref().and_then(Frame::data_ref).cloned() else {
            return Vec::new();
        };
        let growth = state.growth(data.len());
        let decision = self.buffers.room.lock().admit_answer(now, self.number, growth);
        if decision.is_admitted {
            state.held = None;
            state.push(&data, growth);
        }
        decision.dropped
    }

    /// Drops what is held of the answer and closes the connection to its endpoint. The caller finds the answer broken off.
    fn drop_unread(&self, now: BootTime, reason: DropReason) {
        let mut state = self.state.lock();
        let bytes: usize = state.chunks.iter().map(|chunk| chunk.bytes.len()).sum();
        let has_ended = state.source.is_none();
        let unread = now.since(state.read_at);
        state.error = Some(std::io::Error::other("answer was not read"));
        let removed = state.clear();
        drop(state);
        drop(removed);
        slog::warn!(self.buffers.log, "unread answer dropped"; "event" => event::ANSWER_DROPPED,
            "request" => &self.request, "reason" => reason.name(), "bytes" => bytes,
            "unread_ms" => whole_millis(unread), "has_ended" => has_ended);
        metrics::counter!("acacia_answers_dropped_total", "reason" => reason.name()).increment(1);
    }
}

impl AnswerState {
    /// Returns how many more bytes are counted if so many bytes are buffered.
    fn growth(&self, bytes: usize) -> usize {
        match bytes.saturating_sub(self.spare()) {
            0 => 0,
            rest => rest.max(CHUNK_BYTES),
        }
    }

    /// Returns the free bytes of the last chunk.
    fn spare(&self) -> usize {
        self.chunks.back().map_or(0, |chunk| chunk.counted - chunk.bytes.len())
    }

    /// Appends bytes to the buffer. The frames of an endpoint are copied: each may keep a large read buffer alive.
    fn push(&mut self, data: &[u8], growth: usize) {
        let (fitting, rest) = data.split_at(self.spare().min(data.len()));
        if let Some(last) = self.chunks.back_mut() {
            last.bytes.extend_from_slice(fitting);
        }
        if !rest.is_empty() {
            let mut bytes = Vec::with_capacity(growth);
            bytes.extend_from_slice(rest);
            self.chunks.push_back(AnswerChunk { bytes, counted: growth });
        }
    }

    /// Removes everything that is held but the error, and stops the task.
    fn clear(&mut self) -> (Option<AnswerFrames>, VecDeque<AnswerChunk>) {
        self.stop_reader();
        self.held = None;
        (self.source.take(), std::mem::take(&mut self.chunks))
    }

    fn stop_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.abort();
        }
    }
}

/// Body of the response to a caller.
#[derive(Debug)]
struct AnswerBody(Arc<BufferedAnswer>);

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<AnswerFrame>> {
        let answer = &self.0;
        let mut state = answer.state.lock();
        state.is_waiting = false;
        state.has_taken = true;
        if let Some(chunk) = state.chunks.pop_front() {
            answer.buffers.room.lock().release_answer(answer.number, chunk.counted);
            return Poll::Ready(Some(Ok(Frame::data(chunk.bytes.into()))));
        }
        if let Some(frame) = state.held.take() {
            return Poll::Ready(Some(Ok(frame)));
        }
        state.stop_reader();
        let Some(source) = &mut state.source else {
            return Poll::Ready(state.error.take().map(Err));
        };
        let polled = source.as_mut().poll_next(context);
        let ended = match &polled {
            Poll::Pending => {
                state.is_waiting = true;
                state.has_waited = true;
                None
            }
            Poll::Ready(Some(Ok(_))) => None,
            Poll::Ready(Some(Err(_)) | None) => state.source.take(),
        };
        drop(state);
        drop(ended);
        polled
    }
}

/// The caller has the whole answer or has left: the connection to the endpoint is closed unless it was returned.
impl Drop for AnswerBody {
    fn drop(&mut self) {
        let answer = &self.0;
        let removed = answer.state.lock().clear();
        drop(removed);
        answer.buffers.answers.lock().remove(&answer.number);
        answer.buffers.room.lock().close(answer.number);
    }
}

/// Memory that is counted for a request body until it is dropped.
#[derive(Debug)]
pub(super) struct BodyShare {
    buffers: Arc<AnswerBuffers>,
    bytes: usize,
}

impl BodyShare {
    /// Counts so many more bytes. Returns false if there is no room for them.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let is_admitted = self.buffers.admit_body(bytes);
        if is_admitted {
            self.bytes += bytes;
        }
        is_admitted
    }

    /// Returns the body with its share, which is released with the last copy of the body.
    pub(super) fn hold(self, body: Bytes) -> Bytes {
        if self.bytes == 0 {
            return body;
        }
        Bytes::from_owner(SharedBody { body, _share: self })
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.buffers.room.lock().release_body(self.bytes);
    }
}

struct SharedBody {
    body: Bytes,
    _share: BodyShare,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
