//! Prefill of a prompt on one engine, so that another engine can decode it.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use acacia_http::{BodyRefusal, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::prefill_pace::PrefillTime;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::ops::place_prompt::{PromptPlacement, is_copy_source_gone};
use acaciabay::util::number::whole_millis;

use super::attempt::{AttemptOutcome, AttemptTimeouts, EndpointReply, GiveUpReason, send};
use super::call::AcceptedCall;
use super::codec::AttemptRole;
use super::endpoint_choice::{ChosenEndpoint, ChosenPrefillEngine};
use super::endpoint_request::{RequestOutcome, ask_endpoint};
use super::endpoint_speeds::log_model_change;
use super::refusal::{CallRefusal, NO_ENDPOINT_RETRY_DELAY, NO_PATH, NO_RETRY, SHORT_RETRY_DELAY, not_run};
use super::retry_permits::RetryPermit;
use super::shared::EntryShared;

/// Multiple of the expected prefill time, including the queue, after which another engine is asked.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Time that is added to it for one iteration of the engine's batch loop and for the network.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Maximum size of an engine's answer to a prefill request, in bytes.
const MAX_HANDLE_BYTES: usize = 16 * 1024;
/// Time limit for freeing a handle, including reading the engine's answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Prompt that an engine has prefilled and keeps for a decode engine. The engine identifies it by a handle. Dropping
/// the value frees the prompt on the engine, unless a decode engine has taken it.
#[derive(Debug)]
pub(super) struct PrefilledPrompt {
    pub(super) engine: ChosenEndpoint,
    pub(super) handle: String,
    shared: Arc<EntryShared>,
    is_taken: bool,
}

impl PrefilledPrompt {
    /// Records that a decode engine has taken the prompt.
    pub(super) const fn mark_taken(&mut self) {
        self.is_taken = true;
    }
}

impl Drop for PrefilledPrompt {
    /// Frees the prompt if no engine has taken it. Otherwise it would occupy the engine's memory until it expires.
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let (method, path) = self.shared.codec.free_handle_request(&self.handle);
        let (shared, engine, handle) = (Arc::clone(&self.shared), self.engine.clone(), self.handle.clone());
        tokio::spawn(async move {
            // A handle that could not be freed expires on the engine.
            let freed = ask_endpoint(&shared, &engine, (method, &path), FREE_TIMEOUT).await;
            if let RequestOutcome::Withheld(reason) = freed {
                slog::info!(shared.log, "prompt not freed"; "event" => event::PROMPT_READ,
                    "endpoint" => engine.name.as_str(), "handle" => handle, "reason" => ?reason);
            }
        });
    }
}

/// An attempt to have an engine prefill a prompt.
#[derive(Debug)]
pub(super) struct PrefillAttempt<'call> {
    pub(super) call: &'call AcceptedCall,
    pub(super) prompt: &'call PromptShape,
    pub(super) reader: ChosenPrefillEngine,
    pub(super) retry: Option<RetryPermit>,
    pub(super) given_up: Arc<OnceLock<GiveUpReason>>,
}

impl PrefillAttempt<'_> {
    /// Returns the time that the engine may take before another one is looked for.
    pub(super) fn patience(&self) -> Duration {
        self.reader.place.wait.mul_f64(PREFILL_TIMEOUT_FACTOR) + PREFILL_TIMEOUT_MARGIN
    }
}

/// Result of a prefill request to one engine.
#[derive(Debug)]
pub(super) enum PrefillOutcome {
    Prefilled(PrefilledPrompt),
    /// The engine has received nothing.
    NotReached,
    /// The call may no longer be sent to any engine, and nothing was sent.
    HeldBack(CallRefusal),
    /// The engine has received the request, but has not confirmed that it prefilled the prompt.
    Failed,
}

