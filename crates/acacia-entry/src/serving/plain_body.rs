//! Answers of endpoints that are no event streams: read whole, or streamed with backpressure from the caller.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::ResponseBody;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::answer_end::AnswerEnd;
use acaciabay::util::number::whole_millis;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use super::answer_buffer::pass_on;
use super::answer_source::AnswerSource;
use super::attempt::KeptConnection;
use super::call::AcceptedCall;
use super::shared::LoadGuard;

/// Answers up to this size are read whole before they are passed on: a call that may be repeated can then be sent again
/// when its answer breaks off. Also bounds the memory that the answer of one call takes.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Time after the deadline of a call for which what an endpoint has already sent is still passed on. An endpoint that sends without
/// end always has something ready.
pub(super) const READY_GRACE: Duration = Duration::from_millis(200);

/// Beginning of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BodyStart {
    /// The body has ended.
    Whole(Bytes),
    /// More than [`MAX_BUFFERED_BYTES`] have come, and more may follow.
    Long(Bytes),
    /// The body broke off.
    Broken,
}

/// Reads a body to its end, or until it is too large to be held.
pub(super) async fn read_start(incoming: &mut Incoming) -> BodyStart {
    let mut start = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return BodyStart::Broken;
        };
        start.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if start.len() > MAX_BUFFERED_BYTES {
            return BodyStart::Long(start.freeze());
        }
    }
    BodyStart::Whole(start.freeze())
}

/// A large answer that is passed on as it arrives.
#[derive(Debug)]
pub(super) struct PlainStream {
    pub(super) call: Arc<AcceptedCall>,
    pub(super) source: AnswerSource,
    /// Bytes of the body that have been read already.
    pub(super) start: Bytes,
    pub(super) incoming: Incoming,
    pub(super) connection: KeptConnection,
    pub(super) guard: LoadGuard,
}

impl PlainStream {
    /// Records how the answer ended. If it is whole, its connection is kept for other calls.
    async fn finish(self, end: AnswerEnd) {
        let call = &self.call;
        let number = if end.is_whole() {
            event::CALL_ENDED
        } else {
            event::ATTEMPT_FAILED
        };
        slog::info!(call.shared.log, "answer passed on"; "event" => number, "request" => &call.head.request,
            "endpoint" => self.source.chosen.name.as_str(), "framing" => self.source.framing.name(), "end" => end.name(),
            "after_ms" => whole_millis(boot_now().since(call.received_at)));
        self.source.record_end(call, end);
        drop(self.guard);
        if end.is_whole() {
            self.connection.return_to_pool(call).await;
        }
    }
}

/// Streams a large body as it arrives. If it breaks off, the caller's connection is broken too, so that the caller
/// cannot take the body for complete.
pub(super) fn stream_answer(mut stream: PlainStream) -> ResponseBody {
    let call = Arc::clone(&stream.call);
    let start = std::mem::take(&mut stream.start);
    let start = stream::iter((!start.is_empty()).then(|| Ok(Frame::data(start))));
    let frames = stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        let call = Arc::clone(&stream.call);
        let left = call.deadline.since(boot_now());
        match tokio::time::timeout(left, stream.incoming.frame()).await {
            Ok(Some(Ok(_frame))) if boot_now() >= call.deadline + READY_GRACE => {
                stream.finish(AnswerEnd::DeadlinePassed).await;
                Some((Err(std::io::Error::other("no end in time")), None))
            }
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
                stream.finish(AnswerEnd::DeadlinePassed).await;
                Some((Err(std::io::Error::other("no end in time")), None))
            }
        }
    });
    pass_on(&call, start.chain(frames))
}
