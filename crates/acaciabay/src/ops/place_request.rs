//! Choice of the endpoint for a request.

use std::collections::BTreeMap;

use rand::Rng;

use crate::core::clock::BootTime;
use crate::core::endpoint::{EndpointIncarnation, EndpointRow, EndpointTable, EndpointWork};
use crate::core::endpoint_rest::RestTable;
use crate::core::name::EndpointName;
use crate::core::serving::software_version::StreamVersion;
use crate::core::table::{PoolRow, RouteTarget};
use crate::util::rendezvous;

/// Ratio of an endpoint's load to the mean load up to which prefix affinity applies.
///
/// Without a bound, affinity would send every request with a popular prompt prefix to one engine.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// The load that this entry's own requests in flight put on one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Pieces of the endpoint's memory that they hold.
    pub pieces: u32,
    /// Number of these pieces that the endpoint's latest report includes.
    pub reported: u32,
}

/// The load that this entry puts on each endpoint, which the endpoint's lagging report may not include yet.
pub type LocalLoads = BTreeMap<EndpointName, LocalLoad>;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'request> {
    /// The pool to choose from.
    pub pool: &'request PoolRow,
    /// The requested model or service.
    pub target: &'request RouteTarget,
    /// The first bytes of the prompt, whose hash selects the engine that may have them cached. Empty without affinity.
    pub prefix: &'request [u8],
    /// Pieces of memory that the request needs.
    pub pieces: u32,
    /// Endpoints used by earlier attempts of this request.
    pub tried: &'request [EndpointName],
    /// The software version that has to write the rest of the answer.
    pub version: &'request StreamVersion,
    /// Rest that endpoints have asked this entry for.
    pub rests: &'request RestTable<EndpointIncarnation>,
}

/// Chooses an endpoint by prefix affinity if its load allows it, and otherwise by the power of two random choices.
///
/// Returns `None` if no endpoint of the pool that is not in `tried` takes work for the target. With two random choices,
/// entries that see the same idle endpoint do not all send everything to it.
pub fn place_request<'table>(
    now: BootTime,
    random: &mut impl Rng,
    endpoints: &'table EndpointTable,
    local_loads: &LocalLoads,
    request: PlacementRequest<'_>,
) -> Option<(&'table EndpointName, &'table EndpointRow)> {
    let mut candidates: Vec<_> = endpoints
        .rows()
        .filter(|(name, row)| is_eligible(now, name, row, request))
        .collect();
    let with_room = |candidate: &(&EndpointName, &EndpointRow)| has_room(*candidate, local_loads, request.pieces);
    if candidates.iter().any(with_room) {
        candidates.retain(with_room);
    }
    if candidates.is_empty() {
        return None;
    }
    if !request.prefix.is_empty() {
        let preferred = highest_ranked(request.prefix, &candidates)?;
        if is_within_affinity_bound(preferred, &candidates, local_loads, request.pieces) {
            return Some(preferred);
        }
    }
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    Some(if load(first, local_loads) <= load(second, local_loads) {
        first
    } else {
        second
    })
}

/// Chooses the endpoints in turn (round robin) regardless of load, as the baseline for measurements.
pub fn place_round_robin<'table>(
    now: BootTime,
    turn: u64,
    endpoints: &'table EndpointTable,
    request: PlacementRequest<'_>,
) -> Option<(&'table EndpointName, &'table EndpointRow)> {
    let candidates: Vec<_> = endpoints
        .rows()
        .filter(|(name, row)| is_eligible(now, name, row, request))
        .collect();
    let index = usize::try_from(turn).unwrap_or(0).checked_rem(candidates.len())?;
    candidates.get(index).copied()
}

/// Returns when the first of the endpoints that could serve the request can be sent it, if all of them rest.
pub fn rest_end(now: BootTime, endpoints: &EndpointTable, request: PlacementRequest<'_>) -> Option<BootTime> {
    let awake = RestTable::default();
    let request_awake = PlacementRequest {
        rests: &awake,
        tried: &[],
        ..request
    };
    let served = endpoints
        .rows()
        .filter(|(name, row)| is_eligible(now, name, row, request_awake));
    request
        .rests
        .common_rest(now, served.map(|(name, row)| (name, row.incarnation)))
}

fn highest_ranked<'table>(
    prefix: &[u8],
    candidates: &[(&'table EndpointName, &'table EndpointRow)],
) -> Option<(&'table EndpointName, &'table EndpointRow)> {
    candidates
        .iter()
        .max_by_key(|(name, _)| rendezvous::score(prefix, name.as_str().as_bytes()))
        .copied()
}

fn is_eligible(now: BootTime, name: &EndpointName, row: &EndpointRow, request: PlacementRequest<'_>) -> bool {
    request.pool.contains(name)
        && row.takes_work(now)
        && request.rests.admits(now, (name, row.incarnation))
        && serves_target(&row.work, request.target)
        && !request.tried.contains(name)
        && request.version.admits(row.version.as_ref())
}

fn serves_target(work: &EndpointWork, target: &RouteTarget) -> bool {
    match (work, target) {
        (EndpointWork::Models(models), RouteTarget::Model(model)) => models.contains(model),
        (EndpointWork::Service(served), RouteTarget::Service(service)) => served == service,
        (EndpointWork::Models(_), RouteTarget::Service(_)) | (EndpointWork::Service(_), RouteTarget::Model(_)) => false,
    }
}

fn is_within_affinity_bound(
    preferred: (&EndpointName, &EndpointRow),
    candidates: &[(&EndpointName, &EndpointRow)],
    local_loads: &LocalLoads,
    pieces: u32,
) -> bool {
    let total: f64 = candidates.iter().map(|candidate| load(*candidate, local_loads)).sum();
    let mean = total / candidates.len() as f64;
    let request_load = f64::from(pieces) / f64::from(preferred.1.pieces.max(1));
    load(preferred, local_loads) <= mean * AFFINITY_LOAD_BOUND + request_load
}

fn has_room((name, row): (&EndpointName, &EndpointRow), local_loads: &LocalLoads, pieces: u32) -> bool {
    used_pieces((name, row), local_loads) + pieces <= row.pieces
}

/// Returns the fraction of the endpoint's memory in use.
fn load((name, row): (&EndpointName, &EndpointRow), local_loads: &LocalLoads) -> f64 {
    f64::from(used_pieces((name, row), local_loads)) / f64::from(row.pieces.max(1))
}

/// Returns the pieces in use by the endpoint's report, plus those that this entry has sent since.
fn used_pieces((name, row): (&EndpointName, &EndpointRow), local_loads: &LocalLoads) -> u32 {
    let local = local_loads.get(name).copied().unwrap_or_default();
    row.pieces_used
        .saturating_add(local.pieces.saturating_sub(local.reported))
}
