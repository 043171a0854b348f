//! Plans which engines of a service read prompts and which make tokens, and has them ordered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::config::EngineSpec;
use acaciabay::core::serving::endpoint_registry::{EngineStage, ServingEndpoint};
use acaciabay::core::serving::stream_peak::{StreamDemand, StreamPeak};
use acaciabay::ops::plan_stages::{StageLoad, plan_stages, wanted_decoders};

use super::duties::DutyTurn;
use super::engine_orders::EngineOrders;

/// How often the stages are looked at.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// How long endpoints that are given back take to report that they leave.
const GIVING_BACK_TIME: Duration = Duration::from_secs(1);
/// How long a surplus of engines that make tokens has to last before they read prompts.
const SURPLUS_TIME: Duration = Duration::from_secs(1);

/// What is remembered of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceStages {
    peak: StreamPeak,
    wanted_makers: usize,
    /// Engines that are ordered of the platform; some of them may not have started yet.
    expected: usize,
    /// Engines that reading needs.
    readers: f64,
    surplus_since: Option<BootTime>,
}

/// The stages that one holder plans.
#[derive(Debug, Default)]
pub(super) struct StageOrders {
    next_plan: BootTime,
    hold_until: BootTime,
    services: BTreeMap<ServiceName, ServiceStages>,
    orders: EngineOrders,
}

type EngineRow = (EndpointName, ServingEndpoint);

impl StageOrders {
    /// Orders what the running streams need.
    pub(super) fn tick(&mut self, turn: &DutyTurn<'_>) {
        let now = turn.now;
        if now < self.next_plan.max(self.hold_until) || !turn.hub.knows_endpoints(now) {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        let Some(config) = turn.hub.config() else { return };
        for (service, spec) in &config.services {
            if let Some(engine) = &spec.engine {
                self.plan_service(turn, service, engine);
            }
        }
    }

    /// Waits with further orders until endpoints that were given back show as leaving: which of them the platform takes
    /// is its choice, and may be the very ones that were to make the tokens.
    pub(super) fn hold(&mut self, now: BootTime) {
        self.hold_until = now + GIVING_BACK_TIME;
    }

    /// Takes over how many engines of a service there will be, and how many of them reading needs.
    pub(super) fn expect(&mut self, service: &ServiceName, engines: u32, readers: f64) {
        let stages = self.services.entry(service.clone()).or_default();
        stages.expected = usize::try_from(engines).unwrap_or(usize::MAX);
        stages.readers = readers;
    }

    /// Returns how many engines of a service are to make tokens.
    pub(super) fn wanted_makers(&self, service: &ServiceName) -> u32 {
        let wanted = self.services.get(service).map_or(0, |stages| stages.wanted_makers);
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Returns how many engines carry out an order.
    pub(super) fn resting_count(&self, now: BootTime) -> u32 {
        u32::try_from(self.orders.resting(now).len()).unwrap_or(u32::MAX)
    }

    fn plan_service(&mut self, turn: &DutyTurn<'_>, service: &ServiceName, spec: &EngineSpec) {
        let now = turn.now;
        let (reported, present, is_idle) = look_at(turn, service);
        let has_closed = self.orders.close(now, &reported);
        let engines: Vec<EngineRow> = reported
            .into_iter()
            .map(|(name, endpoint)| self.orders.with_open_order(name, endpoint))
            .collect();
        let stages = self.services.entry(service.clone()).or_default();
        stages.peak.see(now, present);
        let demand = stages.peak.demand();
        let domains: BTreeSet<_> = engines.iter().map(|(_, endpoint)| &endpoint.domain).collect();
        let makers = engines.iter().filter(|(_, endpoint)| makes_tokens(endpoint)).count();
        let work = StageLoad {
            present: engines.len(),
            expected: stages.expected,
            decoders: if is_idle { 0 } else { makers },
            domains: domains.len(),
            demand,
            prefill_engines: stages.readers,
        };
        let wanted = wanted_decoders(&work, spec);
        stages.wanted_makers = wanted;
        if makers <= wanted {
            stages.surplus_since = None;
        }
        let surplus_since = *stages.surplus_since.get_or_insert(now);
        // Before any call has come, a change costs nobody anything.
        let is_hasty = makers > wanted && !is_idle && now.since(surplus_since) < SURPLUS_TIME;
        let rows: Vec<_> = engines.iter().map(|(name, endpoint)| (name, endpoint)).collect();
        let mut changes = if is_hasty {
            Vec::new()
        } else {
            plan_stages(&rows, wanted)
        };
        if self.orders.awaits_maker(now) && !is_idle {
            // The engines that are replaced go on until those that replace them can.
            changes.retain(|change| change.stage == EngineStage::Decode);
        }
        for change in &changes {
            slog::info!(turn.hub.log, "stage change planned"; "event" => event::STAGE_PLANNED,
                "service" => service.as_str(), "endpoint" => change.endpoint.as_str(), "stage" => ?change.stage,
                "engines" => rows.len(), "makers" => makers, "wanted" => wanted,
                "streams" => demand.streams, "held_tokens" => demand.held_tokens, "readers" => stages.readers);
            if let Some((_, endpoint)) = engines.iter().find(|(name, _)| *name == change.endpoint) {
                self.orders.give(turn, change, endpoint, spec.stage_switch_time);
            }
        }
        if has_closed || !changes.is_empty() {
            turn.hub.tell_resting(self.orders.resting(now));
        }
    }
}

fn makes_tokens(endpoint: &ServingEndpoint) -> bool {
    endpoint.stage == Some(EngineStage::Decode)
}

/// Returns the engines of a service as they report, what their streams take, and whether no call runs anywhere.
fn look_at(turn: &DutyTurn<'_>, service: &ServiceName) -> (Vec<EngineRow>, StreamDemand, bool) {
    let soft = turn.hub.soft();
    let ready = soft.registry.ready(turn.now, service).into_iter();
    let engines: Vec<EngineRow> = ready
        .filter(|(_, endpoint)| endpoint.stage.is_some())
        .map(|(name, endpoint)| (name.clone(), endpoint.clone()))
        .collect();
    let uses = soft.uses_beside(None);
    let mut present = StreamDemand::default();
    for (name, _) in engines.iter().filter(|(_, endpoint)| makes_tokens(endpoint)) {
        let work = uses.get(name).copied().unwrap_or_default();
        present.streams += work.calls as f64;
        present.held_tokens += work.held_tokens as f64;
    }
    (engines, present, uses.is_empty())
}
