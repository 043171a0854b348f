//! The endpoints of services with uneven load as they lie on their lines, by which calls are placed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_load::LoadTable;
use acaciabay::core::serving::endpoint_registry::{EndpointRegistry, EngineStage};
use acaciabay::core::serving::load_slice::{EngineLine, LineEndpoint, LineLayout, LoadSlice};
use acaciabay::ops::place_call::{Candidate, SliceView};
use acaciabay::util::number::bounded_time;

use super::shared::EntryState;

/// Interval at which it is checked whether a service's endpoints have changed on their line.
const LINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Weight of a call in the moving average of the time for which calls are outstanding.
const WORK_TIME_WEIGHT: f64 = 0.05;
/// Time for which calls are assumed to be outstanding before one has ended, by the stage of their endpoints.
const PREFILL_WORK_TIME: Duration = Duration::from_millis(100);
const DECODE_WORK_TIME: Duration = Duration::from_secs(1);

/// Line of the endpoints of a service and stage, and the time at which it was last compared with them.
#[derive(Clone, Debug)]
struct HeldLine {
    line: Arc<EngineLine>,
    checked_at: BootTime,
}

/// Lines of the endpoints of services, those that prefill and all others, and how long calls are outstanding there.
#[derive(Debug, Default)]
pub(super) struct EngineLines {
    lines: HashMap<(ServiceName, EngineStage), HeldLine>,
    /// Average time in milliseconds for which calls are outstanding at endpoints of usual speed.
    work_times: HashMap<(ServiceName, EngineStage), f64>,
}

impl EngineLines {
    /// Returns the line of a service's endpoints: of those that prefill, or of all others.
    fn line(
        &mut self,
        now: BootTime,
        (service, stage): (&ServiceName, EngineStage),
        slice: LoadSlice,
        registry: &EndpointRegistry,
        loads: &LoadTable,
    ) -> Arc<EngineLine> {
        let key = (service.clone(), stage);
        let held = self.lines.get(&key).filter(|held| held.line.slice() == slice);
        if let Some(held) = held.filter(|held| now.since(held.checked_at) < LINE_CHECK_INTERVAL) {
            return Arc::clone(&held.line);
        }
        let mut rows = registry.ready(now, service);
        rows.retain(|(_, row)| stage_of(row.stage) == stage);
        let endpoints = rows.into_iter().map(|(name, row)| LineEndpoint {
            name,
            domain: &row.domain,
            slowdown: loads.lasting_slowdown(now, name),
        });
        let endpoints: Vec<_> = endpoints.collect();
        let layout = match stage {
            EngineStage::Prefill => LineLayout::Together,
            EngineStage::Decode => LineLayout::ByDomain,
        };
        let line = match held.filter(|held| held.line.fits(&endpoints, slice)) {
            Some(held) => Arc::clone(&held.line),
            None => Arc::new(EngineLine::new(&endpoints, layout, slice)),
        };
        let held = HeldLine {
            line: Arc::clone(&line),
            checked_at: now,
        };
        self.lines.insert(key, held);
        line
    }

    /// Returns the time for which calls are usually outstanding at endpoints of a service.
    fn work_time(&self, service: &ServiceName, stage: EngineStage) -> Duration {
        let known = self.work_times.get(&(service.clone(), stage));
        known.map_or(
            match stage {
                EngineStage::Prefill => PREFILL_WORK_TIME,
                EngineStage::Decode => DECODE_WORK_TIME,
            },
            |millis| bounded_time(millis / 1_000.0),
        )
    }
}

impl EntryState {
    /// Records that a call was outstanding at an endpoint since `began_at`, if the entry has a slice of its service.
    pub(super) fn record_work_time(&mut self, now: BootTime, began_at: BootTime, name: &EndpointName) {
        let Some(row) = self.registry.get(name) else { return };
        if !self.slices.contains_key(&row.service) {
            return;
        }
        let millis = now.since(began_at).as_secs_f64() * 1_000.0 / self.loads.lasting_slowdown(now, name);
        let key = (row.service.clone(), stage_of(row.stage));
        let average = self.lines.work_times.entry(key).or_insert(millis);
        *average += WORK_TIME_WEIGHT * (millis - *average);
    }
}

/// Returns the stage by whose line an endpoint is chosen. One without a stage is chosen as those that decode.
const fn stage_of(stage: Option<EngineStage>) -> EngineStage {
    match stage {
        Some(EngineStage::Prefill) => EngineStage::Prefill,
        Some(EngineStage::Decode) | None => EngineStage::Decode,
    }
}

/// What a call of a service is placed by if the entry has a slice of its endpoints.
#[derive(Debug)]
pub(super) struct SlicePart {
    line: Arc<EngineLine>,
    work_time: Duration,
    memory_tokens: u64,
}

impl SlicePart {
    pub(super) fn of(
        entry: &mut EntryState,
        now: BootTime,
        service: &ServiceName,
        stage: EngineStage,
        memory_tokens: u64,
    ) -> Option<Self> {
        let slice = *entry.slices.get(service)?;
        let EntryState {
            lines, registry, loads, ..
        } = entry;
        Some(Self {
            line: lines.line(now, (service, stage), slice, registry, loads),
            work_time: lines.work_time(service, stage),
            memory_tokens,
        })
    }

    pub(super) fn view(&self, draw: u64) -> SliceView<'_> {
        SliceView {
            line: &self.line,
            draw,
            work_time: self.work_time,
            memory_tokens: self.memory_tokens,
        }
    }
}

/// Counts a prompt that goes to an engine outside of the slice.
pub(super) fn count_slice_miss(slice: SliceView<'_>, candidates: &[Candidate<'_>], chosen: &EndpointName) {
    if slice.line.contains(chosen) {
        return;
    }
    let has_member = candidates.iter().any(|(name, _)| slice.line.contains(name));
    let reason = if has_member {
        "better elsewhere"
    } else {
        "none available"
    };
    metrics::counter!("acacia_slice_misses_total", "reason" => reason).increment(1);
}
