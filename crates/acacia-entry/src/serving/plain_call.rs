//! Calls that are answered with an ordinary response instead of an event stream.

use std::sync::Arc;

use acacia_http::{ResponseBody, full_body, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::answer_end::{AnswerEnd, BodyFraming};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::serving::suspect_view::CallStanding;
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};

use super::answer_source::AnswerSource;
use super::attempt::{AttemptOutcome, AttemptTimeouts, EndpointReply, send};
use super::call::{AcceptedCall, refuse};
use super::codec::AttemptRole;
use super::endpoint_choice::ChosenEndpoint;
use super::endpoint_limits::choose_with_permit;
use super::endpoint_rests::return_delay;
use super::plain_body::{BodyStart, MAX_BUFFERED_BYTES, PlainStream, read_start, stream_answer};
use super::refusal::{CallRefusal, NO_ENDPOINT_RETRY_DELAY, NO_PATH, NO_RETRY, SHORT_RETRY_DELAY, not_run};
use super::retry_permits::{self, RetryPermit};
use super::shared::LoadGuard;

/// Time limit for reading the failure of an endpoint to its end before the call is sent to another one. Opening a new
/// connection takes about as long, so reading for longer gains nothing.
const FAILURE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(20);
/// Number of rejected and unreachable attempts that a call tolerates before it is given up.
const MAX_REJECTIONS: u32 = 3;

/// Results of the attempts made for a call so far.
#[derive(Debug, Default)]
struct PlainAttempts {
    tried: Vec<EndpointName>,
    /// Number of attempts so far in which an endpoint may have run the call.
    possible_runs: u32,
    rejections: u32,
    /// Permit of the next attempt, if an earlier one has arrived.
    retry: Option<RetryPermit>,
    /// Failure that an endpoint has answered, for the caller if no other endpoint does better.
    failure: Option<AnsweredCall>,
}

/// Answers a call, and logs the endpoint and the duration.
pub(super) async fn answer(call: AcceptedCall) -> Response<ResponseBody> {
    let call = Arc::new(call);
    match run(&call).await {
        Ok(AnsweredCall {
            response,
            endpoint,
            framing,
        }) => {
            slog::info!(call.shared.log, "call answered"; "event" => event::CALL_ENDED,
                "request" => &call.head.request, "route" => &call.route().name, "endpoint" => endpoint.as_str(),
                "framing" => framing.name(),
                "status" => response.status().as_u16(), "after_ms" => whole_millis(boot_now().since(call.received_at)));
            metrics::histogram!("acacia_call_seconds").record(boot_now().since(call.received_at).as_secs_f64());
            response
        }
        Err(refusal) => refuse(&call.shared, Some(&call.head), refusal, call.received_at),
    }
}

/// Response to the caller, and where it comes from.
#[derive(Debug)]
struct AnsweredCall {
    response: Response<ResponseBody>,
    endpoint: EndpointName,
    /// Framing of the endpoint's answer.
    framing: BodyFraming,
}

async fn run(call: &Arc<AcceptedCall>) -> Result<AnsweredCall, CallRefusal> {
    let mut attempts = PlainAttempts::default();
    let answered = try_endpoints(call, &mut attempts).await;
    answered.or_else(|refusal| {
        let failure = attempts.failure.take().ok_or(refusal)?;
        call.shared.count_start(call.customer());
        Ok(failure)
    })
}

async fn try_endpoints(call: &Arc<AcceptedCall>, attempts: &mut PlainAttempts) -> Result<AnsweredCall, CallRefusal> {
    loop {
        let chosen = choose_with_permit(call, "no endpoint", (&attempts.tried, &StreamVersion::Any), |now| {
            call.shared
                .choose_for_plain_call(now, &call.service, &attempts.tried, call.request_hash)
        });
        let chosen = chosen.await.map_err(|refusal| attempts.held_back(refusal))?;
        let now = boot_now();
        let guard = call.shared.add_work(&chosen.name, single_call());
        let timeouts = AttemptTimeouts {
            given_up: Arc::default(),
            suspect_after: None,
            give_up_after: call.deadline.since(now),
        };
        let role = (AttemptRole::Whole, attempts.retry.as_ref());
        let outcome = send(call, &chosen, role, None, timeouts).await;
        attempts.retry.take_if(|retry| retry.is_used());
        match outcome {
            AttemptOutcome::Answered(reply) => {
                let framing = reply.framing;
                if acquire_retry_elsewhere(call, attempts, &chosen, &reply).await {
                    attempts.possible_runs += 1;
                    let failure = read_failure(call, &chosen, *reply).await;
                    attempts.failure = attempts.failure.take().or(failure);
                } else if let Some(response) = relay_answer(call, &chosen, *reply, guard).await {
                    return Ok(AnsweredCall {
                        response,
                        endpoint: chosen.name,
                        framing,
                    });
                } else {
                    attempts.possible_runs += 1;
                    if !acquire_retry(call, attempts).await {
                        return Err(CallRefusal::AnswerLost);
                    }
                }
            }
            AttemptOutcome::NotRun { .. } | AttemptOutcome::PathLost => {
                attempts.rejections += 1;
                let arrived = matches!(outcome, AttemptOutcome::NotRun { arrived: true });
                let may_go_on = attempts.rejections <= MAX_REJECTIONS && (!arrived || attempts.acquire(call).await);
                if !may_go_on {
                    return Err(attempts.refusal("turned away", return_delay(call, SHORT_RETRY_DELAY)));
                }
            }
            AttemptOutcome::Lost => {
                attempts.possible_runs += 1;
                if !acquire_retry(call, attempts).await {
                    return Err(CallRefusal::AnswerLost);
                }
            }
            AttemptOutcome::Withheld(_) => {}
            AttemptOutcome::RetryLapsed => return Err(attempts.refusal(NO_RETRY, SHORT_RETRY_DELAY)),
            AttemptOutcome::NoPath => return Err(attempts.refusal(NO_PATH, NO_ENDPOINT_RETRY_DELAY)),
            AttemptOutcome::HeldBack(refusal) => return Err(attempts.held_back(refusal)),
            AttemptOutcome::TimedOut => return Err(CallRefusal::TimedOut),
        }
        attempts.tried.push(chosen.name);
    }
}

