//! Starting a control process, and its end.

use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use acacia_http::{ServerBounds, listen, serve_http};
use acacia_runtime::admin::serve_admin;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
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

use super::codec::{ControlCodec, PlatformCodec};
use super::control_http;
use super::duties::run_duties;
use super::founding::{SeedList, await_place, open_identity, was_removed};
use super::hub::ServingHub;
use super::observer::observe_replicas;
use super::peers::serve_peers;
use crate::daemon::random_number;
use crate::driver::{DriverParts, GroupDriver, spawn_driver};
use crate::group::{GroupHandle, GroupInput, GroupShared};
use crate::peer_links::PeerLinks;
use crate::storage::{DataFolder, FolderIdentity, reset_identity};

/// After how long without a leader a replica asks whether it still belongs to the group.
const LONELY_TIME: Duration = Duration::from_secs(2);
/// How often endpoints that were not heard of for long are forgotten.
const TIDY_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a control process until `stop` is cancelled.
///
/// # Errors
///
/// Fails when an address is taken, when the disk fails, or when the group has removed this replica.
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
    let identity = open_identity(&mut folder, &settings)?;
    let Some(identity) = take_place(
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
    let (hub, driver) = open_group(settings, folder, identity, codec, platform, &log)?;
    let driving = spawn_driver(driver, stop.clone(), log.clone());
    let tasks = spawn_tasks(&hub, peers, control, metrics, &stop, page);
    let removal = watch_removal(&hub, &seeds, identity);
    let outcome = tokio::select! {
        () = stop.cancelled() => Ok(()),
        () = removal => forget_group(&hub),
    };
    slog::info!(log, "control stopping"; "event" => event::STOPPING);
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    hub.group.send_input(GroupInput::Stop);
    let ended = driving.await.context("the driving thread failed")?;
    slog::info!(log, "control stopped"; "event" => event::STOPPED);
    outcome.and(ended)
}

/// Waits for a place in the group where the folder has none; returns nothing when the process is to stop.
async fn take_place(
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
        place = await_place(settings, seeds, identity.disk, log) => place,
        // Whoever connects meanwhile learns at once that this process cannot help, and tries another.
        () = refuse_all(peers) => return Ok(None),
        () = refuse_all(control) => return Ok(None),
    };
    let identity = FolderIdentity {
        group,
        replica: Some(replica),
        ..identity
    };
    // The log comes before the identity that vouches for it.
    folder.initialise(HardState::default(), &ReplicaSnapshot::default())?;
    folder.store_identity(&identity)?;
    slog::info!(log, "identity granted"; "event" => event::IDENTITY_GRANTED, "replica" => replica.0);
    Ok(Some(identity))
}

async fn refuse_all(listener: &TcpListener) {
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
) -> anyhow::Result<(Arc<ServingHub>, GroupDriver)> {
    let replica = identity.replica.context("folder has no place in the group")?;
    let (inputs, receiver) = mpsc::channel();
    let shared = Arc::new(GroupShared::default());
    let hello = Hello {
        group: identity.group,
        replica: replica.0,
        host: settings.host.clone(),
        address: settings.peer_address.to_string(),
    };
    let parts = DriverParts {
        id: replica,
        shared: Arc::clone(&shared),
        inputs: receiver,
        links: PeerLinks::new(Handle::current(), hello),
        log: log.clone(),
        policy: policy_for(settings.tolerated_losses),
    };
    let driver = GroupDriver::open(folder, parts, boot_now(), random_number()?)?;
    let group = GroupHandle::new(inputs, shared, identity.group);
    let hub = ServingHub::new(settings, group, codec, platform, log.clone());
    Ok((Arc::new(hub), driver))
}

/// The number of replicas that vote where there are so many hosts, even if fewer losses are to be borne: a whole failure
/// domain may go with the two of its hosts.
const LEAST_VOTERS: usize = 5;

/// An entry is on one disk more than may be lost, and enough replicas vote that a majority outlives the losses.
const fn policy_for(tolerated_losses: usize) -> QuorumPolicy {
    let needed = 2 * tolerated_losses + 1;
    QuorumPolicy {
        min_copies: tolerated_losses + 1,
        max_voters: Some(if needed > LEAST_VOTERS { needed } else { LEAST_VOTERS }),
    }
}

fn spawn_tasks(
    hub: &Arc<ServingHub>,
    peers: TcpListener,
    control: TcpListener,
    metrics: TcpListener,
    stop: &CancellationToken,
    page: MetricsPage,
) -> TaskTracker {
    let tasks = TaskTracker::new();
    tasks.spawn(serve_peers(peers, Arc::clone(hub), stop.clone()));
    tasks.spawn(observe_replicas(Arc::clone(hub), stop.clone()));
    tasks.spawn(run_duties(Arc::clone(hub), stop.clone()));
    tasks.spawn(tidy(Arc::clone(hub), stop.clone()));
    let (keeping, stopping) = (Arc::clone(hub), stop.clone());
    tasks.spawn(async move {
        stopping.run_until_cancelled(keeping.keep_recent_configs()).await;
    });
    let answering = Arc::clone(hub);
    tasks.spawn(serve_http(
        control,
        ServerBounds::default(),
        stop.clone(),
        move |request| control_http::answer(Arc::clone(&answering), request),
    ));
    let status = hub.group.status();
    let is_ready = move || status.borrow().leader.is_some();
    tasks.spawn(serve_admin(metrics, stop.clone(), page, is_ready, |_path| None));
    tasks
}

async fn tidy(hub: Arc<ServingHub>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(TIDY_INTERVAL) => hub.soft().registry.forget_silent(boot_now()),
        }
    }
}

/// Returns once the group says that this replica was removed.
///
/// A replica that was frozen while another took its place hears of no leader any more and cannot know why. Without
/// asking, its host would stay out of the group for good.
async fn watch_removal(hub: &ServingHub, seeds: &SeedList, identity: FolderIdentity) {
    let mut status = hub.group.status();
    loop {
        let lonely = async {
            // An error means that the driver has ended, which ends the process by another way.
            let _ended = status.wait_for(|status| status.leader.is_some()).await;
        };
        if tokio::time::timeout(LONELY_TIME, lonely).await.is_err()
            && let Some(replica) = identity.replica
            && was_removed(&hub.settings, seeds, member_addresses(hub), identity.disk, replica).await
        {
            return;
        }
        tokio::time::sleep(LONELY_TIME).await;
    }
}

fn member_addresses(hub: &ServingHub) -> Vec<SocketAddr> {
    let status = hub.group.status();
    let status = status.borrow();
    let addresses = status.members.rows().filter_map(|(_, row)| row.address.parse().ok());
    addresses.collect()
}

/// Empties the folder of a replica that the group has removed, so that the next start asks for a new place.
fn forget_group(hub: &ServingHub) -> anyhow::Result<()> {
    slog::warn!(hub.log, "removed from the group"; "event" => event::IDENTITY_REVOKED);
    reset_identity(&hub.settings.data_folder, DiskId(random_number()?))?;
    anyhow::bail!("the group has removed this replica; the next start asks for a new place")
}
