//! A call whose engine is silent is handed over to another engine, if there is one that is sure to do better.
//!
//! What the call has is kept until then: the engine may be sound and go on, and a retry, an engine or its prompt may be
//! missing. `docs/design/silence.md` describes the whole.

use std::pin::pin;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_registry::EngineStage;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::util::number::whole_millis;
use futures::FutureExt;
use futures::future::select_ok;

use super::attempt::{AttemptOutcome, GiveUpReason};
use super::call::AcceptedCall;
use super::endpoint_choice::{ChosenEndpoint, DecodeScope, SearchedStage};
use super::endpoint_request::{RequestOutcome, ask_endpoint};
use super::incarnation_check::is_same_incarnation;
use super::stream_call::StreamAttempts;
use super::stream_opening::{OpenStream, PreparedAttempt, StreamOpening};

/// Time for which two engines may have a call: many times the way to one, which says within it that it is full.
const OVERLAP: Duration = Duration::from_millis(30);
/// Time within which an engine that is not silent answers a question: many times the way to it.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of engines that are asked at once whether they are silent too.
const MAX_ASKED: usize = 3;

/// Why a call stays with its silent engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeptReason {
    /// The call may be sent to no other engine.
    NotRepeatable,
    /// No other engine may go on with it.
    NoEngine,
    /// The others are as silent, as far as this entry knows.
    OthersSilent,
    /// The retry limit allows no other attempt.
    NoRetry,
    /// Limits stand against the other engines.
    Limits,
    /// No engine has prefilled the prompt for another attempt.
    PromptNotRead,
    /// The other engine was sent the call, and does not answer it.
    NotTaken,
    /// The deadline of the call has passed.
    NoTime,
}

impl KeptReason {
    /// Returns the name of the reason in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::NoEngine => "no_engine",
            Self::OthersSilent => "others_silent",
            Self::NoRetry => "no_retry",
            Self::Limits => "limits",
            Self::PromptNotRead => "prompt_not_read",
            Self::NotTaken => "not_taken",
            Self::NoTime => "no_time",
        }
    }
}

/// What has become of a call whose engine was silent.
pub(super) enum Handover<Said> {
    /// The engine goes on after all.
    GoesOn(Said),
    /// The call stays with its engine.
    Kept(KeptReason),
    /// Another engine has begun to answer. The silent one is to be given up.
    Answered(Box<OpenStream>),
    /// Another engine has had the call for as long as two may have it. The silent one is to be given up.
    Sent(StreamOpening),
}

impl<Said> Handover<Said> {
    /// Returns the name of the outcome in logs and metrics, and the engine that has the call now.
    fn outcome(&self) -> (&'static str, Option<&EndpointName>) {
        match self {
            Self::GoesOn(_) => ("goes_on", None),
            Self::Kept(reason) => (reason.name(), None),
            Self::Answered(stream) => ("answered", Some(&stream.source.chosen.name)),
            Self::Sent(opening) => ("sent", Some(&opening.chosen.name)),
        }
    }
}

impl StreamAttempts {
    /// Looks for an engine that does better than the silent one of the call, and hands the call over to it. Until then, the
    /// call listens to the silent one: `goes_on` completes when that says something.
    pub(super) async fn hand_over<Said>(
        &mut self,
        silent: (&ChosenEndpoint, Duration),
        mut goes_on: impl Future<Output = Said> + Unpin,
        resume_after: Option<u64>,
    ) -> Handover<Said> {
        let (engine, silence) = silent;
        let given_up = self.renew_prefill();
        let left = self.call.deadline.since(boot_now());
        let prepared = {
            let mut preparing = pin!(self.prepare_handover(&engine.name));
            tokio::select! {
                biased;
                said = &mut goes_on => Err(Handover::GoesOn(said)),
                prepared = &mut preparing => prepared.map_err(Handover::Kept),
                () = tokio::time::sleep(left) => Err(Handover::Kept(KeptReason::NoTime)),
            }
            .inspect_err(|_kept| {
                // Set again only where the prefill has ended.
                let _first = given_up.set(GiveUpReason::NotNeeded);
            })
        };
        let handover = match prepared {
            Ok(prepared) => self.hand_to(prepared, goes_on, resume_after).await,
            Err(handover) => handover,
        };
        // Other calls may need it.
        self.release_retry();
        let (outcome, to) = handover.outcome();
        let report = SilenceReport {
            engine: &engine.name,
            silence,
            outcome,
            to,
        };
        log_silence(&self.call, &report);
        handover
    }

    /// Sends the call to a prepared engine, and waits until that or the silent one says something.
    async fn hand_to<Said>(
        &mut self,
        prepared: PreparedAttempt,
        mut goes_on: impl Future<Output = Said> + Unpin,
        resume_after: Option<u64>,
    ) -> Handover<Said> {
        let mut opening = self.send(prepared, resume_after);
        let ended = tokio::select! {
            biased;
            said = &mut goes_on => {
                opening.give_up(GiveUpReason::NotNeeded);
                return Handover::GoesOn(said);
            }
            end = &mut opening.ending => end,
            () = tokio::time::sleep(OVERLAP) => return Handover::Sent(opening),
        };
        self.settle_run(&ended.outcome);
        match ended.outcome {
            AttemptOutcome::Answered(reply) => {
                let stream = OpenStream::new(&self.call, ended.prepared, *reply);
                if stream.has_events() {
                    return Handover::Answered(Box::new(stream));
                }
                let mut state = self.call.shared.state();
                state.loads.record_failure(boot_now(), &stream.source.chosen.name);
                Handover::Kept(KeptReason::NotTaken)
            }
            _ => Handover::Kept(KeptReason::NotTaken),
        }
    }

