//! Which engine reads a prompt, and from which other engine it copies what was read before.
//!
//! Reading a shared part of thousands of tokens takes an engine hundreds of milliseconds, copying its memory from an
//! engine that keeps it about ten. Entries agree by hash on the home of each shared part without talking to each other.
//! A prompt is read there or, when others have less before them, at another engine that copies the part from its home.

use std::time::Duration;

use crate::core::name::EndpointName;
use crate::core::serving::config::MemoryLink;
use crate::core::serving::endpoint_registry::{EndpointPhase, ServingEndpoint};
use crate::core::serving::prompt::PromptShape;
use crate::ops::place_call::{Candidate, EndpointPenalty, PlacementView};
use crate::util::number::round_up;
use crate::util::rendezvous;

/// How sure an entry is that an engine still keeps what it has read: its memory may have had to make room since.
const COPY_TRUST: f64 = 0.95;

/// How much a token that has to be read counts against one that waits before it: reading a shared part once more takes
/// time from every prompt that comes after, not only from this one.
const READ_WEIGHT: f64 = 8.0;

/// How many engines share the prompts of one part: the home and those that follow it by hash. A few are enough to even
/// queues out, and each further one keeps the part once more.
const HOMES: usize = 3;

/// What another home than the first costs in the choice of a reader, in milliseconds of its queue. A part is copied only
/// from where it was read before: if its first readers scatter, several read it before any can copy it.
const OTHER_HOME_MS: f64 = 800.0;

/// What an engine costs that is no home of the part, in milliseconds: about as long as callers wait, so that it is used
/// when all homes are overloaded.
const NO_HOME_MS: f64 = 3_000.0;

/// What an engine costs that has to copy a part which is known to be kept elsewhere, in milliseconds where every reader
/// has work: each copy leaves less memory for other parts, which are then read again by engines that have no time.
const KEPT_ELSEWHERE_MS: f64 = 800.0;

/// The least part of that which counts, also where hardly a reader has work.
const LEAST_CROWDING: f64 = 0.1;

/// How far apart engines are that are equally good, in milliseconds: entries that do not hear of each other in time
/// would else all choose the same one.
const TIE_MS: f64 = 10.0;

/// What a copy takes beside the time on the link, in milliseconds, the middle of current engines.
const COPY_SETUP_MS: f64 = 4.0;

/// How much longer a copy from another failure domain takes; the users' protocol says so.
const FAR_COPY_FACTOR: f64 = 2.0;

/// What speaks against a reader beside its queue, in milliseconds: in another failure domain the way there and back; after
/// a failure more than any queue that callers wait for, so that it is used only if there is no other.
const READER_PENALTY: EndpointPenalty = EndpointPenalty {
    other_domain: 3.0,
    suspect: 60_000.0,
};

/// The engines of a service that a prompt is placed at.
#[derive(Clone, Copy, Debug)]
pub struct PromptEngines<'table> {
    /// Those that read prompts.
    pub readers: &'table [Candidate<'table>],
    /// Those that may keep parts of prompts: readers, and readers that leave but still answer others.
    pub keepers: &'table [Candidate<'table>],
    /// How many milliseconds one of them usually takes for a token of a prompt, if that is known.
    pub pace: Option<f64>,
    /// How they copy memory to each other; without it everything is read where it is needed.
    pub link: Option<&'table MemoryLink>,
}

/// Where a prompt is read.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptPlace {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Tokens that it has to read for this prompt.
    pub unread_tokens: u64,
    /// How long it will take until it has read the prompt.
    pub wait: Duration,
    /// An engine that probably keeps shared parts which the endpoint lacks.
    pub copy_from: Option<EndpointName>,
}

/// How much longer than expected a prompt that was to be copied may take before its source counts as gone. An engine
/// that waits for a copy in vain loses a few hundred milliseconds, then reads by itself.
const LOST_SOURCE_DELAY: Duration = Duration::from_millis(150);