/// Has one engine prefill the prompt.
pub(super) async fn prefill_on(attempt: &PrefillAttempt<'_>) -> PrefillOutcome {
    let PrefillAttempt {
        call,
        prompt,
        reader,
        retry,
        given_up,
    } = attempt;
    let ChosenPrefillEngine {
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
    let queued = call.shared.state().loads.work(&chosen.name).unread_tokens;
    if queued > 0 {
        metrics::counter!("acacia_prefill_queued_total").increment(1);
    }
    let _guard = call.shared.add_work(&chosen.name, work);
    let timeouts = AttemptTimeouts {
        // The engine may be busy with work of other entries that this one has not heard of, so a slow engine is not
        // suspected.
        suspect_after: None,
        give_up_after: call.deadline.since(began_at),
        given_up: Arc::clone(given_up),
    };
    // Recorded before the answer arrives, so that calls with the same parts go to this engine meanwhile.
    let memory = call.shared.engine_memory(&call.service);
    call.shared
        .state()
        .loads
        .record_prefill(&chosen.name, &prompt.parts, memory);
    let role = AttemptRole::ReadPrompt {
        copy_from: copy_from.as_ref().map(|source| source.endpoint.address),
    };
    let outcome = send(call, chosen, (role, retry.as_ref()), None, timeouts).await;
    let reply = match outcome {
        AttemptOutcome::Answered(reply) => reply,
        AttemptOutcome::NotRun { arrived: false } | AttemptOutcome::PathLost | AttemptOutcome::Withheld(_) => {
            return PrefillOutcome::NotReached;
        }
        AttemptOutcome::HeldBack(refusal) => return PrefillOutcome::HeldBack(refusal),
        AttemptOutcome::RetryLapsed => return PrefillOutcome::HeldBack(not_run(NO_RETRY, SHORT_RETRY_DELAY)),
        AttemptOutcome::NoPath => {
            return PrefillOutcome::HeldBack(not_run(NO_PATH, NO_ENDPOINT_RETRY_DELAY));
        }
        AttemptOutcome::NotRun { arrived: true } | AttemptOutcome::Lost | AttemptOutcome::TimedOut => {
            return PrefillOutcome::Failed;
        }
    };
    let Some(handle) = receive_handle(call, chosen, *reply).await else {
        return PrefillOutcome::Failed;
    };
    let took = boot_now().since(began_at);
    slog::info!(call.shared.log, "prompt read"; "event" => event::PROMPT_READ, "request" => &call.head.request,
        "endpoint" => chosen.name.as_str(), "tokens" => prompt.prompt_tokens, "unread" => place.unread_tokens,
        "queued" => queued, "copied_from" => place.copy_from.as_ref().map(EndpointName::as_str),
        "expected_ms" => whole_millis(place.wait), "took_ms" => whole_millis(took));
    metrics::histogram!("acacia_prompt_read_seconds").record(took.as_secs_f64());
    metrics::histogram!("acacia_prompt_wait_error_seconds").record(took.as_secs_f64() - place.wait.as_secs_f64());
    let mut state = call.shared.state();
    let reading = PrefillTime {
        queued,
        unread: place.unread_tokens,
        took,
    };
    state.record_prefill_time(&call.service, &chosen.name, reading);
    let changed_model = state.record_prefill_speed(boot_now(), &call.service, chosen, reading, place.copy_time);
    if let Some(source) = copy_from
        && is_copy_source_gone(&source.endpoint, place.wait, took)
    {
        slog::info!(call.shared.log, "copy source suspected"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "endpoint" => source.name.as_str(), "took_ms" => whole_millis(took));
        state.loads.record_unreachable(boot_now(), &source.name);
    }
    state.loads.record_success(&chosen.name);
    state.kept_news.record_prefill(&chosen.name, prompt.shared_parts());
    drop(state);
    if let Some(change) = changed_model {
        log_model_change(call, &change);
    }
    PrefillOutcome::Prefilled(PrefilledPrompt {
        engine: chosen.clone(),
        handle,
        shared: Arc::clone(&call.shared),
        is_taken: false,
    })
}

/// Counts the prompt as demand for engines that prefill.
pub(super) fn record_demand(call: &AcceptedCall, place: &PromptPlacement) {
    record_unread_demand(call, place.unread_tokens, place.wait);
}

/// Counts so many tokens that an engine would have to prefill after this wait as demand for engines.
pub(super) fn record_unread_demand(call: &AcceptedCall, unread_tokens: u64, wait: Duration) {
    let mut state = call.shared.state();
    let demand = state.demands.entry(call.service.clone()).or_default();
    demand.unread_tokens += unread_tokens;
    demand.wait_us = demand.wait_us.max(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
}

async fn receive_handle(call: &AcceptedCall, chosen: &ChosenEndpoint, reply: EndpointReply) -> Option<String> {
    let EndpointReply {
        response,
        connection,
        sent_at,
        ..
    } = reply;
    let status = response.status();
    let body = match read_body(response.into_body(), MAX_HANDLE_BYTES, call.deadline.since(boot_now())).await {
        Ok(body) => body,
        Err(BodyRefusal::Broken) => {
            call.record_break(chosen, sent_at);
            return None;
        }
        Err(BodyRefusal::TooLarge | BodyRefusal::TimedOut | BodyRefusal::NoRoom) => return None,
    };
    connection.return_to_pool(call).await;
    let handle = status
        .is_success()
        .then(|| call.shared.codec.read_prompt_handle(&body))
        .flatten();
    if handle.is_none() {
        slog::info!(call.shared.log, "prompt was not read"; "event" => event::PROMPT_READ,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "status" => status.as_u16());
        call.shared.state().loads.record_failure(boot_now(), &chosen.name);
    }
    handle
}
