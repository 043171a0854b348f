//! Identity file: the group and the replica that a data folder belongs to.

use std::path::Path;

use acacia_wire::generated::replica;
use acaciabay::core::consensus::{DiskId, ReplicaId};
use anyhow::{Context, bail};
use prost::Message;

use super::data_folder::{read_file, replace_file};
use super::record::{ReadRecord, encode_record, read_record, strip_file_header};

const FILE_NAME: &str = "identity";

/// Group and replica that a folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FolderIdentity {
    /// The group, drawn at random when it was formed; 0 until the folder is admitted.
    pub group: u64,
    /// The folder itself, drawn at random when it was first used.
    pub disk: DiskId,
    /// Id of the replica, or `None` until the group admits the folder.
    pub replica: Option<ReplicaId>,
}

pub(super) fn read(folder: &Path) -> anyhow::Result<Option<FolderIdentity>> {
    let path = folder.join(FILE_NAME);
    let Some(bytes) = read_file(&path)? else {
        return Ok(None);
    };
    let parsed = parse(&bytes).with_context(|| format!("failed to read `{}`", path.display()))?;
    Ok(Some(parsed))
}

fn parse(bytes: &[u8]) -> anyhow::Result<FolderIdentity> {
    let ReadRecord::Complete(payload, _) = read_record(strip_file_header(bytes)?, 0) else {
        bail!("file is corrupt");
    };
    let message = replica::Identity::decode(payload)?;
    let replica = (message.replica != 0).then_some(ReplicaId(message.replica));
    Ok(FolderIdentity {
        group: message.group,
        disk: DiskId(message.disk),
        replica,
    })
}

pub(super) fn write(folder: &Path, identity: &FolderIdentity) -> anyhow::Result<()> {
    let message = replica::Identity {
        group: identity.group,
        disk: identity.disk.0,
        replica: identity.replica.map_or(0, |replica| replica.0),
    };
    replace_file(folder, FILE_NAME, &encode_record(&message.encode_to_vec())?)
}