impl PlainAttempts {
    /// Acquires the permit of the next attempt, unless there is one. Returns false if there is none.
    async fn acquire(&mut self, call: &AcceptedCall) -> bool {
        if self.retry.is_none() {
            self.retry = retry_permits::acquire_retry(call).await;
        }
        self.retry.is_some()
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

    /// Returns the refusal of the call. It states that the call has not run only if that is certain.
    const fn refusal(&self, reason: &'static str, retry_after: std::time::Duration) -> CallRefusal {
        if self.possible_runs == 0 {
            not_run(reason, retry_after)
        } else {
            CallRefusal::AnswerLost
        }
    }
}

const fn single_call() -> EndpointWork {
    EndpointWork {
        unread_tokens: 0,
        calls: 1,
        held_tokens: 0,
    }
}

/// Returns true if the endpoint answered with a server error and the call is to be retried at another endpoint. Takes
/// the retry from the service's retry limit.
async fn acquire_retry_elsewhere(
    call: &AcceptedCall,
    attempts: &mut PlainAttempts,
    chosen: &ChosenEndpoint,
    reply: &EndpointReply,
) -> bool {
    let failed = reply.response.status().is_server_error();
    if !failed || !call.route().kind.may_repeat() || attempts.possible_runs + 1 >= call.route().max_attempts {
        return false;
    }
    let now = boot_now();
    let mut tried = attempts.tried.clone();
    tried.push(chosen.name.clone());
    let other = call
        .shared
        .choose_for_plain_call(now, &call.service, &tried, call.request_hash)
        .ok();
    let goes_on = other.is_some() && attempts.acquire(call).await;
    slog::info!(call.shared.log, "endpoint failed a call"; "event" => event::ATTEMPT_FAILED,
        "request" => &call.head.request, "endpoint" => chosen.name.as_str(),
        "status" => reply.response.status().as_u16(), "other" => other.map(|other| other.name.to_string()),
        "goes_on" => goes_on);
    goes_on
}

/// Reads the failure that an endpoint has answered to its end, so that its connection can be reused and the caller can have
/// it. Returns `None` if that fails or takes too long.
async fn read_failure(call: &AcceptedCall, chosen: &ChosenEndpoint, reply: EndpointReply) -> Option<AnsweredCall> {
    let (parts, incoming) = reply.response.into_parts();
    let body = read_body(incoming, MAX_BUFFERED_BYTES, FAILURE_TIMEOUT).await.ok()?;
    reply.connection.return_to_pool(call).await;
    let headers = call.shared.codec.filter_answer_headers(&parts.headers);
    Some(AnsweredCall {
        response: build_response(parts.status, headers, full_body(body)),
        endpoint: chosen.name.clone(),
        framing: reply.framing,
    })
}

async fn acquire_retry(call: &AcceptedCall, attempts: &mut PlainAttempts) -> bool {
    let now = boot_now();
    call.route().kind.may_repeat()
        && attempts.possible_runs < call.route().max_attempts
        && now < call.deadline
        && call.standing() == CallStanding::Unsuspected
        && attempts.acquire(call).await
}

/// Builds the response to the caller from an endpoint's answer. An answer larger than [`MAX_BUFFERED_BYTES`] is streamed;
/// any other is first read to its end. Returns `None` if that fails or takes until the deadline of the call.
async fn relay_answer(
    call: &Arc<AcceptedCall>,
    chosen: &ChosenEndpoint,
    reply: EndpointReply,
    guard: LoadGuard,
) -> Option<Response<ResponseBody>> {
    let EndpointReply {
        response,
        framing,
        connection,
        sent_at,
    } = reply;
    let (parts, mut incoming) = response.into_parts();
    let headers = call.shared.codec.filter_answer_headers(&parts.headers);
    call.shared.count_start(call.customer());
    let source = AnswerSource {
        chosen: chosen.clone(),
        status: parts.status,
        framing,
        sent_at,
    };
    let read = if content_length(&parts.headers).is_some_and(|length| length > MAX_BUFFERED_BYTES) {
        Ok(BodyStart::Long(Bytes::new()))
    } else {
        let left = call.deadline.since(boot_now());
        tokio::time::timeout(left, read_start(&mut incoming)).await
    };
    let end = match read {
        Ok(BodyStart::Long(start)) => {
            let body = stream_answer(PlainStream {
                call: Arc::clone(call),
                source,
                start,
                incoming,
                connection,
                guard,
            });
            return Some(build_response(parts.status, headers, body));
        }
        Ok(BodyStart::Whole(whole)) => {
            source.record_end(call, AnswerEnd::InOrder);
            connection.return_to_pool(call).await;
            return Some(build_response(parts.status, headers, full_body(whole)));
        }
        Ok(BodyStart::Broken) => AnswerEnd::Broken,
        Err(_elapsed) => AnswerEnd::DeadlinePassed,
    };
    source.record_end(call, end);
    slog::info!(call.shared.log, "answer broke off"; "event" => event::ATTEMPT_FAILED,
        "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "framing" => framing.name(),
        "end" => end.name());
    None
}

fn content_length(headers: &hyper::HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Builds the response to the caller.
pub(super) fn build_response(
    status: StatusCode,
    headers: hyper::HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
