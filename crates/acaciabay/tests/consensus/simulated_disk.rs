//! Simulated disk of a replica.

use acaciabay::core::consensus::{
    HardState, LogAppend, LogEntry, LogIndex, ReplicaLog, ReplicaSnapshot, RestoredReplica,
};

/// Disk that keeps all synced data and can lose the end of an interrupted write.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedDisk {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: ReplicaSnapshot,
    entries: Vec<LogEntry>,
}

impl SimulatedDisk {
    /// Creates the disk of a replica that starts from a snapshot.
    pub(crate) const fn starting_with(hard_state: HardState, snapshot: ReplicaSnapshot) -> Self {
        Self {
            hard_state,
            snapshot,
            entries: Vec::new(),
        }
    }

    /// Replaces the snapshot and removes all entries.
    pub(crate) fn install(&mut self, snapshot: ReplicaSnapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Writes entries, of which only the first `most` reach the disk. Removes existing entries from the first index on.
    pub(crate) fn append(&mut self, append: &LogAppend, most: usize) {
        self.entries.retain(|entry| entry.index < append.first);
        self.entries.extend(append.entries.iter().take(most).cloned());
    }

    /// Stores a snapshot and removes the entries that it includes.
    pub(crate) fn compact(&mut self, snapshot: ReplicaSnapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = snapshot;
    }

    /// Returns the state that a process restores when it starts.
    pub(crate) fn restore(&self) -> RestoredReplica {
        let ReplicaSnapshot {
            index, term, members, ..
        } = self.snapshot.clone();
        let mut log = ReplicaLog::after_snapshot(index, term, members);
        for entry in &self.entries {
            log.push(entry.clone());
        }
        RestoredReplica {
            hard_state: self.hard_state,
            log,
        }
    }

    /// Returns the index of the last entry that the snapshot includes.
    pub(crate) const fn base(&self) -> LogIndex {
        self.snapshot.index
    }
}
