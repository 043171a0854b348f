//! Calls that take up a stream which an earlier attempt has begun, at this entry or at another one.

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::name::ServiceName;
use acaciabay::core::serving::call_fingerprint::CallContent;
use acaciabay::core::serving::config::CallRoute;
use acaciabay::core::serving::origin_search::{FoundOrigin, OriginRule};
use acaciabay::core::serving::software_version::{SoftwareVersion, StreamVersion};
use acaciabay::core::serving::stream_origin::{OriginFinding, OriginKey};
use acaciabay::util::number::whole_millis;

use super::codec::{CallHead, EarlierAttempt};
use super::refusal::{CallRefusal, SHORT_RETRY_DELAY, UNKNOWN_ORIGIN, not_run};
use super::shared::EntryShared;

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
    shared: &EntryShared,
    head: &CallHead,
    route: &CallRoute,
    content: &CallContent<'_>,
    request_hash: u64,
) -> Result<CallTarget, CallRefusal> {
    if route.kind.is_stream() && head.takes_up_stream() {
        return find_target(shared, head, route, content).await;
    }
    let service = route.pick_service(request_hash).cloned();
    Ok(CallTarget {
        service: service.ok_or(CallRefusal::NoRoute)?,
        version: StreamVersion::Any,
    })
}

async fn find_target(
    shared: &EntryShared,
    head: &CallHead,
    route: &CallRoute,
    content: &CallContent<'_>,
) -> Result<CallTarget, CallRefusal> {
    let services = route
        .shares
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| &share.service);
    let keys: Vec<_> = services
        .filter_map(|service| Some((stream_key(head, service, content)?, service)))
        .collect();
    let searched: Vec<OriginKey> = keys.iter().map(|(key, _)| *key).collect();
    let began_at = boot_now();
    let found = shared.origins.search(&searched, search_rule(head)).await;
    log_search(shared, head, &found, whole_millis(boot_now().since(began_at)));
    let service = keys
        .iter()
        .find(|(key, _)| Some(*key) == found.key)
        .map(|(_, service)| *service);
    match (known_version(&found), service) {
        (Some(version), Some(service)) => Ok(CallTarget {
            service: service.clone(),
            version: StreamVersion::Only(version.clone()),
        }),
        _ => Err(not_run(UNKNOWN_ORIGIN, SHORT_RETRY_DELAY)),
    }
}

/// Returns the key by which the stream is searched, or `None` if the caller names no single attempt. A caller that names none
/// at all is known by the content of its call.
fn stream_key(head: &CallHead, service: &ServiceName, content: &CallContent<'_>) -> Option<OriginKey> {
    match &head.earlier_attempt {
        EarlierAttempt::Named(begun) => Some(OriginKey::of_attempt(content.customer, service, begun)),
        EarlierAttempt::Unnamed => Some(OriginKey::of_content(service, content)),
        EarlierAttempt::Unclear => None,
    }
}

/// Returns how many answers settle the search: calls of the same content share a key, those of one attempt do not.
const fn search_rule(head: &CallHead) -> OriginRule {
    match &head.earlier_attempt {
        EarlierAttempt::Named(_) => OriginRule::FirstRecord,
        EarlierAttempt::Unnamed | EarlierAttempt::Unclear => OriginRule::EveryRecord,
    }
}

const fn known_version(found: &FoundOrigin) -> Option<&SoftwareVersion> {
    match &found.finding {
        OriginFinding::Known(version) => Some(version),
        OriginFinding::Unknown | OriginFinding::Conflicting => None,
    }
}

fn log_search(shared: &EntryShared, head: &CallHead, found: &FoundOrigin, took_ms: u64) {
    let outcome = match &found.finding {
        OriginFinding::Known(_) => "found",
        OriginFinding::Unknown => "unknown",
        OriginFinding::Conflicting => "conflicting",
    };
    slog::info!(shared.log, "origin of a stream searched"; "event" => event::ORIGIN_SEARCHED, "request" => &head.request,
        "resumes" => ?head.earlier_attempt, "after" => head.resume_after, "outcome" => outcome,
        "version" => known_version(found).map(SoftwareVersion::as_str), "source" => ?found.source,
        "age_ms" => whole_millis(found.age), "took_ms" => took_ms);
    metrics::counter!("acacia_stream_origin_searches_total", "outcome" => outcome).increment(1);
}
