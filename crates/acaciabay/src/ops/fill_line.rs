//! Choice of an endpoint for a stream or a plain call by an entry that has a slice of the service's endpoints.
//!
//! What is known of the other entries' work is older than most differences between endpoints. If every entry chose the
//! endpoint with the least known work, all would choose the same one until they learn of each other's calls. Instead, the
//! calls that all entries send within the age of the information are divided among the endpoints, so that all would have
//! the same work for their speed. Each endpoint gets a length on the line by the calls that it lacks, and the entry chooses
//! within its slice of the line. No other entry chooses there at the same time.

use crate::core::name::{DomainName, EndpointName};
use crate::ops::place_call::{Candidate, PlacementView, SLOT_PENALTY, SliceView};

/// An endpoint to which calls can be sent.
#[derive(Clone, Copy, Debug)]
struct FillRow<'table> {
    candidate: Candidate<'table>,
    /// Calls that are probably still running.
    calls: f64,
    /// Calls of the other entries that have probably ended since the information was sent, and that others have replaced.
    replaced: f64,
    /// Calls that the endpoint deserves where one of usual speed deserves one.
    capacity: f64,
}

/// Chooses an endpoint by the slice, in the preferred failure domain unless its endpoints have much more work for their
/// speed.
pub(super) fn place_by_slice(
    view: &PlacementView<'_>,
    slice: SliceView<'_>,
    candidates: &[Candidate<'_>],
    memory_tokens: u64,
    preferred_domain: &DomainName,
) -> Option<EndpointName> {
    let all: Vec<FillRow<'_>> = candidates
        .iter()
        .map(|candidate| fill_row(view, slice, *candidate, memory_tokens))
        .collect();
    let healthy: Vec<FillRow<'_>> = all
        .iter()
        .filter(|row| !view.loads.is_suspected(view.now, row.candidate.0))
        .copied()
        .collect();
    let mut rows = if healthy.is_empty() { all } else { healthy };
    let local: Vec<FillRow<'_>> = rows
        .iter()
        .filter(|row| row.candidate.1.domain == *preferred_domain)
        .copied()
        .collect();
    let detour_calls = SLOT_PENALTY.other_domain * f64::from(candidates.first()?.1.slots.max(1));
    if !local.is_empty() && fill_level(&local) <= fill_level(&rows) + detour_calls {
        rows = local;
    }
    choose_in_slice(slice, rows)
}

fn fill_row<'table>(
    view: &PlacementView<'_>,
    slice: SliceView<'_>,
    candidate: Candidate<'table>,
    memory_tokens: u64,
) -> FillRow<'table> {
    let (name, endpoint) = candidate;
    let slowdown = view.loads.slowdown(view.now, name);
    let peer_fraction = view.peer_fraction(slice.work_time.mul_f64(slowdown));
    let (own, peers) = view.loads.work_by_origin(name);
    let slots = f64::from(endpoint.slots.max(1));
    let permitted = if view.permitted.contains(name) {
        SLOT_PENALTY.permitted * slots
    } else {
        0.0
    };
    // Calls count by their memory where that fills up before the slots.
    let by_memory = |tokens: u64| {
        if memory_tokens == 0 {
            0.0
        } else {
            slots * tokens as f64 / memory_tokens as f64
        }
    };
    let own = (own.calls as f64).max(by_memory(own.held_tokens));
    let peers = (peers.calls as f64).max(by_memory(peers.held_tokens));
    FillRow {
        candidate,
        calls: own + peer_fraction * peers + permitted,
        replaced: (1.0 - peer_fraction) * peers,
        capacity: 1.0 / slowdown,
    }
}

/// Returns the calls for an endpoint of usual speed at which all endpoints have the same work for their speed, once this
/// call and those of the other entries have arrived.
fn fill_level(rows: &[FillRow<'_>]) -> f64 {
    let mut arrivals = 1.0 + rows.iter().map(|row| row.replaced).sum::<f64>();
    let mut levels: Vec<(f64, f64)> = rows
        .iter()
        .map(|row| (row.calls / row.capacity, row.capacity))
        .collect();
    levels.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut level = levels.first().map_or(0.0, |(level, _)| *level);
    let mut capacity = 0.0;
    for (next, added) in levels {
        let needed = (next - level) * capacity;
        if needed > arrivals {
            break;
        }
        arrivals -= needed;
        level = next;
        capacity += added;
    }
    if capacity > 0.0 {
        level + arrivals / capacity
    } else {
        level
    }
}

/// Lays out what the endpoints lack up to the common level, and chooses one within the slice.
fn choose_in_slice(slice: SliceView<'_>, mut rows: Vec<FillRow<'_>>) -> Option<EndpointName> {
    let level = fill_level(&rows);
    rows.sort_by_cached_key(|row| slice.line.rank(row.candidate.0));
    let lacking = |row: &FillRow<'_>| (level * row.capacity - row.calls).max(0.0);
    let total: f64 = rows.iter().map(lacking).sum();
    let position = total
        * slice
            .line
            .slice()
            .position(slice.line.fraction(rows.first()?.candidate.0, slice.draw));
    let mut end = 0.0;
    let chosen = rows.iter().find(|row| {
        end += lacking(row);
        position < end
    });
    chosen.or(rows.last()).map(|row| row.candidate.0.clone())
}
