//! Choice of the endpoint that decodes a stream or answers a plain call.
//!
//! Once a prompt is prefilled ([`place_prompt`](crate::ops::place_prompt)), it is decoded by an engine with few calls
//! ([`place_stream`]), preferably in the failure domain of the engine that holds the prompt. A plain call goes to the
//! endpoint with the most free slots ([`place_plain`]).

use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName};
use crate::core::serving::endpoint_load::LoadTable;
use crate::core::serving::endpoint_registry::ServingEndpoint;
use crate::core::serving::load_slice::EngineLine;
use crate::ops::fill_line::place_by_slice;
use crate::util::rendezvous;

/// An endpoint that may be chosen.
pub type Candidate<'table> = (&'table EndpointName, &'table ServingEndpoint);

/// The state of an entry on which placement is based.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'table> {
    /// The current time.
    pub now: BootTime,
    /// The failure domain of the entry.
    pub domain: &'table DomainName,
    /// The load of the endpoints.
    pub loads: &'table LoadTable,
    /// Endpoints with a limit for which the entry holds a permit that would otherwise expire.
    pub permitted: &'table [EndpointName],
    /// The entry's slice of the service's endpoints, if the leader has assigned one.
    pub slice: Option<SliceView<'table>>,
}

/// The slice by which a call is placed.
#[derive(Clone, Copy, Debug)]
pub struct SliceView<'table> {
    /// The endpoints on the line.
    pub line: &'table EngineLine,
    /// Random number of the call, which separates endpoints of equal cost.
    pub draw: u64,
    /// Usual time for which a call of this kind is outstanding at an endpoint.
    pub work_time: Duration,
    /// Size of an engine's memory in tokens, or 0 for other endpoints.
    pub memory_tokens: u64,
}

/// Age of the other entries' work when it is received: the time since they reported it, and the way to the leader and back.
const REPORT_AGE: Duration = Duration::from_millis(250);

impl PlacementView<'_> {
    /// Returns the age of what is known of the other entries' work.
    pub(super) fn peer_work_age(&self) -> Duration {
        self.loads.peer_work_age(self.now) + REPORT_AGE
    }

    /// Returns the fraction of the other entries' work that is still outstanding, if it lasts for `work_time` on average.
    pub(super) fn peer_fraction(&self, work_time: Duration) -> f64 {
        let age = self.peer_work_age().as_secs_f64();
        (-age / work_time.as_secs_f64().max(0.001)).exp()
    }
}

/// Penalties added to an endpoint's load, in fractions of its slots. A prompt takes twice as long to reach another
/// failure domain. A recent failure counts more than a full endpoint.
pub(super) const SLOT_PENALTY: EndpointPenalty = EndpointPenalty {
    other_domain: 0.15,
    suspect: 8.0,
    permitted: -0.3,
};

/// Range of the random term added to an engine's load, as a fraction of its slots. Entries learn of each other's
/// streams with a delay, and without this term all of them would meanwhile choose the engine with the fewest streams.
const STREAM_JITTER: f64 = 0.1;

/// Chooses the engine that decodes a stream.
///
/// `prefill_domain` is the failure domain in which another engine has prefilled the prompt, if any. `seed` is a random
/// number that spreads calls over engines with nearly equal load. `memory_tokens` is the size of an engine's memory in
/// tokens.
pub fn place_stream(
    view: &PlacementView<'_>,
    candidates: &[Candidate<'_>],
    memory_tokens: u64,
    prefill_domain: Option<&DomainName>,
    seed: u64,
) -> Option<EndpointName> {
    let preferred_domain = prefill_domain.unwrap_or(view.domain);
    if let Some(slice) = view.slice {
        return place_by_slice(view, slice, candidates, memory_tokens, preferred_domain);
    }
    let scored = candidates.iter().map(|candidate| {
        let (name, endpoint) = *candidate;
        let work = view.loads.work(name);
        let slot_use = work.calls as f64 / f64::from(endpoint.slots.max(1));
        let memory_use = work.held_tokens as f64 / memory_tokens.max(1) as f64;
        let jitter = STREAM_JITTER * seeded_hash(seed, name) as f64 / u64::MAX as f64;
        (
            slot_use.max(memory_use) + jitter + SLOT_PENALTY.of(view, *candidate, preferred_domain),
            name,
        )
    });
    let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, name)| name.clone())
}

/// Returns a hash of the endpoint's name and the call's random seed, so that each call ranks endpoints differently.
fn seeded_hash(seed: u64, name: &EndpointName) -> u64 {
    rendezvous::combine_hashes(seed, rendezvous::hash(name.as_str().as_bytes()))
}

/// Chooses the endpoint for a plain call. `seed` is a random number that spreads calls over endpoints with equal load.
pub fn place_plain(view: &PlacementView<'_>, candidates: &[Candidate<'_>], seed: u64) -> Option<EndpointName> {
    if let Some(slice) = view.slice {
        return place_by_slice(view, slice, candidates, 0, view.domain);
    }
    let scored = candidates.iter().map(|candidate| {
        let (name, endpoint) = *candidate;
        let work = view.loads.work(name);
        let used = work.calls as f64 / f64::from(endpoint.slots.max(1));
        let tie_break = seeded_hash(seed, name);
        (used + SLOT_PENALTY.of(view, *candidate, view.domain), tie_break, name)
    });
    let best = scored.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map(|(_, _, name)| name.clone())
}

/// Penalties added to the load of an endpoint, in the unit of that load.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointPenalty {
    /// Penalty for an endpoint outside the preferred failure domain.
    pub(super) other_domain: f64,
    /// Penalty for an endpoint that has failed recently.
    pub(super) suspect: f64,
    /// Penalty, a negative one, for an endpoint for which the entry holds a permit.
    pub(super) permitted: f64,
}

impl EndpointPenalty {
    /// Returns the total penalty of an endpoint, including that for a domain other than `preferred_domain`.
    pub(super) fn of(
        self,
        view: &PlacementView<'_>,
        (name, endpoint): Candidate<'_>,
        preferred_domain: &DomainName,
    ) -> f64 {
        let is_remote = endpoint.domain != *preferred_domain;
        let is_suspected = view.loads.is_suspected(view.now, name);
        let is_permitted = view.permitted.contains(name);
        f64::from(u8::from(is_remote)) * self.other_domain
            + f64::from(u8::from(is_suspected)) * self.suspect
            + f64::from(u8::from(is_permitted)) * self.permitted
    }
}
