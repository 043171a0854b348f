//! Limits that endpoints name: what answers say of them, permits of the leader, and calls for which no endpoint of their
//! service has room.

use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::LimitTable;
use acacia_wire::limit_answer_from_wire;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_limit::{LimitNotice, LimitVersion, RateLimit};
use acaciabay::core::serving::endpoint_registry::ServingEndpoint;
use acaciabay::core::serving::limit_gate::{LimitGate, LimitObservation, LimitedEndpoint};
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::ops::place_call::Candidate;
use acaciabay::util::number::whole_millis;
use acaciabay::util::rendezvous;
use hyper::StatusCode;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;
use super::endpoint_rests::choose_after_rest;
use super::refusal::{CallRefusal, NO_ENDPOINT_RETRY_DELAY, NO_MEMORY, SHORT_RETRY_DELAY, not_run};
use super::shared::EntryShared;
use super::write_permits::{LimitPermit, WithheldReason};

/// Longest time for which a call waits for a permit: some exchanges with the leader.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// A call waits for a permit for at most this fraction of the time that it has left.
const PERMIT_FRACTION: f64 = 0.2;

/// Endpoint with a limit that would have been the best choice for a call.
#[derive(Clone, Debug)]
pub(super) struct LimitDetour {
    pub(super) endpoint: EndpointName,
    pub(super) limit: RateLimit,
}

/// An answer, as far as the limit of its endpoint is concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitAnswerHead {
    pub(super) notice: LimitNotice,
    pub(super) status: StatusCode,
    /// True if the endpoint states that it has run this very request.
    pub(super) has_run: bool,
}

pub(super) const fn limited<'call>(name: &'call EndpointName, endpoint: &ServingEndpoint) -> LimitedEndpoint<'call> {
    LimitedEndpoint {
        name,
        incarnation: endpoint.incarnation,
    }
}

impl ChosenEndpoint {
    fn limited(&self) -> LimitedEndpoint<'_> {
        limited(&self.name, &self.endpoint)
    }
}

impl EntryShared {
    /// Takes a permit if the endpoint has a limit.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint may be sent nothing now.
    pub(super) fn acquire_permit(&self, now: BootTime, chosen: &ChosenEndpoint) -> Result<LimitPermit, WithheldReason> {
        let mut state = self.state();
        if !state.loads.rests.may_write(now, chosen.rest_key()) {
            return Err(WithheldReason::AtRest);
        }
        let is_limited = state.limits.limit(chosen.limited()).is_some();
        let acquired = state.limits.acquire(now, chosen.limited());
        let version = acquired.ok_or(WithheldReason::LimitReached)?;
        Ok(LimitPermit {
            at: now,
            version,
            is_limited,
        })
    }

    /// Returns true if the endpoint has a limit.
    pub(super) fn is_limited(&self, chosen: &ChosenEndpoint) -> bool {
        self.state().limits.limit(chosen.limited()).is_some()
    }

    /// Applies the leader's answer to the report that was sent at `reported_at`.
    pub(super) fn apply_limits(&self, reported_at: BootTime, table: &LimitTable) -> std::io::Result<()> {
        let answer = limit_answer_from_wire(table).map_err(|error| {
            slog::warn!(self.log, "malformed limits received"; "event" => event::MESSAGE_REFUSED, "error" => %error);
            std::io::Error::from(std::io::ErrorKind::InvalidData)
        })?;
        self.state().limits.apply_answer(reported_at, &answer);
        if !answer.rows.is_empty() {
            self.limit_news.notify_waiters();
        }
        Ok(())
    }
}

/// Records what an answer says about the limit of its endpoint, and logs it if it is news. `known` is the version under
/// which the request was sent.
pub(super) fn record_limit_notice(
    call: &AcceptedCall,
    chosen: &ChosenEndpoint,
    known: LimitVersion,
    head: LimitAnswerHead,
) {
    // The answer of another endpoint at this address says nothing about this one.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let observation = LimitObservation {
        known,
        notice: head.notice,
        is_success: head.has_run && head.status.is_success(),
    };
    let (before, is_news) = {
        let mut state = call.shared.state();
        let before = state.limits.limit(chosen.limited());
        (before, state.limits.observe(chosen.limited(), &observation))
    };
    if !is_news && head.notice != LimitNotice::Unreadable {
        return;
    }
    slog::info!(call.shared.log, "endpoint limit seen"; "event" => event::LIMIT_NAMED,
        "request" => &call.head.request, "endpoint" => chosen.name.as_str(), "birth" => chosen.endpoint.incarnation.0,
        "before" => before.map(RateLimit::rate), "notice" => ?head.notice, "known" => known.0,
        "status" => head.status.as_u16());
    if is_news {
        metrics::counter!("acacia_endpoint_limits_seen_total").increment(1);
        call.shared.request_report();
    }
}

/// Logs and counts a call that goes to another endpoint because of a limit.
pub(super) fn record_detour(call: &AcceptedCall, chosen: &ChosenEndpoint) {
    let Some(detour) = &chosen.detour else { return };
    slog::info!(call.shared.log, "call sent elsewhere because of a limit"; "event" => event::LIMIT_DETOUR,
        "request" => &call.head.request, "endpoint" => detour.endpoint.as_str(), "limit" => detour.limit.rate(),
        "chosen" => chosen.name.as_str());
    metrics::counter!("acacia_limit_detours_total").increment(1);
}

