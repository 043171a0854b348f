//! Access to the data folder, and replacement of its files such that a crash leaves either the old or the new file.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use acaciabay::core::consensus::{
    DiskId, HardState, LogAppend, LogEntry, ReplicaLog, ReplicaSnapshot, RestoredReplica,
};
use anyhow::{Context, bail};
use fs2::FileExt;

use super::identity::{self, FolderIdentity};
use super::log_file::LogFile;
use super::record::file_header;
use super::snapshot_file;

/// Snapshot and log that were loaded from a data folder.
#[derive(Debug)]
pub struct StoredReplica {
    /// Snapshot from which the replica starts.
    pub snapshot: ReplicaSnapshot,
    /// Term, vote and the log entries after the snapshot.
    pub restored: RestoredReplica,
    /// Number of bytes that were truncated because their write was incomplete.
    pub torn_bytes: usize,
}

/// Open data folder, locked because two processes that use it at the same time would corrupt it.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    log: Option<LogFile>,
    _lock: File,
}

impl DataFolder {
    /// Opens and locks a folder, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created or opened, or if another process has locked it.
    pub fn open(path: &Path) -> anyhow::Result<Self> {
        std::fs::create_dir_all(path).with_context(|| format!("failed to create the folder `{}`", path.display()))?;
        let lock_path = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path);
        let lock = lock.with_context(|| format!("failed to open `{}`", lock_path.display()))?;
        lock.try_lock_exclusive()
            .with_context(|| format!("another process uses the folder `{}`", path.display()))?;
        Ok(Self {
            path: path.to_owned(),
            log: None,
            _lock: lock,
        })
    }

    /// Returns the group and the replica that the folder belongs to, or `None` if it contains neither identity nor log.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is corrupt, or if there is a log but no identity: treating such a folder as
    /// empty would discard the log.
    pub fn identity(&self) -> anyhow::Result<Option<FolderIdentity>> {
        let found = identity::read(&self.path)?;
        if found.is_none() && self.path.join("log").exists() {
            bail!(
                "folder `{}` contains a log but no identity file; the folder is corrupt",
                self.path.display()
            );
        }
        Ok(found)
    }

    /// Stores the group and the replica that the folder belongs to.
    ///
    /// # Errors
    ///
    /// Fails if the identity cannot be written and synced.
    pub fn store_identity(&self, identity: &FolderIdentity) -> anyhow::Result<()> {
        identity::write(&self.path, identity)
    }

    /// Writes the first snapshot and a log without entries; the default snapshot is empty.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be written and synced.
    pub fn initialise(&mut self, hard_state: HardState, snapshot: &ReplicaSnapshot) -> anyhow::Result<()> {
        self.replace(hard_state, snapshot, &[])
    }

    /// Loads the snapshot and the log.
    ///
    /// # Errors
    ///
    /// Fails if either file is corrupt or missing; the error names the file and, for a corrupt log record, its offset.
    /// An incomplete last write is truncated instead.
    pub fn load(&mut self) -> anyhow::Result<StoredReplica> {
        let snapshot = snapshot_file::read(&self.path)?;
        let (log, content) = LogFile::open(&self.path)?;
        self.log = Some(log);
        let ReplicaSnapshot {
            index, term, members, ..
        } = snapshot.clone();
        if content.base.0 > index {
            let (base, index) = (content.base.0.0, index.0);
            bail!(
                "log in `{}` starts after entry {base}, but the snapshot ends at {index}",
                self.path.display()
            );
        }
        let mut log = ReplicaLog::after_snapshot(index, term, members);
        // After a crash between storing the leader's snapshot and replacing the log, the log may contain entries that
        // do not follow the snapshot. They follow it if the log has the snapshot's term at the snapshot's index.
        let log_follows_snapshot = content.base == (index, term)
            || content
                .entries
                .iter()
                .any(|entry| (entry.index, entry.term) == (index, term));
        let entries = content
            .entries
            .into_iter()
            .filter(|entry| log_follows_snapshot && entry.index > index);
        let entries: Vec<LogEntry> = entries.collect();
        if content.base != (index, term) {
            self.log = Some(LogFile::replace(
                &self.path,
                content.hard_state,
                (index, term),
                &entries,
            )?);
        }
        for entry in entries {
            log.push(entry);
        }
        let restored = RestoredReplica {
            hard_state: content.hard_state,
            log,
        };
        Ok(StoredReplica {
            snapshot,
            restored,
            torn_bytes: content.torn_bytes,
        })
    }

    /// Appends a record to the log and syncs it.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be written or synced. The caller then has to stop, since after a failed sync the
    /// operating system may have dropped the data and still report the next sync as successful.
    pub fn append(&mut self, hard_state: Option<HardState>, append: Option<&LogAppend>) -> anyhow::Result<()> {
        let log = self.log.as_mut().context("folder was not loaded")?;
        log.append(hard_state, append)
    }

    /// Stores a snapshot and replaces the log with the hard state and the `remaining` entries.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be written and synced.
    pub fn replace(
        &mut self,
        hard_state: HardState,
        snapshot: &ReplicaSnapshot,
        remaining: &[LogEntry],
    ) -> anyhow::Result<()> {
        snapshot_file::write(&self.path, snapshot)?;
        self.log = Some(LogFile::replace(
            &self.path,
            hard_state,
            (snapshot.index, snapshot.term),
            remaining,
        )?);
        Ok(())
    }
}

/// Replaces a file with a new one that consists of the file header and `content`.
pub(super) fn replace_file(folder: &Path, name: &str, content: &[u8]) -> anyhow::Result<()> {
    let target = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    write_synced(&temporary, content).with_context(|| format!("failed to write `{}`", temporary.display()))?;
    std::fs::rename(&temporary, &target).with_context(|| format!("failed to replace `{}`", target.display()))?;
    // Without syncing the folder, a power loss may undo the rename and restore the old file.
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.with_context(|| format!("failed to sync the folder `{}`", folder.display()))
}

fn write_synced(path: &Path, content: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&file_header())?;
    file.write_all(content)?;
    file.sync_all()
}

/// Reads a file and returns `None` if it does not exist.
pub(super) fn read_file(path: &Path) -> anyhow::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).with_context(|| format!("failed to read `{}`", path.display())),
    }
}

/// Resets the identity of a removed replica's folder, so that the folder can join the group again under the id `disk`.
///
/// Only the identity file is replaced, so a crash leaves either the old or the new identity. The old log is overwritten
/// when the group admits the folder.
///
/// # Errors
///
/// Fails if the file cannot be written and synced.
pub fn reset_identity(path: &Path, disk: DiskId) -> anyhow::Result<()> {
    let identity = FolderIdentity {
        group: 0,
        disk,
        replica: None,
    };
    identity::write(path, &identity)
}
