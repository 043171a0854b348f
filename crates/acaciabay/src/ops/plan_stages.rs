//! Assignment of a service's engines to the prefill and decode stages.
//!
//! Decoding needs a slot and memory for each running stream, so its load follows from the streams that run. The prefill
//! load can change severalfold when the mix of requests shifts. So the number of decode engines is computed from the
//! running streams, and all other engines prefill, with these exceptions:
//!
//! * Each stage keeps a minimum of engines, and decode also keeps enough for the loss of a failure domain.
//! * If there are fewer engines than both stages need, they are divided in proportion to the needs.
//! * Decode engines that the streams no longer need keep decoding until prefill needs them.

use std::collections::{BTreeMap, HashMap};

use crate::core::name::{DomainName, EndpointName};
use crate::core::serving::config::EngineSpec;
use crate::core::serving::endpoint_limit::RateLimit;
use crate::core::serving::endpoint_registry::{EngineStage, ServingEndpoint};
use crate::core::serving::software_version::SoftwareVersion;
use crate::core::serving::stream_peak::StreamDemand;
use crate::util::number::round_up;

/// Fraction of a decode engine's slots and memory that the plan assumes as usable, so that the other half is free for a
/// burst. Streams may use more, but each token then takes noticeably longer.
const TARGET_UTILIZATION: f64 = 0.5;

/// Factor by which the prefill load may exceed its recent value. The number of streams grows over seconds, but prompts
/// arrive all at once, and a change of stage takes seconds.
const PREFILL_HEADROOM: f64 = 2.0;

/// Minimum number of engines in each stage, so that the loss of one engine stops neither stage.
const MIN_ENGINES_PER_STAGE: usize = 2;

/// Number of engines that a service must have for each failure domain so that every domain gets a decode engine. A
/// prompt can then be decoded in the domain in which it was prefilled. With fewer engines, only one in this many has to
/// decode.
const ENGINES_PER_DECODER: usize = 4;

/// Number of engines per decode engine while few streams run. Fewer decode engines could not carry a sudden start of
/// traffic, and each change of stage takes seconds.
const ENGINES_PER_IDLE_DECODER: usize = 16;

/// Parts in which rates are compared.
const PERMILLE: f64 = 1_000.0;

/// A change of an engine's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub endpoint: EndpointName,
    /// The stage that it changes to.
    pub stage: EngineStage,
}

/// Load and engine counts of a service, from which the number of decode engines is computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Engines that take calls.
    pub present: usize,
    /// Engines that the pool plan calls for, including those that have not started yet.
    pub expected: usize,
    /// Engines that decode now, or 0 while the service is idle: a change of stage then delays no call, so no decode engine
    /// has to be kept for the next burst.
    pub decoders: usize,
    /// Number of failure domains that the engines are in.
    pub domains: usize,
    /// Slots and memory that the running streams use.
    pub demand: StreamDemand,
    /// Engines that the prefill load needs.
    pub prefill_engines: f64,
}

/// Returns how many engines should decode.
///
/// If there are fewer engines than both stages need, they are divided in proportion to the needs. If decode got all
/// that it needs instead, a burst of streams would take engines from prefill until hardly any prompt is prefilled in
/// time. New streams would then no longer start, and the decode engines would run idle.
pub fn wanted_decoders(load: &StageLoad, spec: &EngineSpec) -> usize {
    let StageLoad { domains, demand, .. } = load;
    let engines = load.present.max(load.expected);
    if engines < 2 {
        return engines;
    }
    let by_slots = demand.streams / (TARGET_UTILIZATION * f64::from(spec.slots.max(1)));
    let by_memory = demand.held_tokens / (TARGET_UTILIZATION * spec.memory_tokens.max(1) as f64);
    let decoders = by_slots.max(by_memory);
    let present = load.present as f64;
    let prefill_engines = PREFILL_HEADROOM * load.prefill_engines;
    let divided = if decoders + prefill_engines > present {
        present * decoders / (decoders + prefill_engines)
    } else {
        decoders
    };
    let needed = usize::try_from(round_up(divided)).unwrap_or(usize::MAX);
    let stage_minimum = MIN_ENGINES_PER_STAGE.min(engines / 2);
    let by_domains = (*domains)
        .min(engines / ENGINES_PER_DECODER)
        .max(engines / ENGINES_PER_IDLE_DECODER);
    let wanted = needed.max(by_domains).clamp(stage_minimum, engines - stage_minimum);
    wanted.max(retained_decoders(load))
}

