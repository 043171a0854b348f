//! Duties that only one process at a time may carry out: the delivery of usage windows, and orders to the platform and
//! to engines.
//!
//! The leader holds all duties under a fencing number, which it commits before it uses it. Calls are sent only under
//! the leader lease, which is checked at each write to the connection. A process that was frozen between its decision
//! and the write, and has lost the lease, therefore sends nothing.

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ClientOptions, ConnectionChoice, EndpointClient, WriteGuard, read_body, requested_rest};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::endpoint_rest::RestNotice;
use acaciabay::core::serving::serving_state::{ServingCommand, ServingOutcome};
use acaciabay::util::number::whole_millis;
use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use parking_lot::Mutex;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use super::codec::{DutyStamp, OutboundCall, PoolOrder};
use super::pool_orders::PoolOrders;
use super::shared::ControlShared;
use super::stage_orders::StageOrders;
use super::usage_windows::UsageWindows;

/// Interval between two ticks of the duty holder.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for an answer of the platform or of an engine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the kernel retries to deliver data that was written under the lease (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Time that a new holder waits in addition to the duty lease, within which the duties must not change hands twice.
const HANDOVER_MARGIN: Duration = Duration::from_millis(200);

/// Error of a call that was not sent, since the other side has asked to be left alone for some time yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestingPeer {
    left: Duration,
}

impl Display for RestingPeer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let left = whole_millis(self.left);
        write!(formatter, "not sent: nothing is wanted for {left} ms")
    }
}

impl std::error::Error for RestingPeer {}

/// HTTP client that sends only while this process has the leader lease, and nothing to an address that has asked for rest.
#[derive(Clone, Debug)]
pub(super) struct DutyClient {
    client: Arc<EndpointClient>,
    /// Ends of the rests that the platform and engines have asked for.
    rests: Arc<Mutex<BTreeMap<SocketAddr, BootTime>>>,
    log: Logger,
}

impl DutyClient {
    fn new(shared: &ControlShared) -> Self {
        let group = shared.group.clone();
        // Connections are not reused: data written to an old one might be delivered after data sent on a new one.
        let options = ClientOptions {
            user_timeout: USER_TIMEOUT,
            idle_connections: 0,
            guard: Some(WriteGuard::new(move || group.may_act(boot_now()))),
            ..ClientOptions::default()
        };
        Self {
            client: Arc::new(EndpointClient::new(options)),
            rests: Arc::default(),
            log: shared.log.clone(),
        }
    }

    /// Records for how long a refusal asks to send nothing.
    fn record_refusal(&self, now: BootTime, address: SocketAddr, status: StatusCode, headers: &HeaderMap) {
        if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return;
        }
        let rest = requested_rest(headers);
        if rest == RestNotice::Absent {
            return;
        }
        slog::info!(self.log, "rest asked of a duty"; "event" => event::REST_ASKED, "address" => %address,
            "status" => status.as_u16(), "rest" => ?rest);
        if let RestNotice::For(time) = rest {
            let mut rests = self.rests.lock();
            rests.retain(|_, until| now < *until);
            let until = rests.entry(address).or_insert(now);
            *until = (*until).max(now + time);
        }
    }

    fn rest_left(&self, now: BootTime, address: SocketAddr) -> Option<Duration> {
        let until = self.rests.lock().get(&address).copied()?;
        (now < until).then(|| until.since(now))
    }

    /// Sends a call and returns the status and body of the answer.
    ///
    /// # Errors
    ///
    /// Fails with a [`RestingPeer`] if the call was not sent for that reason, and with any other error if it is not known whether
    /// the call was carried out.
    pub(super) async fn send(&self, address: SocketAddr, call: OutboundCall) -> anyhow::Result<(StatusCode, Bytes)> {
        if let Some(left) = self.rest_left(boot_now(), address) {
            return Err(RestingPeer { left }.into());
        }
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
            self.record_refusal(boot_now(), address, parts.status, &parts.headers);
            let whole = read_body(incoming, MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await;
            let body = whole.map_err(|refusal| anyhow::anyhow!("answer was not whole: {refusal:?}"))?;
            anyhow::Ok((parts.status, body))
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .context("no answer in time")?
    }
}

/// One tick of the duty holder, with everything that the duties need during it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DutyContext<'holder> {
    pub(super) now: BootTime,
    pub(super) shared: &'holder Arc<ControlShared>,
    pub(super) client: &'holder DutyClient,
    pub(super) stamp: &'holder DutyStamp,
}

