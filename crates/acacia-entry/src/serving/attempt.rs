//! A single attempt to send a call to one endpoint.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use acacia_http::{ConnectionChoice, ConnectionPath, EndpointAnswer, FinishedConnection, SendFailure, body_framing};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::answer_end::BodyFraming;
use acaciabay::core::attempt::AttemptState;
use acaciabay::core::clock::BootTime;
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Request, Response, StatusCode};

use super::allowance_charge::AllowanceCharge;
use super::call::AcceptedCall;
use super::codec::{AttemptHead, AttemptRole};
use super::endpoint_choice::ChosenEndpoint;
use super::endpoint_limits::{LimitAnswerHead, record_detour, record_limit_notice};
use super::endpoint_rests::record_rest_request;
use super::endpoint_speeds::record_load_notice;
use super::refusal::CallRefusal;
use super::retry_permits::RetryPermit;
use super::write_permits::{WithheldReason, WritePermits};

/// Safety margin before the endpoint's keep-alive timeout: an idle connection is no longer used this long before the
/// endpoint closes it. Without the margin, a request could be sent while the endpoint is closing the connection.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The endpoint has answered. The body may still be arriving.
    Answered(Box<EndpointReply>),
    /// The endpoint has not run the call: either nothing was sent, or the endpoint itself states so.
    NotRun {
        /// True if the endpoint received the call, false if nothing was sent.
        arrived: bool,
    },
    /// The endpoint may have run the call, but its answer was lost.
    Lost,
    /// The call may no longer be sent to any endpoint, and nothing was sent.
    HeldBack(CallRefusal),
    /// The endpoint may be sent nothing at present. Nothing was sent.
    Withheld(WithheldReason),
    /// The retry has waited so long that the limit on retries no longer allows it. Nothing was sent.
    RetryLapsed,
    /// The path to the endpoint is lost, and no relay has taken the call. Nothing was sent.
    PathLost,
    /// The entry is cut off from all endpoints, and no relay has taken the call. Nothing was sent.
    NoPath,
    /// The time limit of the attempt passed. The endpoint may still be running the call.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns the name of the reason in logs for which nothing was sent, if what the endpoint wants was the reason.
    const fn withheld_name(&self) -> Option<&'static str> {
        match self {
            Self::Withheld(WithheldReason::LimitReached) => Some("limit"),
            Self::Withheld(WithheldReason::AtRest) => Some("rest"),
            _ => None,
        }
    }
}

/// Answer of an endpoint, with the connection on which it arrives.
#[derive(Debug)]
pub(super) struct EndpointReply {
    pub(super) response: Response<Incoming>,
    pub(super) framing: BodyFraming,
    pub(super) connection: KeptConnection,
    /// Time at which the attempt was sent.
    pub(super) sent_at: BootTime,
}

/// Connection of an answer, which can be reused once the answer is complete.
#[derive(Debug)]
pub(super) struct KeptConnection {
    finished: FinishedConnection,
    keep: Option<Duration>,
}

impl KeptConnection {
    /// Returns the number of the connection in the logs of this entry and of the relay, if it goes over one.
    const fn relayed(&self) -> Option<u64> {
        match self.finished.path() {
            ConnectionPath::Direct => None,
            ConnectionPath::Relayed { connection, .. } => Some(connection),
        }
    }

    /// Returns the connection to the pool.
    pub(super) async fn return_to_pool(self, call: &AcceptedCall) {
        let client = &call.shared.client;
        let now = boot_now();
        match self.keep.map(|keep| keep.saturating_sub(IDLE_CLOSE_MARGIN)) {
            Some(keep) => client.give_back_for(now, self.finished, keep).await,
            None => client.give_back(now, self.finished).await,
        }
    }
}

/// Why an entry gives up an attempt that may still be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GiveUpReason {
    /// Another endpoint has taken the call over.
    OtherTakesOver,
    /// The endpoint that had the call before goes on, or the time of the call is over.
    NotNeeded,
}