/// Returns how many of the current decode engines may keep decoding although the streams need fewer.
///
/// An engine that changes its stage takes no calls until its longest stream has ended and the change is made. In the
/// next burst it is missing from decode, so that all streams slow down and the longest miss their deadlines. So engines
/// leave decode only if prefill needs them. The prefill need is computed such that it is still met after the loss of
/// one failure domain.
fn retained_decoders(load: &StageLoad) -> usize {
    let domains = load.domains.max(2) as f64;
    let prefill_engines = PREFILL_HEADROOM * load.prefill_engines * domains / (domains - 1.0);
    let prefill_engines = usize::try_from(round_up(prefill_engines)).unwrap_or(usize::MAX);
    let prefill_minimum = MIN_ENGINES_PER_STAGE.min(load.present / 2);
    load.decoders
        .min(load.present.saturating_sub(prefill_engines.max(prefill_minimum)))
}

/// Name and registry row of an engine.
type Engine<'table> = (&'table EndpointName, &'table ServingEndpoint);

/// Returns the next changes of stage towards `wanted` decode engines. One call may not return all of them: while
/// engines change to decode, none changes to prefill.
///
/// Decode engines stay spread over the failure domains: the next one is taken from the domain with the fewest, and the
/// next prefill engine from the domain with the most.
///
/// A stream goes on only at the software version that began it. So engines leave decode first that leave two others of
/// their version, and last those that leave a single one, whose streams no other engine could continue.
///
/// On-demand engines are preferred for decode. The prefill work of a reclaimed engine can be repeated elsewhere, but
/// the streams of a reclaimed decode engine break off. If a reclaimable engine decodes while an on-demand one prefills,
/// the on-demand one changes to decode first. The reclaimable one is then surplus and changes to prefill in a later
/// plan.
pub fn plan_stages(engines: &[Engine<'_>], wanted: usize) -> Vec<StageChange> {
    let mut decoders = engines_in_stage(engines, EngineStage::Decode);
    let mut prefill_engines = engines_in_stage(engines, EngineStage::Prefill);
    let is_lasting = |(_, endpoint): &Engine<'_>| !endpoint.reclaimable;
    let lasting_wanted = wanted.min(engines.iter().filter(|engine| is_lasting(engine)).count());
    let mut changes = Vec::new();
    loop {
        let counts = decoders_by_domain(engines, &decoders);
        let count = |(_, endpoint): &Engine<'_>| counts.get(&endpoint.domain).copied().unwrap_or(0);
        let lasting_decoders = decoders.iter().filter(|engine| is_lasting(engine)).count();
        let is_short = decoders.len() < wanted || lasting_decoders < lasting_wanted;
        let (from, to, stage, index) = if is_short && prefill_engines.len() > 1 {
            let index = best_index(&prefill_engines, |engine| {
                (is_lasting(engine), usize::MAX - count(engine))
            });
            (&mut prefill_engines, &mut decoders, EngineStage::Decode, index)
        } else if decoders.len() > wanted {
            let versions = decoders_by_version(&decoders);
            let index = best_index(&decoders, |engine| {
                (!is_lasting(engine), spare_rank(&versions, engine), count(engine))
            });
            (&mut decoders, &mut prefill_engines, EngineStage::Prefill, index)
        } else {
            break;
        };
        let Some(index) = index else { break };
        let engine = from.remove(index);
        to.push(engine);
        changes.push(StageChange {
            endpoint: engine.0.clone(),
            stage,
        });
    }
    if changes.iter().any(|change| change.stage == EngineStage::Decode) {
        // An engine keeps decoding until the one that replaces it has changed to decode. It changes in a later plan.
        changes.retain(|change| change.stage == EngineStage::Decode);
    }
    changes
}

/// Requests of a service, from which engines are assigned while some of them name limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLoad {
    /// Calls a second. Each of them is a request to a prefill engine and one to a decode engine.
    pub rate: f64,
    /// Decode engines that the load would need without limits.
    pub decoders: usize,
    /// Prefill engines that it would need.
    pub prefill_engines: f64,
}

