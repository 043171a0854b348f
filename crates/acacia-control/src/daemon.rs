//! Start and stop of the control daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, mpsc};

use acacia_http::{ServerBounds, listen, serve_http};
use acacia_runtime::admin::serve_admin;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::intake_log::watch_intake;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_runtime::trace::SpanRecorder;
use acacia_settings::ControlSettings;
use acacia_wire::ReportRow;
use acacia_wire::generated::replica::Hello;
use acaciabay::core::consensus::{DiskId, HardState, MemberRow, MemberSet, QuorumPolicy, ReplicaId, ReplicaSnapshot};
use acaciabay::core::delivery::DeliveryTable;
use acaciabay::core::endpoint_changes::EndpointChanges;
use acaciabay::core::member::EntryTable;
use acaciabay::core::name::HostName;
use acaciabay::core::presence::PresenceTable;
use acaciabay::util::digest::ContentDigest;
use anyhow::{Context, bail};
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::driver::{DriverParts, GroupDriver, spawn_driver};
use crate::group::{GroupHandle, GroupInput, GroupShared};
use crate::joining::wait_for_identity;
use crate::leader_tasks::run_leader_tasks;
use crate::operator_api::OperatorApi;
use crate::peer_links::PeerLinks;
use crate::peer_listener::serve_peers;
use crate::share_plan::SharePlan;
use crate::storage::{DataFolder, FolderIdentity};
use crate::suspect_calls::SuspectRecorder;

/// State shared by the tasks of a control process.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) settings: ControlSettings,
    pub(crate) group: GroupHandle,
    pub(crate) log: Logger,
    pub(crate) spans: SpanRecorder,
    pub(crate) suspects: Arc<SuspectRecorder>,
    soft: Mutex<SoftState>,
}

/// What the leader knows without having committed it; it is learned anew after each election.
#[derive(Debug, Default)]
pub(crate) struct SoftState {
    pub(crate) presence: PresenceTable,
    pub(crate) endpoints: EndpointChanges,
    /// The entries' shares of each pool.
    pub(crate) shares: SharePlan,
    /// Attempts to deliver orders.
    pub(crate) orders: DeliveryTable,
    /// Attempts to deliver usage windows.
    pub(crate) windows: DeliveryTable,
}

impl SoftState {
    /// Returns the reports after `revision` of the endpoints that the entry on `host` subscribes to.
    pub(crate) fn endpoint_changes_for(
        &mut self,
        entries: &EntryTable,
        host: &HostName,
        revision: u64,
    ) -> Vec<ReportRow> {
        self.endpoints.set_entries(entries);
        self.endpoints
            .since(host, revision)
            .map(|(name, row)| (name.clone(), row.clone()))
            .collect()
    }
}

impl Control {
    /// Locks and returns the soft state of the current leadership.
    ///
    /// A task that also needs the replicated state must lock that first. Otherwise, two tasks that each hold one of the
    /// locks, and the driver that waits to write the replicated state, could deadlock.
    pub(crate) fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        let since = self.group.status().borrow().leading_since.unwrap_or_else(boot_now);
        let mut soft = self.soft.lock();
        if soft.presence.leader_since() != since {
            soft.presence = PresenceTable::starting_at(since);
            soft.shares = SharePlan::default();
            soft.orders = DeliveryTable::starting_at(since);
            soft.windows = DeliveryTable::starting_at(since);
        }
        soft
    }
}

/// Handle to a running control process.
#[derive(Debug)]
pub struct RunningControl {
    /// Address on which entries and other replicas connect.
    pub peer_address: SocketAddr,
    /// Address of the HTTP interface for operators.
    pub operator_address: SocketAddr,
    /// Address on which health and metrics are served.
    pub admin_address: SocketAddr,
    daemon_task: JoinHandle<anyhow::Result<()>>,
}

impl RunningControl {
    /// Waits until the process has stopped.
    ///
    /// # Errors
    ///
    /// Fails if the process could not complete its start or had to stop, for example because its disk failed.
    pub async fn finished(self) -> anyhow::Result<()> {
        self.daemon_task.await.context("control task failed")?
    }
}

