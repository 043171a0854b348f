//! Runs a call of a plain service, at most once where the pool asks for that.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ConnectionChoice, ResponseBody, full_body};
use acacia_runtime::clock::boot_now;
use acacia_wire::{ClaimRequest, EntryAnswer, EntryCall};
use acaciabay::core::attempt::AttemptState;
use acaciabay::core::claim::{ClaimHolder, ClaimKey, ClaimOutcome, MAX_STORED_ANSWER_BYTES, StoredAnswer};
use acaciabay::core::control_state::ClaimEnd;
use acaciabay::core::endpoint::EndpointRow;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::serving::suspect_view::CallStanding;
use acaciabay::core::table::{PoolKind, RouteTarget};
use acaciabay::core::usage::UsageFigures;
use acaciabay::ops::place_request::{PlacementRequest, rest_end};
use acaciabay::util::digest::ContentDigest;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};

use crate::caller_http::CallerAnswer;
use crate::caller_request::{CallerIdentity, admit, find_route, place_by_policy, read_caller_body, time_left};
use crate::refusal::CallerRefusal;
use crate::service_attempt::{AttemptFailure, CALL_COST, IDEMPOTENCY_KEY, ServiceAnswer, ServiceCall, attempt};
use crate::shared::{EndpointView, Entry};
use crate::suspect_calls::LazyFingerprint;

/// The longest idempotency key.
const LONGEST_KEY: usize = 200;
/// Most attempts of a call that may be repeated.
const MOST_ATTEMPTS: u32 = 3;
/// How long a claim may take before the call is refused as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the end of a claim may hold up the answer. The link goes on sending it after that.
const END_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) async fn call_service(
    entry: &Arc<Entry>,
    caller: CallerIdentity,
    request: Request<Incoming>,
) -> CallerAnswer {
    let (parts, incoming) = request.into_parts();
    let (service, path) = split_path(&parts.uri)?;
    let route = find_route(entry, &caller, RouteTarget::Service(service.as_str().into()))?;
    let call = ServiceCall {
        caller,
        route,
        method: parts.method,
        path,
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        idempotency_key: parts.headers.get(IDEMPOTENCY_KEY).cloned(),
        body: read_caller_body(entry, incoming).await?,
        fingerprint: LazyFingerprint::default(),
    };
    let _permit = admit(entry, &call.caller, &call.route, CALL_COST, 0).await?;
    let answer = match call.route.pool.kind {
        PoolKind::Engine => return Err(CallerRefusal::no_route(&service)),
        PoolKind::Repeatable => run_repeatable(entry, &call).await?,
        // The methods that HTTP calls safe change nothing, so they may be repeated wherever they go.
        PoolKind::AtMostOnce if call.method.is_safe() => run_repeatable(entry, &call).await?,
        PoolKind::AtMostOnce => run_once(entry, &call, &parts.headers).await?,
    };
    Ok(response_of(answer))
}

fn split_path(uri: &Uri) -> Result<(String, Uri), CallerRefusal> {
    let whole = uri.path_and_query().map_or("", |path| path.as_str());
    let rest = whole.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').ok_or_else(CallerRefusal::no_such_path)?;
    let path = format!("/{path}")
        .parse()
        .map_err(|_source| CallerRefusal::no_such_path())?;
    Ok((service.to_owned(), path))
}

async fn run_repeatable(entry: &Arc<Entry>, call: &ServiceCall) -> Result<ServiceAnswer, CallerRefusal> {
    let trial = entry.suspects.request_trial(&call.tracked()).await;
    let mut tried = Vec::new();
    let mut maybe_run = false;
    for number in 1..=MOST_ATTEMPTS {
        let standing = entry.suspects.standing(&call.tracked());
        if let Some(refusal) = CallerRefusal::of_standing(standing, trial.is_some()).filter(|_| !maybe_run) {
            return Err(refusal);
        }
        if number > 1 && standing != CallStanding::Unsuspected {
            break;
        }
        if number > 1 && !entry.retries.lock().try_withdraw() {
            break;
        }
        let Some((endpoint, row)) = place(entry, call, &tried) else {
            break;
        };
        match attempt(entry, call, &endpoint, &row, ConnectionChoice::Pooled).await {
            Ok(answer) => {
                entry.retries.lock().deposit();
                bill(entry, call).await;
                return Ok(answer);
            }
            Err(AttemptFailure::NotRun) => {}
            Err(AttemptFailure::Unknown) => maybe_run = true,
        }
        tried.push(endpoint);
    }
    let state = if maybe_run {
        AttemptState::Written
    } else {
        AttemptState::Unsent
    };
    if time_left(boot_now(), call.route.deadline).is_zero() {
        return Err(CallerRefusal::deadline_passed(state.execution_status()));
    }
    Err(if maybe_run {
        CallerRefusal::endpoints_failed(state.execution_status())
    } else {
        no_endpoint(entry, call)
    })
}

