//! Calls that are answered with an event stream.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use acacia_http::ResponseBody;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::endpoint_registry::EngineStage;
use acaciabay::core::serving::silence_watch::SilenceWatch;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::serving::suspect_view::CallStanding;
use acaciabay::ops::split_call::is_prefilled_by_decoder;
use acaciabay::util::number::whole_millis;
use hyper::Response;

use super::attempt::{AttemptOutcome, GiveUpReason};
use super::call::{AcceptedCall, refuse};
use super::endpoint_choice::{ChosenEndpoint, DecodeScope};
use super::endpoint_limits::choose_with_permit;
use super::endpoint_rests::return_delay;
use super::handover::Handover;
use super::incarnation_check::is_same_incarnation;
use super::plain_body::stream_answer;
use super::plain_call::build_response;
use super::prefill::PrefilledPrompt;
use super::prefill_search::prefill_prompt;
use super::prompt_queue::{PromptPass, acquire_pass};
use super::refusal::{
    CallRefusal, NO_ENDPOINT_RETRY_DELAY, NO_ENGINE_OF_VERSION, NO_PATH, NO_RETRY, SHORT_RETRY_DELAY, not_run,
};
use super::retry_permits::{self, RetryPermit};
use super::stream_body::answer_with_events;
use super::stream_opening::{OpenStream, OpeningEnd, PreparedAttempt, StreamOpening};

/// Number of rejections by engines that a call tolerates before it is given up.
const MAX_REJECTIONS: u32 = 3;
/// Number of unreachable engines that a call tolerates before it is given up. Each of them costs a connection attempt.
const MAX_UNREACHABLE: u32 = 8;
/// Fraction of the route's event timeout after which another engine is looked for while that of a stream is silent. This has
/// to happen before the whole timeout has passed, because the caller then disconnects.
const SILENCE_FRACTION: f64 = 0.6;

/// Multiple of the suspicion timeout that an engine may take to begin its answer before another one is looked for.
const FIRST_ANSWER_FACTOR: f64 = 2.0;

/// Call with the results of the attempts made so far.
#[derive(Debug)]
pub(super) struct StreamAttempts {
    pub(super) call: Arc<AcceptedCall>,
    /// Number of attempts so far in which an engine may have begun to decode, those under way included.
    possible_runs: u32,
    rejections: u32,
    unreachable: u32,
    prefills: u32,
    /// True once the call has been let through: it does not wait behind others again.
    has_asked: bool,
    /// Permit of the next attempt to decode, if an earlier one has arrived.
    retry: Option<RetryPermit>,
    /// Set when a prefill under way is no longer needed.
    prefill_given_up: Arc<OnceLock<GiveUpReason>>,
}

/// What a search for an engine has found out so far.
#[derive(Debug, Default)]
pub(super) struct EngineSearch {
    /// Engines that the call was sent to.
    tried: Vec<EndpointName>,
    /// Prompt that is prefilled for the next attempt.
    prefilled: Option<PrefilledPrompt>,
    /// Pass of a prompt that the next engine prefills itself.
    pass: Option<PromptPass>,
    /// Failure that an engine has answered.
    failure: Option<OpenStream>,
}

/// What comes of an attempt whose answer is waited for.
enum OpeningStep {
    /// The answer has begun or the attempt has failed.
    Ended(Box<OpeningEnd>),
    /// Another engine has begun to answer.
    Handed(Box<OpenStream>),
}

