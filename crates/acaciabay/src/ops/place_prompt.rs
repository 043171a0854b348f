//! Choice of the engine that prefills a prompt, and of the engine from which it copies cached parts.
//!
//! Prefilling a shared part of thousands of tokens takes an engine hundreds of milliseconds; copying its memory from an
//! engine that caches it takes about ten. Rendezvous hashing gives each shared part a home engine on which all entries
//! agree without communication. A prompt is prefilled there or, if other engines have shorter queues, at one of them,
//! which copies the part from its home.

use std::time::Duration;

use crate::core::name::EndpointName;
use crate::core::serving::config::KvCacheLink;
use crate::core::serving::endpoint_load::LoadTable;
use crate::core::serving::endpoint_registry::{EndpointPhase, ServingEndpoint};
use crate::core::serving::prefill_model::PrefillModel;
use crate::core::serving::prompt::PromptShape;
use crate::ops::place_call::{Candidate, EndpointPenalty, PlacementView, SliceView};
use crate::util::number::{bounded_time, round_up};
use crate::util::rendezvous;

/// Estimated probability that an engine still caches the parts that this entry believes it to have cached.
const CACHE_HIT_PROBABILITY: f64 = 0.95;

/// Weight of a token of this prompt that the engine has to prefill, relative to a token that is already queued. Tokens
/// that are cached or expected to be copied do not count. Prefilling a shared part again delays every later prompt, not
/// only this one.
const NEW_TOKEN_WEIGHT: f64 = 8.0;

/// Number of engines that share the prompts of one part: the first home and the next ones by hash. A few are enough to
/// balance the queues, and each additional one stores another copy of the part.
const HOMES_PER_PART: usize = 3;

/// Cost of a home other than the first in the choice of a prefill engine, in milliseconds. It is compared with the time
/// that the prompt would wait in the queues of the engines. A part can be copied only once an engine has prefilled it.
/// If the first prompts with a part were scattered, several engines would prefill it before any could copy it.
const SECONDARY_HOME_COST_MS: f64 = 800.0;

/// Cost of an engine that is no home of the part, in milliseconds. It is about the time that callers wait, so that such
/// an engine is used only when all homes are overloaded.
const NON_HOME_COST_MS: f64 = 3_000.0;

/// Cost of an engine that lacks shared parts but can copy all of them from another engine, in milliseconds. Each copy
/// evicts other parts, which busy engines then have to prefill again. The cost is therefore multiplied by the fraction
/// of prefill engines that are busy, and applies in full only if all of them are.
const CACHED_ELSEWHERE_COST_MS: f64 = 800.0;

/// Minimum of the busy fraction by which [`CACHED_ELSEWHERE_COST_MS`] is scaled, also if hardly any prefill engine is
/// busy.
const MIN_BUSY_FRACTION: f64 = 0.1;

/// Range of the hash-based term that separates engines of equal cost, in milliseconds. Without it, entries that do not
/// learn of each other's calls in time would all choose the same engine.
const TIE_BREAK_MS: f64 = 10.0;

/// Fixed time of a copy beside the transfer itself, in milliseconds. The value is typical of current engines.
const COPY_OVERHEAD_MS: f64 = 4.0;

/// Ratio of the transfer time from another failure domain to that within a domain, as the users' protocol specifies.
const CROSS_DOMAIN_COPY_FACTOR: f64 = 2.0;

/// Penalties added to the queue of a prefill engine, in milliseconds. Another failure domain costs the round trip. A
/// recent failure costs more than any queue that callers wait for, so that the engine is used only if there is no
/// other.
const PREFILL_PENALTY: EndpointPenalty = EndpointPenalty {
    other_domain: 3.0,
    suspect: 60_000.0,
    permitted: -20.0,
};

/// Minimum length of a shared part that is worth a home, in tokens, where entries have slices. A shorter part is prefilled
/// again in less time than a prompt waits behind another one.
const MIN_HOME_TOKENS: u64 = 1_000;

/// Number of homes of a part that take prompts at no extra cost once they cache it, where entries have slices.
const EVEN_HOMES: usize = 2;

/// Cost of copying a part to an engine of the slice that is no home, in milliseconds, beside the time of the copy.
const SLICE_COPY_COST_MS: f64 = 10.0;

