//! Calls that take up a stream which an earlier attempt has begun, at this entry or at another one.

use std::sync::Arc;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::name::{CustomerName, ServiceName};
use acaciabay::core::serving::config::CallRoute;
use acaciabay::core::serving::config_index::AdmittedCall;
use acaciabay::core::serving::software_version::{SoftwareVersion, StreamVersion};
use acaciabay::core::serving::stream_origin::{OriginFinding, OriginKey};
use acaciabay::util::number::whole_millis;

use super::codec::{CallHead, EarlierAttempt};
use super::refusal::{CallRefusal, SHORT_RETRY_DELAY, UNKNOWN_ORIGIN, not_run};
use super::shared::EntryShared;
use super::stream_origins::FoundOrigin;

/// Service that runs a call, and the version at which it has to go on.
#[derive(Clone, Debug)]
pub(super) struct CallTarget {
    pub(super) service: ServiceName,
    pub(super) version: StreamVersion,
}

/// Selects the service of a call. A call that takes up a stream goes to the service that has begun it, whatever the weights of
/// its route say now.
///
/// # Errors
///
/// Refuses the call if its route has no service, or if it is not known which version has begun its stream.
pub(super) async fn select_target(
    shared: &Arc<EntryShared>,
    head: &CallHead,
    admitted: &AdmittedCall,
    request_hash: u64,
) -> Result<CallTarget, CallRefusal> {
    let route = &admitted.route;
    if route.kind.is_stream() && head.takes_up_stream() {
        let customer = admitted.customer.as_ref().map(|customer| &customer.name);
        return find_target(shared, head, route, customer).await;
    }
    let service = route.pick_service(request_hash).cloned();
    Ok(CallTarget {
        service: service.ok_or(CallRefusal::NoRoute)?,
        version: StreamVersion::Any,
    })
}

async fn find_target(
    shared: &Arc<EntryShared>,
    head: &CallHead,
    route: &CallRoute,
    customer: Option<&CustomerName>,
) -> Result<CallTarget, CallRefusal> {
    let EarlierAttempt::Named(begun) = &head.earlier_attempt else {
        slog::info!(shared.log, "stream is not known"; "event" => event::ORIGIN_SEARCHED, "request" => &head.request,
            "resumes" => ?head.earlier_attempt, "after" => head.resume_after, "outcome" => "unnamed");
        count_search("unnamed");
        return Err(not_run(UNKNOWN_ORIGIN, SHORT_RETRY_DELAY));
    };
    let services = route
        .shares
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| &share.service);
    let keys: Vec<_> = services
        .map(|service| (OriginKey::of(customer, service, begun), service))
        .collect();
    let searched: Vec<OriginKey> = keys.iter().map(|(key, _)| *key).collect();
    let began_at = boot_now();
    let found = shared.origins.search(&searched).await;
    let service = keys
        .iter()
        .find(|(key, _)| Some(*key) == found.key)
        .map(|(_, service)| *service);
    log_search(shared, head, begun, &found, whole_millis(boot_now().since(began_at)));
    match (known_version(&found), service) {
        (Some(version), Some(service)) => Ok(CallTarget {
            service: service.clone(),
            version: StreamVersion::Only(version.clone()),
        }),
        _ => Err(not_run(UNKNOWN_ORIGIN, SHORT_RETRY_DELAY)),
    }
}

const fn known_version(found: &FoundOrigin) -> Option<&SoftwareVersion> {
    match &found.finding {
        OriginFinding::Known(version) => Some(version),
        OriginFinding::Unknown | OriginFinding::Conflicting => None,
    }
}

fn log_search(shared: &EntryShared, head: &CallHead, begun: &str, found: &FoundOrigin, took_ms: u64) {
    let outcome = match &found.finding {
        OriginFinding::Known(_) => "found",
        OriginFinding::Unknown => "unknown",
        OriginFinding::Conflicting => "conflicting",
    };
    slog::info!(shared.log, "origin of a stream searched"; "event" => event::ORIGIN_SEARCHED, "request" => &head.request,
        "resumes" => begun, "after" => head.resume_after, "outcome" => outcome,
        "version" => known_version(found).map(SoftwareVersion::as_str), "source" => ?found.source,
        "age_ms" => whole_millis(found.age), "took_ms" => took_ms);
    count_search(outcome);
}

fn count_search(outcome: &'static str) {
    metrics::counter!("acacia_stream_origin_searches_total", "outcome" => outcome).increment(1);
}
