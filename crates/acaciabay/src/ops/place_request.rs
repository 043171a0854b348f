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

/// What this entry itself has under way at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests.
    pub requests: u32,
    /// Pieces of the endpoint's memory that they hold.
    pub pieces: u32,
    /// How many of these pieces the endpoint's latest report contains.
    pub reported: u32,
}

/// What this entry itself has under way at each endpoint, which the endpoint's lagging report may not contain yet.
pub type OwnSends = BTreeMap<EndpointName, OwnLoad>;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'request> {
    /// The pool to choose from.
    pub pool: &'request PoolRow,
    /// The model or service asked for.
    pub target: &'request RouteTarget,
    /// The digestible start of the prompt, whose cached form an engine may hold; empty for none.
    pub prefix: &'request [u8],
    /// Pieces of memory that it needs.
    pub pieces: u32,
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
    let mut candidates: Vec<_> = endpoints
        .rows()
        .filter(|(name, row)| is_candidate(now, name, row, request))
        .collect();
    let with_room = |candidate: &(&EndpointName, &EndpointRow)| has_room(*candidate, sends, request.pieces);
    if candidates.iter().any(with_room) {
        candidates.retain(with_room);
    }
    if candidates.is_empty() {
        return None;
    }
    if !request.prefix.is_empty() {
        let favourite = favourite_of(request.prefix, &candidates)?;
        if within_bound(favourite, &candidates, sends, request.pieces) {
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

/// Picks the endpoints in turn, whatever their load: the baseline of the measurements.
pub fn place_in_turn<'table>(
    now: BootTime,
    turn: u64,
    endpoints: &'table EndpointTable,
    request: PlacementRequest<'_>,
) -> Option<(&'table EndpointName, &'table EndpointRow)> {
    let candidates: Vec<_> = endpoints
        .rows()
        .filter(|(name, row)| is_candidate(now, name, row, request))
        .collect();
    let place = usize::try_from(turn).unwrap_or(0).checked_rem(candidates.len())?;
    candidates.get(place).copied()
}

fn favourite_of<'table>(
    prefix: &[u8],
    candidates: &[(&'table EndpointName, &'table EndpointRow)],
) -> Option<(&'table EndpointName, &'table EndpointRow)> {
    candidates
        .iter()
        .max_by_key(|(name, _)| rendezvous::score(prefix, name.as_str().as_bytes()))
        .copied()
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
    pieces: u32,
) -> bool {
    let total: f64 = candidates.iter().map(|candidate| load(*candidate, sends)).sum();
    let mean = total / candidates.len() as f64;
    let own = f64::from(pieces) / f64::from(favourite.1.pieces.max(1));
    load(favourite, sends) <= mean * AFFINITY_LOAD_BOUND + own
}

fn has_room((name, row): (&EndpointName, &EndpointRow), sends: &OwnSends, pieces: u32) -> bool {
    used((name, row), sends) + pieces <= row.pieces
}

/// The share of the endpoint's memory in use.
fn load((name, row): (&EndpointName, &EndpointRow), sends: &OwnSends) -> f64 {
    f64::from(used((name, row), sends)) / f64::from(row.pieces.max(1))
}

/// The endpoint's report, corrected by what this entry has sent since.
fn used((name, row): (&EndpointName, &EndpointRow), sends: &OwnSends) -> u32 {
    let own = sends.get(name).copied().unwrap_or_default();
    row.pieces_used.saturating_add(own.pieces.saturating_sub(own.reported))
}