impl RequestLoad {
    /// Returns the requests of a service with this rate of calls and this load. Decode engines that are only retained are not
    /// needed: if they were, each engine that changes to decode would make another one necessary.
    pub fn of(rate: f64, load: &StageLoad, spec: &EngineSpec) -> Self {
        let needed = StageLoad { decoders: 0, ..*load };
        Self {
            rate,
            decoders: wanted_decoders(&needed, spec),
            prefill_engines: load.prefill_engines,
        }
    }

    /// Returns how many requests a second a decode engine takes.
    fn decode_rate(&self, limit: Option<RateLimit>) -> f64 {
        let usual = self.rate / self.decoders.max(1) as f64;
        limit.map_or(usual, |limit| limit.rate().min(usual))
    }

    /// Returns how many requests a second a prefill engine takes.
    fn prefill_rate(&self, limit: Option<RateLimit>) -> f64 {
        let usual = self.rate / self.prefill_engines.max(1.0);
        limit.map_or(usual, |limit| limit.rate().min(usual))
    }
}

/// Returns the engines that change to decode while engines name limits, as `limit_of` says.
///
/// Decode needs few engines, each with many calls, so that a limit which hardly concerns a prefill engine stops most calls
/// at a decode engine. Engines change to decode, those first that take the most, until all calls could be decoded or more
/// could be decoded than prefilled. None changes to prefill: it would be missing when the limits end.
pub fn plan_limited_stages(
    engines: &[Engine<'_>],
    load: &RequestLoad,
    limit_of: impl Fn(&Engine<'_>) -> Option<RateLimit>,
) -> Vec<StageChange> {
    let mut decoders = engines_in_stage(engines, EngineStage::Decode);
    let mut prefill_engines = engines_in_stage(engines, EngineStage::Prefill);
    let mut decoded: f64 = decoders.iter().map(|engine| load.decode_rate(limit_of(engine))).sum();
    let mut prefilled: f64 = prefill_engines
        .iter()
        .map(|engine| load.prefill_rate(limit_of(engine)))
        .sum();
    let mut changes = Vec::new();
    while decoded < load.rate.min(prefilled) {
        let counts = decoders_by_domain(engines, &decoders);
        let index = best_index(&prefill_engines, |engine| {
            let (_, endpoint) = engine;
            let taken = round_up(PERMILLE * load.decode_rate(limit_of(engine)));
            let in_domain = counts.get(&endpoint.domain).copied().unwrap_or(0);
            (taken, !endpoint.reclaimable, usize::MAX - in_domain)
        });
        let Some(index) = index else { break };
        let engine = prefill_engines.remove(index);
        decoders.push(engine);
        decoded += load.decode_rate(limit_of(&engine));
        prefilled -= load.prefill_rate(limit_of(&engine));
        changes.push(StageChange {
            endpoint: engine.0.clone(),
            stage: EngineStage::Decode,
        });
    }
    changes
}

fn engines_in_stage<'table>(engines: &[Engine<'table>], stage: EngineStage) -> Vec<Engine<'table>> {
    let engines = engines.iter().filter(|(_, endpoint)| endpoint.stage == Some(stage));
    engines.copied().collect()
}

fn decoders_by_domain<'table>(
    engines: &[Engine<'table>],
    decoders: &[Engine<'table>],
) -> BTreeMap<&'table DomainName, usize> {
    let mut counts: BTreeMap<_, _> = engines.iter().map(|(_, endpoint)| (&endpoint.domain, 0)).collect();
    for (_, endpoint) in decoders {
        *counts.entry(&endpoint.domain).or_default() += 1;
    }
    counts
}

fn decoders_by_version<'table>(decoders: &[Engine<'table>]) -> HashMap<Option<&'table SoftwareVersion>, usize> {
    let mut counts = HashMap::new();
    for (_, endpoint) in decoders {
        *counts.entry(endpoint.version.as_ref()).or_default() += 1;
    }
    counts
}

/// Ranks a decode engine by what its version loses with it; a higher rank loses less.
fn spare_rank(versions: &HashMap<Option<&SoftwareVersion>, usize>, (_, endpoint): &Engine<'_>) -> u8 {
    match versions.get(&endpoint.version.as_ref()) {
        Some(3..) => 2,
        Some(2) => 0,
        // No engine of the version is left that would need another one.
        _ => 1,
    }
}

fn best_index<T, K: Ord>(engines: &[T], key: impl Fn(&T) -> K) -> Option<usize> {
    (0..engines.len()).max_by_key(|index| key(&engines[*index]))
}
