//! Having a prompt read by one engine, so that another can make the tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ConnectionChoice, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::reading_pace::PrefillTime;
use acaciabay::ops::place_prompt::{PromptPlacement, is_copy_source_gone};
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;

use super::attempt::{AttemptOutcome, EndpointReply, SendPatience, send};
use super::call::OpenCall;
use super::choice::{ChosenEndpoint, ChosenReader};
use super::codec::AttemptRole;
use super::refusal::{CallRefusal, NO_ENDPOINT, SOON, not_run};
use super::shared::EntryShared;

/// How much longer than expected an engine may take to read a prompt before another one is asked.
const WAIT_FACTOR: f64 = 3.0;
/// How much longer beside that: the time of a step of the engine, and of the network.
const WAIT_MARGIN: Duration = Duration::from_secs(1);
/// Most engines that are asked to read one prompt and do not.
const MOST_READERS: usize = 3;
/// Most engines that are not reached before a prompt is given up: each of them costs a connection attempt.
const MOST_UNREACHED: usize = 8;
/// The largest answer of an engine that has read a prompt.
const LARGEST_HANDLE: usize = 16 * 1024;
/// How long freeing a handle may take.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// A prompt that an engine has read and keeps for another. It is freed there unless it is taken.
#[derive(Debug)]
pub(super) struct ReadPrompt {
    pub(super) address: SocketAddr,
    pub(super) handle: String,
    pub(super) domain: DomainName,
    shared: Arc<EntryShared>,
    is_taken: bool,
}

impl ReadPrompt {
    /// Notes that another engine has taken the prompt.
    pub(super) const fn take(&mut self) {
        self.is_taken = true;
    }
}

impl Drop for ReadPrompt {
    /// Frees a prompt that nobody took: until it lapses, nobody else can use the memory.
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let (method, path) = self.shared.codec.free_handle(&self.handle);
        let (shared, address) = (Arc::clone(&self.shared), self.address);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string());
        let Ok(request) = request.body(Full::new(Bytes::new())) else {
            return;
        };
        tokio::spawn(async move {
            let freeing = async {
                let answer = shared
                    .client
                    .send(boot_now(), address, ConnectionChoice::Pooled, request)
                    .await;
                if let Ok(answer) = answer
                    && read_body(answer.response.into_body(), LARGEST_HANDLE, FREE_TIMEOUT)
                        .await
                        .is_ok()
                {
                    shared.client.give_back(boot_now(), answer.connection).await;
                }
            };
            // A handle that cannot be freed lapses by itself.
            let _late = tokio::time::timeout(FREE_TIMEOUT, freeing).await;
        });
    }
}

/// Has the prompt of a call read. `repeated` says that it was read before, so that every further send counts.
pub(super) async fn read_prompt(
    call: &OpenCall,
    prompt: &PromptShape,
    repeated: bool,
) -> Result<ReadPrompt, CallRefusal> {
    let mut tried: Vec<EndpointName> = Vec::new();
    // An engine that was not reached has got nothing, so the next send is still the first one.
    let mut arrived = repeated;
    let mut failed = 0;
    while failed < MOST_READERS && tried.len() - failed < MOST_UNREACHED {
        let now = boot_now();
        let found = call.shared.choose_reader(now, &call.service, &tried, prompt);
        let Some(reader) = found else {
            return Err(not_run("no engine reads prompts", NO_ENDPOINT));
        };
        let left = call.until.since(now);
        let wait = reader.place.wait;
        // What is refused has to be read as well, when the caller comes back.
        note_demand(call, &reader.place);
        if wait >= left {
            return Err(not_run(
                "prompt cannot be read in time",
                wait.clamp(SOON, SOON.max(left)),
            ));
        }
        if arrived && !call.shared.spend_send(now, &call.service) {
            return Err(not_run("no second send left", SOON));
        }
        match read_at(call, prompt, &reader).await {
            ReadOutcome::Read(read) => return Ok(read),
            ReadOutcome::NotReached => {}
            ReadOutcome::Failed => {
                arrived = true;
                failed += 1;
            }
        }
        tried.push(reader.engine.name);
    }
    Err(not_run("engines did not read the prompt", SOON))
}

/// What asking one engine to read a prompt came to.
#[derive(Debug)]
enum ReadOutcome {
    Read(ReadPrompt),
    /// The engine has got nothing of the call.
    NotReached,
    /// The engine has got the call and has not read the prompt, as far as is known.
    Failed,
}