/// The listeners of a control process.
#[derive(Debug)]
pub(crate) struct ControlListeners {
    pub(crate) peers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) admin: TcpListener,
}

/// Creates a new group with the empty data folder as its first replica.
///
/// This is a separate step that [`start`] never performs. Otherwise, a host whose disk was erased would create a second
/// group with empty tables, and all accepted changes would appear to be reverted.
///
/// # Errors
///
/// Fails if the folder already belongs to a group or cannot be written.
pub fn form_group(settings: &ControlSettings, peer_address: SocketAddr) -> anyhow::Result<()> {
    let mut folder = DataFolder::open(&settings.data_folder)?;
    if folder.identity()?.is_some() {
        bail!(
            "data folder `{}` already belongs to a group",
            settings.data_folder.display()
        );
    }
    let (replica, disk) = (ReplicaId(1), DiskId(random_number()?));
    let host = settings.host.as_str().into();
    let row = MemberRow {
        host,
        address: peer_address.to_string(),
        disk: Some(disk),
        voter: true,
    };
    let members = MemberSet::new([(replica, row)], replica);
    folder.initialise(HardState::founding(), &ReplicaSnapshot::founding(members))?;
    folder.store_identity(&FolderIdentity {
        group: random_number()?,
        disk,
        replica: Some(replica),
    })
}

/// Returns true if a data folder belongs to a group.
///
/// # Errors
///
/// Fails if the folder cannot be opened or its identity cannot be read.
pub fn is_formed(data_folder: &Path) -> anyhow::Result<bool> {
    Ok(DataFolder::open(data_folder)?
        .identity()?
        .is_some_and(|identity| identity.replica.is_some()))
}

/// Starts a control process that runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails if an address is in use, the data folder cannot be used or the digest of the operator token is malformed.
pub async fn start(
    settings: ControlSettings,
    stop: CancellationToken,
    page: MetricsPage,
    log: Logger,
) -> anyhow::Result<RunningControl> {
    let folder = DataFolder::open(&settings.data_folder)?;
    let identity = load_or_create_identity(&folder)?;
    let token =
        ContentDigest::from_hex(&settings.operator_token_sha256).context("operator token digest is malformed")?;
    let listeners = ControlListeners {
        peers: listen(settings.peer_address).await?,
        operators: listen(settings.operator_address).await?,
        admin: listen(settings.admin_address).await?,
    };
    let peer_address = listeners.peers.local_addr()?;
    let operator_address = listeners.operators.local_addr()?;
    let admin_address = listeners.admin.local_addr()?;
    slog::info!(log, "control started"; "event" => event::STARTED,
        "peers" => %peer_address, "operators" => %operator_address, "admin" => %admin_address);
    let process = ControlStart {
        settings,
        folder,
        identity,
        token,
        listeners,
        stop,
        page,
        log,
    };
    Ok(RunningControl {
        peer_address,
        operator_address,
        admin_address,
        daemon_task: tokio::spawn(process.run()),
    })
}

/// Returns the identity of the folder.
///
/// An empty folder gets a random disk number, under which it then requests to be bound to a member of a group.
fn load_or_create_identity(folder: &DataFolder) -> anyhow::Result<FolderIdentity> {
    if let Some(identity) = folder.identity()? {
        return Ok(identity);
    }
    let identity = FolderIdentity {
        group: 0,
        disk: DiskId(random_number()?),
        replica: None,
    };
    folder.store_identity(&identity)?;
    Ok(identity)
}

/// Returns a random number other than 0.
pub(crate) fn random_number() -> anyhow::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).context("failed to read random bytes")?;
    Ok(u64::from_le_bytes(bytes).max(1))
}

/// A control process that has opened its listeners and has not started its tasks.
#[derive(Debug)]
struct ControlStart {
    settings: ControlSettings,
    folder: DataFolder,
    identity: FolderIdentity,
    token: ContentDigest,
    listeners: ControlListeners,
    stop: CancellationToken,
    page: MetricsPage,
    log: Logger,
}