/// Answers a call with an event stream, which is resumed from the caller's last event if the caller sent one.
pub(super) async fn answer(call: AcceptedCall) -> Response<ResponseBody> {
    let mut attempts = StreamAttempts {
        call: Arc::new(call),
        possible_runs: 0,
        rejections: 0,
        unreachable: 0,
        prefills: 0,
        has_asked: false,
        retry: None,
        prefill_given_up: Arc::default(),
    };
    let resume_after = attempts.call.head.resume_after;
    match attempts.open(resume_after).await {
        Ok(stream) if stream.has_events() => answer_with_events(attempts, stream).await,
        Ok(stream) => {
            let headers = attempts.call.shared.codec.filter_answer_headers(&stream.headers);
            slog::info!(attempts.call.shared.log, "answer begun"; "event" => event::CALL_ENDED,
                "request" => &attempts.call.head.request, "route" => &attempts.call.route().name,
                "endpoint" => stream.source.chosen.name.as_str(), "status" => stream.source.status.as_u16(),
                "after_ms" => whole_millis(boot_now().since(attempts.call.received_at)));
            build_response(
                stream.source.status,
                headers,
                stream_answer(stream.into_plain(attempts.call)),
            )
        }
        Err(refusal) => refuse(
            &attempts.call.shared,
            Some(&attempts.call.head),
            refusal,
            attempts.call.received_at,
        ),
    }
}

impl StreamAttempts {
    /// Returns true if the call may be sent to another engine, as far as its route, its deadline and its standing go.
    pub(super) fn may_retry(&self) -> bool {
        self.has_attempts() && boot_now() < self.call.deadline && self.call.standing() == CallStanding::Unsuspected
    }

    /// Returns true if the route allows another attempt.
    fn has_attempts(&self) -> bool {
        self.call.route().kind.may_repeat() && self.possible_runs < self.call.route().max_attempts
    }

    /// Returns true if the call may be sent to another engine. Takes the retry from the service's retry limit.
    pub(super) async fn acquire_retry(&mut self) -> bool {
        self.may_retry() && self.acquire_permit().await
    }

    /// Acquires the permit of the next attempt, unless there is one. Returns false if there is none.
    async fn acquire_permit(&mut self) -> bool {
        if self.retry.is_none() {
            self.retry = retry_permits::acquire_retry(&self.call).await;
        }
        self.retry.is_some()
    }

    /// Replaces the permit of the next attempt if it has lapsed while the call waited for an engine.
    async fn renew_retry(&mut self) -> Result<(), CallRefusal> {
        let now = boot_now();
        if !self.retry.as_ref().is_some_and(|retry| retry.has_expired(now)) {
            return Ok(());
        }
        self.release_retry();
        if self.acquire_permit().await {
            Ok(())
        } else {
            Err(self.refusal(NO_RETRY, SHORT_RETRY_DELAY))
        }
    }

    /// Leaves the permit of the next attempt to other calls.
    pub(super) fn release_retry(&mut self) {
        self.retry = None;
    }

    /// Returns the engines that may decode the call.
    pub(super) fn decode_scope<'call>(&'call self, tried: &'call [EndpointName]) -> DecodeScope<'call> {
        DecodeScope {
            version: self.call.stream_version(),
            tried,
            drain_window: self.call.shared.drain_window(),
            prefers_active: false,
        }
    }

    /// Returns true if an engine other than those that were tried can go on with the call. Before its first event, any
    /// engine can, and which one is left to the choice.
    pub(super) fn can_go_on(&self, tried: &[EndpointName]) -> bool {
        self.call.stream_version() == StreamVersion::Any
            || self
                .call
                .shared
                .has_resume_engine(boot_now(), &self.call.service, &self.decode_scope(tried))
    }

    /// Returns the time for which an engine may write nothing before another one is looked for.
    pub(super) fn silence_patience(&self) -> Duration {
        self.call.route().event_timeout().mul_f64(SILENCE_FRACTION)
    }

    /// Returns the time that an engine may take to begin its answer before another one is looked for. It is shorter than that
    /// between events if the service's usual time to first answer is known.
    fn first_answer_patience(&self) -> Duration {
        let patience = self.silence_patience();
        let suspect_after = self.call.shared.state().suspicion_timeout(&self.call.service);
        suspect_after.map_or(patience, |suspect_after| {
            patience.min(suspect_after.mul_f64(FIRST_ANSWER_FACTOR))
        })
    }

    /// Returns the time after which another engine is to be looked for, or that until the deadline of the call if it may be
    /// sent to no other.
    pub(super) fn time_to_search(&self, watch: &SilenceWatch, patience: Duration) -> Duration {
        let now = boot_now();
        let left = self.call.deadline.since(now);
        if self.has_attempts() {
            watch.time_to_search(now, patience).min(left)
        } else {
            left
        }
    }

