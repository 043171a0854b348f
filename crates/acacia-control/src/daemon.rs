//! Starting and stopping the daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use acacia_http::{ServerBounds, serve_http};
use acacia_runtime::admin::serve_admin;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_settings::ControlSettings;
use acaciabay::core::endpoint_news::EndpointNews;
use acaciabay::core::presence::PresenceTable;
use acaciabay::util::digest::ContentDigest;
use anyhow::Context;
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::entry_session::serve_peers;
use crate::group::GroupHandle;
use crate::operator_api::OperatorApi;

/// What the tasks of one control process share.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) group: GroupHandle,
    pub(crate) log: Logger,
    soft: Mutex<SoftState>,
}

/// What the leader knows without having committed it; it is learned anew after each election.
#[derive(Debug, Default)]
pub(crate) struct SoftState {
    pub(crate) presence: PresenceTable,
    pub(crate) endpoints: EndpointNews,
}

impl Control {
    pub(crate) fn soft(&self) -> MutexGuard<'_, SoftState> {
        self.soft.lock()
    }
}

/// A control process that has started.
#[derive(Debug)]
pub struct RunningControl {
    /// Where entries and replicas connect.
    pub peer_address: SocketAddr,
    /// Where operators' commands are answered.
    pub operator_address: SocketAddr,
    /// Where health and metrics are read.
    pub admin_address: SocketAddr,
    tasks: TaskTracker,
}

impl RunningControl {
    /// Waits until the process has stopped.
    pub async fn finished(self) {
        self.tasks.wait().await;
    }
}

/// Starts a control process that runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails when an address is taken or the data folder cannot be used.
pub async fn start(
    settings: ControlSettings,
    stop: CancellationToken,
    page: MetricsPage,
    log: Logger,
) -> anyhow::Result<RunningControl> {
    let peers = listen(settings.peer_address).await?;
    let operators = listen(settings.operator_address).await?;
    let admin = listen(settings.admin_address).await?;
    let running = RunningControl {
        peer_address: peers.local_addr()?,
        operator_address: operators.local_addr()?,
        admin_address: admin.local_addr()?,
        tasks: TaskTracker::new(),
    };
    let soft = SoftState {
        presence: PresenceTable::starting_at(boot_now()),
        ..SoftState::default()
    };
    let control = Arc::new(Control {
        group: GroupHandle::in_memory(),
        log,
        soft: Mutex::new(soft),
    });
    let token =
        ContentDigest::from_hex(&settings.operator_token_sha256).context("operator token digest is malformed")?;
    let api = OperatorApi::new(Arc::clone(&control), token);
    slog::info!(control.log, "control started"; "event" => event::STARTED,
        "peers" => %running.peer_address, "operators" => %running.operator_address, "admin" => %running.admin_address);
    running
        .tasks
        .spawn(serve_peers(peers, Arc::clone(&control), stop.clone()));
    running.tasks.spawn(serve_http(
        operators,
        ServerBounds::default(),
        stop.clone(),
        move |request| {
            let api = api.clone();
            async move { api.answer(request).await }
        },
    ));
    let ready = {
        let stop = stop.clone();
        move || !stop.is_cancelled()
    };
    running.tasks.spawn(serve_admin(admin, stop, page, ready, |_path| None));
    running.tasks.close();
    Ok(running)
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("failed to listen on `{address}`"))
}
