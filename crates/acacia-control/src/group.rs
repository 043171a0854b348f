//! Interface between the daemon's tasks and the driver thread: proposals, replicated state and replica status.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::{DiskId, MemberChange, MemberChangeError, MemberSet, ReplicaId, ReplicaMessage, Term};
use acaciabay::core::control_state::{CommandOutcome, ControlCommand, ControlState};
use acaciabay::core::entry_config::ConfigVersion;
use acaciabay::core::name::HostName;
use acaciabay::core::serving::config::ConfigNumber;
use parking_lot::{RwLock, RwLockReadGuard};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};

/// Maximum number of commands that wait for their outcome. Further callers wait before they propose, so that a leader
/// whose disk is overloaded does not build up an ever older backlog.
const MAX_PENDING_PROPOSALS: usize = 4_096;

/// Error of a replica that does not lead, which can neither change the state nor confirm that it is the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeading {
    /// Peer address of the leader, or an empty string if it is unknown.
    pub leader_address: String,
}

/// Status of a replica, as published by its driver.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// Id of this replica, or `None` until the driver has published its status.
    pub replica: Option<ReplicaId>,
    /// Current term of this replica.
    pub term: Term,
    /// Leader, if this replica knows it.
    pub leader: Option<ReplicaId>,
    /// Time at which this replica, as the leader, could first act; `None` before that and while it does not lead.
    pub leading_since: Option<BootTime>,
    /// True if this replica leads and no other has led before it.
    pub is_first_leader: bool,
    /// Members that this replica knows.
    pub members: MemberSet,
    /// Index of the last applied log entry.
    pub applied: u64,
}

/// Input of the driver thread.
#[derive(Debug)]
pub(crate) enum GroupInput {
    Propose {
        command: ControlCommand,
        answer: ProposalResponder,
    },
    ConfirmLeadership(oneshot::Sender<Result<(), NotLeading>>),
    Message(ReplicaMessage),
    PeerConnected {
        replica: ReplicaId,
        address: String,
    },
    ChangeMembers {
        change: MemberChange,
        answer: oneshot::Sender<Result<ReplicaId, MemberChangeError>>,
    },
    Identify {
        host: HostName,
        disk: DiskId,
        answer: oneshot::Sender<Result<ReplicaId, String>>,
    },
    Join {
        request: JoinCall,
        answer: oneshot::Sender<JoinAnswer>,
    },
    Stop,
}

/// Request of a host to become a member, or to learn whether it still is one.
#[derive(Clone, Debug)]
pub(crate) struct JoinCall {
    pub(crate) host: HostName,
    pub(crate) address: String,
    pub(crate) disk: DiskId,
    /// Replica that the host's folder already belongs to, if any.
    pub(crate) replica: Option<ReplicaId>,
}

/// Answer to a host's join request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JoinAnswer {
    /// The host is this member.
    Member(ReplicaId),
    /// The member that the folder belongs to was removed; the folder can no longer be used.
    Removed,
    /// A membership change is pending; the host has to ask again.
    Pending,
    /// This replica cannot answer; the host has to ask the leader.
    NotLeading(NotLeading),
}

/// Sender for the outcome of a proposal.
#[derive(Debug)]
pub(crate) struct ProposalResponder {
    pub(crate) sender: oneshot::Sender<Result<CommandOutcome, NotLeading>>,
    /// Semaphore permit that is held until the outcome is known.
    pub(crate) _permit: OwnedSemaphorePermit,
}

/// Outcome of a submitted command, which may not be known yet.
#[derive(Debug)]
pub struct PendingOutcome {
    receiver: oneshot::Receiver<Result<CommandOutcome, NotLeading>>,
}

impl PendingOutcome {
    /// Waits until the command is committed and applied.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or no longer does. The command may be committed nevertheless.
    pub async fn outcome(self) -> Result<CommandOutcome, NotLeading> {
        self.receiver.await.unwrap_or_else(|_dropped| Err(no_known_leader()))
    }
}

/// Handle for proposing commands to the group and reading its state.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    inputs: Sender<GroupInput>,
    shared: Arc<GroupShared>,
    permits: Arc<Semaphore>,
    group: u64,
}

/// State that the driver thread shares with the tasks.
#[derive(Debug, Default)]
pub(crate) struct GroupShared {
    pub(crate) state: RwLock<ControlState>,
    pub(crate) config_version: watch::Sender<ConfigVersion>,
    pub(crate) status: watch::Sender<GroupStatus>,
    /// Number of the configuration for calls by host and path, if there is one.
    pub(crate) serving_config_number: watch::Sender<Option<ConfigNumber>>,
    /// Version of the suspect calls.
    pub(crate) suspects_version: watch::Sender<u64>,
    /// End of the leader lease in microseconds of the boot clock, or 0 if this replica has no lease.
    lease_until: AtomicU64,
}