/// Runs a call that may run at most once: claimed first, written once, its answer stored for resends.
async fn run_once(entry: &Arc<Entry>, call: &ServiceCall, headers: &HeaderMap) -> Result<ServiceAnswer, CallerRefusal> {
    let key = claim_key(call, headers)?;
    let holder = ClaimHolder {
        incarnation: entry.incarnation(),
        attempt: entry.next_number(),
    };
    match take_claim(entry, call, &key, holder).await? {
        ClaimOutcome::Granted => {}
        ClaimOutcome::Answered(answer) => return Ok(stored(answer)),
        ClaimOutcome::Running => return Err(CallerRefusal::already_running()),
        ClaimOutcome::Unknown => return Err(CallerRefusal::outcome_unknown()),
        ClaimOutcome::Mismatch => return Err(CallerRefusal::key_mismatch()),
        ClaimOutcome::Expired => return Err(CallerRefusal::key_expired()),
        ClaimOutcome::Full => return Err(CallerRefusal::claim_unavailable()),
    }
    let (result, end) = match write_once(entry, call).await {
        Ok(answer) => {
            bill(entry, call).await;
            let end = ClaimEnd::Answered(to_stored(&answer));
            (Ok(answer), end)
        }
        Err(OnceFailure::Refused(refusal)) => (Err(refusal), ClaimEnd::Released),
        Err(OnceFailure::Unknown) => (Err(CallerRefusal::outcome_unknown()), ClaimEnd::Lost),
    };
    end_claim(entry, call, key, holder, end).await;
    result
}

/// Why a claimed call yielded no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OnceFailure {
    /// Nothing was written.
    Refused(CallerRefusal),
    /// The call was written and no answer came.
    Unknown,
}

/// Tries endpoints until one has been written to. All tries before that are unsent, so the claim still covers them.
async fn write_once(entry: &Arc<Entry>, call: &ServiceCall) -> Result<ServiceAnswer, OnceFailure> {
    let trial = entry.suspects.request_trial(&call.tracked()).await;
    let mut tried = Vec::new();
    loop {
        check_authority(entry, call, trial.is_some()).map_err(OnceFailure::Refused)?;
        let Some((endpoint, row)) = place(entry, call, &tried) else {
            return Err(OnceFailure::Refused(no_endpoint(entry, call)));
        };
        match attempt(entry, call, &endpoint, &row, ConnectionChoice::Fresh).await {
            Ok(answer) => return Ok(answer),
            Err(AttemptFailure::NotRun) => tried.push(endpoint),
            Err(AttemptFailure::Unknown) => return Err(OnceFailure::Unknown),
        }
    }
}

/// Checks key and lease once more just before the write: the process may have been paused since it admitted the call,
/// and the key may have been withdrawn while the claim was being committed. A call that may not be sent to any endpoint is
/// refused only here, so that a resend of one that was answered before still gets the stored answer.
fn check_authority(entry: &Entry, call: &ServiceCall, has_trial: bool) -> Result<(), CallerRefusal> {
    if !entry.may_serve(boot_now()) {
        return Err(CallerRefusal::no_lease());
    }
    if entry.config().keys.authenticate(&call.caller.key).is_none() {
        return Err(CallerRefusal::unauthenticated());
    }
    let standing = entry.suspects.standing(&call.tracked());
    CallerRefusal::of_standing(standing, has_trial).map_or(Ok(()), Err)
}

fn claim_key(call: &ServiceCall, headers: &HeaderMap) -> Result<ClaimKey, CallerRefusal> {
    let key = headers.get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    let key = key
        .filter(|key| !key.is_empty() && key.len() <= LONGEST_KEY)
        .ok_or_else(|| {
            let message = format!("this call needs an Idempotency-Key header of 1 to {LONGEST_KEY} characters");
            CallerRefusal::bad_request("idempotency_key_missing", message)
        })?;
    Ok(ClaimKey {
        customer: call.caller.customer.clone(),
        key: key.into(),
    })
}

