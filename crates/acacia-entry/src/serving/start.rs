//! Startup and shutdown of an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ServerBounds, listen, serve_http, serve_http_within, text_response};
use acacia_runtime::admin::serve_admin;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::intake_log::watch_intake;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_settings::ServingEntrySettings;
use acaciabay::core::serving::broken_attempt::BrokenAttempt;
use anyhow::Context;
use hyper::StatusCode;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::call;
use super::codec::CallCodec;
use super::control_sessions::SessionManager;
use super::prompt_queue::advance_queues;
use super::relay_server::serve_relays;
use super::shared::EntryShared;

/// Maximum number of open connections from callers. The remaining file descriptors are for endpoints and replicas.
const MAX_CALLER_CONNECTIONS: usize = 2_500;
/// Limits for callers before the first configuration arrives. No call is served in that time.
const INITIAL_LIMITS: ServerBounds = ServerBounds {
    head_bytes: 64 * 1024,
    head_timeout: Duration::from_secs(15),
    connections: MAX_CALLER_CONNECTIONS,
    unsent_bytes: None,
    flushes_breaks: false,
};
/// Bytes that the kernel holds of an answer before it can send them, where answers are buffered. Otherwise, the kernel takes
/// megabytes of each, which are memory of the host as well, and it takes more only after a third of them was read, so that a
/// caller that reads slowly looks like one that does not read.
const UNSENT_BYTES: u32 = 32 * 1024;
/// Time for which new connections are accepted after the stop request. The balancer polls once a second and acts on two
/// answers.
const ACCEPT_TIME_AFTER_STOP: Duration = Duration::from_millis(3_200);
/// Time by which the process ends earlier than the platform would kill it.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which readiness is checked for the log and silent endpoints are removed.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);

/// Runs an entry process until `stop` is cancelled and its calls have ended or the grace period has passed.
///
/// # Errors
///
/// Fails if a listening address cannot be bound, or if no random bytes can be read.
pub async fn start(
    settings: ServingEntrySettings,
    codec: Arc<dyn CallCodec>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    stop: CancellationToken,
    page: MetricsPage,
    log: Logger,
) -> anyhow::Result<()> {
    let callers = listen(settings.caller_address).await?;
    let ready = listen(settings.ready_address).await?;
    let metrics = listen(settings.metrics_address).await?;
    let relay = match settings.relay_address {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    slog::info!(log, "entry started"; "event" => event::STARTED, "domain" => &settings.failure_domain,
        "callers" => %settings.caller_address, "ready" => %settings.ready_address,
        "seeds" => ?settings.seed_addresses);
    let grace = settings.stop_grace.saturating_sub(STOP_MARGIN);
    let shared = Arc::new(EntryShared::new(settings, codec, stop.clone(), log.clone()));
    let sessions = Arc::new(SessionManager::new(Arc::clone(&shared), random_start_id()?, seeds));
    // Shutdown has two steps after `stop`: `closing` closes the callers' connections once the balancer has had time to
    // react, and `ended` stops the background tasks once the calls have ended.
    let closing = CancellationToken::new();
    let ended = CancellationToken::new();
    let background = TaskTracker::new();
    background.spawn(sessions.run_sessions(ended.clone()));
    background.spawn(watch_readiness(Arc::clone(&shared), ended.clone()));
    background.spawn(examine_breaks(Arc::clone(&shared), ended.clone()));
    background.spawn(check_paths(Arc::clone(&shared), ended.clone()));
    if shared.settings.waiting_room.is_some() {
        background.spawn(advance_queues(Arc::clone(&shared), ended.clone()));
    }
    background.spawn(watch_paths(Arc::clone(&shared), ended.clone()));
    let intake = Arc::clone(&shared.intake);
    background.spawn(watch_intake(intake, "callers", log.clone(), ended.clone()));
    if let Some(buffers) = &shared.answer_buffers {
        background.spawn(Arc::clone(buffers).scan_until(ended.clone()));
    }
    let relays = relay.map(|relay| {
        let serving = serve_relays(relay, Arc::clone(&shared), closing.clone(), ended.clone());
        tokio::spawn(serving)
    });
    let entry = Arc::clone(&shared);
    background.spawn(serve_http(
        ready,
        ServerBounds::default(),
        ended.clone(),
        move |_request| {
            let is_ready = entry.is_ready(boot_now());
            async move {
                if is_ready {
                    text_response(StatusCode::OK, "ready\n")
                } else {
                    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
                }
            }
        },
    ));
    let entry = Arc::clone(&shared);
    let is_ready = move || entry.is_ready(boot_now());
    background.spawn(serve_admin(metrics, ended.clone(), page, is_ready, |_path| None));
    let handler_state = Arc::clone(&shared);
    let limits_state = Arc::clone(&shared);
    let serving = tokio::spawn(serve_http_within(
        callers,
        move || current_bounds(&limits_state),
        closing.clone(),
        move |request| call::answer(Arc::clone(&handler_state), request),
    ));
    stop.cancelled().await;
    shared.request_stop(boot_now());
    slog::info!(log, "entry stopping"; "event" => event::STOPPING);
    tokio::time::sleep(ACCEPT_TIME_AFTER_STOP.min(grace / 2)).await;
    closing.cancel();
    let left = grace.saturating_sub(ACCEPT_TIME_AFTER_STOP.min(grace / 2));
    let serving = async {
        let _callers_served = serving.await;
        if let Some(relays) = relays {
            let _relayed_served = relays.await;
        }
    };
    if tokio::time::timeout(left, serving).await.is_err() {
        slog::warn!(log, "stopping with calls still running"; "event" => event::STOP_OVERDUE);
    }
    ended.cancel();
    slog::info!(log, "entry stopped"; "event" => event::STOPPED);
    Ok(())
}

/// Returns a random identifier of this start of the process. A timestamp is not unique: hosts that start together may
/// read the same time, and the counts of one would be taken for those of another.
fn random_start_id() -> anyhow::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).context("failed to read random bytes")?;
    Ok(u64::from_le_bytes(bytes))
}

