//! Orders to engines: which of them read prompts and which make tokens.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::config::EngineSpec;
use acaciabay::core::serving::endpoint_registry::{EndpointBirth, EngineStage, ServingEndpoint};
use acaciabay::ops::plan_stages::{StageChange, StreamDemand, plan_stages, wanted_decoders};
use hyper::StatusCode;
use parking_lot::Mutex;

use super::codec::DutyStamp;
use super::duties::DutyClient;
use super::hub::ServingHub;

/// How often the stages are looked at.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// How long a new holder listens before it orders anything: every endpoint reports within this time, and by the few that
/// are known first the wrong ones would be changed.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How fast the remembered peak of running streams fades: to a third within this time.
const PEAK_MEMORY: Duration = Duration::from_secs(10);
/// How long an order without an answer may still be carried out; nothing else is ordered of that engine meanwhile.
const DOUBT_TIME: Duration = Duration::from_secs(14);
/// How long an engine that has accepted an order may report its earlier stage, beside the time of the change itself.
const REPORT_DELAY: Duration = Duration::from_secs(3);
/// How long a surplus of engines that make tokens has to last before one of them reads prompts.
const SURPLUS_TIME: Duration = Duration::from_secs(8);

/// An order that may not show in the engine's reports yet.
#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    birth: EndpointBirth,
    stage: EngineStage,
    until: BootTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandPeak {
    demand: StreamDemand,
    seen_at: BootTime,
    surplus_since: Option<BootTime>,
}

/// The orders of one holder.
#[derive(Debug, Default)]
pub(super) struct StageOrders {
    next_plan: BootTime,
    settled_at: Option<BootTime>,
    peaks: BTreeMap<ServiceName, DemandPeak>,
    open: Arc<Mutex<BTreeMap<EndpointName, OpenOrder>>>,
}

impl StageOrders {
    /// Orders what the running streams need.
    pub(super) fn tick(&mut self, now: BootTime, hub: &Arc<ServingHub>, client: &DutyClient, stamp: &DutyStamp) {
        if now < self.next_plan {
            return;
        }
        if now < *self.settled_at.get_or_insert(now + SETTLING_TIME) {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        let Some(config) = hub.config() else { return };
        for (service, spec) in &config.services {
            if let Some(engine) = &spec.engine {
                self.plan_service(now, hub, client, stamp, service, engine);
            }
        }
    }

    fn plan_service(
        &mut self,
        now: BootTime,
        hub: &Arc<ServingHub>,
        client: &DutyClient,
        stamp: &DutyStamp,
        service: &ServiceName,
        spec: &EngineSpec,
    ) {
        self.open.lock().retain(|_, order| now < order.until);
        let soft = hub.soft();
        let engines: Vec<(EndpointName, ServingEndpoint)> = soft
            .registry
            .ready(now, service)
            .into_iter()
            .filter(|(_, endpoint)| endpoint.stage.is_some())
            .map(|(name, endpoint)| (name.clone(), self.with_open_order(name, endpoint)))
            .collect();
        let uses = soft.uses_beside(None);
        drop(soft);
        let is_decoder = |endpoint: &ServingEndpoint| endpoint.stage == Some(EngineStage::Decode);
        let mut present = StreamDemand::default();
        for (name, _) in engines.iter().filter(|(_, endpoint)| is_decoder(endpoint)) {
            let work = uses.get(name).copied().unwrap_or_default();
            present.streams += work.calls as f64;
            present.held_tokens += work.held_tokens as f64;
        }
        let is_idle = uses.is_empty();
        let peak = self.peaks.entry(service.clone()).or_default();
        remember_peak(peak, now, present);
        let demand = peak.demand;
        let wanted = wanted_decoders(engines.len(), spec, &demand);
        let decoders = engines.iter().filter(|(_, endpoint)| is_decoder(endpoint)).count();
        if decoders <= wanted {
            peak.surplus_since = None;
        }
        let surplus_since = *peak.surplus_since.get_or_insert(now);
        // Before any call has come, a change costs nobody anything.
        if decoders > wanted && !is_idle && now.since(surplus_since) < SURPLUS_TIME {
            return;
        }
        let most = if is_idle { engines.len() } else { 1 };
        let rows: Vec<_> = engines.iter().map(|(name, endpoint)| (name, endpoint)).collect();
        for change in plan_stages(&rows, wanted, most) {
            slog::info!(hub.log, "stage change planned"; "event" => event::STAGE_PLANNED,
                "service" => service.as_str(), "endpoint" => change.endpoint.as_str(), "stage" => ?change.stage,
                "engines" => rows.len(), "decoders" => decoders, "wanted" => wanted,
                "streams" => demand.streams, "held_tokens" => demand.held_tokens);
            if let Some((_, endpoint)) = engines.iter().find(|(name, _)| *name == change.endpoint) {
                self.order(now, hub, client, stamp, change, endpoint, spec.switch);
            }
        }
    }

    /// Returns the endpoint as it will be once an open order shows in its reports.
    fn with_open_order(&self, name: &EndpointName, endpoint: &ServingEndpoint) -> ServingEndpoint {
        let mut endpoint = endpoint.clone();
        if let Some(order) = self.open.lock().get(name)
            && order.birth == endpoint.birth
        {
            endpoint.stage = Some(order.stage);
        }
        endpoint
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "an order needs all of it, and a struct would be used here only"
    )]
    fn order(
        &self,
        now: BootTime,
        hub: &Arc<ServingHub>,
        client: &DutyClient,
        stamp: &DutyStamp,
        change: StageChange,
        endpoint: &ServingEndpoint,
        switch: Duration,
    ) {
        if self.open.lock().contains_key(&change.endpoint) {
            return;
        }
        let order = OpenOrder {
            birth: endpoint.birth,
            stage: change.stage,
            until: now + DOUBT_TIME,
        };
        self.open.lock().insert(change.endpoint.clone(), order);
        let (hub, client, stamp) = (Arc::clone(hub), client.clone(), stamp.clone());
        let (open, address) = (Arc::clone(&self.open), endpoint.address);
        tokio::spawn(async move {
            let outcome = send(&hub, &client, &stamp, &change, address).await;
            let until = match outcome {
                OrderOutcome::Accepted => boot_now() + switch + REPORT_DELAY,
                OrderOutcome::Refused => boot_now() + PLAN_INTERVAL,
                OrderOutcome::Open => return,
            };
            if let Some(order) = open.lock().get_mut(&change.endpoint) {
                order.until = until;
            }
        });
    }
}

