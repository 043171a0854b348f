//! Simulation of a group of replicas with a virtual clock and with faults of the network, the hosts and the disks.
//!
//! This module advances the time and delivers messages. `faults` injects faults of hosts, and `invariants` checks the
//! invariants of the group against one reference list of entries.

mod faults;
mod invariants;

use std::collections::{BTreeMap, BTreeSet};

use acaciabay::core::clock::BootTime;
use acaciabay::core::consensus::{
    DiskId, HardState, LogIndex, MemberRow, MemberSet, Replica, ReplicaId, ReplicaMessage, ReplicaOutput,
    ReplicaSnapshot, Term,
};
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::schedule::Action;
use crate::simulated_disk::SimulatedDisk;

/// Length of a time step.
const STEP_MILLIS: u64 = 10;
/// Maximum deviation of a clock rate from real time, in both directions; well within the tolerance of the leases.
const RATE_SPREAD: f64 = 0.005;

pub(crate) type CheckResult = Result<(), String>;

/// Host that can run a replica.
#[derive(Debug)]
struct Host {
    name: String,
    /// Replica that the data folder is bound to, or `None` for an empty folder.
    id: Option<ReplicaId>,
    disk_id: DiskId,
    disk: SimulatedDisk,
    running: Option<Replica>,
    applied: Vec<u64>,
    paused_until: u64,
    /// If set, the process dies during its next log write, after this many entries.
    dies_after_entries: Option<usize>,
    clock_rate: f64,
    clock_start: u64,
}

#[derive(Debug)]
struct Delivery {
    at: u64,
    message: ReplicaMessage,
}

/// Simulated group with its network and the data for the invariant checks.
#[derive(Debug)]
pub(crate) struct Simulation {
    now: u64,
    hosts: Vec<Host>,
    network: Vec<Delivery>,
    cuts: BTreeSet<(usize, usize)>,
    random: StdRng,
    /// Reference log: the entry at each index, as first applied by any replica.
    reference_log: BTreeMap<LogIndex, (Term, Option<u64>)>,
    waiting: BTreeMap<(Term, LogIndex), u64>,
    acknowledged: Vec<(LogIndex, u64)>,
    next_value: u64,
    lost_disk: Option<usize>,
    /// True once all faults have ended: every message then arrives exactly once, without delay and in order.
    network_is_reliable: bool,
}

impl Simulation {
    pub(crate) fn new(replicas: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let rows = (0..replicas).map(|index| {
            let disk = Some(DiskId(index as u64 + 1));
            let row = MemberRow {
                host: host_name(index).as_str().into(),
                address: String::new(),
                disk,
                voter: true,
            };
            (ReplicaId(index as u64 + 1), row)
        });
        let members = MemberSet::new(rows, ReplicaId(replicas as u64));
        let snapshot = ReplicaSnapshot::founding(members);
        let hosts = (0..replicas).map(|index| Host {
            name: host_name(index),
            id: Some(ReplicaId(index as u64 + 1)),
            disk_id: DiskId(index as u64 + 1),
            disk: SimulatedDisk::starting_with(HardState::founding(), snapshot.clone()),
            running: None,
            applied: Vec::new(),
            paused_until: 0,
            dies_after_entries: None,
            clock_rate: 1.0 + random.random_range(-RATE_SPREAD..RATE_SPREAD),
            clock_start: random.random_range(0..1_000_000),
        });
        let hosts = hosts.collect();
        let mut simulation = Self {
            now: 0,
            hosts,
            network: Vec::new(),
            cuts: BTreeSet::new(),
            random,
            reference_log: BTreeMap::new(),
            waiting: BTreeMap::new(),
            acknowledged: Vec::new(),
            next_value: 0,
            lost_disk: None,
            network_is_reliable: false,
        };
        simulation.restart_all();
        simulation
    }

    pub(crate) fn apply_action(&mut self, action: &Action) -> CheckResult {
        let count = self.hosts.len();
        match action {
            Action::Run { millis } => return self.run(*millis),
            Action::Propose => return self.propose(),
            Action::Kill { replica } => self.kill(replica % count),
            Action::KillInWrite { replica, entries } => self.hosts[replica % count].dies_after_entries = Some(*entries),
            Action::Restart => self.restart_all(),
            Action::Pause { replica, millis } => self.hosts[replica % count].paused_until = self.now + millis,
            Action::Cut { from, to } => {
                self.cuts.insert((from % count, to % count));
            }
            Action::Isolate { replica } => self.isolate(replica % count),
            Action::Heal => self.cuts.clear(),
            Action::Compact { replica } => self.compact(replica % count),
            Action::LoseDisk { replica } => self.lose_disk(replica % count),
            Action::Repair => return self.repair(),
        }
        Ok(())
    }