fn current_bounds(shared: &EntryShared) -> ServerBounds {
    let unsent_bytes = shared.answer_buffers.as_ref().map(|_| UNSENT_BYTES);
    let Some(index) = shared.state().index.clone() else {
        return ServerBounds {
            unsent_bytes,
            flushes_breaks: unsent_bytes.is_some(),
            ..INITIAL_LIMITS
        };
    };
    let bounds = index.config().limits;
    ServerBounds {
        // The codec checks the exact limit once the head has been read, so that the caller gets a proper refusal.
        head_bytes: INITIAL_LIMITS.head_bytes.max(bounds.head_bytes.saturating_mul(2)),
        head_timeout: bounds.idle_timeout.max(bounds.head_timeout),
        connections: MAX_CALLER_CONNECTIONS,
        unsent_bytes,
        flushes_breaks: unsent_bytes.is_some(),
    }
}

/// Examines the attempts whose endpoint may have ended.
async fn examine_breaks(shared: Arc<EntryShared>, stop: CancellationToken) {
    let tracker = Arc::clone(&shared.suspects);
    let sighting = |broken: &BrokenAttempt| shared.state().registry.sighting(broken);
    let port_states = |addresses| shared.paths.port_states(addresses);
    let wall_ms = |now| shared.state().wall_millis(now);
    tracker.examine_breaks(sighting, port_states, wall_ms, stop).await;
}

/// Checks the paths to endpoints for which calls wait while no endpoint gives a sign of life.
async fn check_paths(shared: Arc<EntryShared>, stop: CancellationToken) {
    let open = |address| {
        let shared = Arc::clone(&shared);
        async move {
            // Which path has led to the endpoint is recorded by the connector, also if none has.
            let _unreachable = shared.client.open_idle(boot_now(), address).await;
        }
    };
    shared.paths.check_overdue_paths(open, stop).await;
}

/// Takes back what this entry says against endpoints when it finds that its own paths are lost.
async fn watch_paths(shared: Arc<EntryShared>, stop: CancellationToken) {
    let mut changes = shared.paths.changes();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            Ok(()) = changes.changed() => {}
        }
        if shared.paths.is_cut() {
            shared.state().loads.clear_suspicions();
        }
    }
}

async fn watch_readiness(shared: Arc<EntryShared>, stop: CancellationToken) {
    let mut was_ready = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(READINESS_INTERVAL) => {}
        }
        let now = boot_now();
        let is_ready = shared.is_ready(now);
        if is_ready != was_ready {
            was_ready = is_ready;
            let state = shared.state();
            slog::info!(shared.log, "readiness changed"; "event" => event::READINESS_CHANGED, "ready" => is_ready,
                "config" => state.config.number.map(|number| number.0), "endpoints" => state.registry.rows().count(),
                "lease" => shared.has_lease(now), "leaving" => shared.stopping.is_cancelled());
        }
        shared.state().forget_silent(now);
        shared.paths.remove_expired(now);
        shared.client.close_unusable(now);
    }
}
