//! Access to the replicated state.

use std::sync::Arc;

use acaciabay::core::control_state::{CommandOutcome, ControlCommand, ControlState};
use acaciabay::core::entry_config::ConfigVersion;
use parking_lot::{RwLock, RwLockReadGuard};
use tokio::sync::watch;

/// This replica does not lead, so it can neither change the state nor vouch for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeading {
    /// The leader's peer address, empty while none is known.
    pub leader_address: String,
}

/// Proposes commands to the group and reads its state.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    state: Arc<RwLock<ControlState>>,
    version: watch::Sender<ConfigVersion>,
}

impl GroupHandle {
    /// Starts a group of one that holds its state in memory.
    pub fn in_memory() -> Self {
        Self {
            state: Arc::default(),
            version: watch::Sender::default(),
        }
    }

    /// Commits a command and returns what it came to.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead.
    #[expect(clippy::unused_async, reason = "the replicated group will wait for its quorum here")]
    pub async fn propose(&self, command: ControlCommand) -> Result<CommandOutcome, NotLeading> {
        let (outcome, version) = {
            let mut state = self.state.write();
            (state.apply(&command), state.version())
        };
        self.version.send_replace(version);
        Ok(outcome)
    }

    /// Makes sure that this replica leads now, so that what it reads next is the latest committed state.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead.
    #[expect(clippy::unused_async, reason = "the replicated group will wait for its quorum here")]
    pub async fn confirm(&self) -> Result<(), NotLeading> {
        Ok(())
    }

    /// Reads the state as far as this replica has applied it.
    pub fn read(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read()
    }

    /// Follows the version of the configuration.
    pub fn versions(&self) -> watch::Receiver<ConfigVersion> {
        self.version.subscribe()
    }
}
