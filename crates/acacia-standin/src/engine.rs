//! A model engine: prompts cost prefill time, tokens cost decode time, and the text follows from the prompt alone.
//!
//! Because the text depends on nothing but the prompt and the position, a stream may be resumed at any engine, and a
//! test can compare any answer with [`naive_text`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use acacia_http::{ResponseBody, json_response};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode, Version};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::{self, Sender};

use crate::fault::FaultPlan;
use crate::record::{RunRecord, RunState};
use crate::routes::{WholeRequest, refuse};
use crate::standin::{SlotGuard, Standin};

/// Tokens in one piece of memory.
const TOKENS_PER_PIECE: u64 = 1_000;
/// How much of a prompt's start is cached, in bytes, and about how many bytes make a token.
const PREFIX_BYTES: usize = 1_024;
const BYTES_PER_TOKEN: usize = 6;
/// Tokens generated when a request names no number.
const DEFAULT_TOKENS: u64 = 16;
/// How much of a request's body is kept in the record.
const LONGEST_RECORDED_BODY: usize = 1_024;
const WORDS: [&str; 16] = [
    "spruce", "maple", "bridge", "scroll", "varnish", "purfling", "peg", "bow", "pulp", "mould", "tray", "press",
    "bale", "deckle", "slurry", "kiln",
];

/// Which of the two completion interfaces a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionForm {
    Text,
    Chat,
}

#[derive(Clone, Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
    resume: Option<ResumePoint>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Clone, Debug, Deserialize)]
struct ResumePoint {
    offset: u64,
}

/// A stream that is being generated.
#[derive(Debug)]
struct Generation {
    id: String,
    model: String,
    form: CompletionForm,
    prompt: String,
    first: u64,
    end: u64,
    fault: Option<StreamFault>,
}

/// The fault that strikes a stream when it reaches a place.
#[derive(Clone, Copy, Debug)]
struct StreamFault {
    kind: FaultKind,
    at: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Cut,
    /// An orderly end in the middle of a chunk, without framing.
    End,
    Silence,
    Cross,
    Skip,
}

/// Counts tokens as the stand-ins do: one for each word.
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// Returns the text that any stand-in generates for a prompt.
pub fn naive_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|position| token_at(prompt, position)).collect()
}

fn token_at(prompt: &str, position: u64) -> String {
    let seed = prompt.bytes().fold(position ^ 0x9e37_79b9, |hash, byte| {
        hash.wrapping_mul(0x0100_0000_01b3).rotate_left(5) ^ u64::from(byte)
    });
    let mixed = seed.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 60;
    format!(" {}", WORDS[usize::try_from(mixed).unwrap_or(0)])
}

pub(crate) async fn complete(
    standin: Arc<Standin>,
    whole: WholeRequest,
    form: CompletionForm,
) -> Response<ResponseBody> {
    let Ok(body) = serde_json::from_slice::<CompletionBody>(&whole.body) else {
        return json_response(
            StatusCode::BAD_REQUEST,
            &json!({"error": {"message": "not a completion request"}}),
        );
    };
    let Some(slot) = standin.take_slot() else {
        return refuse(&standin);
    };
    let prompt = match form {
        CompletionForm::Text => body.prompt,
        CompletionForm::Chat => body
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect::<Vec<_>>()
            .join("\n"),
    };
    let place = standin.begin_run(RunRecord {
        id: whole.id.clone(),
        path: whole.path,
        body: recorded_body(&whole.body),
        saw_authorization: whole.saw_authorization,
        traceparent: whole.traceparent,
        tokens: 0,
        state: RunState::Started,
    });
    let generation = Generation {
        id: whole.id,
        model: body.model,
        form,
        first: body.resume.map_or(0, |point| point.offset),
        end: body.max_tokens.unwrap_or(DEFAULT_TOKENS),
        fault: draw_fault(&standin),
        prompt,
    };
    stream_answer(standin, generation, slot, place)
}

/// Keeps the end of a long body, where the request's own fields stand; the prompts of a whole load would fill memory.
fn recorded_body(body: &[u8]) -> String {
    let start = body.len().saturating_sub(LONGEST_RECORDED_BODY);
    String::from_utf8_lossy(&body[start..]).into_owned()
}

fn draw_fault(standin: &Standin) -> Option<StreamFault> {
    let mut state = standin.lock();
    let at = state.faults.after_tokens;
    let faults = &mut state.faults;
    let kinds = [
        (&mut faults.cut_streams, FaultKind::Cut),
        (&mut faults.end_streams, FaultKind::End),
        (&mut faults.silence_streams, FaultKind::Silence),
        (&mut faults.cross_streams, FaultKind::Cross),
        (&mut faults.skip_chunks, FaultKind::Skip),
    ];
    let struck = kinds
        .into_iter()
        .find_map(|(count, kind)| FaultPlan::strike(count).then_some(kind));
    struck.map(|kind| StreamFault { kind, at })
}

