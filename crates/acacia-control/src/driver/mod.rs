//! Thread that drives the replica: it carries out the work that [`Replica`] returns, in the required order.
//!
//! The driver has its own thread because it blocks on disk writes. Inputs that arrive during a write are batched into
//! the next one, which makes many concurrent writers cheap (`docs/BENCHMARKS.md`). [`members`] handles membership
//! changes, and [`disk_full`] handles a full disk.

mod disk_full;
mod members;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::{command_from_bytes, command_to_bytes, state_from_bytes, state_to_bytes};
use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::{
    EntryPayload, HardState, LogEntry, LogIndex, QuorumPolicy, Replica, ReplicaId, ReplicaOutput, ReplicaRole,
    ReplicaSnapshot, Term,
};
use acaciabay::core::control_state::ControlState;
use anyhow::Context;
use slog::Logger;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::group::{GroupInput, GroupShared, GroupStatus, NotLeading, ProposalResponder};
use crate::peer_links::PeerLinks;
use crate::storage::DataFolder;

pub(crate) use members::describe_change_error;

/// Interval at which the replica's time advances.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Most inputs that go into one write.
const MOST_INPUTS: usize = 4_096;
/// Number of applied log entries after which a snapshot replaces them.
const SNAPSHOT_ENTRIES: u64 = 10_000;
/// Size in bytes of the applied commands after which a snapshot replaces them in the log.
const SNAPSHOT_BYTES: usize = 32 * 1024 * 1024;

/// State of the driver thread.
#[derive(Debug)]
pub(crate) struct GroupDriver {
    replica: Replica,
    folder: DataFolder,
    hard_state: HardState,
    shared: Arc<GroupShared>,
    inputs: Receiver<GroupInput>,
    links: PeerLinks,
    log: Logger,
    pending_proposals: BTreeMap<LogIndex, (Term, ProposalResponder)>,
    pending_confirmations: Vec<oneshot::Sender<Result<(), NotLeading>>>,
    pending_binds: BTreeMap<LogIndex, (ReplicaId, oneshot::Sender<Result<ReplicaId, String>>)>,
    leading_since: Option<BootTime>,
    applied_bytes: usize,
    policy: QuorumPolicy,
}

/// Components from which a driver is created.
#[derive(Debug)]
pub(crate) struct DriverParts {
    pub(crate) id: ReplicaId,
    pub(crate) shared: Arc<GroupShared>,
    pub(crate) inputs: Receiver<GroupInput>,
    pub(crate) links: PeerLinks,
    pub(crate) log: Logger,
    /// Minimum number of copies of an entry and maximum number of voters.
    pub(crate) policy: QuorumPolicy,
}

impl GroupDriver {
    /// Restores the replica from its data folder.
    pub(crate) fn open(mut folder: DataFolder, parts: DriverParts, now: BootTime, seed: u64) -> anyhow::Result<Self> {
        let DriverParts {
            id,
            shared,
            inputs,
            links,
            log,
            policy,
        } = parts;
        let stored = folder.load()?;
        if stored.torn_bytes > 0 {
            slog::warn!(log, "torn record truncated"; "event" => event::TAIL_CUT, "bytes" => stored.torn_bytes);
        }
        let state =
            decode_state(&stored.snapshot).context("snapshot contains a state that this release cannot read")?;
        shared.config_version.send_replace(state.version());
        shared.serving_config_number.send_replace(state.serving.config_number);
        shared.suspects_version.send_replace(state.serving.suspects.version);
        *shared.state.write() = state;
        Ok(Self {
            policy,
            hard_state: stored.restored.hard_state,
            replica: Replica::new(now, id, stored.restored, seed).with_policy(policy),
            folder,
            shared,
            inputs,
            links,
            log,
            pending_proposals: BTreeMap::new(),
            pending_confirmations: Vec::new(),
            pending_binds: BTreeMap::new(),
            leading_since: None,
            applied_bytes: 0,
        })
    }

