//! What one process at a time may do: report usage windows and order endpoints.
//!
//! The leader takes all duties under a number that it commits before it uses it. Every call is written under the leader
//! lease, which is checked in the write itself: a process that was frozen between deciding and writing writes nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ClientOptions, ConnectionChoice, EndpointClient, WriteGuard, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::serving::serving_state::{ServingCommand, ServingOutcome};
use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use tokio_util::sync::CancellationToken;

use super::codec::{DutyStamp, OutboundCall, PoolOrder};
use super::hub::ServingHub;
use super::pool_orders::PoolOrders;
use super::stage_orders::StageOrders;
use super::usage_windows::UsageWindows;

/// How often the holder looks at what is to be done.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the platform or an engine may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the kernel may go on delivering what was written under a lease.
const USER_TIMEOUT: Duration = Duration::from_secs(1);
const LARGEST_ANSWER: usize = 256 * 1024;
/// How much longer than the time within which duties must not go back and forth a new holder waits.
const TURN_MARGIN: Duration = Duration::from_millis(200);

/// Sends calls under the leader lease.
#[derive(Clone, Debug)]
pub(super) struct DutyClient {
    client: Arc<EndpointClient>,
}

impl DutyClient {
    fn new(hub: &ServingHub) -> Self {
        let group = hub.group.clone();
        // Connections are never kept: what was written on an old one might still be delivered after a new one was used.
        let options = ClientOptions {
            user_timeout: USER_TIMEOUT,
            idle_connections: 0,
            guard: Some(WriteGuard::new(move || group.may_act(boot_now()))),
            ..ClientOptions::default()
        };
        Self {
            client: Arc::new(EndpointClient::new(options)),
        }
    }

    /// Sends a call and returns status and body of the answer.
    pub(super) async fn send(&self, address: SocketAddr, call: OutboundCall) -> anyhow::Result<(StatusCode, Bytes)> {
        let mut head = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(HOST, address.to_string());
        for (name, value) in call.headers {
            head = head.header(name, value);
        }
        if !call.body.is_empty() {
            head = head.header(CONTENT_TYPE, "application/json");
        }
        let request = head.body(Full::new(call.body))?;
        let exchange = async {
            let sent = self.client.send(boot_now(), address, ConnectionChoice::Fresh, request);
            let (parts, incoming) = sent.await?.response.into_parts();
            let whole = read_body(incoming, LARGEST_ANSWER, ANSWER_TIMEOUT).await;
            let body = whole.map_err(|refusal| anyhow::anyhow!("answer was not whole: {refusal:?}"))?;
            anyhow::Ok((parts.status, body))
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .context("no answer in time")?
    }
}

/// One look of the holder at what is to be done: what its systems share.
#[derive(Clone, Copy, Debug)]
pub(super) struct DutyTurn<'holder> {
    pub(super) now: BootTime,
    pub(super) hub: &'holder Arc<ServingHub>,
    pub(super) client: &'holder DutyClient,
    pub(super) stamp: &'holder DutyStamp,
}

/// What a task needs that goes on after the look has ended.
#[derive(Clone, Debug)]
pub(super) struct OwnedTurn {
    pub(super) hub: Arc<ServingHub>,
    pub(super) client: DutyClient,
    pub(super) stamp: DutyStamp,
}

impl DutyTurn<'_> {
    pub(super) fn for_task(self) -> OwnedTurn {
        OwnedTurn {
            hub: Arc::clone(self.hub),
            client: self.client.clone(),
            stamp: self.stamp.clone(),
        }
    }
}

impl OwnedTurn {
    /// Orders endpoints of the platform and tells whether it agrees.
    pub(super) async fn send_pool_order(&self, order: &PoolOrder) -> bool {
        let Some(address) = self.hub.settings.platform_address else {
            return false;
        };
        let sent = self
            .client
            .send(address, self.hub.platform.pool_call(&self.stamp, order))
            .await;
        let is_accepted = matches!(&sent, Ok((status, _)) if status.is_success());
        slog::info!(self.hub.log, "endpoints ordered"; "event" => event::POOL_ORDERED,
            "service" => order.service.as_str(), "domain" => order.domain.as_str(),
            "reclaimable" => order.reclaimable, "desired" => order.desired, "fence" => self.stamp.fence.0,
            "accepted" => is_accepted, "answer" => ?sent.map(|(status, _)| status));
        is_accepted
    }
}

/// Does the duties while this process leads, until `stop` is cancelled.
pub(super) async fn run_duties(hub: Arc<ServingHub>, stop: CancellationToken) {
    let client = DutyClient::new(&hub);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(DUTY_INTERVAL) => {}
        }
        let Some(since) = hub.group.status().borrow().leading_since else {
            continue;
        };
        if !hub.group.may_act(boot_now()) {
            continue;
        }
        if let Some(stamp) = assume(&hub).await {
            hold_duties(&hub, &client, &stamp, since, &stop).await;
        }
    }
}

/// Commits the number under which this leader acts.
async fn assume(hub: &ServingHub) -> Option<DutyStamp> {
    let holder = hub.settings.host.as_str().into();
    let command = ControlCommand::Serving(ServingCommand::AssumeDuties { holder });
    let outcome = hub.group.propose(command).await;
    let Ok(CommandOutcome::Serving(ServingOutcome::Fence(fence))) = outcome else {
        return None;
    };
    slog::info!(hub.log, "duties assumed"; "event" => event::DUTIES_ASSUMED, "fence" => fence.0);
    Some(DutyStamp {
        holder: hub.settings.host.clone(),
        fence,
    })
}

/// Does the duties for as long as this leadership lasts.
async fn hold_duties(
    hub: &Arc<ServingHub>,
    client: &DutyClient,
    stamp: &DutyStamp,
    since: BootTime,
    stop: &CancellationToken,
) {
    // The first holder of all has no predecessor; any other lets the time pass within which turns are forbidden.
    let wait = if stamp.fence.0 > 1 {
        hub.settings.duty_lease + TURN_MARGIN
    } else {
        Duration::ZERO
    };
    let mut windows = UsageWindows::default();
    let mut stages = StageOrders::default();
    let mut pools = PoolOrders::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(DUTY_INTERVAL) => {}
        }
        let now = boot_now();
        if hub.group.status().borrow().leading_since != Some(since) {
            slog::info!(hub.log, "duties left"; "event" => event::DUTIES_LEFT, "fence" => stamp.fence.0);
            return;
        }
        if !hub.group.may_act(now) || now.since(since) < wait {
            continue;
        }
        let turn = DutyTurn {
            now,
            hub,
            client,
            stamp,
        };
        windows.tick(&turn).await;
        pools.tick(&turn, &mut stages);
        stages.tick(&turn);
    }
}
