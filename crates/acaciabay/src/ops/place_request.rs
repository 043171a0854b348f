//! Picks the endpoint for a request.

use std::collections::BTreeMap;

use rand::Rng;

use crate::core::clock::BootTime;
use crate::core::endpoint::{EndpointRow, EndpointTable, EndpointWork};
use crate::core::name::EndpointName;
use crate::core::table::{PoolRow, RouteTarget};
use crate::util::rendezvous;

/// How far above the mean an endpoint may be loaded before prefix affinity no longer applies to it.
///
/// Affinity without a bound sends every request with a popular prompt prefix to one engine.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// What this entry itself has under way at each endpoint, which the endpoint's lagging report may not contain yet.
pub type OwnSends = BTreeMap<EndpointName, u32>;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'request> {
    /// The pool to choose from.
    pub pool: &'request PoolRow,
    /// The model or service asked for.
    pub target: &'request RouteTarget,
    /// The digestible start of the prompt, whose cached form an engine may hold; empty for none.
    pub prefix: &'request [u8],
    /// Endpoints that an earlier attempt of this request has used.
    pub tried: &'request [EndpointName],
}

/// Picks an endpoint that takes work, by prefix affinity while load allows it and by two random choices otherwise.
///
/// Returns nothing when no endpoint of the pool takes work for the target. Two random choices keep two entries that
/// see the same idle endpoint from both sending everything to it.
pub fn place_request<'table>(
    now: BootTime,
    random: &mut impl Rng,
    endpoints: &'table EndpointTable,
    sends: &OwnSends,
    request: PlacementRequest<'_>,
) -> Option<(&'table EndpointName, &'table EndpointRow)> {
    let candidates: Vec<_> = endpoints
        .rows()
        .filter(|(name, row)| is_candidate(now, name, row, request))
        .collect();
    if candidates.is_empty() {
        return None;
    }
    if !request.prefix.is_empty() {
        let favourite = candidates
            .iter()
            .max_by_key(|(name, _)| rendezvous::score(request.prefix, name.as_str().as_bytes()))
            .copied()?;
        if within_bound(favourite, &candidates, sends) {
            return Some(favourite);
        }
    }
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    Some(if load(first, sends) <= load(second, sends) {
        first
    } else {
        second
    })
}

fn is_candidate(now: BootTime, name: &EndpointName, row: &EndpointRow, request: PlacementRequest<'_>) -> bool {
    request.pool.contains(name)
        && row.takes_work(now)
        && does_work(&row.work, request.target)
        && !request.tried.contains(name)
}

fn does_work(work: &EndpointWork, target: &RouteTarget) -> bool {
    match (work, target) {
        (EndpointWork::Models(models), RouteTarget::Model(model)) => models.contains(model),
        (EndpointWork::Service(own), RouteTarget::Service(service)) => own == service,
        (EndpointWork::Models(_), RouteTarget::Service(_)) | (EndpointWork::Service(_), RouteTarget::Model(_)) => false,
    }
}

fn within_bound(
    favourite: (&EndpointName, &EndpointRow),
    candidates: &[(&EndpointName, &EndpointRow)],
    sends: &OwnSends,
) -> bool {
    let total: f64 = candidates.iter().map(|candidate| load(*candidate, sends)).sum();
    let mean = total / candidates.len() as f64;
    let one_more = 1.0 / f64::from(favourite.1.slots.max(1));
    load(favourite, sends) <= mean * AFFINITY_LOAD_BOUND + one_more
}

/// The share of the endpoint's slots in use: its own report, or what this entry has sent when that is more.
fn load((name, row): (&EndpointName, &EndpointRow), sends: &OwnSends) -> f64 {
    let own = sends.get(name).copied().unwrap_or(0);
    f64::from(row.running.max(own)) / f64::from(row.slots.max(1))
}
