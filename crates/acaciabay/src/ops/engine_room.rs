//! Whether an engine has memory for another call.
//!
//! An endpoint crashes if the requests that it holds exceed its memory, and all calls on it are lost. What the other entries
//! have sent since they reported is not known, so part of the memory is left for it.

use crate::core::name::EndpointName;
use crate::ops::place_call::{Candidate, PlacementView, SliceView};

/// Largest part of an engine's memory that is left for calls on their way. Without a limit, no engine that is half full
/// would get calls once the information is old.
const MAX_MARGIN: f64 = 0.25;

/// Returns the candidates that have memory for another call with this number of tokens: all of them, if the entry has no
/// slice or the endpoints are no engines.
pub fn with_memory<'table>(
    view: &PlacementView<'_>,
    candidates: &[Candidate<'table>],
    tokens: u64,
) -> Vec<Candidate<'table>> {
    let Some(slice) = view.slice.filter(|slice| slice.memory_tokens > 0) else {
        return candidates.to_vec();
    };
    let has_room = |(name, _): &&Candidate<'_>| has_memory(view, slice, name, tokens);
    candidates.iter().filter(has_room).copied().collect()
}

fn has_memory(view: &PlacementView<'_>, slice: SliceView<'_>, name: &EndpointName, tokens: u64) -> bool {
    let (own, peers) = view.loads.work_by_origin(name);
    let memory = slice.memory_tokens as f64;
    // Of the prompts queued at an engine that prefills, only what it has to prefill is counted: the least that it holds.
    let peers = (peers.held_tokens + peers.unread_tokens) as f64;
    let own = (own.held_tokens + own.unread_tokens) as f64;
    // As much as has ended since the information was sent has probably arrived, too.
    let on_the_way = peers * (1.0 - view.peer_fraction(slice.work_time));
    own + peers + on_the_way.min(MAX_MARGIN * memory) + tokens as f64 <= memory
}