/// Cost of an engine outside of the slice, in milliseconds.
const OUTSIDE_SLICE_MS: f64 = 70.0;

/// The engines of a service among which a prompt is placed.
#[derive(Clone, Copy, Debug)]
pub struct PromptEngines<'table> {
    /// Engines that may be sent a prompt now.
    pub prefill_engines: &'table [Candidate<'table>],
    /// Engines that prefill prompts, among which each shared part has its homes. An engine whose limit stands against it for
    /// a moment remains a home: if homes moved with each permit, parts would be prefilled again.
    pub home_engines: &'table [Candidate<'table>],
    /// Engines that may cache parts of prompts: prefill engines, and those that are leaving but still serve copies.
    pub sources: &'table [Candidate<'table>],
    /// Usual prefill time per prompt token in milliseconds, if known.
    pub pace: Option<f64>,
    /// Expected prefill times, which replace the pace where the service's endpoints are uneven.
    pub model: Option<&'table PrefillModel>,
    /// The link over which engines copy memory to each other. Without one, each engine prefills all parts itself.
    pub link: Option<&'table KvCacheLink>,
}

/// The engine chosen to prefill a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptPlacement {
    /// The name of the engine.
    pub endpoint: EndpointName,
    /// Tokens of this prompt that it has to prefill.
    pub unread_tokens: u64,
    /// Estimated time until the prompt is prefilled.
    pub wait: Duration,
    /// Part of it in which shared parts are copied from another engine.
    pub copy_time: Duration,
    /// An engine that probably caches shared parts that the chosen engine lacks.
    pub copy_from: Option<EndpointName>,
}

/// Time beyond the estimate after which the source of a copy counts as gone. An engine that waits in vain for a copy
/// loses a few hundred milliseconds and then prefills the part itself.
const COPY_SOURCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns `true` if the source of a copy is probably gone, judged by the time that prefilling the prompt took.
///
/// A leaving engine serves copies until it is gone, and its last report stays valid for seconds after that. Meanwhile
/// every prompt that is to copy from it would wait in vain. A source that is not leaving is never taken for gone here,
/// since the prefill engine itself may have been slow.
pub fn is_copy_source_gone(source: &ServingEndpoint, expected: Duration, elapsed: Duration) -> bool {
    source.phase != EndpointPhase::Ready && elapsed > expected + COPY_SOURCE_TIMEOUT
}

/// Chooses the engine that prefills a prompt.
pub fn place_prompt(
    view: &PlacementView<'_>,
    engines: &PromptEngines<'_>,
    prompt: &PromptShape,
) -> Option<PromptPlacement> {
    let busy_fraction = busy_fraction(view, engines.prefill_engines);
    let homes = if view.slice.is_some() && shared_tokens(prompt) < MIN_HOME_TOKENS {
        PartHomes::none(prompt, busy_fraction)
    } else {
        PartHomes::of(engines.home_engines, prompt, busy_fraction)
    }
    .with_keepers(view, prompt);
    let sources = LikelySources::of(view, engines, prompt);
    let scored = engines.prefill_engines.iter().map(|prefill_engine| {
        let source = sources.most_likely_except(prefill_engine.0);
        let estimate = PrefillEstimate::of(view, engines, prompt, *prefill_engine, source, &homes);
        (estimate, *prefill_engine, source)
    });
    let best = scored.min_by(|a, b| a.0.cost_ms.total_cmp(&b.0.cost_ms));
    let (estimate, (name, _), source) = best?;
    Some(PromptPlacement {
        endpoint: name.clone(),
        unread_tokens: round_up(estimate.unread_tokens.max(1.0)),
        wait: bounded_time(estimate.wait_ms / 1_000.0),
        copy_time: bounded_time(estimate.copy_ms / 1_000.0),
        copy_from: source.map(|(name, _)| name.clone()),
    })
}

/// Returns the fraction of prefill engines that are busy, from [`MIN_BUSY_FRACTION`] to 1. It approximates the
/// probability that extra work on one of them delays another prompt.
fn busy_fraction(view: &PlacementView<'_>, prefill_engines: &[Candidate<'_>]) -> f64 {
    let busy = prefill_engines
        .iter()
        .filter(|(name, _)| view.loads.work(name).unread_tokens > 0);
    let fraction = busy.count() as f64 / prefill_engines.len().max(1) as f64;
    fraction.max(MIN_BUSY_FRACTION)
}