/// Tells whether the engine that a prompt was copied from is probably gone, by how long the prompt took.
///
/// An engine that leaves is copied from until it is gone, and its last word is believed for seconds after that: meanwhile
/// every prompt that is sent for its parts would wait in vain. A source that stays is not judged so, since the reader may
/// have been slow.
pub fn is_source_lost(source: &ServingEndpoint, expected: Duration, took: Duration) -> bool {
    source.phase != EndpointPhase::Ready && took > expected + LOST_SOURCE_DELAY
}

/// Chooses where a prompt is read.
pub fn place_prompt(
    view: &PlacementView<'_>,
    engines: &PromptEngines<'_>,
    prompt: &PromptShape,
) -> Option<PromptPlace> {
    let homes = PartHomes::of(engines.readers, prompt, crowding(view, engines.readers));
    let keepers = LikelyKeepers::of(view, engines, prompt);
    let scored = engines.readers.iter().map(|reader| {
        let source = keepers.beside(reader.0);
        let estimate = ReadEstimate::of(view, engines, prompt, *reader, source, &homes);
        (estimate, *reader, source)
    });
    let best = scored.min_by(|one, other| one.0.cost_ms.total_cmp(&other.0.cost_ms));
    let (estimate, (name, _), source) = best?;
    Some(PromptPlace {
        endpoint: name.clone(),
        unread_tokens: round_up(estimate.unread_tokens.max(1.0)),
        wait: Duration::from_secs_f64(estimate.wait_ms / 1_000.0),
        copy_from: source.map(|(name, _)| name.clone()),
    })
}

/// Returns which part of the readers has work, from 0 to 1: how likely it is that what one of them does beside keeps
/// another prompt waiting.
fn crowding(view: &PlacementView<'_>, readers: &[Candidate<'_>]) -> f64 {
    let busy = readers
        .iter()
        .filter(|(name, _)| view.loads.work(name).unread_tokens > 0);
    let part = busy.count() as f64 / readers.len().max(1) as f64;
    part.max(LEAST_CROWDING)
}

/// The engines on which entries agree for a shared part, the first one first.
#[derive(Debug)]
struct PartHomes<'table> {
    key: [u8; 8],
    ranked: Vec<&'table EndpointName>,
    /// Which part of the readers has work.
    crowding: f64,
}

impl<'table> PartHomes<'table> {
    fn of(readers: &[Candidate<'table>], prompt: &PromptShape, crowding: f64) -> Self {
        let Some(part) = prompt.affinity() else {
            return Self {
                key: prompt.parts.last().map_or(0, |part| part.id.0).to_be_bytes(),
                ranked: Vec::new(),
                crowding,
            };
        };
        let key = part.0.to_be_bytes();
        let mut ranked: Vec<_> = readers.iter().map(|(name, _)| (hash_rank(&key, name), *name)).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.truncate(HOMES);
        Self {
            key,
            ranked: ranked.into_iter().map(|(_, name)| name).collect(),
            crowding,
        }
    }

    /// Returns what tells engines apart that are equally good, in milliseconds.
    fn tie_ms(&self, name: &EndpointName) -> f64 {
        TIE_MS * hash_rank(&self.key, name) as f64 / u64::MAX as f64
    }

    /// Returns what it costs to read the part at an engine for being none of its homes, in milliseconds.
    fn penalty_ms(&self, name: &EndpointName) -> f64 {
        match self.ranked.iter().position(|home| *home == name) {
            Some(0) => 0.0,
            Some(_) => OTHER_HOME_MS,
            None if self.ranked.is_empty() => 0.0,
            None => NO_HOME_MS,
        }
    }
}

fn hash_rank(key: &[u8], name: &EndpointName) -> u64 {
    rendezvous::score(key, name.as_str().as_bytes())
}

/// The two engines that most probably keep the shared parts of a prompt: those that this entry has had read them, else
/// the first by hash. Where the home has just joined, the second is the home before it; one that has just begun to leave
/// is still asked.
#[derive(Clone, Copy, Debug, Default)]
struct LikelyKeepers<'table> {
    first: Option<Candidate<'table>>,
    second: Option<Candidate<'table>>,
}

