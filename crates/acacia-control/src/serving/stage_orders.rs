//! Planning of the prefill and decode engines of each service, and the orders that change their stages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::call_gap::CallGap;
use acaciabay::core::serving::call_rate::CallRate;
use acaciabay::core::serving::config::EngineSpec;
use acaciabay::core::serving::endpoint_limit::RateLimit;
use acaciabay::core::serving::endpoint_registry::{EngineStage, ServingEndpoint};
use acaciabay::core::serving::limit_ledger::LimitLedger;
use acaciabay::core::serving::service_need::RecordedNeed;
use acaciabay::core::serving::stream_peak::{StreamDemand, StreamPeak};
use acaciabay::ops::plan_stages::{RequestLoad, StageLoad, plan_limited_stages, plan_stages, wanted_decoders};

use super::duties::DutyContext;
use super::engine_orders::EngineOrders;

/// Interval at which stages are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time that released endpoints take to report that they leave.
const RELEASE_REPORT_TIME: Duration = Duration::from_secs(1);
/// Time for which a surplus of decode engines has to last before some of them change to prefill.
const SURPLUS_DELAY: Duration = Duration::from_secs(1);

/// Planning state of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceStages {
    peak: StreamPeak,
    wanted_decode_engines: usize,
    /// True if the service is uneven, so that its stages are also planned for streams that are about to start.
    is_uneven: bool,
    /// Engines that have been ordered from the platform, including those that have not started yet.
    expected: usize,
    /// Engines that the prefill load needs.
    prefill_engines: f64,
    calls: CallRate,
    gap: CallGap,
    surplus_since: Option<BootTime>,
}

/// Stage plans and open stage orders of one duty holder.
#[derive(Debug, Default)]
pub(super) struct StageOrders {
    /// Gap since the calls of the holder before this one.
    handover: CallGap,
    next_plan: BootTime,
    /// Number of changes of endpoints' limits that the last plan has taken into account.
    planned_limit_changes: u64,
    suspended_until: BootTime,
    services: BTreeMap<ServiceName, ServiceStages>,
    orders: EngineOrders,
}

type EngineRow = (EndpointName, ServingEndpoint);

impl StageOrders {
    /// Begins as the successor of a holder whose calls are not known.
    pub(super) fn after_handover(now: BootTime) -> Self {
        Self {
            handover: CallGap::since(now),
            ..Self::default()
        }
    }