    /// Prepares an attempt at another engine that is not silent.
    async fn prepare_handover(&mut self, silent: &EndpointName) -> Result<PreparedAttempt, KeptReason> {
        if !self.may_retry() {
            return Err(KeptReason::NotRepeatable);
        }
        let tried = std::slice::from_ref(silent);
        if !self.can_go_on(tried) {
            return Err(KeptReason::NoEngine);
        }
        // Asked before a retry is taken: while all engines are silent, calls would hold retries in vain.
        let stage = SearchedStage::Decode(self.handover_scope(tried));
        if !is_silent_alone(&self.call, silent, &stage).await {
            return Err(KeptReason::OthersSilent);
        }
        if !self.acquire_retry().await {
            return Err(KeptReason::NoRetry);
        }
        let has_room = self.check_decode_room(tried).await;
        has_room.map_err(|_refusal| KeptReason::Limits)?;
        let prefilled = self.prefill_if_separate().await;
        let prefilled = prefilled.map_err(|_refusal| KeptReason::PromptNotRead)?;
        let domain = prefilled.as_ref().map(|prefilled| &prefilled.engine.endpoint.domain);
        let chosen = self.choose_decoder(&self.handover_scope(tried), domain).await;
        let chosen = chosen.map_err(|_refusal| KeptReason::Limits)?;
        if !self.is_awake(&chosen).await {
            return Err(KeptReason::OthersSilent);
        }
        let pass = if prefilled.is_none() {
            let pass = self.acquire_pass(EngineStage::Decode).await;
            pass.map_err(|_refusal| KeptReason::PromptNotRead)?
        } else {
            None
        };
        Ok(self.prepare(chosen, prefilled, pass))
    }

    fn handover_scope<'call>(&'call self, tried: &'call [EndpointName]) -> DecodeScope<'call> {
        DecodeScope {
            prefers_active: true,
            ..self.decode_scope(tried)
        }
    }

    /// Returns true if the engine is the process that was chosen, and not silent.
    async fn is_awake(&self, chosen: &ChosenEndpoint) -> bool {
        if self.call.stream_version() != StreamVersion::Any && !is_same_incarnation(&self.call, chosen).await {
            return false;
        }
        let is_active = self.call.shared.state().loads.is_active(boot_now(), &chosen.name);
        is_active || answers(&self.call, chosen).await
    }
}

/// Returns true if an engine that may take the call over is not silent. Other calls avoid the silent one then, whether this one
/// can leave it or not.
pub(super) async fn is_silent_alone(call: &AcceptedCall, silent: &EndpointName, searched: &SearchedStage<'_>) -> bool {
    let has_awake = has_awake_engine(call, searched).await;
    if has_awake {
        let now = boot_now();
        let mut state = call.shared.state();
        if !state.loads.is_suspected(now, silent) {
            state.loads.record_silence(now, silent);
        }
    }
    has_awake
}

async fn has_awake_engine(call: &AcceptedCall, stage: &SearchedStage<'_>) -> bool {
    let now = boot_now();
    if call.shared.has_active_engine(now, &call.service, stage) {
        return true;
    }
    // One question at a time stands for all calls of the entry.
    let asking = (call.service.clone(), stage.stage());
    if !call.shared.state().may_ask(now, asking, QUESTION_TIMEOUT) {
        return false;
    }
    let asked = call.shared.engines_to_ask(now, &call.service, stage, MAX_ASKED);
    let questions = asked.iter().map(|engine| {
        let answers = answers(call, engine);
        answers.map(|answers| answers.then_some(()).ok_or(())).boxed()
    });
    let questions: Vec<_> = questions.collect();
    !questions.is_empty() && select_ok(questions).await.is_ok()
}

/// Returns true if an engine answers a question about its state.
async fn answers(call: &AcceptedCall, engine: &ChosenEndpoint) -> bool {
    let question = call.shared.codec.status_request();
    let outcome = ask_endpoint(&call.shared, engine, question, QUESTION_TIMEOUT).await;
    matches!(outcome, RequestOutcome::Answered(..))
}

/// A search for another engine, and what came of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceReport<'search> {
    pub(super) engine: &'search EndpointName,
    /// Time for which the engine had written nothing of the call.
    pub(super) silence: Duration,
    pub(super) outcome: &'static str,
    /// Engine that has the call now.
    pub(super) to: Option<&'search EndpointName>,
}

/// Logs and counts a search for another engine.
pub(super) fn log_silence(call: &AcceptedCall, report: &SilenceReport<'_>) {
    let SilenceReport {
        engine,
        silence,
        outcome,
        to,
    } = *report;
    slog::info!(call.shared.log, "engine is silent"; "event" => event::SILENCE_JUDGED, "request" => &call.head.request,
        "endpoint" => engine.as_str(), "silent_ms" => whole_millis(silence),
        "others_silent_ms" => call.shared.others_silence(&call.service, engine).map(whole_millis),
        "outcome" => outcome, "to" => to.map(EndpointName::as_str),
        "left_ms" => whole_millis(call.deadline.since(boot_now())));
    metrics::counter!("acacia_silences_judged_total", "outcome" => outcome).increment(1);
}