fn stream_answer(
    standin: Arc<Standin>,
    generation: Generation,
    slot: SlotGuard,
    place: usize,
) -> Response<ResponseBody> {
    let (sender, mut receiver) = mpsc::channel(1);
    let is_unframed = generation.fault.is_some_and(|fault| fault.kind == FaultKind::End);
    tokio::spawn(async move {
        let tokens = generation.end.saturating_sub(generation.first);
        if generate(&standin, &generation, sender).await.is_ok() {
            standin.finish_run(place, tokens);
        }
        drop(slot);
    });
    let chunks = stream::poll_fn(move |context| receiver.poll_recv(context));
    let frames = chunks.map(|chunk: std::io::Result<Bytes>| chunk.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    if is_unframed {
        // There are no chunks in HTTP/1.0.
        *response.version_mut() = Version::HTTP_10;
    }
    response
}

type ChunkSender = Sender<std::io::Result<Bytes>>;

/// Why a generation stopped before its end: the caller has gone, or a fault struck.
#[derive(Debug)]
struct GenerationStopped;

async fn generate(standin: &Standin, generation: &Generation, sender: ChunkSender) -> Result<(), GenerationStopped> {
    let prompt_tokens = count_tokens(&generation.prompt);
    let pieces = (prompt_tokens + generation.end)
        .div_ceil(TOKENS_PER_PIECE)
        .clamp(1, u64::from(standin.settings.pieces));
    let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
    let memory = Arc::clone(&standin.memory);
    let _held = tokio::select! {
        held = memory.acquire_many_owned(pieces) => held.map_err(|_closed| GenerationStopped)?,
        () = sender.closed() => return Err(GenerationStopped),
    };
    prefill(standin, generation, prompt_tokens).await;
    let _decoding = DecodingGuard::begin(standin);
    let mut due = tokio::time::Instant::now();
    for position in generation.first..generation.end {
        due += token_interval(standin);
        tokio::time::sleep_until(due).await;
        match strike_at(generation.fault, position) {
            Some(FaultKind::Skip) => continue,
            Some(FaultKind::Silence) => return stay_silent(&sender).await,
            Some(FaultKind::Cut) => return cut(&sender).await,
            Some(FaultKind::End) => return end(&sender, &chunk_of(generation, position)).await,
            Some(FaultKind::Cross) | None => {}
        }
        send(&sender, &chunk_of(generation, position)).await?;
    }
    send(&sender, &usage_chunk(generation, prompt_tokens)).await?;
    let last = Bytes::from_static(b"data: [DONE]\n\n");
    sender.send(Ok(last)).await.map_err(|_gone| GenerationStopped)
}

/// Works a prompt off; a cached start costs nothing.
async fn prefill(standin: &Standin, generation: &Generation, prompt_tokens: u64) {
    let prefix: Vec<u8> = generation.prompt.bytes().take(PREFIX_BYTES).collect();
    let cached = standin.touch_prefix(&prefix);
    let cached_tokens = if cached {
        (prefix.len() / BYTES_PER_TOKEN) as u64
    } else {
        0
    };
    let _turn = standin.prefill.lock().await;
    tokio::time::sleep(per_second(
        prompt_tokens.saturating_sub(cached_tokens),
        standin.settings.prefill_rate,
    ))
    .await;
}

/// One of the streams that share the batch rate.
#[derive(Debug)]
struct DecodingGuard<'standin>(&'standin Standin);

impl<'standin> DecodingGuard<'standin> {
    fn begin(standin: &'standin Standin) -> Self {
        standin.generating.fetch_add(1, Ordering::AcqRel);
        Self(standin)
    }
}

impl Drop for DecodingGuard<'_> {
    fn drop(&mut self) {
        self.0.generating.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the time between two tokens of a stream: its own rate, or its part of the batch rate if that is less.
fn token_interval(standin: &Standin) -> Duration {
    let streams = u64::from(standin.generating.load(Ordering::Acquire));
    per_second(1, standin.settings.decode_rate).max(per_second(streams, standin.settings.batch_rate))
}

fn strike_at(fault: Option<StreamFault>, position: u64) -> Option<FaultKind> {
    fault.filter(|fault| fault.at == position).map(|fault| fault.kind)
}

async fn stay_silent(sender: &ChunkSender) -> Result<(), GenerationStopped> {
    sender.closed().await;
    Err(GenerationStopped)
}

async fn cut(sender: &ChunkSender) -> Result<(), GenerationStopped> {
    let error = std::io::Error::other("stream cut on purpose");
    let _gone = sender.send(Err(error)).await;
    Err(GenerationStopped)
}

async fn end(sender: &ChunkSender, chunk: &Value) -> Result<(), GenerationStopped> {
    let mut half = format!("data: {chunk}").into_bytes();
    half.truncate(half.len() / 2);
    let _gone = sender.send(Ok(half.into())).await;
    Err(GenerationStopped)
}

async fn send(sender: &ChunkSender, chunk: &Value) -> Result<(), GenerationStopped> {
    let line = Bytes::from(format!("data: {chunk}\n\n"));
    sender.send(Ok(line)).await.map_err(|_gone| GenerationStopped)
}

fn chunk_of(generation: &Generation, position: u64) -> Value {
    let text = token_at(&generation.prompt, position);
    let last = position + 1 == generation.end;
    let finish = if last { json!("length") } else { Value::Null };
    let choice = match generation.form {
        CompletionForm::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        CompletionForm::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
    };
    let crossed = strike_at(generation.fault, position) == Some(FaultKind::Cross);
    let id = if crossed {
        "someone-else"
    } else {
        generation.id.as_str()
    };
    json!({"id": id, "model": generation.model, "choices": [choice], "offset": position})
}

fn usage_chunk(generation: &Generation, prompt_tokens: u64) -> Value {
    json!({
        "id": generation.id,
        "model": generation.model,
        "choices": [],
        "offset": generation.end,
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": generation.end,
            "total_tokens": prompt_tokens + generation.end,
        },
    })
}

fn per_second(tokens: u64, rate: u32) -> Duration {
    Duration::from_secs_f64(tokens as f64 / f64::from(rate))
}