    /// Opens a stream that begins after the event `resume_after`, or at the beginning. Tries several engines if
    /// necessary.
    pub(super) async fn open(&mut self, resume_after: Option<u64>) -> Result<OpenStream, CallRefusal> {
        let mut search = EngineSearch::default();
        let opening = self.begin_attempt(&mut search, resume_after).await?;
        self.finish_opening(opening, search, resume_after).await
    }

    /// Waits for the answer of an attempt, and tries other engines if it fails. If none does better, the failure that an
    /// engine has answered is returned.
    pub(super) async fn finish_opening(
        &mut self,
        opening: StreamOpening,
        mut search: EngineSearch,
        resume_after: Option<u64>,
    ) -> Result<OpenStream, CallRefusal> {
        let opened = self.try_engines(opening, &mut search, resume_after).await;
        opened.or_else(|refusal| search.failure.ok_or(refusal))
    }

    async fn try_engines(
        &mut self,
        mut opening: StreamOpening,
        search: &mut EngineSearch,
        resume_after: Option<u64>,
    ) -> Result<OpenStream, CallRefusal> {
        loop {
            let end = match self.wait_for_answer(opening, resume_after).await {
                OpeningStep::Ended(end) => end,
                OpeningStep::Handed(stream) => return Ok(*stream),
            };
            let OpeningEnd { outcome, mut prepared } = *end;
            self.settle_run(&outcome);
            self.retry = prepared.retry.take().filter(|retry| !retry.is_used());
            // The attempt has ended: if its pass were held during the next one, the prompt would count twice.
            prepared.pass = None;
            let chosen = prepared.chosen.clone();
            match outcome {
                AttemptOutcome::Answered(reply) => {
                    let stream = OpenStream::new(&self.call, prepared, *reply);
                    if !stream.source.status.is_server_error() || !self.acquire_retry().await {
                        return Ok(stream);
                    }
                    self.call.shared.state().loads.record_failure(boot_now(), &chosen.name);
                    search.failure.get_or_insert(stream);
                }
                AttemptOutcome::NotRun { arrived: false } | AttemptOutcome::PathLost => {
                    self.count_unreachable()?;
                    search.prefilled = prepared.prefilled.take();
                }
                AttemptOutcome::NotRun { arrived: true } => {
                    self.rejections += 1;
                    if self.rejections <= 1 {
                        // A single rejection may mean that the engine is full or stopping. After a second one, the
                        // prefilled prompt is probably gone.
                        search.prefilled = prepared.prefilled.take();
                    }
                    if self.rejections > MAX_REJECTIONS || !self.acquire_permit().await {
                        let delay = return_delay(&self.call, SHORT_RETRY_DELAY);
                        return Err(self.refusal("turned away", delay));
                    }
                }
                AttemptOutcome::Withheld(_) => search.prefilled = prepared.prefilled.take(),
                AttemptOutcome::RetryLapsed => return Err(self.refusal(NO_RETRY, SHORT_RETRY_DELAY)),
                AttemptOutcome::NoPath => return Err(self.refusal(NO_PATH, NO_ENDPOINT_RETRY_DELAY)),
                AttemptOutcome::HeldBack(refusal) => return Err(self.held_back(refusal)),
                AttemptOutcome::TimedOut => return Err(CallRefusal::TimedOut),
                AttemptOutcome::Lost => {
                    if !self.acquire_retry().await {
                        return Err(CallRefusal::AnswerLost);
                    }
                }
            }
            // One that rests is not chosen, and may be all that can go on with a stream when it has rested.
            if self.call.shared.may_choose(boot_now(), &chosen) {
                search.tried.push(chosen.name);
            }
            opening = self.begin_attempt(search, resume_after).await?;
        }
    }