/// Owned copy of a [`DutyContext`] for tasks that continue after the tick.
#[derive(Clone, Debug)]
pub(super) struct OwnedDutyContext {
    pub(super) shared: Arc<ControlShared>,
    pub(super) client: DutyClient,
    pub(super) stamp: DutyStamp,
}

impl DutyContext<'_> {
    pub(super) fn to_owned_context(self) -> OwnedDutyContext {
        OwnedDutyContext {
            shared: Arc::clone(self.shared),
            client: self.client.clone(),
            stamp: self.stamp.clone(),
        }
    }
}

impl OwnedDutyContext {
    /// Sends an order to the platform. Returns true if the platform has accepted it.
    pub(super) async fn send_pool_order(&self, order: &PoolOrder) -> bool {
        let Some(address) = self.shared.settings.platform_address else {
            return false;
        };
        let sent = self
            .client
            .send(address, self.shared.platform.pool_call(&self.stamp, order))
            .await;
        let is_accepted = matches!(&sent, Ok((status, _)) if status.is_success());
        slog::info!(self.shared.log, "pool order sent"; "event" => event::POOL_ORDERED,
            "service" => order.service.as_str(), "domain" => order.domain.as_str(),
            "reclaimable" => order.reclaimable, "desired" => order.desired, "fence" => self.stamp.fence.0,
            "accepted" => is_accepted, "answer" => ?sent.map(|(status, _)| status));
        is_accepted
    }
}

/// Takes and carries out the duties whenever this process leads, until `stop` is cancelled.
pub(super) async fn run_duties(shared: Arc<ControlShared>, stop: CancellationToken) {
    let client = DutyClient::new(&shared);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(DUTY_INTERVAL) => {}
        }
        let Some(leading_since) = shared.group.status().borrow().leading_since else {
            continue;
        };
        if !shared.group.may_act(boot_now()) {
            continue;
        }
        if let Some(stamp) = assume_duties(&shared).await {
            run_as_holder(&shared, &client, &stamp, leading_since, &stop).await;
        }
    }
}

/// Commits the assignment of the duties to this host, and returns the new fencing number, or `None` if that failed.
async fn assume_duties(shared: &ControlShared) -> Option<DutyStamp> {
    let holder = shared.settings.host.as_str().into();
    let command = ControlCommand::Serving(ServingCommand::AssumeDuties { holder });
    let outcome = shared.group.propose(command).await;
    let Ok(CommandOutcome::Serving(ServingOutcome::Fence(fence))) = outcome else {
        return None;
    };
    slog::info!(shared.log, "duties assumed"; "event" => event::DUTIES_ASSUMED, "fence" => fence.0);
    Some(DutyStamp {
        holder: shared.settings.host.clone(),
        fence,
    })
}

/// Carries out the duties as long as this process leads without interruption since `leading_since`, or until `stop`
/// is cancelled.
async fn run_as_holder(
    shared: &Arc<ControlShared>,
    client: &DutyClient,
    stamp: &DutyStamp,
    leading_since: BootTime,
    stop: &CancellationToken,
) {
    // The very first holder has no predecessor. Any other waits for the duty lease, so that the duties cannot change
    // hands twice within it.
    let has_predecessor = stamp.fence.0 > 1;
    let wait = if has_predecessor {
        shared.settings.duty_lease + HANDOVER_MARGIN
    } else {
        Duration::ZERO
    };
    let mut windows = UsageWindows::begin(boot_now());
    let mut stages = if has_predecessor {
        StageOrders::after_handover(boot_now())
    } else {
        StageOrders::default()
    };
    let mut pools = PoolOrders::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(DUTY_INTERVAL) => {}
        }
        let now = boot_now();
        if shared.group.status().borrow().leading_since != Some(leading_since) {
            slog::info!(shared.log, "duties ended because leadership changed"; "event" => event::DUTIES_LEFT,
                "fence" => stamp.fence.0);
            return;
        }
        if !shared.group.may_act(now) || now.since(leading_since) < wait {
            continue;
        }
        let context = DutyContext {
            now,
            shared,
            client,
            stamp,
        };
        windows.tick(&context).await;
        pools.tick(&context, &mut stages);
        stages.tick(&context);
        pools.record_needs(&context, &stages);
    }
}
