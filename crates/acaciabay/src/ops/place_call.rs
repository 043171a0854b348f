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

/// What another failure domain costs in the choice of an endpoint that makes tokens, as a part of its slots: the prompt
/// takes twice as long on its way there.
const OTHER_DOMAIN_SLOTS: f64 = 0.15;

/// What a recent failure costs in slots: more than all of them.
const SUSPECT_SLOTS: f64 = 8.0;

/// Chooses where tokens are made. `reader_domain` is where the prompt was read, if it was read elsewhere.
pub fn place_stream(
    view: &PlacementView<'_>,
    candidates: &[Candidate<'_>],
    memory_tokens: u64,
    reader_domain: Option<&DomainName>,
) -> Option<EndpointName> {
    let wanted = reader_domain.unwrap_or(view.domain);
    let scored = candidates.iter().map(|(name, endpoint)| {
        let work = view.loads.work(name);
        let slots = work.calls as f64 / f64::from(endpoint.slots.max(1));
        let memory = work.held_tokens as f64 / memory_tokens.max(1) as f64;
        (slots.max(memory) + slot_penalty(view, name, endpoint, wanted), *name)
    });
    let best = scored.min_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, name)| name.clone())
}

/// Chooses where a plain call goes; `draw` spreads calls over endpoints that are equally good.
pub fn place_plain(view: &PlacementView<'_>, candidates: &[Candidate<'_>], draw: u64) -> Option<EndpointName> {
    let scored = candidates.iter().map(|(name, endpoint)| {
        let work = view.loads.work(name);
        let used = work.calls as f64 / f64::from(endpoint.slots.max(1));
        let spread = rendezvous::combine(draw, rendezvous::seed(name.as_str().as_bytes()));
        (used + slot_penalty(view, name, endpoint, view.domain), spread, *name)
    });
    let best = scored.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    best.map(|(_, _, name)| name.clone())
}

fn slot_penalty(view: &PlacementView<'_>, name: &EndpointName, endpoint: &ServingEndpoint, wanted: &DomainName) -> f64 {
    let far = if endpoint.domain == *wanted {
        0.0
    } else {
        OTHER_DOMAIN_SLOTS
    };
    let suspect = if view.loads.is_suspected(view.now, name) {
        SUSPECT_SLOTS
    } else {
        0.0
    };
    far + suspect
}
