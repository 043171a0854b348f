//! Search for an engine that prefills a prompt, until one has.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::silence_watch::SilenceWatch;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::serving::suspect_view::CallStanding;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};

use super::attempt::GiveUpReason;
use super::call::AcceptedCall;
use super::endpoint_choice::SearchedStage;
use super::endpoint_limits::choose_with_permit;
use super::endpoint_rests::return_delay;
use super::handover::{SilenceReport, is_silent_alone, log_silence};
use super::prefill::{PrefillAttempt, PrefillOutcome, PrefilledPrompt, prefill_on, record_demand};
use super::refusal::{CallRefusal, NO_RETRY, SHORT_RETRY_DELAY, not_run};
use super::retry_permits::{RetryPermit, acquire_retry};

/// Number of failed engines after which the prefill of a prompt is given up.
const MAX_FAILED_ENGINES: usize = 3;
/// Number of unreachable engines after which the prefill of a prompt is given up. Each of them costs a connection
/// attempt.
const MAX_UNREACHABLE_ENGINES: usize = 8;

/// Has an engine prefill the prompt of a call. `is_retry` is true if a prefill was requested for this call before. Then
/// even the first attempt takes a retry from the service's retry limit.
///
/// An engine that is silent keeps the prompt. Another one is asked as well if there is one that is not silent, and the first
/// answer is used.
pub(super) async fn prefill_prompt(
    call: &AcceptedCall,
    prompt: &PromptShape,
    is_retry: bool,
    given_up: Arc<OnceLock<GiveUpReason>>,
) -> Result<PrefilledPrompt, CallRefusal> {
    let mut search = PrefillSearch::new(call, prompt, is_retry, given_up);
    while search.may_go_on() {
        let mut running = RunningPrefills::new(search.next_attempt(false).await?);
        while !running.is_empty() {
            let Some(ended) = running.next_or(&mut search).await else {
                continue;
            };
            match ended.outcome {
                PrefillOutcome::Prefilled(read) => {
                    // Those that are still under way are no longer needed.
                    let _first = search.given_up.set(GiveUpReason::OtherTakesOver);
                    return Ok(read);
                }
                PrefillOutcome::HeldBack(refusal) if running.is_empty() => return Err(refusal),
                PrefillOutcome::HeldBack(_) => {}
                PrefillOutcome::NotReached => search.retry = search.retry.take().or(ended.retry),
                PrefillOutcome::Failed => search.record_failed(),
            }
        }
    }
    Err(not_run(
        "engines did not read the prompt",
        return_delay(call, SHORT_RETRY_DELAY),
    ))
}

/// Search for an engine that prefills a prompt.
struct PrefillSearch<'call> {
    call: &'call AcceptedCall,
    prompt: &'call PromptShape,
    tried: Vec<EndpointName>,
    failed: usize,
    /// True if an engine has received the prompt. One that was not reached has received nothing, so the next attempt is
    /// not a retry.
    arrived: bool,
    is_demand_recorded: bool,
    /// Unused permit of the next attempt.
    retry: Option<RetryPermit>,
    /// Set when the attempts under way are no longer needed.
    given_up: Arc<OnceLock<GiveUpReason>>,
}

impl<'call> PrefillSearch<'call> {
    const fn new(
        call: &'call AcceptedCall,
        prompt: &'call PromptShape,
        is_retry: bool,
        given_up: Arc<OnceLock<GiveUpReason>>,
    ) -> Self {
        Self {
            call,
            prompt,
            tried: Vec::new(),
            failed: 0,
            arrived: is_retry,
            is_demand_recorded: false,
            retry: None,
            given_up,
        }
    }

    fn may_go_on(&self) -> bool {
        self.failed < MAX_FAILED_ENGINES && self.tried.len() - self.failed < MAX_UNREACHABLE_ENGINES
    }

    fn record_failed(&mut self) {
        self.is_demand_recorded = false;
        self.arrived = true;
        self.failed += 1;
    }

