//! Which endpoint a call goes to, for the three ways in which calls use endpoints.
//!
//! A prompt goes where it is read soonest ([`place_prompt`]), which is mostly where its shared parts were read before.
//! The tokens are then made where few calls run ([`place_stream`]), preferably in the failure domain of the engine that
//! holds the prompt. A plain call goes to the endpoint with the most free slots ([`place_plain`]).

use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName};
use crate::core::serving::endpoint_load::LoadTable;
use crate::core::serving::endpoint_registry::ServingEndpoint;
use crate::core::serving::prompt::PromptShape;
use crate::util::number::round_up;
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

/// How sure an entry is that the first choice by hash has read a shared part that the entry itself has not sent there:
/// other entries send it to the same place, but less than always.
const HASH_TRUST: f64 = 0.95;

/// How much a token that has to be read counts against one that waits before it: reading a shared part once more takes
/// time from every prompt that comes after, not only from this one.
const READ_WEIGHT: f64 = 8.0;

/// What an endpoint in another failure domain costs in the choice of a reader, in milliseconds: the way there and back.
const OTHER_DOMAIN_MS: f64 = 3.0;

/// What an endpoint that has failed lately costs in the choice of a reader, in milliseconds: more than any queue that
/// callers wait for, so that it is used only if there is no other.
const SUSPECT_MS: f64 = 60_000.0;

/// What another failure domain costs in the choice of an endpoint that makes tokens, as a part of its slots: the prompt
/// takes twice as long on its way there.
const OTHER_DOMAIN_SLOTS: f64 = 0.15;

/// What a recent failure costs in slots: more than all of them.
const SUSPECT_SLOTS: f64 = 8.0;

/// Where a prompt is read.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptPlace {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Tokens that it has to read for this prompt.
    pub unread_tokens: u64,
    /// How long it will take until it has read the prompt.
    pub wait: Duration,
}

/// Chooses where a prompt is read.
pub fn place_prompt(
    view: &PlacementView<'_>,
    candidates: &[Candidate<'_>],
    prompt: &PromptShape,
) -> Option<PromptPlace> {
    let first_choice = first_by_hash(candidates, prompt);
    let scored = candidates.iter().map(|(name, endpoint)| {
        let unread = unread_tokens(view.loads, name, prompt, first_choice == Some(*name));
        let queued = view.loads.work(name).unread_tokens as f64;
        let wait_ms = (queued + unread) * view.loads.pace(name);
        let cost_ms = (queued + READ_WEIGHT * unread) * view.loads.pace(name);
        (cost_ms + reader_penalty(view, name, endpoint), wait_ms, unread, *name)
    });
    let (_, wait_ms, unread, name) = scored.min_by(|one, other| one.0.total_cmp(&other.0))?;
    Some(PromptPlace {
        endpoint: name.clone(),
        unread_tokens: round_up(unread.max(1.0)),
        wait: Duration::from_secs_f64(wait_ms / 1_000.0),
    })
}

fn reader_penalty(view: &PlacementView<'_>, name: &EndpointName, endpoint: &ServingEndpoint) -> f64 {
    let far = if endpoint.domain == *view.domain {
        0.0
    } else {
        OTHER_DOMAIN_MS
    };
    let suspect = if view.loads.is_suspected(view.now, name) {
        SUSPECT_MS
    } else {
        0.0
    };
    far + suspect
}

fn first_by_hash<'table>(candidates: &[Candidate<'table>], prompt: &PromptShape) -> Option<&'table EndpointName> {
    let part = prompt.affinity()?;
    let key = part.0.to_be_bytes();
    let names = candidates.iter().map(|(name, _)| *name);
    names.max_by_key(|name| rendezvous::score(&key, name.as_str().as_bytes()))
}

/// Returns how many tokens of a prompt an endpoint probably has to read.
fn unread_tokens(loads: &LoadTable, name: &EndpointName, prompt: &PromptShape, is_first_choice: bool) -> f64 {
    let kept = loads.kept_tokens(name, &prompt.parts) as f64;
    let shared: u64 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
    let hoped = if is_first_choice {
        HASH_TRUST * (shared as f64 - kept).max(0.0)
    } else {
        0.0
    };
    (prompt.prompt_tokens as f64 - kept - hoped).max(0.0)
}

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