/// The home engines of a shared part in the order of their hashes, on which all entries agree.
#[derive(Debug)]
struct PartHomes<'table> {
    key: [u8; 8],
    ranked: Vec<&'table EndpointName>,
    /// The result of [`busy_fraction`]. It is computed once for each prompt and kept here for the cost estimates of all
    /// engines.
    busy_fraction: f64,
    /// Set if all even homes cache the part. An engine of a slice may then copy it, since a copy that it evicts later is not the
    /// last one.
    is_kept_by_homes: bool,
}

fn shared_tokens(prompt: &PromptShape) -> u64 {
    prompt.shared_parts().iter().map(|part| part.tokens).sum()
}

impl<'table> PartHomes<'table> {
    /// Without a shared part there are no homes, and the key serves only to separate engines of equal cost.
    fn none(prompt: &PromptShape, busy_fraction: f64) -> Self {
        Self {
            key: prompt.parts.last().map_or(0, |part| part.id.0).to_be_bytes(),
            ranked: Vec::new(),
            busy_fraction,
            is_kept_by_homes: false,
        }
    }

    fn of(home_engines: &[Candidate<'table>], prompt: &PromptShape, busy_fraction: f64) -> Self {
        let Some(part) = prompt.affinity() else {
            return Self::none(prompt, busy_fraction);
        };
        let key = part.0.to_be_bytes();
        let mut ranked: Vec<_> = home_engines
            .iter()
            .map(|(name, _)| (hash_rank(&key, name), *name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(HOMES_PER_PART);
        Self {
            key,
            ranked: ranked.into_iter().map(|(_, name)| name).collect(),
            busy_fraction,
            is_kept_by_homes: false,
        }
    }

    /// Records whether all even homes cache the part.
    fn with_keepers(mut self, view: &PlacementView<'_>, prompt: &PromptShape) -> Self {
        let shared = shared_tokens(prompt);
        let keeps = |home: &&EndpointName| view.loads.cached_prefix_tokens(home, prompt.shared_parts()) == shared;
        self.is_kept_by_homes = view.slice.is_some() && self.ranked.iter().take(EVEN_HOMES).all(keeps);
        self
    }

    /// Returns the term that separates engines of equal cost, in milliseconds.
    fn tie_break_ms(&self, name: &EndpointName) -> f64 {
        TIE_BREAK_MS * hash_rank(&self.key, name) as f64 / u64::MAX as f64
    }

    /// Returns the cost of an engine by its position among the homes and by the slice, in milliseconds.
    fn slice_locality_ms(&self, name: &EndpointName, slice: SliceView<'_>, sizes: PromptSizes) -> f64 {
        let coverage = slice.line.coverage(name);
        let outside_ms = OUTSIDE_SLICE_MS * (1.0 - coverage);
        if self.ranked.is_empty() || sizes.missing <= 0.0 {
            return outside_ms;
        }
        if sizes.copied < sizes.missing {
            return self.penalty_ms(name);
        }
        let is_even_home = self.ranked.iter().take(EVEN_HOMES).any(|home| *home == name);
        if is_even_home {
            // Until both cache the part, the first one gets all prompts with it.
            0.0
        } else if coverage > 0.0 && self.is_kept_by_homes {
            SLICE_COPY_COST_MS + outside_ms
        } else {
            CACHED_ELSEWHERE_COST_MS * self.busy_fraction
        }
    }

    /// Returns the cost of an engine by its position among the homes of the part, in milliseconds. It is zero for the
    /// first home, and for every engine if the prompt has no shared part.
    fn penalty_ms(&self, name: &EndpointName) -> f64 {
        match self.ranked.iter().position(|home| *home == name) {
            Some(0) => 0.0,
            Some(_) => SECONDARY_HOME_COST_MS,
            None if self.ranked.is_empty() => 0.0,
            None => NON_HOME_COST_MS,
        }
    }
}

/// Returns the rank of an engine for a part. Engines with higher ranks come first.
fn hash_rank(key: &[u8], name: &EndpointName) -> u64 {
    rendezvous::score(key, name.as_str().as_bytes())
}

/// The two engines that most probably cache the shared parts of a prompt.
///
/// Engines to which this entry has sent these parts come first, then the others in the order of their hashes. If the
/// order depends on the hashes alone and the first home has just joined, the second engine is the one that was the
/// first home before. An engine that has just begun to leave is still considered.
#[derive(Clone, Copy, Debug, Default)]
struct LikelySources<'table> {
    first: Option<Candidate<'table>>,
    second: Option<Candidate<'table>>,
}

impl<'table> LikelySources<'table> {
    fn of(view: &PlacementView<'_>, engines: &PromptEngines<'table>, prompt: &PromptShape) -> Self {
        let (Some(_), Some(part)) = (engines.link, prompt.affinity()) else {
            return Self::default();
        };
        let key = part.0.to_be_bytes();
        let shared = prompt.shared_parts();
        let healthy = engines
            .sources
            .iter()
            .filter(|(name, _)| !view.loads.is_suspected(view.now, name));
        let mut ranked: Vec<_> = healthy
            .map(|source| {
                (
                    view.loads.cached_prefix_tokens(source.0, shared),
                    hash_rank(&key, source.0),
                    *source,
                )
            })
            .collect();
        ranked.sort_unstable_by_key(|(cached, rank, _)| std::cmp::Reverse((*cached, *rank)));
        let mut best = ranked.into_iter().map(|(_, _, source)| source);
        Self {
            first: best.next(),
            second: best.next(),
        }
    }

    /// Returns the more probable engine other than `prefill_engine`.
    fn most_likely_except(&self, prefill_engine: &EndpointName) -> Option<Candidate<'table>> {
        self.first.filter(|(name, _)| *name != prefill_engine).or(self.second)
    }
}

/// Estimated prefill work and time of a prompt at one engine, and the cost by which engines are compared.
#[derive(Clone, Copy, Debug)]
struct PrefillEstimate {
    unread_tokens: f64,
    wait_ms: f64,
    copy_ms: f64,
    cost_ms: f64,
}

impl PrefillEstimate {
    fn of(
        view: &PlacementView<'_>,
        engines: &PromptEngines<'_>,
        prompt: &PromptShape,
        prefill_engine: Candidate<'_>,
        source: Option<Candidate<'_>>,
        homes: &PartHomes<'_>,
    ) -> Self {
        let (name, endpoint) = prefill_engine;
        let cached = view.loads.cached_prefix_tokens(name, &prompt.parts) as f64;
        let missing = (shared_tokens(prompt) as f64 - cached).max(0.0);
        let source_cached = source.map_or(0, |(source, _)| {
            view.loads.cached_prefix_tokens(source, prompt.shared_parts())
        });
        let copied = (source_cached as f64 - cached).max(0.0);
        let expected_copied = CACHE_HIT_PROBABILITY * copied;
        let copy_ms = match (engines.link, source) {
            (Some(link), Some((_, source))) if copied > 0.0 => copy_time_ms(link, copied, endpoint, source),
            _ => 0.0,
        };
        let unread_tokens = (prompt.prompt_tokens as f64 - cached - expected_copied).max(0.0);
        if let Some(slice) = view.slice {
            let sizes = PromptSizes {
                unread: unread_tokens,
                reread: (missing - copied).max(0.0),
                copied,
                missing,
            };
            return Self::by_slice(view, engines, slice, prefill_engine, homes, sizes, copy_ms);
        }
        let locality_ms = if missing <= 0.0 {
            0.0
        } else if copied >= missing {
            CACHED_ELSEWHERE_COST_MS * homes.busy_fraction
        } else {
            homes.penalty_ms(name)
        };
        let queued = view.loads.work(name).unread_tokens as f64;
        let modelled = PrefillTimes::by_model(engines, queued, unread_tokens);
        let times = match modelled {
            Some(usual) => usual.slowed(view.loads.slowdown(view.now, name)),
            None => PrefillTimes::by_pace(view.loads.pace(name, engines.pace), queued, unread_tokens),
        };
        let weighted_prefill_ms = times.queue_ms + NEW_TOKEN_WEIGHT * times.prompt_ms;
        Self {
            unread_tokens,
            wait_ms: times.queue_ms + times.prompt_ms + copy_ms,
            copy_ms,
            cost_ms: weighted_prefill_ms
                + copy_ms
                + locality_ms
                + homes.tie_break_ms(name)
                + PREFILL_PENALTY.of(view, prefill_engine, view.domain),
        }
    }