    /// Chooses the next engine: one that is not silent if `is_other`, because those that have the prompt are.
    async fn next_attempt(&mut self, is_other: bool) -> Result<PrefillAttempt<'call>, CallRefusal> {
        let call = self.call;
        let reader = choose_with_permit(
            call,
            "no engine reads prompts",
            (&self.tried, &StreamVersion::Any),
            |now| {
                let tried = (self.tried.as_slice(), is_other);
                call.shared
                    .choose_prefill_engine(now, &call.service, tried, self.prompt, call.request_hash)
            },
        );
        let reader = reader.await?;
        let left = call.deadline.since(boot_now());
        let wait = reader.place.wait;
        // Demand is recorded before the call may be refused, because the callers of refused calls retry. An engine that was
        // not reached has read nothing, so the next one is no further demand.
        if !self.is_demand_recorded {
            record_demand(call, &reader.place);
            self.is_demand_recorded = true;
        }
        if wait >= left {
            return Err(not_run(
                "prompt cannot be read in time",
                wait.clamp(SHORT_RETRY_DELAY, SHORT_RETRY_DELAY.max(left)),
            ));
        }
        let is_retry = self.arrived || is_other;
        if is_retry && self.retry.is_none() && call.standing() == CallStanding::Unsuspected {
            self.retry = acquire_retry(call).await;
        }
        if is_retry && self.retry.is_none() {
            return Err(not_run(NO_RETRY, return_delay(call, SHORT_RETRY_DELAY)));
        }
        self.tried.push(reader.engine.name.clone());
        Ok(PrefillAttempt {
            call,
            prompt: self.prompt,
            reader,
            retry: self.retry.take(),
            given_up: Arc::clone(&self.given_up),
        })
    }

    /// Returns an attempt at another engine while those that have the prompt are silent, the newest of them included, if there
    /// is one that is not.
    async fn other_attempt(&mut self, silent: &EndpointName) -> Option<PrefillAttempt<'call>> {
        if is_silent_alone(self.call, silent, &SearchedStage::Prefill(&self.tried)).await {
            self.next_attempt(true).await.ok()
        } else {
            None
        }
    }
}

/// How an attempt has ended.
struct EndedPrefill {
    outcome: PrefillOutcome,
    /// Its permit, if that was not used.
    retry: Option<RetryPermit>,
}

async fn run(attempt: PrefillAttempt<'_>) -> EndedPrefill {
    let outcome = prefill_on(&attempt).await;
    EndedPrefill {
        outcome,
        retry: attempt.retry.filter(|retry| !retry.is_used()),
    }
}

/// Attempts of one prompt that wait for their answers.
struct RunningPrefills<'call> {
    attempts: FuturesUnordered<BoxFuture<'call, EndedPrefill>>,
    /// Engine of the attempt that began last.
    newest: EndpointName,
    watch: SilenceWatch,
    patience: Duration,
}

impl<'call> RunningPrefills<'call> {
    fn new(attempt: PrefillAttempt<'call>) -> Self {
        let running = Self {
            attempts: FuturesUnordered::new(),
            newest: attempt.reader.engine.name.clone(),
            watch: SilenceWatch::new(boot_now()),
            patience: attempt.patience(),
        };
        running.attempts.push(run(attempt).boxed());
        running
    }

    fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt at another engine.
    fn add(&mut self, attempt: PrefillAttempt<'call>) {
        self.newest = attempt.reader.engine.name.clone();
        self.watch = SilenceWatch::new(boot_now());
        self.patience = attempt.patience();
        self.attempts.push(run(attempt).boxed());
    }

    /// Waits until an attempt has ended. Returns `None` if another one was begun, or looked for in vain, because all were
    /// silent.
    async fn next_or(&mut self, search: &mut PrefillSearch<'call>) -> Option<EndedPrefill> {
        let now = boot_now();
        let wait = if search.may_go_on() {
            self.watch.time_to_search(now, self.patience)
        } else {
            search.call.deadline.since(now)
        };
        if let Ok(ended) = tokio::time::timeout(wait, self.attempts.next()).await {
            return ended;
        }
        let now = boot_now();
        self.watch.record_search(now);
        let found = tokio::select! {
            biased;
            ended = self.attempts.next() => return ended,
            found = search.other_attempt(&self.newest) => found,
        };
        log_silence(
            search.call,
            &SilenceReport {
                engine: &self.newest,
                silence: self.watch.silence(now),
                outcome: if found.is_some() { "sent" } else { "kept" },
                to: found.as_ref().map(|found| &found.reader.engine.name),
            },
        );
        if let Some(attempt) = found {
            self.add(attempt);
        }
        None
    }
}