async fn take_claim(
    entry: &Entry,
    call: &ServiceCall,
    key: &ClaimKey,
    holder: ClaimHolder,
) -> Result<ClaimOutcome, CallerRefusal> {
    let mut content = format!("{} {}\n", call.method, call.path).into_bytes();
    content.extend_from_slice(&call.body);
    let request = ClaimRequest {
        key: key.clone(),
        holder,
        digest: ContentDigest::of(content),
    };
    let span = entry.spans.start("claim", call.caller.trace);
    let traceparent = span.context().to_string();
    let answer = entry.link.call(EntryCall::TakeClaim(request), &traceparent);
    if let Ok(Ok(EntryAnswer::Claim(outcome))) = tokio::time::timeout(CLAIM_TIMEOUT, answer).await {
        return Ok(outcome);
    }
    // The claim may have been committed. It is given back, since this attempt will never be written.
    give_back(entry, key.clone(), holder);
    Err(CallerRefusal::claim_unavailable())
}

fn give_back(entry: &Entry, key: ClaimKey, holder: ClaimHolder) {
    let link = entry.link.clone();
    tokio::spawn(async move {
        let _closed = link
            .call(
                EntryCall::EndClaim {
                    key,
                    holder,
                    end: ClaimEnd::Released,
                },
                "",
            )
            .await;
    });
}

async fn end_claim(entry: &Entry, call: &ServiceCall, key: ClaimKey, holder: ClaimHolder, end: ClaimEnd) {
    let link = entry.link.clone();
    let span = entry.spans.start("claim end", call.caller.trace);
    let traceparent = span.context().to_string();
    let ended = tokio::spawn(async move {
        let _closed = link.call(EntryCall::EndClaim { key, holder, end }, &traceparent).await;
    });
    // When this takes too long, the task goes on; until it is through, resends are told that the call is running.
    let _late = tokio::time::timeout(END_TIMEOUT, ended).await;
}

fn placement<'call>(
    call: &'call ServiceCall,
    view: &'call EndpointView,
    tried: &'call [EndpointName],
) -> PlacementRequest<'call> {
    PlacementRequest {
        pool: &call.route.pool,
        target: &call.route.target,
        prefix: &[],
        pieces: CALL_COST.pieces,
        tried,
        version: &StreamVersion::Any,
        rests: &view.rests,
    }
}

fn no_endpoint(entry: &Entry, call: &ServiceCall) -> CallerRefusal {
    let now = boot_now();
    let view = entry.endpoints.lock();
    CallerRefusal::no_endpoint(now, rest_end(now, &view.table, placement(call, &view, &[])))
}

fn place(entry: &Entry, call: &ServiceCall, tried: &[EndpointName]) -> Option<(EndpointName, EndpointRow)> {
    let view = entry.endpoints.lock();
    let request = placement(call, &view, tried);
    let placed = place_by_policy(entry, boot_now(), &view, request);
    placed.map(|(endpoint, row)| (endpoint.clone(), row.clone()))
}

async fn bill(entry: &Entry, call: &ServiceCall) {
    let _span = entry.spans.start("usage commit", call.caller.trace);
    let figures = UsageFigures {
        calls: 1,
        ..UsageFigures::default()
    };
    entry
        .usage
        .record(entry.incarnation(), &call.caller.customer, figures)
        .await;
}

fn to_stored(answer: &ServiceAnswer) -> StoredAnswer {
    let kind = answer
        .content_type
        .as_ref()
        .and_then(|kind| kind.to_str().ok())
        .unwrap_or_default();
    StoredAnswer {
        status: answer.status.as_u16(),
        content_type: kind.to_owned(),
        body: (answer.body.len() <= MAX_STORED_ANSWER_BYTES).then(|| answer.body.clone()),
    }
}

fn stored(answer: StoredAnswer) -> ServiceAnswer {
    ServiceAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: HeaderValue::from_str(&answer.content_type).ok(),
        body: answer.body.unwrap_or_default(),
    }
}

fn response_of(answer: ServiceAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    if let Some(kind) = answer.content_type {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response
}
