//! Opening the folder, and replacing files in it so that a crash leaves the old one or the new one.

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

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct StoredReplica {
    /// The replicated state to start from.
    pub snapshot: ReplicaSnapshot,
    /// Term, vote and the log after the snapshot.
    pub restored: RestoredReplica,
    /// How many bytes of an unfinished write were cut off.
    pub torn_bytes: usize,
}

/// An open data folder. It is locked: a second process that used it at the same time would ruin it.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    log: Option<LogFile>,
    _lock: File,
}

impl DataFolder {
    /// Opens a folder and makes it if needed.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be used or another process uses it.
    pub fn open(path: &Path) -> anyhow::Result<Self> {
        std::fs::create_dir_all(path).with_context(|| format!("failed to make the folder `{}`", path.display()))?;
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

    /// Returns whom the folder belongs to, or nothing for an empty folder.
    ///
    /// # Errors
    ///
    /// Fails when the file is damaged. A folder with a log and without an identity is damaged too: taking it for an
    /// empty one would throw the log away.
    pub fn identity(&self) -> anyhow::Result<Option<FolderIdentity>> {
        let found = identity::read(&self.path)?;
        if found.is_none() && self.path.join("log").exists() {
            bail!(
                "folder `{}` holds a log but no identity; it was tampered with",
                self.path.display()
            );
        }
        Ok(found)
    }

    /// Stores whom the folder belongs to.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be written and synced.
    pub fn store_identity(&self, identity: &FolderIdentity) -> anyhow::Result<()> {
        identity::write(&self.path, identity)
    }

    /// Makes the folder one of a replica that starts with a snapshot, or with nothing.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be written and synced.
    pub fn initialise(&mut self, hard_state: HardState, snapshot: &ReplicaSnapshot) -> anyhow::Result<()> {
        self.replace(hard_state, snapshot, &[])
    }

    /// Reads snapshot and log.
    ///
    /// # Errors
    ///
    /// Fails, naming file and place, when either is damaged or missing. Only an unfinished last write is cut off.
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
        // A crash between storing a snapshot from the leader and replacing the log leaves entries behind that may
        // not follow the snapshot. They do if the log agrees with the snapshot where it ends.
        let follows = content.base == (index, term)
            || content
                .entries
                .iter()
                .any(|entry| (entry.index, entry.term) == (index, term));
        let entries = content
            .entries
            .into_iter()
            .filter(|entry| follows && entry.index > index);
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

    /// Adds a write to the log and syncs it.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be written or synced. That is final: after a failed sync the system may have dropped the
    /// data and still report the next sync as done, so the caller has to stop.
    pub fn append(&mut self, hard_state: Option<HardState>, append: Option<&LogAppend>) -> anyhow::Result<()> {
        let log = self.log.as_mut().context("folder was not loaded")?;
        log.append(hard_state, append)
    }

    /// Stores a snapshot and drops the log before it.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be written and synced.
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

/// Replaces a file by one with this content, header included.
pub(super) fn replace_file(folder: &Path, name: &str, content: &[u8]) -> anyhow::Result<()> {
    let target = folder.join(name);
    let beside = folder.join(format!("{name}.new"));
    write_synced(&beside, content).with_context(|| format!("failed to write `{}`", beside.display()))?;
    std::fs::rename(&beside, &target).with_context(|| format!("failed to replace `{}`", target.display()))?;
    // Without this the rename itself may be lost, and an older file would come back after a power loss.
    let folder_file = File::open(folder).and_then(|file| file.sync_all());
    folder_file.with_context(|| format!("failed to sync the folder `{}`", folder.display()))
}

fn write_synced(path: &Path, content: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&file_header())?;
    file.write_all(content)?;
    file.sync_all()
}

/// Reads a whole file; nothing if there is none.
pub(super) fn read_file(path: &Path) -> anyhow::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).with_context(|| format!("failed to read `{}`", path.display())),
    }
}

/// Makes the folder of a replica that was removed one that waits for a new place, under a new number.
///
/// One file is replaced, so a crash leaves the folder as it was or as it is to be; the old log is overwritten when the
/// new place is granted.
///
/// # Errors
///
/// Fails when the file cannot be written and synced.
pub fn forget_replica(path: &Path, disk: DiskId) -> anyhow::Result<()> {
    let identity = FolderIdentity {
        group: 0,
        disk,
        replica: None,
    };
    identity::write(path, &identity)
}
