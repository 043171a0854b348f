//! Pause and restart of the replica while the disk is full.

use std::io::ErrorKind;
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::Replica;
use anyhow::Context;

use super::{GroupDriver, decode_state};
use crate::daemon::random_number;
use crate::group::{GroupInput, no_known_leader};

/// Interval between attempts to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

impl GroupDriver {
    /// Waits until the disk accepts writes again and restarts the replica from its folder; returns false if the driver
    /// has to stop.
    ///
    /// A full disk rejects a write without losing stored data. If the process exited instead, it would exit again at
    /// each start until there is space. The other tasks of the process would stop too: endpoints report to it, and
    /// entries learn of endpoints from it. Reloading the folder truncates the incomplete write, and leaves the replica
    /// in the same state as a restart of the process.
    ///
    /// # Errors
    ///
    /// Fails if `error`, or the error of a later attempt to restart the replica, has a cause other than a full disk.
    pub(super) fn wait_for_space(&mut self, error: &anyhow::Error) -> anyhow::Result<bool> {
        if !is_disk_full(error) {
            return Err(anyhow::anyhow!("{error:#}"));
        }
        slog::error!(self.log, "disk is full; replica paused"; "event" => event::DISK_FULL,
            "error" => format!("{error:#}"));
        self.suspend();
        loop {
            if self.reject_inputs(RETRY_INTERVAL) {
                return Ok(false);
            }
            match self.restart_replica() {
                Ok(()) => {
                    slog::info!(self.log, "disk has space again; replica restarted"; "event" => event::DISK_FULL,
                        "index" => self.replica.log().last_index().0);
                    return Ok(true);
                }
                Err(error) if is_disk_full(&error) => {}
                Err(error) => return Err(error.context("failed to restart the replica after the disk was full")),
            }
        }
    }

    /// Publishes that this replica neither leads nor knows a leader. Pending proposals are answered with that error;
    /// pending binds and confirmations are dropped, which tells their receivers that there will be no answer.
    fn suspend(&mut self) {
        self.shared.set_lease(BootTime::default());
        self.leading_since = None;
        self.shared.status.send_modify(|status| {
            status.leader = None;
            status.leading_since = None;
        });
        for (_, (_, answer)) in std::mem::take(&mut self.pending_proposals) {
            let _receiver_dropped = answer.sender.send(Err(no_known_leader()));
        }
        self.pending_binds.clear();
        self.pending_confirmations.clear();
    }

    /// Answers the proposals that arrive within `duration` with the error that no leader is known, and drops all other
    /// inputs, including messages from peers. Returns true if the driver has to stop.
    fn reject_inputs(&self, duration: Duration) -> bool {
        let deadline = Instant::now() + duration;
        loop {
            match self
                .inputs
                .recv_timeout(deadline.saturating_duration_since(Instant::now()))
            {
                Ok(GroupInput::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
                Err(RecvTimeoutError::Timeout) => return false,
                Ok(GroupInput::Propose { answer, .. }) => {
                    let _receiver_dropped = answer.sender.send(Err(no_known_leader()));
                }
                // Dropping an input drops its sender, which tells the receiver that there will be no answer.
                Ok(_dropped) => {}
            }
        }
    }

    /// Reloads the folder, checks that it can be written by appending the stored hard state once more, and creates the
    /// replica anew.
    fn restart_replica(&mut self) -> anyhow::Result<()> {
        let stored = self.folder.load()?;
        self.folder.append(Some(stored.restored.hard_state), None)?;
        let state =
            decode_state(&stored.snapshot).context("snapshot contains a state that this release cannot read")?;
        self.hard_state = stored.restored.hard_state;
        let replica = Replica::new(boot_now(), self.replica.id(), stored.restored, random_number()?);
        self.replica = replica.with_policy(self.policy);
        self.shared.config_version.send_replace(state.version());
        *self.shared.state.write() = state;
        // The state is that of the snapshot again, so no commands have been applied since it.
        self.applied_bytes = 0;
        Ok(())
    }
}

/// Returns true if an operation failed because the disk is full or a quota is used up. Such a failure does not affect
/// data already stored.
fn is_disk_full(error: &anyhow::Error) -> bool {
    let cause = error.chain().find_map(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|cause| matches!(cause.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded))
}