    /// Runs until it receives [`GroupInput::Stop`] or all senders are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails. The process then has to stop, since entries that it has acknowledged may not be stored.
    ///
    /// A full disk is no failure: the driver waits until there is space again.
    pub(crate) fn run(mut self) -> anyhow::Result<()> {
        let mut next_tick = Instant::now();
        loop {
            match self
                .inputs
                .recv_timeout(next_tick.saturating_duration_since(Instant::now()))
            {
                Ok(input) => {
                    if self.handle_inputs(input) {
                        return Ok(());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.replica.tick(boot_now());
                self.replace_silent_voter();
            }
            if let Err(error) = self.process_output()
                && !self.wait_for_space(&error)?
            {
                return Ok(());
            }
            self.answer_confirmations();
            self.publish_status();
        }
    }

    /// Handles an input and those queued behind it; returns true if the driver has to stop.
    fn handle_inputs(&mut self, first: GroupInput) -> bool {
        let mut next = Some(first);
        for _ in 0..MOST_INPUTS {
            let Some(input) = next else { return false };
            if matches!(input, GroupInput::Stop) {
                return true;
            }
            self.handle_input(input);
            next = self.inputs.try_recv().ok();
        }
        if let Some(input) = next {
            self.handle_input(input);
        }
        false
    }

    fn handle_input(&mut self, input: GroupInput) {
        match input {
            GroupInput::Propose { command, answer } => match self.replica.propose(command_to_bytes(&command)) {
                Ok((term, index)) => {
                    self.pending_proposals.insert(index, (term, answer));
                }
                Err(_not_leader) => {
                    let _receiver_dropped = answer.sender.send(Err(self.not_leading()));
                }
            },
            GroupInput::ConfirmLeadership(answer) => self.pending_confirmations.push(answer),
            GroupInput::Message(message) => self.replica.step(boot_now(), message),
            GroupInput::PeerConnected { replica, address } => self.links.handle_peer_connected(replica, &address),
            GroupInput::ChangeMembers { change, answer } => {
                let changed = self.replica.change_members(change).map(|(_, replica)| replica);
                let _receiver_dropped = answer.send(changed);
            }
            GroupInput::Identify { host, disk, answer } => self.identify(&host, disk, answer),
            GroupInput::Join { request, answer } => {
                let _receiver_dropped = answer.send(self.answer_join(request));
            }
            GroupInput::Stop => {}
        }
    }

    /// Carries out the replica's pending work until there is none left.
    fn process_output(&mut self) -> anyhow::Result<()> {
        loop {
            let output = self.replica.take_output();
            if output == ReplicaOutput::default() {
                return Ok(());
            }
            self.perform(output)?;
        }
    }

    fn perform(&mut self, output: ReplicaOutput) -> anyhow::Result<()> {
        let ReplicaOutput {
            snapshot,
            hard_state,
            append,
            early_messages,
            messages,
            committed,
            needs_snapshot,
        } = output;
        if hard_state.is_none() {
            self.links.send(early_messages.iter());
        }
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = snapshot {
            self.install_snapshot(&snapshot)?;
        }
        if hard_state.is_some() || append.is_some() {
            self.folder.append(hard_state, append.as_ref())?;
        }
        self.replica.note_synced();
        if hard_state.is_some() {
            self.links.send(early_messages.iter());
        }
        self.links.send(messages.iter());
        self.apply_entries(committed)?;
        for to in needs_snapshot {
            self.send_snapshot(to);
        }
        self.compact_if_due()
    }

    fn install_snapshot(&mut self, snapshot: &ReplicaSnapshot) -> anyhow::Result<()> {
        let state =
            decode_state(snapshot).context("leader sent a snapshot with a state that this release cannot read")?;
        self.folder.replace(self.hard_state, snapshot, &[])?;
        self.shared.config_version.send_replace(state.version());
        let number = state.serving.config_number;
        let suspects = state.serving.suspects.version;
        *self.shared.state.write() = state;
        self.shared.serving_config_number.send_replace(number);
        self.shared.suspects_version.send_replace(suspects);
        self.applied_bytes = 0;
        slog::info!(self.log, "snapshot installed"; "event" => event::SNAPSHOT_WRITTEN, "index" => snapshot.index.0);
        Ok(())
    }

    fn apply_entries(&mut self, entries: Vec<LogEntry>) -> anyhow::Result<()> {
        if entries.is_empty() {
            return Ok(());
        }
        let mut answers = Vec::new();
        {
            let mut state = self.shared.state.write();
            for LogEntry { index, term, payload } in entries {
                let outcome = match payload {
                    EntryPayload::Command(bytes) => {
                        self.applied_bytes += bytes.len();
                        let command = command_from_bytes(bytes);
                        // Skipping the entry would make the state of this replica diverge from that of the others.
                        let command = command.with_context(|| format!("failed to decode entry {}", index.0))?;
                        Some(state.apply(&command))
                    }
                    EntryPayload::Empty => None,
                    EntryPayload::Members(_) => {
                        slog::info!(self.log, "members changed"; "event" => event::MEMBERS_CHANGED, "index" => index.0);
                        None
                    }
                };
                if let Some((proposed, answer)) = self.pending_proposals.remove(&index) {
                    let outcome = outcome.filter(|_| proposed == term);
                    answers.push((answer, outcome));
                }
                if let Some((replica, answer)) = self.pending_binds.remove(&index) {
                    let _receiver_dropped = answer.send(Ok(replica));
                }
            }
            self.shared.config_version.send_if_modified(|version| {
                let changed = *version != state.version();
                *version = state.version();
                changed
            });
            self.shared.serving_config_number.send_if_modified(|number| {
                let changed = *number != state.serving.config_number;
                *number = state.serving.config_number;
                changed
            });
            self.shared.suspects_version.send_if_modified(|version| {
                let changed = *version != state.serving.suspects.version;
                *version = state.serving.suspects.version;
                changed
            });
        }
        for (answer, outcome) in answers {
            let _receiver_dropped = answer.sender.send(outcome.ok_or_else(|| self.not_leading()));
        }
        Ok(())
    }

    fn send_snapshot(&mut self, to: ReplicaId) {
        let snapshot = self.create_snapshot();
        self.replica.send_snapshot(to, snapshot);
    }

    fn create_snapshot(&self) -> ReplicaSnapshot {
        let state = state_to_bytes(&self.shared.state.read());
        self.replica.snapshot_at_delivered(state)
    }

    fn compact_if_due(&mut self) -> anyhow::Result<()> {
        let entries = self.replica.delivered().0 - self.replica.log().base_index().0;
        if entries < SNAPSHOT_ENTRIES && self.applied_bytes < SNAPSHOT_BYTES {
            return Ok(());
        }
        let snapshot = self.create_snapshot();
        self.replica.compact(snapshot.index);
        let remaining = self.replica.log().entries();
        self.folder.replace(self.hard_state, &snapshot, &remaining)?;
        self.applied_bytes = 0;
        slog::info!(self.log, "snapshot written"; "event" => event::SNAPSHOT_WRITTEN,
            "index" => snapshot.index.0, "bytes" => snapshot.state.len());
        Ok(())
    }

    fn answer_confirmations(&mut self) {
        if self.pending_confirmations.is_empty() {
            return;
        }
        let may_act = self.replica.may_act(boot_now());
        for answer in std::mem::take(&mut self.pending_confirmations) {
            let _receiver_dropped = answer.send(if may_act { Ok(()) } else { Err(self.not_leading()) });
        }
    }

    fn not_leading(&self) -> NotLeading {
        let leader = self.replica.leader().filter(|leader| *leader != self.replica.id());
        let row = leader.and_then(|leader| self.replica.members().get(leader));
        NotLeading {
            leader_address: row.map(|row| row.address.clone()).unwrap_or_default(),
        }
    }

    /// Publishes the replica's status. Without leadership, it also rejects the pending proposals, which now depend on
    /// another leader.
    fn publish_status(&mut self) {
        self.shared.set_lease(self.replica.lease_until());
        let leads = self.replica.role() == ReplicaRole::Leader;
        if !leads {
            for (_, (_, answer)) in std::mem::take(&mut self.pending_proposals) {
                let _receiver_dropped = answer.sender.send(Err(self.not_leading()));
            }
            self.pending_binds.clear();
        }
        let may_act = self.replica.may_act(boot_now());
        self.leading_since = match self.leading_since {
            Some(since) if leads => Some(since),
            None if may_act => Some(boot_now()),
            _ => None,
        };
        let status = GroupStatus {
            replica: Some(self.replica.id()),
            term: self.replica.term(),
            leader: self.replica.leader(),
            leading_since: self.leading_since,
            is_first_leader: self.replica.is_first_leader(),
            members: self.replica.members().clone(),
            applied: self.replica.delivered().0,
        };
        let before = self.shared.status.send_replace(status.clone());
        if before.members != status.members {
            self.links.update_members(&status.members, self.replica.id());
        }
        self.log_leadership(&before, &status);
    }

    fn log_leadership(&self, before: &GroupStatus, status: &GroupStatus) {
        let term = status.term.0;
        match (before.leading_since, status.leading_since) {
            (None, Some(_)) => {
                slog::info!(self.log, "leader elected"; "event" => event::LEADER_ELECTED, "term" => term);
            }
            (Some(_), None) => {
                slog::info!(self.log, "leader lost"; "event" => event::LEADER_LOST, "term" => term);
            }
            (None, None) | (Some(_), Some(_)) => {}
        }
    }
}

fn decode_state(snapshot: &ReplicaSnapshot) -> anyhow::Result<ControlState> {
    if snapshot.state.is_empty() {
        return Ok(ControlState::default());
    }
    Ok(state_from_bytes(snapshot.state.clone())?)
}

/// Runs the driver on its own thread and cancels `stop` when it ends.
pub(crate) fn spawn_driver(
    driver: GroupDriver,
    stop: CancellationToken,
    log: Logger,
) -> JoinHandle<anyhow::Result<()>> {
    tokio::task::spawn_blocking(move || {
        let outcome = driver.run();
        if let Err(error) = &outcome {
            slog::error!(log, "replica failed"; "event" => event::FATAL, "error" => format!("{error:#}"));
        }
        stop.cancel();
        outcome
    })
}
