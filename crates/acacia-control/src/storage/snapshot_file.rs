//! Snapshot file: the replicated state up to a log entry.

use std::path::Path;

use acacia_wire::generated::replica;
use acacia_wire::{snapshot_from_wire, snapshot_to_wire};
use acaciabay::core::consensus::ReplicaSnapshot;
use anyhow::{Context, bail};
use prost::Message;

use super::data_folder::{read_file, replace_file};
use super::record::{ReadRecord, encode_record, read_record, strip_file_header};

const FILE_NAME: &str = "snapshot";

pub(super) fn read(folder: &Path) -> anyhow::Result<ReplicaSnapshot> {
    let path = folder.join(FILE_NAME);
    let bytes = read_file(&path)?.with_context(|| format!("`{}` is missing", path.display()))?;
    parse(&bytes).with_context(|| format!("failed to read `{}`", path.display()))
}

/// Parses the file. Anything but a complete record is corruption, since a snapshot is complete before it is renamed.
fn parse(bytes: &[u8]) -> anyhow::Result<ReplicaSnapshot> {
    let ReadRecord::Complete(payload, _) = read_record(strip_file_header(bytes)?, 0) else {
        bail!("file is corrupt");
    };
    Ok(snapshot_from_wire(replica::Snapshot::decode(payload)?))
}

pub(super) fn write(folder: &Path, snapshot: &ReplicaSnapshot) -> anyhow::Result<()> {
    replace_file(
        folder,
        FILE_NAME,
        &encode_record(&snapshot_to_wire(snapshot).encode_to_vec())?,
    )
}