    /// Waits until an attempt is answered or fails, or another engine answers that has taken the call over.
    async fn wait_for_answer(&mut self, opening: StreamOpening, resume_after: Option<u64>) -> OpeningStep {
        let mut opening = opening;
        let mut watch = SilenceWatch::new(opening.sent_at);
        loop {
            let wait = self.time_to_search(&watch, self.first_answer_patience());
            if let Ok(end) = tokio::time::timeout(wait, &mut opening.ending).await {
                return OpeningStep::Ended(Box::new(end));
            }
            let now = boot_now();
            watch.record_search(now);
            if now >= self.call.deadline {
                return OpeningStep::Ended(Box::new(opening.ending.await));
            }
            let silent = (&opening.chosen, watch.silence(now));
            match self.hand_over(silent, &mut opening.ending, resume_after).await {
                Handover::GoesOn(end) => return OpeningStep::Ended(Box::new(end)),
                Handover::Kept(_) => {}
                Handover::Answered(stream) => {
                    opening.give_up(GiveUpReason::OtherTakesOver);
                    return OpeningStep::Handed(stream);
                }
                Handover::Sent(next) => {
                    watch = SilenceWatch::new(next.sent_at);
                    std::mem::replace(&mut opening, next).give_up(GiveUpReason::OtherTakesOver);
                }
            }
        }
    }

    /// Chooses an engine for the call, has the prompt prefilled, and sends the call.
    async fn begin_attempt(
        &mut self,
        search: &mut EngineSearch,
        resume_after: Option<u64>,
    ) -> Result<StreamOpening, CallRefusal> {
        loop {
            if !self.can_go_on(&search.tried) {
                return Err(self.refusal(NO_ENGINE_OF_VERSION, NO_ENDPOINT_RETRY_DELAY));
            }
            if search.prefilled.is_none() {
                self.check_decode_room(&search.tried).await?;
                self.renew_prefill();
                search.prefilled = self.prefill_if_separate().await?;
            }
            if search.prefilled.is_none() && search.pass.is_none() {
                search.pass = self.acquire_pass(EngineStage::Decode).await?;
            }
            let prefilled = search.prefilled.as_ref();
            let domain = prefilled.map(|prefilled| &prefilled.engine.endpoint.domain);
            let scope = self.decode_scope(&search.tried);
            let chosen = self.choose_decoder(&scope, domain).await?;
            if self.call.stream_version() == StreamVersion::Any || is_same_incarnation(&self.call, &chosen).await {
                self.renew_retry().await?;
                let prepared = self.prepare(chosen, search.prefilled.take(), search.pass.take());
                return Ok(self.send(prepared, resume_after));
            }
            self.count_unreachable()?;
            search.tried.push(chosen.name);
        }
    }

    /// Chooses an engine to decode the call. `prefill_domain` is the failure domain of the engine that prefilled the prompt.
    pub(super) async fn choose_decoder(
        &self,
        scope: &DecodeScope<'_>,
        prefill_domain: Option<&DomainName>,
    ) -> Result<ChosenEndpoint, CallRefusal> {
        let call = &self.call;
        let chosen = choose_with_permit(call, "no engine makes tokens", (scope.tried, &scope.version), |now| {
            let size = (call.request_hash, self.decode_work().held_tokens);
            call.shared
                .choose_decode_engine(now, &call.service, scope, size, prefill_domain)
        });
        chosen.await.map_err(|refusal| self.held_back(refusal))
    }

    /// Returns an attempt that is ready to be sent. Takes the permit of the next attempt.
    pub(super) fn prepare(
        &mut self,
        chosen: ChosenEndpoint,
        prefilled: Option<PrefilledPrompt>,
        pass: Option<PromptPass>,
    ) -> PreparedAttempt {
        PreparedAttempt {
            guard: self.call.shared.add_work(&chosen.name, self.decode_work()),
            retry: self.retry.take(),
            chosen,
            prefilled,
            pass,
        }
    }

    /// Waits until the prompt may be prefilled by engines of a stage.
    pub(super) async fn acquire_pass(&mut self, stage: EngineStage) -> Result<Option<PromptPass>, CallRefusal> {
        let pass = acquire_pass(&self.call, stage, self.has_asked).await;
        let pass = pass.map_err(|refusal| self.held_back(refusal))?;
        self.has_asked = true;
        Ok(pass)
    }

