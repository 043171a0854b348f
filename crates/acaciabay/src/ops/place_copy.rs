//! Which streams have their memory copied to a second engine while they run, and to which.
//!
//! A stream that may not be run again is lost with its engine: the platform takes engines back, and engines die. From a
//! copy of its memory another engine goes on with the same run. A copy costs link and memory for all tokens that the
//! stream holds, so it is made where the answer is long against the prompt: such a stream is exposed for long, and
//! little has to be copied. See `docs/design/streams.md`.

use crate::core::name::EndpointName;
use crate::core::serving::config::CallKind;
use crate::core::serving::prompt::PromptShape;
use crate::ops::place_call::{Candidate, EndpointPenalty, PlacementView};

/// Tokens that a copied stream may hold for each token of its answer.
const MOST_HELD_PER_OUTPUT: u64 = 16;

/// What speaks against the keeper of a copy beside the memory that its streams hold, as a part of its memory.
const KEEPER_PENALTY: EndpointPenalty = EndpointPenalty {
    other_domain: 0.0,
    suspect: 8.0,
};

/// What it costs to keep a copy where it may be lost together with the stream: in the same failure domain, or at an
/// engine that the platform may take back.
const SHARED_RISK: f64 = 1.0;

/// Tells whether the memory of a stream is copied while it runs.
pub fn is_worth_copying(kind: CallKind, prompt: &PromptShape) -> bool {
    let held = prompt.prompt_tokens + prompt.output_tokens;
    kind.is_stream() && !kind.may_repeat() && held <= prompt.output_tokens.saturating_mul(MOST_HELD_PER_OUTPUT)
}

/// Chooses the engine that keeps the copy of a stream which runs at `maker`.
pub fn place_copy(
    view: &PlacementView<'_>,
    candidates: &[Candidate<'_>],
    memory_tokens: u64,
    maker: Candidate<'_>,
) -> Option<EndpointName> {
    let others = candidates.iter().filter(|(name, _)| *name != maker.0);
    let scored = others.map(|candidate| {
        let (name, endpoint) = *candidate;
        let held = view.loads.work(name).held_tokens as f64 / memory_tokens.max(1) as f64;
        let shares_domain = f64::from(u8::from(endpoint.domain == maker.1.domain));
        let is_reclaimable = f64::from(u8::from(endpoint.reclaimable));
        let risk = SHARED_RISK * (shares_domain + is_reclaimable);
        let penalty = KEEPER_PENALTY.of(view, *candidate, &endpoint.domain);
        (held + risk + penalty, name)
    });
    let best = scored.min_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, name)| name.clone())
}
