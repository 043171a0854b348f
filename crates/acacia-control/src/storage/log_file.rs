//! Log file of a replica: its hard state and the log entries after its snapshot, with one record per synced write.

use std::fs::{File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use acacia_wire::generated::replica;
use acacia_wire::{entry_from_wire, entry_to_wire, hard_state_from_wire, hard_state_to_wire};
use acaciabay::core::consensus::{HardState, LogAppend, LogEntry, LogIndex, Term};
use anyhow::{Context, bail};
use prost::Message;

use super::data_folder::{read_file, replace_file};
use super::record::{FILE_HEADER_LEN, ReadRecord, encode_record, read_record, strip_file_header};

const FILE_NAME: &str = "log";

/// Content of a log file.
#[derive(Debug, Default)]
pub(super) struct LogContent {
    /// Index and term of the snapshot that the log starts after.
    pub(super) base: (LogIndex, Term),
    pub(super) hard_state: HardState,
    pub(super) entries: Vec<LogEntry>,
    /// Number of bytes after the last complete record, which an incomplete last write has left, or 0.
    pub(super) torn_bytes: usize,
}

/// Open log file.
#[derive(Debug)]
pub(super) struct LogFile {
    path: PathBuf,
    file: File,
}

impl LogFile {
    /// Opens the log, reads it and truncates an incomplete last write.
    pub(super) fn open(folder: &Path) -> anyhow::Result<(Self, LogContent)> {
        let path = folder.join(FILE_NAME);
        let bytes = read_file(&path)?.with_context(|| format!("`{}` is missing", path.display()))?;
        let (content, length) = parse(&bytes).with_context(|| format!("failed to read `{}`", path.display()))?;
        let opened = OpenOptions::new().write(true).open(&path);
        let mut file = opened.with_context(|| format!("failed to open `{}`", path.display()))?;
        if content.torn_bytes > 0 {
            file.set_len(length as u64)
                .and_then(|()| file.sync_all())
                .context("failed to truncate an incomplete write")?;
        }
        file.seek(SeekFrom::End(0))
            .context("failed to seek to the end of the log")?;
        Ok((Self { path, file }, content))
    }

    /// Replaces the log with one that contains `entries` and starts after the snapshot at `base`.
    pub(super) fn replace(
        folder: &Path,
        hard_state: HardState,
        base: (LogIndex, Term),
        entries: &[LogEntry],
    ) -> anyhow::Result<Self> {
        let record = replica::LogRecord {
            base: Some(replica::LogBase {
                index: base.0.0,
                term: base.1.0,
            }),
            hard_state: Some(hard_state_to_wire(&hard_state)),
            // No entries are removed, since this is the first record of the new file.
            first: 0,
            entries: entries.iter().map(entry_to_wire).collect(),
        };
        replace_file(folder, FILE_NAME, &encode_record(&record.encode_to_vec())?)?;
        Ok(Self::open(folder)?.0)
    }

    /// Appends a record with the hard state and the entries, as far as they are given, and syncs it. The entries
    /// replace earlier ones from the index `append.first` on.
    pub(super) fn append(&mut self, hard_state: Option<HardState>, append: Option<&LogAppend>) -> anyhow::Result<()> {
        let record = replica::LogRecord {
            base: None,
            hard_state: hard_state.as_ref().map(hard_state_to_wire),
            // 0 means that no earlier entries are removed.
            first: append.map_or(0, |append| append.first.0),
            entries: append
                .into_iter()
                .flat_map(|append| &append.entries)
                .map(entry_to_wire)
                .collect(),
        };
        let bytes = encode_record(&record.encode_to_vec())?;
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        written.with_context(|| format!("failed to write and sync `{}`", self.path.display()))
    }
}

/// Parses all records and returns their combined content and the offset at which the last complete record ends.
fn parse(bytes: &[u8]) -> anyhow::Result<(LogContent, usize)> {
    strip_file_header(bytes)?;
    let mut content = LogContent::default();
    let mut offset = FILE_HEADER_LEN;
    loop {
        match read_record(bytes, offset) {
            ReadRecord::Complete(payload, next) => {
                let record = replica::LogRecord::decode(payload)?;
                apply_record(&mut content, record).with_context(|| format!("in the record at byte {offset}"))?;
                offset = next;
            }
            ReadRecord::End => break,
            // The last write was incomplete and was never acknowledged, so it can be truncated.
            ReadRecord::Torn => {
                content.torn_bytes = bytes.len() - offset;
                break;
            }
            // The record does not look like an incomplete write, so truncating it could drop entries that this replica
            // has acknowledged.
            ReadRecord::Corrupt => bail!("record at byte {offset} is corrupt; repair the disk of this host"),
        }
    }
    if offset == FILE_HEADER_LEN {
        bail!("log contains no complete record");
    }
    Ok((content, offset))
}

fn apply_record(content: &mut LogContent, record: replica::LogRecord) -> anyhow::Result<()> {
    if let Some(base) = record.base {
        content.base = (LogIndex(base.index), Term(base.term));
    }
    if let Some(hard_state) = record.hard_state {
        content.hard_state = hard_state_from_wire(&hard_state);
    }
    // Entries from `first` on are removed before those of the record are added; 0 means that none are removed.
    if record.first > 0 {
        while content
            .entries
            .last()
            .is_some_and(|entry| entry.index.0 >= record.first)
        {
            content.entries.pop();
        }
    }
    for message in record.entries {
        let entry = entry_from_wire(message)?;
        let last = content.entries.last().map_or(content.base.0, |entry| entry.index);
        if entry.index != last.next() {
            bail!("entry {} follows entry {}", entry.index.0, last.0);
        }
        content.entries.push(entry);
    }
    Ok(())
}