    /// Sends the call to an engine, which may run it from now on.
    pub(super) fn send(&mut self, prepared: PreparedAttempt, resume_after: Option<u64>) -> StreamOpening {
        self.possible_runs += 1;
        StreamOpening::send(&self.call, prepared, resume_after)
    }

    /// Records whether an attempt that has ended may have run the call.
    pub(super) const fn settle_run(&mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::Lost | AttemptOutcome::TimedOut => {}
            AttemptOutcome::NotRun { .. }
            | AttemptOutcome::HeldBack(_)
            | AttemptOutcome::Withheld(_)
            | AttemptOutcome::RetryLapsed
            | AttemptOutcome::PathLost
            | AttemptOutcome::NoPath => self.possible_runs -= 1,
        }
    }

    /// Counts an engine that was not reached.
    fn count_unreachable(&mut self) -> Result<(), CallRefusal> {
        self.unreachable += 1;
        if self.unreachable > MAX_UNREACHABLE {
            return Err(self.refusal("no engine was reached", SHORT_RETRY_DELAY));
        }
        Ok(())
    }

    /// Refuses the call if limits stand against all engines that could decode it.
    pub(super) async fn check_decode_room(&self, tried: &[EndpointName]) -> Result<(), CallRefusal> {
        let (shared, service) = (&self.call.shared, &self.call.service);
        let scope = self.decode_scope(tried);
        let tokens = self.decode_work().held_tokens;
        let has_room = choose_with_permit(&self.call, "no engine makes tokens", (tried, &scope.version), |now| {
            shared.check_decode_room(now, service, &scope, tokens)
        });
        has_room.await.map_err(|refusal| self.held_back(refusal))
    }

    /// Begins another prefill. Returns what is set when that is no longer needed.
    pub(super) fn renew_prefill(&mut self) -> Arc<OnceLock<GiveUpReason>> {
        self.prefill_given_up = Arc::default();
        Arc::clone(&self.prefill_given_up)
    }

    /// Has the prompt prefilled if the service has separate engines for it and the prompt is long enough to gain by it.
    pub(super) async fn prefill_if_separate(&mut self) -> Result<Option<PrefilledPrompt>, CallRefusal> {
        let call = Arc::clone(&self.call);
        let Some(prompt) = &call.head.prompt else {
            return Ok(None);
        };
        let pace = self.call.shared.state().prefill_pace(&self.call.service);
        if is_prefilled_by_decoder(prompt, pace)
            || !self.call.shared.has_prefill_engines(boot_now(), &self.call.service)
        {
            return Ok(None);
        }
        // The prefill has ended when this value is dropped.
        let _pass = self.acquire_pass(EngineStage::Prefill).await?;
        let is_retry = self.prefills > 0;
        self.prefills += 1;
        let given_up = Arc::clone(&self.prefill_given_up);
        match prefill_prompt(&call, prompt, is_retry, given_up).await {
            Ok(prefilled) => Ok(Some(prefilled)),
            // An earlier attempt may have run the call, so `NotRun` would be false.
            Err(CallRefusal::NotRun { .. } | CallRefusal::Quarantined) if self.possible_runs > 0 => {
                Err(CallRefusal::AnswerLost)
            }
            Err(refusal) => Err(refusal),
        }
    }

    fn decode_work(&self) -> EndpointWork {
        let prompt = self.call.head.prompt.as_ref();
        EndpointWork {
            unread_tokens: 0,
            calls: 1,
            held_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens + prompt.output_tokens),
        }
    }

    /// Returns the refusal of a call that may no longer be sent. It states that the call has not run only if that is
    /// certain.
    const fn held_back(&self, refusal: CallRefusal) -> CallRefusal {
        if self.possible_runs == 0 {
            refusal
        } else {
            CallRefusal::AnswerLost
        }
    }

    const fn refusal(&self, reason: &'static str, retry_after: Duration) -> CallRefusal {
        if self.possible_runs == 0 {
            not_run(reason, retry_after)
        } else {
            CallRefusal::AnswerLost
        }
    }
}