    fn run(&mut self, millis: u64) -> CheckResult {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP_MILLIS;
            self.deliver()?;
            for index in 0..self.hosts.len() {
                if self.is_awake(index) {
                    let now = self.local_time(index);
                    if let Some(replica) = &mut self.hosts[index].running {
                        replica.tick(now);
                    }
                    self.process(index)?;
                }
            }
            self.check_leaders()?;
        }
        Ok(())
    }

    fn is_awake(&self, index: usize) -> bool {
        self.now >= self.hosts[index].paused_until
    }

    fn local_time(&self, index: usize) -> BootTime {
        let host = &self.hosts[index];
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times are small and positive"
        )]
        let elapsed = (self.now as f64 * host.clock_rate) as u64;
        BootTime::from_millis(host.clock_start + elapsed)
    }

    fn deliver(&mut self) -> CheckResult {
        let (now, waiting) = (self.now, std::mem::take(&mut self.network));
        for delivery in waiting {
            let Some(to) = self.host_of(delivery.message.to) else {
                continue;
            };
            if delivery.at > now || !self.is_awake(to) {
                self.network.push(delivery);
                continue;
            }
            let local = self.local_time(to);
            if let Some(replica) = &mut self.hosts[to].running {
                replica.step(local, delivery.message);
                self.process(to)?;
            }
        }
        Ok(())
    }

    fn host_of(&self, id: ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == Some(id))
    }

    fn post(&mut self, from: usize, message: &ReplicaMessage) {
        let Some(to) = self.host_of(message.to) else { return };
        if self.network_is_reliable {
            self.network.push(Delivery {
                at: self.now + 1,
                message: message.clone(),
            });
            return;
        }
        if self.cuts.contains(&(from, to)) || self.random.random_ratio(1, 20) {
            return;
        }
        let copies = if self.random.random_ratio(1, 20) { 2 } else { 1 };
        for _ in 0..copies {
            // Most delays are short. A few are long enough for a message to arrive after an election.
            let delay = if self.random.random_ratio(1, 50) { 3_000 } else { 30 };
            let at = self.now + self.random.random_range(1..delay);
            self.network.push(Delivery {
                at,
                message: message.clone(),
            });
        }
    }

    /// Processes the replica's output: syncs, sends and applies.
    fn process(&mut self, index: usize) -> CheckResult {
        loop {
            let Some(replica) = &mut self.hosts[index].running else {
                return Ok(());
            };
            let output = replica.take_output();
            if output == ReplicaOutput::default() {
                return Ok(());
            }
            let host = &mut self.hosts[index];
            if let Some(snapshot) = output.snapshot {
                host.applied = decode_state(&snapshot.state);
                host.disk.install(snapshot);
            }
            if output.hard_state.is_none() {
                for message in &output.early_messages {
                    self.post(index, message);
                }
            }
            let host = &mut self.hosts[index];
            if let Some(hard_state) = output.hard_state {
                host.disk.hard_state = hard_state;
            }
            if let Some(append) = &output.append {
                if let Some(written) = host.dies_after_entries.take() {
                    host.disk.append(append, written);
                    self.kill(index);
                    return Ok(());
                }
                host.disk.append(append, usize::MAX);
            }
            if let Some(replica) = &mut host.running {
                replica.note_synced();
            }
            let early = output.early_messages.iter().filter(|_| output.hard_state.is_some());
            for message in early.chain(&output.messages) {
                self.post(index, message);
            }
            for entry in &output.committed {
                self.apply(index, entry)?;
            }
            for to in output.needs_snapshot {
                self.send_snapshot(index, to);
            }
        }
    }

    fn send_snapshot(&mut self, index: usize, to: ReplicaId) {
        let state = encode_state(&self.hosts[index].applied);
        if let Some(replica) = &mut self.hosts[index].running {
            let snapshot = replica.snapshot_at_delivered(state);
            replica.send_snapshot(to, snapshot);
        }
    }

    fn propose(&mut self) -> CheckResult {
        let start = self.random.random_range(0..self.hosts.len());
        for offset in 0..self.hosts.len() {
            let index = (start + offset) % self.hosts.len();
            if !self.is_awake(index) {
                continue;
            }
            let value = self.next_value;
            let Some(replica) = &mut self.hosts[index].running else {
                continue;
            };
            if let Ok(position) = replica.propose(encode_value(value)) {
                self.next_value += 1;
                self.waiting.insert(position, value);
                return self.process(index);
            }
        }
        Ok(())
    }
}

fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn encode_value(value: u64) -> Bytes {
    Bytes::copy_from_slice(&value.to_be_bytes())
}

fn decode_value(bytes: &Bytes) -> u64 {
    u64::from_be_bytes(bytes[..].try_into().expect("a value has eight bytes"))
}

fn encode_state(values: &[u64]) -> Bytes {
    values
        .iter()
        .flat_map(|value| value.to_be_bytes())
        .collect::<Vec<u8>>()
        .into()
}

fn decode_state(bytes: &Bytes) -> Vec<u64> {
    bytes
        .chunks(8)
        .map(|chunk| u64::from_be_bytes(chunk.try_into().expect("a value has eight bytes")))
        .collect()
}
