//! A caller's request after it was authenticated and routed.

use std::time::Duration;

use acacia_http::BodyRefusal;
use acacia_runtime::clock::boot_now;
use acacia_runtime::trace::{TRACEPARENT, TraceContext};
use acacia_settings::AdmissionPolicy;
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint::EndpointRow;
use acaciabay::core::fair_queue::RequestCost;
use acaciabay::core::name::{CustomerName, EndpointName};
use acaciabay::core::table::{PoolRow, RouteTarget};
use acaciabay::ops::place_request::{PlacementRequest, place_request, place_round_robin};
use acaciabay::ops::route_request::{RouteRefusal, route_request};
use acaciabay::util::digest::ContentDigest;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;

use crate::admission::AdmissionPermit;
use crate::refusal::CallerRefusal;
use crate::shared::{EndpointView, Entry};

/// The header in which a caller asks for an earlier deadline than its route's, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Who sent a request, and how it is traced.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    pub(crate) customer: CustomerName,
    /// The digest of the key that came with the request.
    pub(crate) key: ContentDigest,
    /// The id under which this request goes to an endpoint, unique over all entries and all time.
    pub(crate) id: String,
    pub(crate) trace: TraceContext,
    pub(crate) arrived_at: BootTime,
    deadline: Option<Duration>,
}

/// Where a request goes and until when.
#[derive(Clone, Debug)]
pub(crate) struct CallerRoute {
    pub(crate) target: RouteTarget,
    pub(crate) pool: PoolRow,
    pub(crate) deadline: BootTime,
}

/// Authenticates a request. The key is checked at every request, since it may be withdrawn while its connection is open.
pub(crate) fn identify(
    entry: &Entry,
    headers: &HeaderMap,
    trace: TraceContext,
) -> Result<CallerIdentity, CallerRefusal> {
    let now = boot_now();
    if entry.stop.is_cancelled() {
        return Err(CallerRefusal::stopping());
    }
    if !entry.may_serve(now) {
        return Err(CallerRefusal::no_lease());
    }
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header
        .and_then(|header| header.strip_prefix("Bearer "))
        .ok_or_else(CallerRefusal::unauthenticated)?;
    let config = entry.config();
    let key = ContentDigest::of(key);
    let customer = config
        .keys
        .authenticate(&key)
        .ok_or_else(CallerRefusal::unauthenticated)?;
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    Ok(CallerIdentity {
        customer: customer.clone(),
        key,
        id: format!(
            "{}-{}-{}",
            entry.settings.host,
            entry.incarnation().0,
            entry.next_number()
        ),
        trace,
        arrived_at: now,
        deadline: text(DEADLINE_HEADER)
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis),
    })
}

/// Finds the pool of a request and its deadline.
pub(crate) fn find_route(
    entry: &Entry,
    caller: &CallerIdentity,
    target: RouteTarget,
) -> Result<CallerRoute, CallerRefusal> {
    let config = entry.config();
    let name = match &target {
        RouteTarget::Model(model) => model.as_str(),
        RouteTarget::Service(service) => service.as_str(),
    };
    let routed = route_request(&config, &caller.customer, &target).map_err(|refusal| match refusal {
        RouteRefusal::NoRoute => CallerRefusal::no_route(name),
        RouteRefusal::NoPool => CallerRefusal::no_pool(name),
    })?;
    let allowed = caller
        .deadline
        .map_or(routed.route.deadline, |asked| asked.min(routed.route.deadline));
    let pool = routed.pool.clone();
    Ok(CallerRoute {
        target,
        pool,
        deadline: caller.arrived_at + allowed,
    })
}

/// Reads a caller's body within the entry's limits.
pub(crate) async fn read_caller_body(entry: &Entry, body: Incoming) -> Result<Bytes, CallerRefusal> {
    let limits = entry.settings.limits;
    match entry.intake.read(body, limits.body_bytes, limits.body_timeout).await {
        Ok(body) => Ok(body),
        Err(BodyRefusal::NoRoom) => Err(CallerRefusal::no_memory()),
        Err(BodyRefusal::TooLarge) => Err(CallerRefusal::body_too_large(limits.body_bytes)),
        Err(BodyRefusal::TimedOut | BodyRefusal::Broken) => Err(CallerRefusal::body_timeout()),
    }
}

/// Returns the trace that a request belongs to, or starts one.
pub(crate) fn trace_of(headers: &HeaderMap) -> TraceContext {
    let header = headers.get(TRACEPARENT).and_then(|value| value.to_str().ok());
    header
        .and_then(TraceContext::parse)
        .unwrap_or_else(|| TraceContext::new_root(&mut rand::rng()))
}

/// Returns the time left until a deadline.
pub(crate) fn time_left(now: BootTime, deadline: BootTime) -> Duration {
    deadline.since(now)
}

/// Waits until the request may run, by the entry's policy.
///
/// What could not be answered within its deadline even if it ran at once is refused without waiting: it would only
/// take an engine's time from requests that can.
pub(crate) async fn admit(
    entry: &Entry,
    caller: &CallerIdentity,
    route: &CallerRoute,
    cost: RequestCost,
    output_tokens: u64,
) -> Result<AdmissionPermit, CallerRefusal> {
    match entry.settings.policy {
        AdmissionPolicy::Baseline => Ok(AdmissionPermit::unlimited()),
        AdmissionPolicy::Fair => {
            let now = boot_now();
            let service = entry.admission.expected_service(&route.pool.name, output_tokens);
            let spare = time_left(now, route.deadline).saturating_sub(service);
            let patience = entry.settings.limits.queue_wait.min(spare);
            if patience.is_zero() {
                return Err(CallerRefusal::overloaded(service));
            }
            let span = entry.spans.start("admission", caller.trace);
            let admitted = entry
                .admission
                .admit(now, &route.pool.name, &caller.customer, cost, patience)
                .await;
            drop(span);
            admitted.map_err(|refusal| CallerRefusal::overloaded(refusal.retry_after))
        }
    }
}

/// Picks an endpoint by the entry's policy.
pub(crate) fn place_by_policy<'view>(
    entry: &Entry,
    now: BootTime,
    view: &'view EndpointView,
    request: PlacementRequest<'_>,
) -> Option<(&'view EndpointName, &'view EndpointRow)> {
    match entry.settings.policy {
        AdmissionPolicy::Fair => place_request(now, &mut rand::rng(), &view.table, &view.sends, request),
        AdmissionPolicy::Baseline => place_round_robin(now, entry.next_number(), &view.table, request),
    }
}