/// Attempt that is waiting for its answer. A drop before the end of the attempt means that the entry gives it up or that the
/// caller has disconnected, and is logged.
#[derive(Debug)]
struct PendingAttempt<'call> {
    call: &'call AcceptedCall,
    chosen: &'call ChosenEndpoint,
    role: AttemptRole<'call>,
    sent_at: BootTime,
    timeouts: &'call AttemptTimeouts,
    has_ended: bool,
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let call = self.call;
        let now = boot_now();
        if let Some(reason) = self.timeouts.given_up.get() {
            self.record_given_up(now, *reason);
            return;
        }
        slog::info!(call.shared.log, "call abandoned"; "event" => event::CALL_ABANDONED,
            "request" => &call.head.request, "route" => &call.route().name, "endpoint" => self.chosen.name.as_str(),
            "role" => ?self.role, "patience_ms" => whole_millis(call.deadline.since(call.received_at)),
            "after_ms" => whole_millis(now.since(call.received_at)),
            "sent_ms" => whole_millis(now.since(self.sent_at)), "bound_ms" => whole_millis(self.timeouts.give_up_after),
            "report" => self.chosen.endpoint.sequence);
        metrics::counter!("acacia_calls_abandoned_total").increment(1);
    }
}

impl PendingAttempt<'_> {
    fn record_given_up(&self, now: BootTime, reason: GiveUpReason) {
        let (call, chosen) = (self.call, self.chosen);
        slog::info!(call.shared.log, "attempt given up"; "event" => event::ATTEMPT_FAILED,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "role" => ?self.role,
            "reason" => ?reason, "after_ms" => whole_millis(now.since(self.sent_at)),
            "others_silent_ms" => call.shared.others_silence(&call.service, &chosen.name).map(whole_millis),
            "report" => chosen.endpoint.sequence);
        metrics::counter!("acacia_attempts_failed_total").increment(1);
        if reason == GiveUpReason::OtherTakesOver {
            call.shared.state().loads.record_silence(now, &chosen.name);
        }
    }
}

/// Time limits of an attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptTimeouts {
    /// Time without an answer after which the endpoint is suspected and other calls avoid it. `None` if it is unknown
    /// how long answers usually take, or if a slow endpoint is not to be suspected before the attempt is given up.
    pub(super) suspect_after: Option<Duration>,
    /// Time after which the attempt is given up.
    pub(super) give_up_after: Duration,
    /// Set before the attempt is dropped, if the caller has not disconnected.
    pub(super) given_up: Arc<OnceLock<GiveUpReason>>,
}

/// Builds the request of an attempt that is sent at `sent_at`.
fn build_request(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    role: AttemptRole<'_>,
    resume_after: Option<u64>,
    sent_at: BootTime,
) -> Request<Full<Bytes>> {
    let attempt = AttemptHead {
        endpoint: &chosen.name,
        customer: call.customer(),
        time_left: call.time_left(sent_at),
        role,
        resume_after,
        priority: call.admitted.priority(),
    };
    let mut request = call
        .shared
        .codec
        .write_attempt_head(&call.parts, &attempt)
        .map(|()| Full::new(call.body.clone()));
    if !call.body.is_empty() || call.parts.headers.contains_key(CONTENT_LENGTH) {
        request.headers_mut().insert(CONTENT_LENGTH, call.body.len().into());
    }
    request
}

