//! Orders to engines that may not show in their reports yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::RestingEngine;
use acacia_wire::stage_to_wire;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EngineStage, ServingEndpoint};
use acaciabay::ops::plan_stages::StageChange;
use acaciabay::util::number::whole_millis;
use hyper::StatusCode;
use parking_lot::Mutex;

use super::duties::{DutyTurn, OwnedTurn};

/// How long an order without an answer may still be carried out; nothing else is ordered of that engine meanwhile.
const DOUBT_TIME: Duration = Duration::from_secs(14);
/// How long an engine that has accepted an order may report its earlier stage, beside the time of the change itself: it
/// first finishes what runs, which takes as long as the longest answer.
const FINISHING_TIME: Duration = Duration::from_secs(8);
/// How long the order itself and the work that is under way at the engine take before the change begins.
const STEP_TIME: Duration = Duration::from_millis(500);
/// How long to wait before an engine that has refused is ordered again.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    birth: EndpointIncarnation,
    stage: EngineStage,
    /// Until then the engine carries it out and takes no calls.
    rests_until: BootTime,
    /// Until then it may still have an effect.
    until: BootTime,
}

/// The open orders of one holder.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineOrders {
    open: Arc<Mutex<BTreeMap<EndpointName, OpenOrder>>>,
}

impl EngineOrders {
    /// Forgets orders that show in the engine's reports, or can have no more effect; tells whether there were any.
    pub(super) fn close(&self, now: BootTime, engines: &[(EndpointName, ServingEndpoint)]) -> bool {
        let mut open = self.open.lock();
        let before = open.len();
        open.retain(|name, order| {
            let reported = engines
                .iter()
                .find(|(known, _)| known == name)
                .map(|(_, endpoint)| endpoint);
            let shows = reported.is_some_and(|endpoint| endpoint.stage == Some(order.stage));
            now < order.until && !shows
        });
        open.len() < before
    }

    /// Returns an engine as it will be once an open order shows in its reports.
    pub(super) fn with_open_order(
        &self,
        name: EndpointName,
        mut endpoint: ServingEndpoint,
    ) -> (EndpointName, ServingEndpoint) {
        if let Some(order) = self.open.lock().get(&name)
            && order.birth == endpoint.incarnation
        {
            endpoint.stage = Some(order.stage);
        }
        (name, endpoint)
    }

    /// Tells whether an engine is on its way to making tokens.
    pub(super) fn awaits_maker(&self, now: BootTime) -> bool {
        let open = self.open.lock();
        open.values()
            .any(|order| order.stage == EngineStage::Decode && now < order.rests_until)
    }

    /// Returns the engines that carry out an order.
    pub(super) fn resting(&self, now: BootTime) -> Vec<RestingEngine> {
        let open = self.open.lock();
        let resting = open.iter().filter(|(_, order)| now < order.rests_until);
        let rows = resting.map(|(name, order)| RestingEngine {
            name: name.to_string(),
            birth: order.birth.0,
            left_ms: whole_millis(order.rests_until.since(now)),
            stage: stage_to_wire(order.stage).into(),
        });
        rows.collect()
    }

    /// Orders a change of an engine, unless an order to it is open.
    pub(super) fn give(&self, turn: &DutyTurn<'_>, change: &StageChange, endpoint: &ServingEndpoint, switch: Duration) {
        let mut open = self.open.lock();
        if open.contains_key(&change.endpoint) {
            return;
        }
        let order = OpenOrder {
            birth: endpoint.incarnation,
            stage: change.stage,
            rests_until: turn.now + switch + STEP_TIME,
            until: turn.now + DOUBT_TIME,
        };
        open.insert(change.endpoint.clone(), order);
        let (turn, open) = (turn.for_task(), Arc::clone(&self.open));
        let (change, address) = (change.clone(), endpoint.address);
        tokio::spawn(async move {
            let until = match send(&turn, &change, address).await {
                OrderOutcome::Accepted => boot_now() + switch + FINISHING_TIME,
                OrderOutcome::Refused => boot_now() + REFUSED_PAUSE,
                OrderOutcome::Open => return,
            };
            if let Some(order) = open.lock().get_mut(&change.endpoint) {
                order.until = until;
                // It rests until it reports the new stage, however long it takes to finish what runs.
                order.rests_until = until;
            }
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    Accepted,
    Refused,
    /// It may be carried out later.
    Open,
}

/// Asks the engine how many orders it has accepted, and orders the change against that number: a copy that is carried
/// out late then fails, instead of undoing a newer order.
async fn send(turn: &OwnedTurn, change: &StageChange, address: SocketAddr) -> OrderOutcome {
    let OwnedTurn { hub, client, stamp } = turn;
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