impl<'table> LikelyKeepers<'table> {
    fn of(view: &PlacementView<'_>, engines: &PromptEngines<'table>, prompt: &PromptShape) -> Self {
        let (Some(_), Some(part)) = (engines.link, prompt.affinity()) else {
            return Self::default();
        };
        let key = part.0.to_be_bytes();
        let shared = prompt.shared_parts();
        let sound = engines
            .keepers
            .iter()
            .filter(|(name, _)| !view.loads.is_suspected(view.now, name));
        let mut ranked: Vec<_> = sound
            .map(|keeper| {
                (
                    view.loads.cached_prefix_tokens(keeper.0, shared),
                    hash_rank(&key, keeper.0),
                    *keeper,
                )
            })
            .collect();
        ranked.sort_unstable_by_key(|(kept, rank, _)| std::cmp::Reverse((*kept, *rank)));
        let mut best = ranked.into_iter().map(|(_, _, keeper)| keeper);
        Self {
            first: best.next(),
            second: best.next(),
        }
    }

    /// Returns the more probable one that is not `reader` itself.
    fn beside(&self, reader: &EndpointName) -> Option<Candidate<'table>> {
        self.first.filter(|(name, _)| *name != reader).or(self.second)
    }
}

/// What reading a prompt at one engine takes, and what it counts as in the choice.
#[derive(Clone, Copy, Debug)]
struct ReadEstimate {
    unread_tokens: f64,
    wait_ms: f64,
    cost_ms: f64,
}

impl ReadEstimate {
    fn of(
        view: &PlacementView<'_>,
        engines: &PromptEngines<'_>,
        prompt: &PromptShape,
        reader: Candidate<'_>,
        source: Option<Candidate<'_>>,
        homes: &PartHomes<'_>,
    ) -> Self {
        let (name, endpoint) = reader;
        let kept = view.loads.cached_prefix_tokens(name, &prompt.parts) as f64;
        let shared: u64 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
        let missing = (shared as f64 - kept).max(0.0);
        let source_kept = source.map_or(0, |(source, _)| {
            view.loads.cached_prefix_tokens(source, prompt.shared_parts())
        });
        let copied = (source_kept as f64 - kept).max(0.0);
        let hoped = COPY_TRUST * copied;
        let copy_ms = match (engines.link, source) {
            (Some(link), Some((_, source))) if copied > 0.0 => copy_ms(link, copied, endpoint, source),
            _ => 0.0,
        };
        let place_ms = if missing <= 0.0 {
            0.0
        } else if copied >= missing {
            KEPT_ELSEWHERE_MS * homes.crowding
        } else {
            homes.penalty_ms(name)
        };
        let unread_tokens = (prompt.prompt_tokens as f64 - kept - hoped).max(0.0);
        let queued = view.loads.work(name).unread_tokens as f64;
        let pace = view.loads.pace(name, engines.pace);
        let read_ms = (queued + READ_WEIGHT * unread_tokens) * pace;
        Self {
            unread_tokens,
            wait_ms: (queued + unread_tokens) * pace + copy_ms,
            cost_ms: read_ms + copy_ms + place_ms + homes.tie_ms(name) + READER_PENALTY.of(view, reader, view.domain),
        }
    }
}

fn copy_ms(link: &MemoryLink, tokens: f64, reader: &ServingEndpoint, source: &ServingEndpoint) -> f64 {
    let factor = if reader.domain == source.domain {
        1.0
    } else {
        FAR_COPY_FACTOR
    };
    COPY_SETUP_MS + factor * link.copy_ms(tokens)
}