impl GroupShared {
    pub(crate) fn set_lease(&self, until: BootTime) {
        let micros = u64::try_from(until.since_boot().as_micros()).unwrap_or(u64::MAX);
        self.lease_until.store(micros, Ordering::Release);
    }

    fn lease_until(&self) -> BootTime {
        BootTime::from_boot(Duration::from_micros(self.lease_until.load(Ordering::Acquire)))
    }
}

impl GroupHandle {
    pub(crate) fn new(inputs: Sender<GroupInput>, shared: Arc<GroupShared>, group: u64) -> Self {
        Self {
            inputs,
            shared,
            permits: Arc::new(Semaphore::new(MAX_PENDING_PROPOSALS)),
            group,
        }
    }

    /// Returns the id of the group.
    pub const fn group(&self) -> u64 {
        self.group
    }

    /// Submits a command to the driver. Commands are proposed in the order in which calls of this function return.
    pub async fn submit(&self, command: ControlCommand) -> PendingOutcome {
        let (sender, receiver) = oneshot::channel();
        if let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await {
            let answer = ProposalResponder {
                sender,
                _permit: permit,
            };
            self.send_input(GroupInput::Propose { command, answer });
        }
        PendingOutcome { receiver }
    }

    /// Submits a command and returns its outcome once it is committed and applied.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or no longer does. The command may be committed nevertheless.
    pub async fn propose(&self, command: ControlCommand) -> Result<CommandOutcome, NotLeading> {
        self.submit(command).await.outcome().await
    }

    /// Confirms that this replica leads, so that a later [`read`](Self::read) returns the latest committed state.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead.
    pub async fn confirm_leadership(&self) -> Result<(), NotLeading> {
        let (sender, receiver) = oneshot::channel();
        self.send_input(GroupInput::ConfirmLeadership(sender));
        receiver.await.unwrap_or_else(|_dropped| Err(no_known_leader()))
    }

    /// Proposes a membership change and returns the id of the affected replica, without waiting for the commit.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or if the change is not allowed at present.
    pub async fn change_members(&self, change: MemberChange) -> Result<ReplicaId, MemberChangeError> {
        let (answer, receiver) = oneshot::channel();
        self.send_input(GroupInput::ChangeMembers { change, answer });
        receiver.await.unwrap_or(Err(MemberChangeError::ChangePending))
    }

    /// Returns the replica that a host's data folder belongs to, and first binds the folder to the host's member if the
    /// member is unbound.
    ///
    /// # Errors
    ///
    /// Fails with a reason for the operator of that host. The reason is empty if this replica does not lead.
    pub async fn identify(&self, host: HostName, disk: DiskId) -> Result<ReplicaId, String> {
        let (answer, receiver) = oneshot::channel();
        self.send_input(GroupInput::Identify { host, disk, answer });
        receiver
            .await
            .unwrap_or_else(|_dropped| Err("replica is stopping".to_owned()))
    }

    /// Asks the group to admit a host.
    pub(crate) async fn join(&self, request: JoinCall) -> JoinAnswer {
        let (answer, receiver) = oneshot::channel();
        self.send_input(GroupInput::Join { request, answer });
        receiver
            .await
            .unwrap_or_else(|_dropped| JoinAnswer::NotLeading(no_known_leader()))
    }

    /// Subscribes to the number of the configuration for calls by host and path.
    pub fn serving_config_numbers(&self) -> watch::Receiver<Option<ConfigNumber>> {
        self.shared.serving_config_number.subscribe()
    }

    /// Subscribes to the version of the suspect calls.
    pub fn suspects_versions(&self) -> watch::Receiver<u64> {
        self.shared.suspects_version.subscribe()
    }

    /// Returns true if this replica holds the leader lease at `now`. Write guards check it immediately before a write.
    pub fn may_act(&self, now: BootTime) -> bool {
        now < self.shared.lease_until()
    }

    /// Returns a read lock on the state that this replica has applied.
    pub fn read(&self) -> RwLockReadGuard<'_, ControlState> {
        self.shared.state.read()
    }

    /// Subscribes to the version of the configuration.
    pub fn config_versions(&self) -> watch::Receiver<ConfigVersion> {
        self.shared.config_version.subscribe()
    }

    /// Subscribes to the status of the replica.
    pub fn status(&self) -> watch::Receiver<GroupStatus> {
        self.shared.status.subscribe()
    }

    pub(crate) fn send_input(&self, input: GroupInput) {
        // Sending fails if the driver has ended because the process is stopping. Dropping the input drops its sender,
        // which tells the receiver that there will be no answer.
        let _stopping = self.inputs.send(input);
    }
}

/// Returns the error of a replica that knows no leader.
pub(crate) const fn no_known_leader() -> NotLeading {
    NotLeading {
        leader_address: String::new(),
    }
}