/// Sends a call to an endpoint and waits for the head of the answer, but not for its body. A failed attempt is logged,
/// counted in the metrics and recorded in the load table. `retry` is the permit of an attempt after one that arrived.
pub(super) async fn send(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    (role, retry): (AttemptRole<'_>, Option<&RetryPermit>),
    resume_after: Option<u64>,
    timeouts: AttemptTimeouts,
) -> AttemptOutcome {
    if let Some(refusal) = call.held_back() {
        return AttemptOutcome::HeldBack(refusal);
    }
    let sent_at = boot_now();
    let limit_permit = match call.shared.acquire_permit(sent_at, chosen) {
        Ok(permit) => permit,
        Err(reason) => return AttemptOutcome::Withheld(reason),
    };
    record_detour(call, chosen);
    let request = build_request(call, chosen, role, resume_after, sent_at);
    let permits = WritePermits::new(call, chosen, retry, limit_permit);
    let may_send = || permits.confirm(boot_now());
    let choice = connection_choice(call, role);
    let sending = call
        .shared
        .client
        .send_if(sent_at, chosen.endpoint.address, choice, request, may_send);
    let was_kept = match role {
        // Prefilling a prompt does not run the call.
        AttemptRole::ReadPrompt { .. } => None,
        AttemptRole::Whole | AttemptRole::MakeTokens { .. } => call.charge.as_ref().map(AllowanceCharge::keep),
    };
    let _wait = call.shared.paths.begin_wait(sent_at, chosen.endpoint.address);
    let mut pending = PendingAttempt {
        call,
        chosen,
        role,
        sent_at,
        timeouts: &timeouts,
        has_ended: false,
    };
    let answer = tokio::select! {
        answer = tokio::time::timeout(timeouts.give_up_after, sending) => answer,
        never = suspect_if_silent(call, chosen, sent_at, timeouts.suspect_after) => match never {},
    };
    pending.has_ended = true;
    let (outcome, reason) = match answer {
        Err(_elapsed) => (AttemptOutcome::TimedOut, "no answer in time".to_owned()),
        Ok(Err(failure)) => (
            outcome_of_failure(call, chosen, sent_at, &permits, &failure),
            failure.to_string(),
        ),
        Ok(Ok(answer)) => match judge_answer(call, chosen, (&permits, sent_at), answer) {
            Ok(reply) => return AttemptOutcome::Answered(Box::new(reply)),
            Err(failed) => failed,
        },
    };
    if matches!(
        outcome,
        AttemptOutcome::NotRun { .. }
            | AttemptOutcome::PathLost
            | AttemptOutcome::NoPath
            | AttemptOutcome::RetryLapsed
            | AttemptOutcome::Withheld(_)
    ) && was_kept == Some(false)
        && let Some(charge) = &call.charge
    {
        charge.release();
    }
    record_failed_attempt(call, chosen, role, sent_at, (&outcome, reason));
    outcome
}

/// Records what the head of an answer says of its endpoint. Fails with what the attempt has come to if the answer is not to
/// be passed on.
fn judge_answer(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    (permits, sent_at): (&WritePermits<'_>, BootTime),
    answer: EndpointAnswer,
) -> Result<EndpointReply, (AttemptOutcome, String)> {
    call.shared.state().loads.record_activity(boot_now(), &chosen.name);
    let status = answer.response.status();
    let path = answer.connection.path();
    let head = call.shared.codec.read_answer_head(status, answer.response.headers());
    let framing = body_framing(&answer.response);
    let is_crossed = head
        .request
        .as_ref()
        .is_some_and(|request| *request != call.head.request);
    let answered = LimitAnswerHead {
        notice: head.limit,
        status,
        has_run: !is_crossed && !head.not_run,
    };
    record_limit_notice(call, chosen, permits.known_limit(), answered);
    record_load_notice(call, chosen, status, head.load);
    record_rest_request(&call.shared, chosen, &call.head.request, (status, head.rest), path);
    if is_crossed {
        slog::warn!(call.shared.log, "answer belongs to another request"; "event" => event::ANSWER_CROSSED,
            "request" => &call.head.request, "answered" => head.request, "endpoint" => chosen.name.as_str());
        return Err((AttemptOutcome::Lost, "answer to another request".to_owned()));
    }
    if framing == BodyFraming::UntilClose && !path.ends_as_endpoint() {
        // The relay is of an earlier release. The end of the answer cannot be told from a break of the path.
        return Err((AttemptOutcome::Lost, "relayed answer without a length".to_owned()));
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err((AttemptOutcome::NotRun { arrived: true }, status.to_string()));
    }
    let connection = KeptConnection {
        finished: answer.connection,
        keep: head.keep_alive,
    };
    if let Some(number) = connection.relayed() {
        slog::info!(call.shared.log, "attempt answered over a relay"; "event" => event::ATTEMPT_RELAYED,
            "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "connection" => number);
    }
    Ok(EndpointReply {
        response: answer.response,
        framing,
        connection,
        sent_at,
    })
}

fn outcome_of_failure(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    sent_at: BootTime,
    permits: &WritePermits<'_>,
    failure: &SendFailure,
) -> AttemptOutcome {
    if failure.state != AttemptState::Unsent {
        if !failure.is_path_lost {
            call.record_break(chosen, sent_at);
        }
        // The endpoint may have run the call. This includes `Ended`: the client returned an error, so there is no answer to
        // pass on.
        return AttemptOutcome::Lost;
    }
    permits.mark_unsent();
    if failure.is_withheld {
        return permits
            .withheld()
            .map_or(AttemptOutcome::RetryLapsed, AttemptOutcome::Withheld);
    }
    match failure.is_path_lost {
        true if call.shared.paths.is_cut() => AttemptOutcome::NoPath,
        true => AttemptOutcome::PathLost,
        false => AttemptOutcome::NotRun { arrived: false },
    }
}

/// Returns the choice of the connection for an attempt. One that may be made again does not wait for an answer that is lost.
fn connection_choice(call: &AcceptedCall, role: AttemptRole<'_>) -> ConnectionChoice {
    let may_repeat = matches!(role, AttemptRole::ReadPrompt { .. }) || call.route().kind.may_repeat();
    if may_repeat {
        ConnectionChoice::PooledWhileReachable
    } else {
        ConnectionChoice::Pooled
    }
}

fn record_failed_attempt(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    role: AttemptRole<'_>,
    sent_at: BootTime,
    (outcome, reason): (&AttemptOutcome, String),
) {
    slog::info!(call.shared.log, "attempt failed"; "event" => event::ATTEMPT_FAILED, "request" => &call.head.request,
        "endpoint" => chosen.name.as_str(), "address" => %chosen.endpoint.address, "role" => ?role,
        "outcome" => ?outcome, "reason" => reason, "withheld" => outcome.withheld_name(), "after_ms" => whole_millis(boot_now().since(sent_at)),
        "others_silent_ms" => call.shared.others_silence(&call.service, &chosen.name).map(whole_millis),
        "report" => chosen.endpoint.sequence);
    metrics::counter!("acacia_attempts_failed_total").increment(1);
    let (paths, address) = (&call.shared.paths, chosen.endpoint.address);
    let (is_lost, was_lost) = (paths.is_lost(address), paths.was_lost_after(sent_at, address));
    let now = boot_now();
    let mut state = call.shared.state();
    match outcome {
        AttemptOutcome::NoPath
        | AttemptOutcome::PathLost
        | AttemptOutcome::RetryLapsed
        | AttemptOutcome::Withheld(_) => {}
        // An endpoint that says what it wants is sound.
        AttemptOutcome::NotRun { arrived: true } if !state.loads.rests.admits(now, chosen.rest_key()) => {}
        AttemptOutcome::NotRun { arrived: false } => state.loads.record_unreachable(now, &chosen.name),
        AttemptOutcome::Lost | AttemptOutcome::TimedOut if was_lost => {}
        AttemptOutcome::Lost | AttemptOutcome::TimedOut if !is_lost => {
            state.loads.record_silence(now, &chosen.name);
        }
        // `NotRun { arrived: true }`, or an answer that was lost over a relay, which may have lost it. `Answered` and `HeldBack`
        // have already been returned.
        _ => state.loads.record_failure(now, &chosen.name),
    }
}

/// Marks an endpoint as silent if it has not answered after `suspect_after`. Never completes, so that the call keeps
/// waiting for the endpoint.
async fn suspect_if_silent(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    sent_at: BootTime,
    suspect_after: Option<Duration>,
) -> Infallible {
    let Some(suspect_after) = suspect_after else {
        return std::future::pending().await;
    };
    tokio::time::sleep(suspect_after).await;
    let now = boot_now();
    slog::info!(call.shared.log, "endpoint suspected"; "event" => event::ENDPOINT_DOUBTED,
        "request" => &call.head.request, "endpoint" => chosen.name.as_str(),
        "sent_ms" => whole_millis(now.since(sent_at)), "report" => chosen.endpoint.sequence);
    call.shared.state().loads.record_silence(now, &chosen.name);
    std::future::pending().await
}