impl ControlStart {
    async fn run(mut self) -> anyhow::Result<()> {
        let replica = match self.identity.replica {
            Some(replica) => replica,
            None => match self.join().await? {
                Some(replica) => replica,
                None => return Ok(()),
            },
        };
        let (inputs, receiver) = mpsc::channel();
        let shared = Arc::new(GroupShared::default());
        let Self {
            settings,
            folder,
            identity,
            token,
            listeners,
            stop,
            page,
            log,
        } = self;
        let hello = Hello {
            group: identity.group,
            replica: replica.0,
            host: settings.host.clone(),
            address: settings.peer_address.to_string(),
        };
        let links = PeerLinks::new(Handle::current(), hello);
        let parts = DriverParts {
            id: replica,
            shared: Arc::clone(&shared),
            inputs: receiver,
            links,
            log: log.clone(),
            policy: QuorumPolicy::default(),
        };
        let driver = GroupDriver::open(folder, parts, boot_now(), random_number()?)?;
        let group = GroupHandle::new(inputs, shared, identity.group);
        let spans = SpanRecorder::open(settings.trace_file.as_deref(), "acacia-control", &settings.host, &log)?;
        let suspects = SuspectRecorder::new(group.clone(), log.clone());
        let control = Arc::new(Control {
            settings,
            group,
            log,
            spans,
            suspects,
            soft: Mutex::default(),
        });
        let driver_task = spawn_driver(driver, stop.clone(), control.log.clone());
        let tasks = spawn_tasks(&control, token, listeners, &stop, page);
        tasks.wait().await;
        slog::info!(control.log, "control stopping"; "event" => event::STOPPING);
        control.group.send_input(GroupInput::Stop);
        let outcome = driver_task.await.context("the driver thread failed")?;
        slog::info!(control.log, "control stopped"; "event" => event::STOPPED);
        outcome
    }

    /// Waits until the group has assigned a replica to the folder. Returns `None` if the process is stopped first.
    async fn join(&mut self) -> anyhow::Result<Option<ReplicaId>> {
        let admitted = wait_for_identity(
            &self.settings,
            self.identity.disk,
            &self.listeners,
            &self.stop,
            &self.log,
        )
        .await;
        let Some((group, replica)) = admitted else {
            return Ok(None);
        };
        // The log is written before the identity, so that a folder with a replica number always has a log.
        self.folder
            .initialise(HardState::default(), &ReplicaSnapshot::default())?;
        self.identity = FolderIdentity {
            group,
            replica: Some(replica),
            ..self.identity
        };
        self.folder.store_identity(&self.identity)?;
        slog::info!(self.log, "identity granted"; "event" => event::IDENTITY_GRANTED, "replica" => replica.0);
        Ok(Some(replica))
    }
}

fn spawn_tasks(
    control: &Arc<Control>,
    token: ContentDigest,
    listeners: ControlListeners,
    stop: &CancellationToken,
    page: MetricsPage,
) -> TaskTracker {
    let tasks = TaskTracker::new();
    let api = OperatorApi::new(Arc::clone(control), token);
    tasks.spawn(run_leader_tasks(Arc::clone(control), stop.clone()));
    tasks.spawn(Arc::clone(&control.suspects).run(stop.clone()));
    tasks.spawn(serve_peers(listeners.peers, Arc::clone(control), stop.clone()));
    tasks.spawn(watch_intake(
        api.intake(),
        "operators",
        control.log.clone(),
        stop.clone(),
    ));
    tasks.spawn(serve_http(
        listeners.operators,
        ServerBounds::default(),
        stop.clone(),
        move |request| {
            let api = api.clone();
            async move { api.answer(request).await }
        },
    ));
    let status = control.group.status();
    let stopping = stop.clone();
    // A replica is ready when it knows a leader: it then passes on or answers whatever it is asked.
    let is_ready = move || !stopping.is_cancelled() && status.borrow().leader.is_some();
    tasks.spawn(serve_admin(listeners.admin, stop.clone(), page, is_ready, |_path| None));
    tasks.close();
    tasks
}
