//! Streams a completion to its caller, chunk by chunk, at the caller's own speed.

use std::time::Duration;

use acacia_http::ResponseBody;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde_json::Value;
use tokio::sync::mpsc;

use crate::completion::{CompletionRun, RunPiece};
use crate::refusal::CallerRefusal;

/// How long after the error event the connection is broken. A body that fails at once takes the event with it, because
/// the server drops what it has not flushed.
const BREAK_DELAY: Duration = Duration::from_millis(50);
/// How many chunks may wait for a slow caller. The engine is slowed down beyond it, so memory stays bounded.
const WAITING_CHUNKS: usize = 32;

type ChunkSender = mpsc::Sender<std::io::Result<Bytes>>;

/// Starts to stream an answer whose first piece is there.
pub(crate) fn stream_answer(run: CompletionRun, first: RunPiece) -> Response<ResponseBody> {
    let (sender, mut receiver) = mpsc::channel::<std::io::Result<Bytes>>(WAITING_CHUNKS);
    tokio::spawn(run_stream(run, first, sender));
    let chunks = stream::poll_fn(move |context| receiver.poll_recv(context));
    let frames = futures::StreamExt::map(chunks, |chunk| chunk.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Why the stream to the caller ended before the answer was whole.
#[derive(Debug)]
enum StreamEnd {
    CallerGone,
    Failed(CallerRefusal),
}

async fn run_stream(mut run: CompletionRun, first: RunPiece, sender: ChunkSender) {
    match send_pieces(&mut run, first, &sender).await {
        Ok(()) => {}
        Err(StreamEnd::CallerGone) => run.bill_partial().await,
        Err(StreamEnd::Failed(refusal)) => {
            run.bill_partial().await;
            // The caller is told why, and the broken connection tells it that the answer is not whole.
            let _gone = send(&sender, &refusal.to_json()).await;
            tokio::time::sleep(BREAK_DELAY).await;
            let _gone = sender.send(Err(std::io::Error::other(refusal.message))).await;
        }
    }
}

async fn send_pieces(run: &mut CompletionRun, first: RunPiece, sender: &ChunkSender) -> Result<(), StreamEnd> {
    let id = run.caller_id();
    let mut piece = first;
    loop {
        match &piece {
            RunPiece::Token(token) => {
                let chunk = run.body.chunk(&id, &token.text, token.finish.as_deref());
                send(sender, &chunk).await?;
            }
            RunPiece::Finished(usage) => {
                run.bill(*usage).await;
                if run.body.wants_usage {
                    send(sender, &run.body.usage_chunk(&id, usage)).await?;
                }
                let done = Bytes::from_static(b"data: [DONE]\n\n");
                return sender.send(Ok(done)).await.map_err(|_gone| StreamEnd::CallerGone);
            }
        }
        piece = tokio::select! {
            next = run.next() => next.map_err(StreamEnd::Failed)?,
            () = sender.closed() => return Err(StreamEnd::CallerGone),
        };
    }
}

async fn send(sender: &ChunkSender, chunk: &Value) -> Result<(), StreamEnd> {
    let line = Bytes::from(format!("data: {chunk}\n\n"));
    sender.send(Ok(line)).await.map_err(|_gone| StreamEnd::CallerGone)
}