/// Follows a demand upwards at once and downwards slowly: streams come in bursts, and a change of stage takes seconds.
fn remember_peak(peak: &mut DemandPeak, now: BootTime, present: StreamDemand) {
    let faded = (-now.since(peak.seen_at).as_secs_f64() / PEAK_MEMORY.as_secs_f64()).exp();
    peak.demand = StreamDemand {
        streams: present.streams.max(peak.demand.streams * faded),
        held_tokens: present.held_tokens.max(peak.demand.held_tokens * faded),
    };
    peak.seen_at = now;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    Accepted,
    Refused,
    /// It may be carried out later.
    Open,
}

async fn send(
    hub: &ServingHub,
    client: &DutyClient,
    stamp: &DutyStamp,
    change: &StageChange,
    address: SocketAddr,
) -> OrderOutcome {
    let reported = client.send(address, hub.platform.report_call()).await;
    let report = reported.ok().and_then(|(_, body)| hub.platform.read_report(&body));
    let Some(report) = report.filter(|report| !report.busy) else {
        slog::info!(hub.log, "engine cannot be ordered now"; "event" => event::ORDER_UNSETTLED,
            "endpoint" => change.endpoint.as_str(), "report" => ?report);
        return OrderOutcome::Refused;
    };
    if report.stage == Some(change.stage) {
        return OrderOutcome::Accepted;
    }
    let call = hub
        .platform
        .stage_call(stamp, &change.endpoint, change.stage, report.accepted_orders);
    let sent = client.send(address, call).await;
    let (outcome, reason) = match &sent {
        Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => (OrderOutcome::Accepted, String::new()),
        Ok((status, _)) => (OrderOutcome::Refused, status.to_string()),
        Err(error) => (OrderOutcome::Open, format!("{error:#}")),
    };
    slog::info!(hub.log, "order sent"; "event" => event::ORDER_SENT, "endpoint" => change.endpoint.as_str(),
        "stage" => ?change.stage, "fence" => stamp.fence.0, "expected" => report.accepted_orders,
        "outcome" => ?outcome, "reason" => reason);
    outcome
}
