//! Which endpoint makes the tokens of a call or answers it whole.
//!
//! Once a prompt is read ([`place_prompt`](crate::ops::place_prompt)), its tokens are made where few calls run
//! ([`place_stream`]), preferably in the failure domain of the engine that holds the prompt. A plain call goes to the
//! endpoint with the most free slots ([`place_plain`]).

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName};
use crate::core::serving::endpoint_load::LoadTable;
use crate::core::serving::endpoint_registry::ServingEndpoint;
use crate::util::rendezvous;

/// An endpoint that may be chosen.
pub type Candidate<'table> = (&'table EndpointName, &'table ServingEndpoint);

/// What placing looks at.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'table> {
    /// The present time.
    pub now: BootTime,
    /// The failure domain of the entry.
    pub domain: &'table DomainName,
    /// The load of the endpoints.
    pub loads: &'table LoadTable,
}

/// What speaks against an endpoint beside its load, as a part of its slots: in another failure domain the prompt takes
/// twice as long on its way there; a recent failure costs more than all slots.
const SLOT_PENALTY: EndpointPenalty = EndpointPenalty {
    other_domain: 0.15,
    suspect: 8.0,
};

/// How far apart engines may be, as a part of their slots, and still be equally good for a stream: entries hear of each
/// other's streams a moment late, and would meanwhile all choose the one with the fewest.
const STREAM_SPREAD: f64 = 0.1;

/// Chooses where tokens are made. `reader_domain` is where the prompt was read, if it was read elsewhere; `draw` spreads
/// calls over engines that are equally good.
pub fn place_stream(
    view: &PlacementView<'_>,
    candidates: &[Candidate<'_>],
    memory_tokens: u64,
    reader_domain: Option<&DomainName>,
    draw: u64,
) -> Option<EndpointName> {
    let wanted = reader_domain.unwrap_or(view.domain);
    let scored = candidates.iter().map(|candidate| {
        let (name, endpoint) = *candidate;
        let work = view.loads.work(name);
        let slots = work.calls as f64 / f64::from(endpoint.slots.max(1));
        let memory = work.held_tokens as f64 / memory_tokens.max(1) as f64;
        let spread = STREAM_SPREAD * drawn(draw, name) as f64 / u64::MAX as f64;
        (
            slots.max(memory) + spread + SLOT_PENALTY.of(view, *candidate, wanted),
            name,
        )
    });
    let best = scored.min_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, name)| name.clone())
}

/// Returns a number that is drawn anew for each call and endpoint.
fn drawn(draw: u64, name: &EndpointName) -> u64 {
    rendezvous::combine_hashes(draw, rendezvous::hash(name.as_str().as_bytes()))
}

/// Chooses where a plain call goes; `draw` spreads calls over endpoints that are equally good.
pub fn place_plain(view: &PlacementView<'_>, candidates: &[Candidate<'_>], draw: u64) -> Option<EndpointName> {
    let scored = candidates.iter().map(|candidate| {
        let (name, endpoint) = *candidate;
        let work = view.loads.work(name);
        let used = work.calls as f64 / f64::from(endpoint.slots.max(1));
        let spread = drawn(draw, name);
        (used + SLOT_PENALTY.of(view, *candidate, view.domain), spread, name)
    });
    let best = scored.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    best.map(|(_, _, name)| name.clone())
}

/// What speaks against an endpoint beside its load, in the unit in which its load is counted.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointPenalty {
    /// It is in another failure domain than the one wanted.
    pub(super) other_domain: f64,
    /// It has failed lately.
    pub(super) suspect: f64,
}

impl EndpointPenalty {
    /// Returns what speaks against an endpoint when one in `wanted` would be best.
    pub(super) fn of(self, view: &PlacementView<'_>, (name, endpoint): Candidate<'_>, wanted: &DomainName) -> f64 {
        let is_far = endpoint.domain != *wanted;
        let is_suspected = view.loads.is_suspected(view.now, name);
        f64::from(u8::from(is_far)) * self.other_domain + f64::from(u8::from(is_suspected)) * self.suspect
    }
}
