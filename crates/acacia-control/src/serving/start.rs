//! Start and shutdown of a control process.

use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use acacia_http::{ServerBounds, listen, serve_http};
use acacia_runtime::admin::serve_admin;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::intake_log::watch_intake;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_settings::ServingControlSettings;
use acacia_wire::generated::replica::Hello;
use acaciabay::core::consensus::{DiskId, HardState, QuorumPolicy, ReplicaSnapshot};
use anyhow::Context;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::allowances::broadcast_allowances;
use super::bootstrap::{SeedList, await_admission, load_or_create_identity, was_removed};
use super::codec::{ControlCodec, PlatformCodec};
use super::control_http;
use super::duties::run_duties;
use super::observer::observe_replicas;
use super::peers::serve_peers;
use super::shared::ControlShared;
use crate::daemon::random_number;
use crate::driver::{DriverParts, GroupDriver, spawn_driver};
use crate::group::{GroupHandle, GroupInput, GroupShared};
use crate::peer_links::PeerLinks;
use crate::storage::{DataFolder, FolderIdentity, reset_identity};

/// Time without a leader after which a replica asks whether it still belongs to the group.
const NO_LEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the reports without news are passed on. It adds to the age of an endpoint's last report, which
/// counts as silent after seconds.
const REPORTS_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which endpoints that have not reported for a long time are removed from the registry.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a control process until `stop` is cancelled.
///
/// # Errors
///
/// Fails if an address is in use, if the disk fails, or if the group has removed this replica.
pub async fn start(
    settings: ServingControlSettings,
    codec: Arc<dyn ControlCodec>,
    platform: Arc<dyn PlatformCodec>,
    seeds: SeedList,
    stop: CancellationToken,
    page: MetricsPage,
    log: Logger,
) -> anyhow::Result<()> {
    let mut folder = DataFolder::open(&settings.data_folder)?;
    let peers = listen(settings.peer_address).await?;
    let control = listen(settings.control_address).await?;
    let metrics = listen(settings.metrics_address).await?;
    slog::info!(log, "control started"; "event" => event::STARTED, "domain" => &settings.failure_domain,
        "peers" => %settings.peer_address, "control" => %settings.control_address,
        "seeds" => ?settings.seed_addresses, "founds" => settings.found_group);
    let identity = load_or_create_identity(&mut folder, &settings)?;
    let Some(identity) = ensure_admitted(
        &mut folder,
        identity,
        &settings,
        &seeds,
        (&peers, &control),
        &stop,
        &log,
    )
    .await?
    else {
        return Ok(());
    };
    let (shared, driver) = open_group(settings, folder, identity, codec, platform, &log)?;
    let driver_task = spawn_driver(driver, stop.clone(), log.clone());
    let tasks = spawn_tasks(&shared, peers, control, metrics, &stop, page);
    let removal = watch_removal(&shared, &seeds, identity);
    let outcome = tokio::select! {
        () = stop.cancelled() => Ok(()),
        () = removal => clear_removed_replica(&shared),
    };
    slog::info!(log, "control stopping"; "event" => event::STOPPING);
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    shared.group.send_input(GroupInput::Stop);
    let ended = driver_task.await.context("the driver thread failed")?;
    slog::info!(log, "control stopped"; "event" => event::STOPPED);
    outcome.and(ended)
}

/// Returns the identity of this replica, after waiting to be admitted to the group if the folder has none. Returns
/// `None` if `stop` is cancelled first.
async fn ensure_admitted(
    folder: &mut DataFolder,
    identity: FolderIdentity,
    settings: &ServingControlSettings,
    seeds: &SeedList,
    (peers, control): (&TcpListener, &TcpListener),
    stop: &CancellationToken,
    log: &Logger,
) -> anyhow::Result<Option<FolderIdentity>> {
    if identity.replica.is_some() {
        return Ok(Some(identity));
    }
    let (group, replica) = tokio::select! {
        () = stop.cancelled() => return Ok(None),
        admission = await_admission(settings, seeds, identity.disk, log) => admission,
        // Peers and callers that connect in the meantime see at once that this process cannot serve, and try another.
        () = refuse_connections(peers) => return Ok(None),
        () = refuse_connections(control) => return Ok(None),
    };
    let identity = FolderIdentity {
        group,
        replica: Some(replica),
        ..identity
    };
    // The identity is stored last, since it marks the log as initialised.
    folder.initialise(HardState::default(), &ReplicaSnapshot::default())?;
    folder.store_identity(&identity)?;
    slog::info!(log, "identity granted"; "event" => event::IDENTITY_GRANTED, "replica" => replica.0);
    Ok(Some(identity))
}

async fn refuse_connections(listener: &TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    }
}