async fn read_at(call: &OpenCall, prompt: &PromptShape, reader: &ChosenReader) -> ReadOutcome {
    let ChosenReader {
        engine: chosen,
        place,
        copy_from,
    } = reader;
    let began_at = boot_now();
    let work = EndpointWork {
        unread_tokens: place.unread_tokens,
        calls: 1,
        held_tokens: 0,
    };
    let queued = call.shared.view().loads.work(&chosen.name).unread_tokens;
    let _guard = call.shared.begin_work(&chosen.name, work);
    let bound = place.wait.mul_f64(WAIT_FACTOR) + WAIT_MARGIN;
    let patience = SendPatience {
        // How long a prompt takes depends on work that this entry has not heard of; a slow reader is none that is dead.
        doubt_after: None,
        bound: bound.min(call.until.since(began_at)),
    };
    // Noted before the answer: calls that come meanwhile with the same parts belong there as well.
    let memory = call.shared.engine_memory(&call.service);
    call.shared
        .view()
        .loads
        .record_prefill(&chosen.name, &prompt.parts, memory);
    let outcome = send(
        call,
        chosen,
        AttemptRole::ReadPrompt {
            copy_from: copy_from.as_ref().map(|source| source.endpoint.address),
        },
        None,
        patience,
    )
    .await;
    let reply = match outcome {
        AttemptOutcome::Answered(reply) => reply,
        AttemptOutcome::NotRun { arrived: false } => return ReadOutcome::NotReached,
        AttemptOutcome::NotRun { arrived: true } | AttemptOutcome::Lost | AttemptOutcome::TimedOut => {
            return ReadOutcome::Failed;
        }
    };
    let Some(handle) = take_handle(call, chosen, *reply).await else {
        return ReadOutcome::Failed;
    };
    let took = boot_now().since(began_at);
    slog::info!(call.shared.log, "prompt read"; "event" => event::PROMPT_READ, "request" => &call.head.request,
        "endpoint" => chosen.name.as_str(), "tokens" => prompt.prompt_tokens, "unread" => place.unread_tokens,
        "queued" => queued, "copied_from" => place.copy_from.as_ref().map(EndpointName::as_str),
        "expected_ms" => whole_millis(place.wait), "took_ms" => whole_millis(took));
    metrics::histogram!("acacia_prompt_read_seconds").record(took.as_secs_f64());
    metrics::histogram!("acacia_prompt_wait_error_seconds").record(took.as_secs_f64() - place.wait.as_secs_f64());
    let mut view = call.shared.view();
    let reading = PrefillTime {
        queued,
        unread: place.unread_tokens,
        took,
    };
    view.note_reading(&call.service, &chosen.name, reading);
    if let Some(source) = copy_from
        && is_copy_source_gone(&source.endpoint, place.wait, took)
    {
        slog::info!(call.shared.log, "copy source is gone"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "endpoint" => source.name.as_str(), "took_ms" => whole_millis(took));
        view.loads.record_unreachable(boot_now(), &source.name);
    }
    view.loads.record_success(&chosen.name);
    view.kept_news.record_prefill(&chosen.name, prompt.shared_parts());
    drop(view);
    ReadOutcome::Read(ReadPrompt {
        address: chosen.endpoint.address,
        handle,
        domain: chosen.endpoint.domain.clone(),
        shared: Arc::clone(&call.shared),
        is_taken: false,
    })
}

fn note_demand(call: &OpenCall, place: &PromptPlacement) {
    let mut view = call.shared.view();
    let demand = view.demands.entry(call.service.clone()).or_default();
    demand.unread_tokens += place.unread_tokens;
    demand.wait_us = demand
        .wait_us
        .max(u64::try_from(place.wait.as_micros()).unwrap_or(u64::MAX));
}

async fn take_handle(call: &OpenCall, chosen: &ChosenEndpoint, reply: EndpointReply) -> Option<String> {
    let EndpointReply { response, connection } = reply;
    let status = response.status();
    let body = read_body(response.into_body(), LARGEST_HANDLE, call.until.since(boot_now())).await;
    let body = body.ok()?;
    connection.give_back(call).await;
    let handle = status
        .is_success()
        .then(|| call.shared.codec.read_prompt_handle(&body))
        .flatten();
    if handle.is_none() {
        slog::info!(call.shared.log, "prompt was not read"; "event" => event::PROMPT_READ,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "status" => status.as_u16());
        call.shared.view().loads.record_failure(boot_now(), &chosen.name);
    }
    handle
}
