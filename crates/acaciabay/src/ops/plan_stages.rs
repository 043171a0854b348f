//! How many engines of a service read prompts and how many make tokens.
//!
//! Reading is what a shifting mix changes by factors; making tokens needs a slot and memory for each running stream.
//! So as many engines make tokens as the running streams need, never fewer than keep the service going when a failure
//! domain is lost, and all others read.

use std::collections::BTreeMap;

use crate::core::name::{DomainName, EndpointName};
use crate::core::serving::config::EngineSpec;
use crate::core::serving::endpoint_registry::{EngineStage, ServingEndpoint};
use crate::core::serving::stream_peak::StreamDemand;
use crate::util::number::round_up;

/// The part of an engine's slots and memory that streams may take: beyond it each token takes noticeably longer, and
/// a burst would find no room.
const FILL: f64 = 0.5;

/// How much more than of late there may be to read a moment later. Streams grow over seconds, prompts come at once, and a
/// change of stage takes seconds.
const BURST: f64 = 2.0;

/// The least number of engines of each stage, so that the loss of one engine stops nothing.
const LEAST_OF_STAGE: usize = 2;

/// The least number of engines for each one that makes tokens, where every failure domain has one: prompts then stay in
/// the domain in which they were read.
const ENGINES_PER_MAKER: usize = 4;

/// One engine in this many makes tokens even if few streams run: traffic that begins at once would find too few, and each
/// change takes seconds.
const ENGINES_PER_IDLE_MAKER: usize = 16;

/// An engine to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub endpoint: EndpointName,
    /// What it is to do.
    pub stage: EngineStage,
}

/// What decides how many engines make tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageWork {
    /// Engines that take calls.
    pub present: usize,
    /// Engines that there are to be; some of them may not have started yet.
    pub expected: usize,
    /// Engines that make tokens now; 0 while no call runs, when a change costs nobody anything.
    pub makers: usize,
    /// Failure domains that the engines are in.
    pub domains: usize,
    /// What the running streams take.
    pub demand: StreamDemand,
    /// Engines that reading needs.
    pub readers: f64,
}

/// Returns how many engines should make tokens.
///
/// Where there are fewer engines than both kinds of work need, they are shared in proportion: each engine that a burst of
/// streams takes from reading would otherwise leave more prompts waiting, until hardly any is read in time and the makers
/// have nothing to do.
pub fn wanted_decoders(work: &StageWork, spec: &EngineSpec) -> usize {
    let StageWork { domains, demand, .. } = work;
    let engines = work.present.max(work.expected);
    if engines < 2 {
        return engines;
    }
    let by_slots = demand.streams / (FILL * f64::from(spec.slots.max(1)));
    let by_memory = demand.held_tokens / (FILL * spec.memory_tokens.max(1) as f64);
    let makers = by_slots.max(by_memory);
    let present = work.present as f64;
    let readers = BURST * work.readers;
    let shared = if makers + readers > present {
        present * makers / (makers + readers)
    } else {
        makers
    };
    let needed = usize::try_from(round_up(shared)).unwrap_or(usize::MAX);
    let least = LEAST_OF_STAGE.min(engines / 2);
    let near = (*domains)
        .min(engines / ENGINES_PER_MAKER)
        .max(engines / ENGINES_PER_IDLE_MAKER);
    let wanted = needed.max(near).clamp(least, engines - least);
    wanted.max(spared_makers(work))
}

/// Returns how many of the engines that make tokens may go on although fewer would do.
///
/// An engine that changes takes no calls until its longest stream has ended and the change is made, and in the next burst
/// of streams it is missed, while all the streams become slower and the longest come too late. So only those change that
/// reading needs, also when a failure domain is lost.
fn spared_makers(work: &StageWork) -> usize {
    let domains = work.domains.max(2) as f64;
    let readers = BURST * work.readers * domains / (domains - 1.0);
    let readers = usize::try_from(round_up(readers)).unwrap_or(usize::MAX);
    let least = LEAST_OF_STAGE.min(work.present / 2);
    work.makers.min(work.present.saturating_sub(readers.max(least)))
}

/// An engine of the service.
type Engine<'table> = (&'table EndpointName, &'table ServingEndpoint);

/// Returns the engines to change so that `wanted` of them make tokens.
///
/// Engines that make tokens stay spread over the failure domains: the next to become one is taken where there are
/// fewest, the next to become a reader where there are most. They are lasting ones as far as there are any: what a
/// reclaimable reader loses when it is taken away is read again elsewhere, while a stream breaks off. Where a
/// reclaimable engine makes tokens and a lasting one reads, the lasting one is changed first and the other is then one
/// too many.
pub fn plan_stages(engines: &[Engine<'_>], wanted: usize) -> Vec<StageChange> {
    let mut decoders = of_stage(engines, EngineStage::Decode);
    let mut readers = of_stage(engines, EngineStage::Prefill);
    let is_lasting = |(_, endpoint): &Engine<'_>| !endpoint.reclaimable;
    let lasting_wanted = wanted.min(engines.iter().filter(|engine| is_lasting(engine)).count());
    let mut changes = Vec::new();
    loop {
        let counts = count_domains(engines, &decoders);
        let count = |(_, endpoint): &Engine<'_>| counts.get(&endpoint.domain).copied().unwrap_or(0);
        let lasting_decoders = decoders.iter().filter(|engine| is_lasting(engine)).count();
        let is_short = decoders.len() < wanted || lasting_decoders < lasting_wanted;
        let (from, to, stage, place) = if is_short && readers.len() > 1 {
            let place = best_place(&readers, |row| (is_lasting(row), usize::MAX - count(row)));
            (&mut readers, &mut decoders, EngineStage::Decode, place)
        } else if decoders.len() > wanted {
            let place = best_place(&decoders, |row| (!is_lasting(row), count(row)));
            (&mut decoders, &mut readers, EngineStage::Prefill, place)
        } else {
            break;
        };
        let Some(place) = place else { break };
        let row = from.remove(place);
        to.push(row);
        changes.push(StageChange {
            endpoint: row.0.clone(),
            stage,
        });
    }
    if changes.iter().any(|change| change.stage == EngineStage::Decode) {
        // Engines go on making tokens until those that replace them can.
        changes.retain(|change| change.stage == EngineStage::Decode);
    }
    changes
}

fn of_stage<'table>(engines: &[Engine<'table>], stage: EngineStage) -> Vec<Engine<'table>> {
    let rows = engines.iter().filter(|(_, endpoint)| endpoint.stage == Some(stage));
    rows.copied().collect()
}

fn count_domains<'table>(
    engines: &[Engine<'table>],
    decoders: &[Engine<'table>],
) -> BTreeMap<&'table DomainName, usize> {
    let mut counts: BTreeMap<_, _> = engines.iter().map(|(_, endpoint)| (&endpoint.domain, 0)).collect();
    for (_, endpoint) in decoders {
        *counts.entry(&endpoint.domain).or_default() += 1;
    }
    counts
}

fn best_place<T, K: Ord>(rows: &[T], key: impl Fn(&T) -> K) -> Option<usize> {
    (0..rows.len()).max_by_key(|place| key(&rows[*place]))
}