fn open_group(
    settings: ServingControlSettings,
    folder: DataFolder,
    identity: FolderIdentity,
    codec: Arc<dyn ControlCodec>,
    platform: Arc<dyn PlatformCodec>,
    log: &Logger,
) -> anyhow::Result<(Arc<ControlShared>, GroupDriver)> {
    let replica = identity.replica.context("folder has no place in the group")?;
    let (inputs, receiver) = mpsc::channel();
    let group_shared = Arc::new(GroupShared::default());
    let hello = Hello {
        group: identity.group,
        replica: replica.0,
        host: settings.host.clone(),
        address: settings.peer_address.to_string(),
    };
    let parts = DriverParts {
        id: replica,
        shared: Arc::clone(&group_shared),
        inputs: receiver,
        links: PeerLinks::new(Handle::current(), hello),
        log: log.clone(),
        policy: quorum_policy(settings.tolerated_losses),
    };
    let driver = GroupDriver::open(folder, parts, boot_now(), random_number()?)?;
    let group = GroupHandle::new(inputs, group_shared, identity.group);
    let shared = ControlShared::new(settings, group, codec, platform, log.clone());
    Ok((Arc::new(shared), driver))
}

/// Minimum number of voters if there are enough hosts, even if fewer losses have to be tolerated: a failure domain may
/// be lost together with its two hosts.
const MIN_VOTERS: usize = 5;

/// Returns a policy that stores each log entry on one disk more than may be lost, and has enough voters that a majority
/// survives the losses.
const fn quorum_policy(tolerated_losses: usize) -> QuorumPolicy {
    let needed = 2 * tolerated_losses + 1;
    QuorumPolicy {
        min_copies: tolerated_losses + 1,
        max_voters: Some(if needed > MIN_VOTERS { needed } else { MIN_VOTERS }),
    }
}

fn spawn_tasks(
    shared: &Arc<ControlShared>,
    peers: TcpListener,
    control: TcpListener,
    metrics: TcpListener,
    stop: &CancellationToken,
    page: MetricsPage,
) -> TaskTracker {
    let tasks = TaskTracker::new();
    tasks.spawn(serve_peers(peers, Arc::clone(shared), stop.clone()));
    tasks.spawn(observe_replicas(Arc::clone(shared), stop.clone()));
    tasks.spawn(broadcast_allowances(Arc::clone(shared), stop.clone()));
    tasks.spawn(run_duties(Arc::clone(shared), stop.clone()));
    tasks.spawn(Arc::clone(&shared.suspects).run(stop.clone()));
    tasks.spawn(broadcast_reports(Arc::clone(shared), stop.clone()));
    tasks.spawn(forget_silent_endpoints(Arc::clone(shared), stop.clone()));
    let (cache_shared, cache_stop) = (Arc::clone(shared), stop.clone());
    tasks.spawn(async move {
        cache_stop
            .run_until_cancelled(cache_shared.cache_recent_configs())
            .await;
    });
    let intake = Arc::clone(&shared.intake);
    tasks.spawn(watch_intake(intake, "control", shared.log.clone(), stop.clone()));
    let http_shared = Arc::clone(shared);
    tasks.spawn(serve_http(
        control,
        ServerBounds::default(),
        stop.clone(),
        move |request| control_http::answer(Arc::clone(&http_shared), request),
    ));
    let status = shared.group.status();
    let is_ready = move || status.borrow().leader.is_some();
    tasks.spawn(serve_admin(metrics, stop.clone(), page, is_ready, |_path| None));
    tasks
}

async fn broadcast_reports(shared: Arc<ControlShared>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(REPORTS_INTERVAL) => shared.broadcast_reports(),
        }
    }
}

async fn forget_silent_endpoints(shared: Arc<ControlShared>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(CLEANUP_INTERVAL) => {
                shared.soft_state().forget_silent(boot_now());
                shared.origins.forget_old(boot_now());
            }
        }
    }
}

/// Returns once the group answers that this replica was removed.
///
/// A replica that was frozen while another one replaced it no longer hears from a leader and cannot know why. If it did
/// not ask, its host would never return to the group.
async fn watch_removal(shared: &ControlShared, seeds: &SeedList, identity: FolderIdentity) {
    let mut status = shared.group.status();
    loop {
        let leader_known = async {
            // An error means that the driver thread has ended. The process then stops for that reason.
            let _ended = status.wait_for(|status| status.leader.is_some()).await;
        };
        if tokio::time::timeout(NO_LEADER_TIMEOUT, leader_known).await.is_err()
            && let Some(replica) = identity.replica
            && was_removed(
                &shared.settings,
                seeds,
                member_addresses(shared),
                identity.disk,
                replica,
            )
            .await
        {
            return;
        }
        tokio::time::sleep(NO_LEADER_TIMEOUT).await;
    }
}

fn member_addresses(shared: &ControlShared) -> Vec<SocketAddr> {
    let status = shared.group.status();
    let status = status.borrow();
    let addresses = status.members.rows().filter_map(|(_, row)| row.address.parse().ok());
    addresses.collect()
}

/// Clears the data folder of a replica that the group has removed, so that the next start asks to be admitted again.
fn clear_removed_replica(shared: &ControlShared) -> anyhow::Result<()> {
    slog::warn!(shared.log, "removed from the group"; "event" => event::IDENTITY_REVOKED);
    reset_identity(&shared.settings.data_folder, DiskId(random_number()?))?;
    anyhow::bail!("the group has removed this replica; the next start asks to be admitted as a new one")
}
