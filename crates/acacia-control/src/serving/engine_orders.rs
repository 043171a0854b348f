//! Stage orders that were sent to engines and do not show in their reports yet.

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

use super::duties::{DutyContext, OwnedDutyContext, RestingPeer};

/// Time for which an order without an answer may still be carried out. The engine gets no other order meanwhile.
const UNANSWERED_ORDER_TIME: Duration = Duration::from_secs(14);
/// Time, in addition to the change itself, for which an engine that has accepted an order may still report its old
/// stage. It first finishes its running calls, which takes as long as the longest answer.
const DRAIN_TIME: Duration = Duration::from_secs(8);
/// Time from sending an order until the engine begins to change: the transmission and the work that is in progress.
const START_DELAY: Duration = Duration::from_millis(500);
/// Delay before an engine that has refused an order gets another one.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    birth: EndpointIncarnation,
    stage: EngineStage,
    /// Time until which the engine carries out the order and takes no calls.
    resting_until: BootTime,
    /// Time until which the order may still take effect.
    open_until: BootTime,
}

/// Open stage orders of one duty holder, by engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineOrders {
    open: Arc<Mutex<BTreeMap<EndpointName, OpenOrder>>>,
}

impl EngineOrders {
    /// Removes orders that show in the engine's reports or can no longer take effect. Returns true if there were any.
    pub(super) fn remove_settled(&self, now: BootTime, engines: &[(EndpointName, ServingEndpoint)]) -> bool {
        let mut open = self.open.lock();
        let count_before = open.len();
        open.retain(|name, order| {
            let reported = engines
                .iter()
                .find(|(known, _)| known == name)
                .map(|(_, endpoint)| endpoint);
            let is_reported = reported.is_some_and(|endpoint| endpoint.stage == Some(order.stage));
            now < order.open_until && !is_reported
        });
        open.len() < count_before
    }

    /// Returns an engine with the stage that it will report once its open order, if any, is carried out.
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

    /// Returns true if an engine is changing to decode.
    pub(super) fn has_pending_decode_engine(&self, now: BootTime) -> bool {
        let open = self.open.lock();
        open.values()
            .any(|order| order.stage == EngineStage::Decode && now < order.resting_until)
    }

    /// Returns the engines that take no calls because they are carrying out an order.
    pub(super) fn resting(&self, now: BootTime) -> Vec<RestingEngine> {
        let open = self.open.lock();
        let resting = open.iter().filter(|(_, order)| now < order.resting_until);
        let rows = resting.map(|(name, order)| RestingEngine {
            name: name.to_string(),
            birth: order.birth.0,
            left_ms: whole_millis(order.resting_until.since(now)),
            stage: stage_to_wire(order.stage).into(),
        });
        rows.collect()
    }

    /// Orders an engine to change its stage, unless an earlier order to it is open.
    pub(super) fn issue(
        &self,
        context: &DutyContext<'_>,
        change: &StageChange,
        endpoint: &ServingEndpoint,
        switch: Duration,
    ) {
        let mut open = self.open.lock();
        if open.contains_key(&change.endpoint) {
            return;
        }
        let order = OpenOrder {
            birth: endpoint.incarnation,
            stage: change.stage,
            resting_until: context.now + switch + START_DELAY,
            open_until: context.now + UNANSWERED_ORDER_TIME,
        };
        open.insert(change.endpoint.clone(), order);
        let (context, open) = (context.to_owned_context(), Arc::clone(&self.open));
        let (change, address) = (change.clone(), endpoint.address);
        tokio::spawn(async move {
            let open_until = match send_order(&context, &change, address).await {
                OrderOutcome::Accepted => boot_now() + switch + DRAIN_TIME,
                OrderOutcome::Refused => boot_now() + REFUSED_RETRY_DELAY,
                OrderOutcome::Open => return,
            };
            if let Some(order) = open.lock().get_mut(&change.endpoint) {
                order.open_until = open_until;
                // It rests until it reports the new stage, however long it takes to finish what runs.
                order.resting_until = open_until;
            }
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    Accepted,
    Refused,
    /// No answer arrived, and the engine may still carry out the order.
    Open,
}

/// Asks the engine how many orders it has accepted, and makes the order conditional on that number. A delayed copy then
/// fails instead of undoing a newer order.
async fn send_order(context: &OwnedDutyContext, change: &StageChange, address: SocketAddr) -> OrderOutcome {
    let OwnedDutyContext { shared, client, stamp } = context;
    let reported = client.send(address, shared.platform.report_call()).await;
    let report = reported.ok().and_then(|(_, body)| shared.platform.read_report(&body));
    let Some(report) = report.filter(|report| !report.busy) else {
        slog::info!(shared.log, "no order sent: engine is busy or gave no report"; "event" => event::ORDER_UNSETTLED,
            "endpoint" => change.endpoint.as_str(), "report" => ?report);
        return OrderOutcome::Refused;
    };
    if report.stage == Some(change.stage) {
        return OrderOutcome::Accepted;
    }
    let call = shared
        .platform
        .stage_call(stamp, &change.endpoint, change.stage, report.accepted_orders);
    let sent = client.send(address, call).await;
    let (outcome, reason) = match &sent {
        Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => (OrderOutcome::Accepted, String::new()),
        Ok((status, _)) => (OrderOutcome::Refused, status.to_string()),
        Err(error) if error.is::<RestingPeer>() => (OrderOutcome::Refused, error.to_string()),
        Err(error) => (OrderOutcome::Open, format!("{error:#}")),
    };
    slog::info!(shared.log, "stage order sent"; "event" => event::ORDER_SENT, "endpoint" => change.endpoint.as_str(),
        "stage" => ?change.stage, "fence" => stamp.fence.0, "expected" => report.accepted_orders,
        "outcome" => ?outcome, "reason" => reason);
    outcome
}
