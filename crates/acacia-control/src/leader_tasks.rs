//! Tasks of the leader: delivery of orders to endpoints and of usage windows to the platform.
//!
//! Both are committed before they are sent. They are sent only under the leader's lease, which is checked at each write
//! to the socket. `docs/design/orders.md` explains why two processes thus never both act as the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ClientOptions, ConnectionChoice, EndpointClient, WriteGuard, read_body};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::control_state::ControlCommand;
use acaciabay::core::delivery::DELIVERY_USER_TIMEOUT;
use acaciabay::core::name::EndpointName;
use acaciabay::core::order::{OrderRow, OrderTarget};
use acaciabay::core::usage::UsageWindow;
use acaciabay::ops::plan_deliveries::{DeliveryStep, plan_deliveries};
use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::daemon::Control;

/// Delay between two checks for deliveries that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for an exchange with an endpoint or the platform.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Runs the leader's tasks until `stop` is cancelled.
pub(crate) async fn run_leader_tasks(control: Arc<Control>, stop: CancellationToken) {
    let group = control.group.clone();
    let guard = WriteGuard::new(move || group.may_act(boot_now()));
    // No connection is reused: data written to an old connection could be delivered after data written to a newer one.
    let options = ClientOptions {
        user_timeout: DELIVERY_USER_TIMEOUT,
        idle_connections: 0,
        guard: Some(guard),
        ..ClientOptions::default()
    };
    let client = Arc::new(EndpointClient::new(options));
    let mut next_window = Instant::now() + control.settings.usage_window;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if !control.group.may_act(boot_now()) {
            continue;
        }
        deliver_orders(&control, &client);
        if let Some(platform) = control.settings.platform_address {
            if Instant::now() >= next_window {
                next_window = Instant::now() + control.settings.usage_window;
                seal_window(&control).await;
            }
            deliver_window(&control, &client, platform);
        }
    }
}

fn deliver_orders(control: &Arc<Control>, client: &Arc<EndpointClient>) {
    let steps = {
        let state = control.group.read();
        let soft = control.soft_state();
        plan_deliveries(boot_now(), &state.orders, soft.endpoints.table(), &soft.orders)
    };
    for step in steps {
        match step {
            DeliveryStep::Send {
                endpoint,
                address,
                order,
            } => {
                control.soft_state().orders.begin(order.number.0);
                tokio::spawn(send_order(
                    Arc::clone(control),
                    Arc::clone(client),
                    endpoint,
                    address,
                    order,
                ));
            }
            DeliveryStep::Settle { endpoint, order } => {
                tokio::spawn(settle_order(Arc::clone(control), endpoint, order));
            }
        }
    }
}

async fn send_order(
    control: Arc<Control>,
    client: Arc<EndpointClient>,
    endpoint: EndpointName,
    address: SocketAddr,
    order: OrderRow,
) {
    let target = match order.target {
        OrderTarget::Serve => "serve",
        OrderTarget::Drain => "drain",
    };
    let body = json!({"number": order.number.0, "incarnation": order.incarnation.0, "target": target});
    slog::info!(control.log, "order sent"; "event" => event::ORDER_SENT,
        "endpoint" => endpoint.as_str(), "number" => order.number.0, "target" => target);
    match send(&client, Method::POST, address, "/v1/orders", &body).await {
        // A refusal also settles the order: the endpoint has already received a later one, or it has another
        // incarnation.
        Ok(StatusCode::OK | StatusCode::CONFLICT) => settle_order(control, endpoint, order).await,
        Ok(status) => record_unsettled(&control, &endpoint, &order, &status.to_string()),
        Err(error) => record_unsettled(&control, &endpoint, &order, &format!("{error:#}")),
    }
}

fn record_unsettled(control: &Control, endpoint: &EndpointName, order: &OrderRow, reason: &str) {
    control.soft_state().orders.end(order.number.0, boot_now());
    slog::warn!(control.log, "order unsettled"; "event" => event::ORDER_UNSETTLED,
        "endpoint" => endpoint.as_str(), "number" => order.number.0, "reason" => reason);
}

async fn settle_order(control: Arc<Control>, endpoint: EndpointName, order: OrderRow) {
    let command = ControlCommand::SettleOrder {
        endpoint,
        number: order.number,
    };
    if control.group.propose(command).await.is_ok() {
        control.soft_state().orders.forget(order.number.0);
    }
}

async fn seal_window(control: &Control) {
    let next = control.group.read().usage.last_window() + 1;
    // If the leadership is lost before the commit, the next leader seals a window itself.
    let _not_leading = control.group.propose(ControlCommand::SealWindow(next)).await;
}

/// Sends the oldest unacknowledged window. Later windows are sent only after it has been acknowledged.
fn deliver_window(control: &Arc<Control>, client: &Arc<EndpointClient>, platform: SocketAddr) {
    let Some(window) = control.group.read().usage.pending().first().cloned() else {
        return;
    };
    let mut soft = control.soft_state();
    if !soft.windows.may_send(window.window, boot_now()) {
        return;
    }
    soft.windows.begin(window.window);
    tokio::spawn(send_window(Arc::clone(control), Arc::clone(client), platform, window));
}

async fn send_window(control: Arc<Control>, client: Arc<EndpointClient>, platform: SocketAddr, window: UsageWindow) {
    let path = format!("/v1/usage-windows/{}", window.window);
    let sent = send(&client, Method::PUT, platform, &path, &window_to_json(&window)).await;
    match sent {
        Ok(status) if status.is_success() => {
            slog::info!(control.log, "usage window billed"; "event" => event::WINDOW_BILLED, "window" => window.window);
            let _not_leading = control
                .group
                .propose(ControlCommand::AcknowledgeWindow(window.window))
                .await;
            control.soft_state().windows.forget(window.window);
        }
        other => {
            control.soft_state().windows.end(window.window, boot_now());
            let reason = other.map_or_else(|error| format!("{error:#}"), |status| status.to_string());
            slog::warn!(control.log, "usage window delayed"; "event" => event::WINDOW_DELAYED,
                "window" => window.window, "reason" => reason);
        }
    }
}

/// Encodes a window for the platform.
///
/// The rows of a sealed window are final and ordered, so all deliveries of a window are identical byte for byte.
fn window_to_json(window: &UsageWindow) -> Value {
    let rows = window.rows.iter().map(|(customer, figures)| {
        json!({
            "customer": customer.as_str(),
            "prompt_tokens": figures.prompt_tokens,
            "output_tokens": figures.output_tokens,
            "calls": figures.calls,
        })
    });
    json!({"window": window.window, "usage": rows.collect::<Vec<_>>()})
}

async fn send(
    client: &EndpointClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> anyhow::Result<StatusCode> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let exchange = async {
        let answer = client
            .send(boot_now(), address, ConnectionChoice::Fresh, request)
            .await?;
        let (parts, incoming) = answer.response.into_parts();
        let whole = read_body(incoming, MAX_ANSWER_BYTES, EXCHANGE_TIMEOUT).await;
        whole.map_err(|refusal| anyhow::anyhow!("answer body could not be read: {refusal:?}"))?;
        anyhow::Ok(parts.status)
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .context("no answer in time")?
}