    /// Estimates the time until the prompt is prefilled at an engine, if the entry has a slice.
    fn by_slice(
        view: &PlacementView<'_>,
        engines: &PromptEngines<'_>,
        slice: SliceView<'_>,
        prefill_engine: Candidate<'_>,
        homes: &PartHomes<'_>,
        sizes: PromptSizes,
        copy_ms: f64,
    ) -> Self {
        let name = prefill_engine.0;
        let slowdown = view.loads.slowdown(view.now, name);
        let (own, peers) = view.loads.work_by_origin(name);
        let peer_fraction = view.peer_fraction(slice.work_time.mul_f64(slowdown));
        let usual_peers = view.loads.usual_peer_tokens(name);
        let peers = usual_peers + peer_fraction * (peers.unread_tokens as f64 - usual_peers);
        let queued = own.unread_tokens as f64 + peers;
        let usual_pace = LoadTable::usual_pace(engines.pace);
        let usual = PrefillTimes::by_model(engines, queued, sizes.unread);
        let usual = usual.unwrap_or_else(|| PrefillTimes::by_pace(usual_pace, queued, sizes.unread));
        let times = usual.slowed(slowdown);
        let reread_ms = if homes.ranked.is_empty() {
            0.0
        } else {
            (NEW_TOKEN_WEIGHT - 1.0) * sizes.reread * usual_pace
        };
        Self {
            unread_tokens: sizes.unread,
            wait_ms: times.queue_ms + times.prompt_ms + copy_ms,
            copy_ms,
            // The prompt's own prefill counts at the usual speed. Otherwise entries with a slow slice would send all prompts to
            // fast engines elsewhere, which would then be overloaded.
            cost_ms: times.queue_ms
                + usual.prompt_ms
                + copy_ms
                + reread_ms
                + homes.slice_locality_ms(name, slice, sizes)
                + TIE_BREAK_MS * slice.line.fraction(name, slice.draw)
                + PREFILL_PENALTY.of(view, prefill_engine, view.domain),
        }
    }
}

/// Tokens of a prompt at one engine.
#[derive(Clone, Copy, Debug)]
struct PromptSizes {
    /// Tokens that the engine probably has to prefill.
    unread: f64,
    /// Shared tokens among them.
    reread: f64,
    /// Shared tokens that it can copy.
    copied: f64,
    /// Shared tokens that it lacks.
    missing: f64,
}

/// Expected times of an engine in milliseconds.
#[derive(Clone, Copy, Debug)]
struct PrefillTimes {
    /// For what is queued.
    queue_ms: f64,
    /// For the prompt itself.
    prompt_ms: f64,
}

impl PrefillTimes {
    /// Returns the times at an engine of usual speed by the service's model, if that is known.
    fn by_model(engines: &PromptEngines<'_>, queued: f64, unread: f64) -> Option<Self> {
        let model = engines.model?;
        Some(Self {
            queue_ms: queued * model.queue_pace()?,
            prompt_ms: model.expected_ms(unread)?,
        })
    }

    /// Returns the times by a prefill time per token, in milliseconds.
    fn by_pace(pace: f64, queued: f64, unread: f64) -> Self {
        Self {
            queue_ms: queued * pace,
            prompt_ms: unread * pace,
        }
    }

    fn slowed(self, slowdown: f64) -> Self {
        Self {
            queue_ms: self.queue_ms * slowdown,
            prompt_ms: self.prompt_ms * slowdown,
        }
    }
}

fn copy_time_ms(link: &KvCacheLink, tokens: f64, destination: &ServingEndpoint, source: &ServingEndpoint) -> f64 {
    let factor = if destination.domain == source.domain {
        1.0
    } else {
        CROSS_DOMAIN_COPY_FACTOR
    };
    COPY_OVERHEAD_MS + factor * link.copy_ms(tokens)
}
