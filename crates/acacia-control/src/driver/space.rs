//! What the thread does while the disk takes no more bytes.

use std::io::ErrorKind;
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::Replica;
use anyhow::Context;

use super::{GroupDriver, state_of};
use crate::daemon::random_number;
use crate::group::{GroupInput, nobody};

/// How often a full disk is tried again.
const SPACE_INTERVAL: Duration = Duration::from_millis(300);

impl GroupDriver {
    /// Waits until the disk takes bytes again, then starts over from what it holds; returns whether to go on.
    ///
    /// A full disk refuses a write and loses nothing. Ending the process would end it again at each start until there is
    /// space, and would take the process's other work with it: endpoints report here, entries hear of them here. What
    /// was half written is cut off when the folder is read again, and the replica is as after a restart.
    pub(super) fn await_space(&mut self, error: &anyhow::Error) -> anyhow::Result<bool> {
        if !is_disk_full(error) {
            return Err(anyhow::anyhow!("{error:#}"));
        }
        slog::error!(self.log, "disk is full; this replica pauses"; "event" => event::DISK_FULL,
            "error" => format!("{error:#}"));
        self.leave_group();
        loop {
            if self.refuse_inputs(SPACE_INTERVAL) {
                return Ok(false);
            }
            match self.start_over() {
                Ok(()) => {
                    slog::info!(self.log, "disk takes bytes again"; "event" => event::DISK_FULL,
                        "index" => self.replica.log().last_index().0);
                    return Ok(true);
                }
                Err(error) if is_disk_full(&error) => {}
                Err(error) => return Err(error.context("failed to start over after the disk was full")),
            }
        }
    }

    /// Shows the tasks that this replica neither leads nor follows.
    fn leave_group(&mut self) {
        self.shared.set_lease(BootTime::default());
        self.leading_since = None;
        self.shared.status.send_modify(|status| {
            status.leader = None;
            status.leading_since = None;
        });
        for (_, (_, answer)) in std::mem::take(&mut self.waiting) {
            let _gave_up = answer.sender.send(Err(nobody()));
        }
        self.identifies.clear();
        self.confirms.clear();
    }

    /// Refuses what is asked for within a while; returns whether to stop.
    fn refuse_inputs(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        loop {
            match self
                .inputs
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                Ok(GroupInput::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
                Err(RecvTimeoutError::Timeout) => return false,
                Ok(GroupInput::Propose { answer, .. }) => {
                    let _gave_up = answer.sender.send(Err(nobody()));
                }
                // Whoever waits for an answer to any of the others learns of it by the dropped sender.
                Ok(_dropped) => {}
            }
        }
    }

    /// Reads the folder again, tries a write, and starts the replica anew.
    fn start_over(&mut self) -> anyhow::Result<()> {
        let stored = self.folder.load()?;
        self.folder.append(Some(stored.restored.hard_state), None)?;
        let state = state_of(&stored.snapshot).context("snapshot holds a state that this release cannot read")?;
        self.hard_state = stored.restored.hard_state;
        let replica = Replica::new(boot_now(), self.replica.id(), stored.restored, random_number()?);
        self.replica = replica.with_policy(self.policy);
        self.shared.version.send_replace(state.version());
        *self.shared.state.write() = state;
        self.applied_bytes = 0;
        Ok(())
    }
}

/// Tells whether a write failed because the disk has no space, which says nothing about what it holds already.
fn is_disk_full(error: &anyhow::Error) -> bool {
    let cause = error.chain().find_map(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|cause| matches!(cause.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded))
}