    /// Plans the stages of each service's engines and orders the changes.
    pub(super) fn tick(&mut self, context: &DutyContext<'_>) {
        let now = context.now;
        let limit_changes = limit_change_count(context);
        // An engine that takes fewer calls from now on is replaced as soon as that is known.
        let is_due = now >= self.next_plan || limit_changes != self.planned_limit_changes;
        if !is_due || now < self.suspended_until || !context.shared.is_registry_complete(now) {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        self.planned_limit_changes = limit_changes;
        let Some(config) = context.shared.config() else { return };
        for (service, spec) in &config.services {
            if let Some(engine) = &spec.engine {
                self.plan_service(context, service, engine);
            }
        }
    }

    /// Suspends orders until released endpoints have reported that they leave. The platform chooses which endpoints it
    /// removes, and may choose those that would be ordered to decode.
    pub(super) fn suspend(&mut self, now: BootTime) {
        self.suspended_until = now + RELEASE_REPORT_TIME;
    }

    /// Sets the number of engines that a service will have, and the number of them that the prefill load needs.
    pub(super) fn set_expected(&mut self, service: &ServiceName, engines: u32, prefill_engines: f64) {
        let stages = self.services.entry(service.clone()).or_default();
        stages.expected = usize::try_from(engines).unwrap_or(usize::MAX);
        stages.prefill_engines = prefill_engines;
    }

    /// Returns the number of engines of a service that should decode.
    pub(super) fn wanted_decode_engines(&self, service: &ServiceName) -> u32 {
        let wanted = self
            .services
            .get(service)
            .map_or(0, |stages| stages.wanted_decode_engines);
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Sets whether a service is uneven.
    pub(super) fn set_uneven(&mut self, service: &ServiceName, is_uneven: bool) {
        self.services.entry(service.clone()).or_default().is_uneven = is_uneven;
    }

    /// Returns the peak of the streams of a service.
    pub(super) fn stream_demand(&self, service: &ServiceName) -> StreamDemand {
        let stages = self.services.get(service);
        stages.map(|stages| stages.peak.demand()).unwrap_or_default()
    }

    /// Continues from what an earlier duty holder has recorded `age` ago.
    pub(super) fn restore(&mut self, now: BootTime, service: &ServiceName, age: Duration, recorded: &RecordedNeed) {
        let stages = self.services.entry(service.clone()).or_default();
        stages.peak = StreamPeak::restored(now, age, recorded.streams);
        stages.wanted_decode_engines = usize::try_from(recorded.decode_engines).unwrap_or(usize::MAX);
    }

    /// Returns the number of engines that take no calls because they are carrying out an order.
    pub(super) fn resting_count(&self, now: BootTime) -> u32 {
        u32::try_from(self.orders.resting(now).len()).unwrap_or(u32::MAX)
    }

    fn plan_service(&mut self, context: &DutyContext<'_>, service: &ServiceName, spec: &EngineSpec) {
        let now = context.now;
        let ServiceView {
            engines: reported,
            streams,
            starting,
            has_calls,
        } = observe_service(context, service);
        let has_removed = self.orders.remove_settled(now, &reported);
        let engines: Vec<EngineRow> = reported
            .into_iter()
            .map(|(name, endpoint)| self.orders.with_open_order(name, endpoint))
            .collect();
        let limits = limits_of(context, &engines);
        let stages = self.services.entry(service.clone()).or_default();
        let present = if stages.is_uneven {
            streams.with_starting(starting)
        } else {
            streams
        };
        stages.peak.see(now, present);
        let calls = take_calls(context, service);
        stages.calls.record(now, calls);
        if has_calls || calls > 0 {
            stages.gap.record_call(now);
        }
        let is_idle = self.handover.is_idle(now) && stages.gap.is_idle(now);
        let demand = stages.peak.demand();
        let domains: BTreeSet<_> = engines.iter().map(|(_, endpoint)| &endpoint.domain).collect();
        let decode_engines = engines
            .iter()
            .filter(|(_, endpoint)| is_decode_engine(endpoint))
            .count();
        let work = StageLoad {
            present: engines.len(),
            expected: stages.expected,
            decoders: if is_idle { 0 } else { decode_engines },
            domains: domains.len(),
            demand,
            prefill_engines: stages.prefill_engines,
        };
        let wanted = wanted_decoders(&work, spec);
        stages.wanted_decode_engines = wanted;
        if decode_engines <= wanted {
            stages.surplus_since = None;
        }
        let surplus_since = *stages.surplus_since.get_or_insert(now);
        // While the service is idle, a change costs nobody anything.
        let is_new_surplus = decode_engines > wanted && !is_idle && now.since(surplus_since) < SURPLUS_DELAY;
        let rows: Vec<_> = engines.iter().map(|(name, endpoint)| (name, endpoint)).collect();
        let mut changes = if !limits.is_empty() {
            let requests = RequestLoad::of(stages.calls.per_second(), &work, spec);
            plan_limited_stages(&rows, &requests, |(name, _)| limits.get(*name).copied())
        } else if is_new_surplus {
            Vec::new()
        } else {
            plan_stages(&rows, wanted)
        };
        if self.orders.has_pending_decode_engine(now) && !is_idle {
            // The current decode engines continue until those that replace them are ready.
            changes.retain(|change| change.stage == EngineStage::Decode);
        }
        for change in &changes {
            slog::info!(context.shared.log, "stage change planned"; "event" => event::STAGE_PLANNED,
                "service" => service.as_str(), "endpoint" => change.endpoint.as_str(), "stage" => ?change.stage,
                "engines" => rows.len(), "makers" => decode_engines, "wanted" => wanted,
                "streams" => demand.streams, "held_tokens" => demand.held_tokens, "readers" => stages.prefill_engines);
            if let Some((_, endpoint)) = engines.iter().find(|(name, _)| *name == change.endpoint) {
                self.orders.issue(context, change, endpoint, spec.stage_switch_time);
            }
        }
        if has_removed || !changes.is_empty() {
            context.shared.broadcast_resting(self.orders.resting(now));
        }
    }
}

fn limit_change_count(context: &DutyContext<'_>) -> u64 {
    let soft = context.shared.soft_state();
    soft.limits.as_ref().map_or(0, LimitLedger::change_count)
}

/// Returns the limits that engines name.
fn limits_of(context: &DutyContext<'_>, engines: &[EngineRow]) -> BTreeMap<EndpointName, RateLimit> {
    let soft = context.shared.soft_state();
    let Some(ledger) = &soft.limits else {
        return BTreeMap::new();
    };
    let limited = engines
        .iter()
        .filter_map(|(name, _)| Some((name.clone(), ledger.limit(name)?)));
    limited.collect()
}

/// Returns the calls of a service since the last plan.
fn take_calls(context: &DutyContext<'_>, service: &ServiceName) -> u64 {
    context.shared.soft_state().calls.remove(service).unwrap_or(0)
}

fn is_decode_engine(endpoint: &ServingEndpoint) -> bool {
    endpoint.stage == Some(EngineStage::Decode)
}

/// A service as the leader knows it.
#[derive(Debug)]
struct ServiceView {
    /// Engines as reported.
    engines: Vec<EngineRow>,
    /// Demand of the streams that they decode.
    streams: StreamDemand,
    /// Prompts that are being prefilled. Those queued behind them are not counted: in an overload they would take
    /// engines from prefill, and no prompt would be prefilled sooner.
    starting: f64,
    /// True if a call of any service runs.
    has_calls: bool,
}

fn observe_service(context: &DutyContext<'_>, service: &ServiceName) -> ServiceView {
    let soft = context.shared.soft_state();
    let ready = soft.registry.ready(context.now, service).into_iter();
    let engines: Vec<EngineRow> = ready
        .filter(|(_, endpoint)| endpoint.stage.is_some())
        .map(|(name, endpoint)| (name.clone(), endpoint.clone()))
        .collect();
    let uses = soft.work();
    let mut streams = StreamDemand::default();
    let mut starting = 0.0;
    for (name, endpoint) in &engines {
        let work = uses.get(name).copied().unwrap_or_default();
        if is_decode_engine(endpoint) {
            streams.streams += work.calls as f64;
            streams.held_tokens += work.held_tokens as f64;
        } else if work.unread_tokens > 0 {
            starting += 1.0;
        }
    }
    ServiceView {
        has_calls: !uses.is_empty(),
        engines,
        streams,
        starting,
    }
}