/// Reason for which no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChoiceFailure {
    /// There is none, or limits stand against all.
    NoEndpoint,
    /// The memory of all engines is full.
    NoMemory,
}

/// Chooses an endpoint, and waits for a permit if only limits stand against it, or for the end of a rest if the call can go on
/// nowhere else. `choose` chooses among the endpoints that may be sent a request: those of the given version that were not tried.
///
/// # Errors
///
/// Refuses the call with the given reason if its service has no endpoint, and with a delay that suits the limits or the rests
/// if none has room.
pub(super) async fn choose_with_permit<T>(
    call: &AcceptedCall,
    no_endpoint: &'static str,
    (tried, version): (&[EndpointName], &StreamVersion),
    choose: impl Fn(BootTime) -> Result<T, ChoiceFailure>,
) -> Result<T, CallRefusal> {
    let began_at = boot_now();
    match choose(began_at) {
        Ok(chosen) => return Ok(chosen),
        Err(ChoiceFailure::NoMemory) => return Err(not_run(NO_MEMORY, SHORT_RETRY_DELAY)),
        Err(ChoiceFailure::NoEndpoint) => {}
    }
    if let Some(until) = call.shared.rest_end(began_at, &call.service, version) {
        return choose_after_rest(call, version, until, choose).await;
    }
    if limits_of(call, tried, version, began_at).is_empty() {
        return Err(not_run(no_endpoint, NO_ENDPOINT_RETRY_DELAY));
    }
    let patience = call.time_left(began_at).mul_f64(PERMIT_FRACTION).min(PERMIT_TIMEOUT);
    // Where calls have just been refused, permits are used up as fast as they come.
    if !call.shared.state().limits.has_queue(began_at, &call.service) {
        let until = tokio::time::Instant::now() + patience;
        let mut news = call.shared.limit_news.notified();
        call.shared.request_report();
        while tokio::time::timeout_at(until, news).await.is_ok() {
            news = call.shared.limit_news.notified();
            match choose(boot_now()) {
                Ok(chosen) => return Ok(chosen),
                Err(ChoiceFailure::NoMemory) => return Err(not_run(NO_MEMORY, SHORT_RETRY_DELAY)),
                Err(ChoiceFailure::NoEndpoint) => {}
            }
        }
    }
    Err(refuse_for_limits(call, tried, version, boot_now()))
}

fn refuse_for_limits(
    call: &AcceptedCall,
    tried: &[EndpointName],
    version: &StreamVersion,
    now: BootTime,
) -> CallRefusal {
    let limits = limits_of(call, tried, version, now);
    let draw = rendezvous::fraction(call.request_hash);
    let refusal = {
        let mut state = call.shared.state();
        let entries = state.entry_count;
        state.limits.refuse(now, &call.service, limits, entries, draw)
    };
    slog::info!(call.shared.log, "limits reached"; "event" => event::LIMITS_REACHED, "request" => &call.head.request,
        "service" => call.service.as_str(), "rate" => refusal.rate, "ahead" => refusal.ahead,
        "retry_ms" => whole_millis(refusal.retry_after));
    metrics::counter!("acacia_limit_refused_total").increment(1);
    not_run("endpoint limits", refusal.retry_after)
}

/// Returns the limits of the endpoints of a call's service and of this version that it has not tried.
fn limits_of(call: &AcceptedCall, tried: &[EndpointName], version: &StreamVersion, now: BootTime) -> Vec<RateLimit> {
    let state = call.shared.state();
    if !state.limits.has_limits() {
        return Vec::new();
    }
    let ready = state.registry.ready(now, &call.service).into_iter();
    ready
        .filter(|(name, endpoint)| !tried.contains(name) && version.admits(endpoint.version.as_ref()))
        .filter_map(|(name, endpoint)| state.limits.limit(limited(name, endpoint)))
        .collect()
}

/// Chooses among the candidates to which the entry may send, and says which one a limit stood against. `choose` gets
/// candidates, and those of them whose permits would otherwise expire; `name_of` returns the endpoint of its choice.
pub(super) fn choose_within_limits<T>(
    now: BootTime,
    limits: &mut LimitGate,
    candidates: &[Candidate<'_>],
    name_of: impl Fn(&T) -> &EndpointName,
    choose: impl Fn(&[Candidate<'_>], &[EndpointName]) -> Option<T>,
) -> Option<(T, Option<LimitDetour>)> {
    let best = choose(candidates, &[])?;
    if !limits.has_limits() {
        return Some((best, None));
    }
    let row_of = |name: &EndpointName| candidates.iter().find(|(known, _)| *known == name).copied();
    let best = row_of(name_of(&best)).map(|(name, endpoint)| limited(name, endpoint))?;
    limits.record_demand(best);
    let admitted: Vec<Candidate<'_>> = candidates
        .iter()
        .copied()
        .filter(|(name, endpoint)| limits.admits(now, limited(name, endpoint)))
        .collect();
    let permitted: Vec<EndpointName> = admitted
        .iter()
        .filter(|(name, endpoint)| limits.has_permit(now, limited(name, endpoint)))
        .map(|(name, _)| (*name).clone())
        .collect();
    let detour = limits.limit(best).filter(|_| !limits.admits(now, best));
    let detour = detour.map(|limit| LimitDetour {
        endpoint: best.name.clone(),
        limit,
    });
    Some((choose(&admitted, &permitted)?, detour))
}
