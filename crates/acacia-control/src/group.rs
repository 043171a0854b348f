//! Access to the replicated state from the daemon's tasks.

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

/// Most commands that wait to be committed at once. Beyond it callers wait before they propose, so that a leader under
/// more load than its disk takes does not fall behind with ever older work.
const MOST_PROPOSALS: usize = 4_096;

/// This replica does not lead, so it can neither change the state nor vouch for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeading {
    /// The leader's peer address, empty while none is known.
    pub leader_address: String,
}

/// What a replica tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// This replica.
    pub replica: Option<ReplicaId>,
    /// Its term.
    pub term: Term,
    /// The leader that it knows of.
    pub leader: Option<ReplicaId>,
    /// When this replica became a leader that may act; nothing while it is none.
    pub leading_since: Option<BootTime>,
    /// The members as this replica knows them.
    pub members: MemberSet,
    /// The last entry that it has applied.
    pub applied: u64,
}

/// What the tasks ask of the thread that drives the replica.
#[derive(Debug)]
pub(crate) enum GroupInput {
    Propose {
        command: ControlCommand,
        answer: ProposalAnswer,
    },
    Confirm(oneshot::Sender<Result<(), NotLeading>>),
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

/// A host asks to become a member by itself, or whether it still is one.
#[derive(Clone, Debug)]
pub(crate) struct JoinCall {
    pub(crate) host: HostName,
    pub(crate) address: String,
    pub(crate) disk: DiskId,
    /// The replica that the host's folder belongs to already.
    pub(crate) replica: Option<ReplicaId>,
}

/// What a host is told that asks for its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JoinAnswer {
    /// It is this member.
    Member(ReplicaId),
    /// Its folder's member was removed; the folder is of no more use.
    Removed,
    /// The change that it waits for is under way.
    Open,
    /// Another replica has to be asked.
    Elsewhere(NotLeading),
}

/// Where the outcome of a proposal goes.
#[derive(Debug)]
pub(crate) struct ProposalAnswer {
    pub(crate) sender: oneshot::Sender<Result<CommandOutcome, NotLeading>>,
    /// Held until the outcome is known.
    pub(crate) _permit: OwnedSemaphorePermit,
}

/// A command that has been handed over and whose outcome is awaited.
#[derive(Debug)]
pub struct PendingOutcome {
    receiver: oneshot::Receiver<Result<CommandOutcome, NotLeading>>,
}

impl PendingOutcome {
    /// Waits until the command is committed and applied.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead (any more). The command may be committed all the same.
    pub async fn outcome(self) -> Result<CommandOutcome, NotLeading> {
        self.receiver.await.unwrap_or_else(|_gone| Err(nobody()))
    }
}

/// Proposes commands to the group and reads its state.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    inputs: Sender<GroupInput>,
    shared: Arc<GroupShared>,
    permits: Arc<Semaphore>,
    group: u64,
}

/// What the driving thread shows to the tasks.
#[derive(Debug, Default)]
pub(crate) struct GroupShared {
    pub(crate) state: RwLock<ControlState>,
    pub(crate) version: watch::Sender<ConfigVersion>,
    pub(crate) status: watch::Sender<GroupStatus>,
    /// The number of the configuration for calls by host and path.
    pub(crate) serving: watch::Sender<ConfigNumber>,
    /// When the leader lease ends, in microseconds of the boot clock; 0 while this replica may not act.
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
            permits: Arc::new(Semaphore::new(MOST_PROPOSALS)),
            group,
        }
    }

    /// Returns the number of the group.
    pub const fn group(&self) -> u64 {
        self.group
    }

    /// Hands a command over; commands are proposed in the order in which this returns.
    pub async fn submit(&self, command: ControlCommand) -> PendingOutcome {
        let (sender, receiver) = oneshot::channel();
        if let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await {
            let answer = ProposalAnswer {
                sender,
                _permit: permit,
            };
            self.input(GroupInput::Propose { command, answer });
        }
        PendingOutcome { receiver }
    }

    /// Commits a command and returns what it came to.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead (any more). The command may be committed all the same.
    pub async fn propose(&self, command: ControlCommand) -> Result<CommandOutcome, NotLeading> {
        self.submit(command).await.outcome().await
    }

    /// Makes sure that this replica leads now, so that what it reads next is the latest committed state.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead.
    pub async fn confirm(&self) -> Result<(), NotLeading> {
        let (sender, receiver) = oneshot::channel();
        self.input(GroupInput::Confirm(sender));
        receiver.await.unwrap_or_else(|_gone| Err(nobody()))
    }

    /// Changes the members and returns once the change is accepted by this leader.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the change is not allowed at present.
    pub async fn change_members(&self, change: MemberChange) -> Result<ReplicaId, MemberChangeError> {
        let (answer, receiver) = oneshot::channel();
        self.input(GroupInput::ChangeMembers { change, answer });
        receiver.await.unwrap_or(Err(MemberChangeError::ChangePending))
    }

    /// Finds the replica that a host with this data folder is to be.
    ///
    /// # Errors
    ///
    /// Fails with the reason, for the operator of that host.
    pub async fn identify(&self, host: HostName, disk: DiskId) -> Result<ReplicaId, String> {
        let (answer, receiver) = oneshot::channel();
        self.input(GroupInput::Identify { host, disk, answer });
        receiver
            .await
            .unwrap_or_else(|_gone| Err("replica is stopping".to_owned()))
    }

    /// Asks for a place in the group.
    pub(crate) async fn join(&self, request: JoinCall) -> JoinAnswer {
        let (answer, receiver) = oneshot::channel();
        self.input(GroupInput::Join { request, answer });
        receiver.await.unwrap_or_else(|_gone| JoinAnswer::Elsewhere(nobody()))
    }

    /// Follows the number of the configuration for calls by host and path.
    pub fn serving_numbers(&self) -> watch::Receiver<ConfigNumber> {
        self.shared.serving.subscribe()
    }

    /// Tells whether this replica may act for the group at `now`. Guards ask at the moment of writing.
    pub fn may_act(&self, now: BootTime) -> bool {
        now < self.shared.lease_until()
    }

    /// Reads the state as far as this replica has applied it.
    pub fn read(&self) -> RwLockReadGuard<'_, ControlState> {
        self.shared.state.read()
    }

    /// Follows the version of the configuration.
    pub fn versions(&self) -> watch::Receiver<ConfigVersion> {
        self.shared.version.subscribe()
    }

    /// Follows the state of the replica.
    pub fn status(&self) -> watch::Receiver<GroupStatus> {
        self.shared.status.subscribe()
    }

    pub(crate) fn input(&self, input: GroupInput) {
        // When the driving thread is gone, the process is stopping, and whoever waits for an answer learns that from
        // its dropped sender.
        let _stopping = self.inputs.send(input);
    }
}

/// The answer of a replica that knows no leader.
pub(crate) const fn nobody() -> NotLeading {
    NotLeading {
        leader_address: String::new(),
    }
}
