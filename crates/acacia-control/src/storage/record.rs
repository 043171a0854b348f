//! File header with the format version, and records with a length and checksums.

use anyhow::bail;
use crc32fast::hash;

/// First bytes of every file.
const MAGIC: [u8; 4] = *b"ACBY";
/// Format version that this release writes, and the newest version that it can read.
const FORMAT_VERSION: u32 = 1;
/// Length of the file header in bytes.
pub(super) const FILE_HEADER_LEN: usize = 8;
/// Length of the record header in bytes: payload length, checksum of that length and checksum of the payload.
const RECORD_HEADER_LEN: usize = 12;
/// Size of a disk sector in bytes. Disks write whole sectors, so a power loss during a write leaves whole sectors
/// unwritten.
const SECTOR_SIZE: usize = 512;

/// Returns the file header.
pub(super) fn file_header() -> [u8; FILE_HEADER_LEN] {
    let mut header = [0; FILE_HEADER_LEN];
    header[..4].copy_from_slice(&MAGIC);
    header[4..].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header
}

/// Checks the file header and returns the bytes after it.
pub(super) fn strip_file_header(bytes: &[u8]) -> anyhow::Result<&[u8]> {
    let Some((header, rest)) = bytes.split_at_checked(FILE_HEADER_LEN) else {
        bail!("file is shorter than its header");
    };
    if header[..4] != MAGIC {
        bail!("file does not start with `ACBY`");
    }
    let version = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if version > FORMAT_VERSION {
        bail!("file has format {version}, but this release reads formats up to {FORMAT_VERSION}; use a newer release");
    }
    Ok(rest)
}

/// Encodes a payload as a record.
pub(super) fn encode_record(payload: &[u8]) -> anyhow::Result<Vec<u8>> {
    let length = u32::try_from(payload.len())?.to_le_bytes();
    let mut record = Vec::with_capacity(RECORD_HEADER_LEN + payload.len());
    record.extend_from_slice(&length);
    record.extend_from_slice(&hash(&length).to_le_bytes());
    record.extend_from_slice(&hash(payload).to_le_bytes());
    record.extend_from_slice(payload);
    Ok(record)
}

/// Result of reading a record.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReadRecord<'file> {
    /// Payload of a complete record, and the offset of the next record.
    Complete(&'file [u8], usize),
    /// End of the file.
    End,
    /// Incomplete last write, which was never acknowledged.
    Torn,
    /// Bytes that do not match their checksum although their write was complete.
    Corrupt,
}

/// Reads the record that starts at `offset`.
///
/// If a corrupt record were truncated as a torn write, entries that this replica has acknowledged would be dropped, and
/// the group could lose committed entries. So the end of the file counts as torn only if it looks like an incomplete
/// write: either the file ends before the record does, or the unwritten sectors read as zeros.
pub(super) fn read_record(bytes: &[u8], offset: usize) -> ReadRecord<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return ReadRecord::End;
    }
    let Some((header, body)) = rest.split_at_checked(RECORD_HEADER_LEN) else {
        return ReadRecord::Torn;
    };
    let bytes_at = |at: usize| [header[at], header[at + 1], header[at + 2], header[at + 3]];
    let length = bytes_at(0);
    if hash(&length) != u32::from_le_bytes(bytes_at(4)) {
        return if is_zeroed(rest) {
            ReadRecord::Torn
        } else {
            ReadRecord::Corrupt
        };
    }
    let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
    let Some((payload, trailing)) = body.split_at_checked(length) else {
        return ReadRecord::Torn;
    };
    if hash(payload) == u32::from_le_bytes(bytes_at(8)) {
        return ReadRecord::Complete(payload, offset + RECORD_HEADER_LEN + length);
    }
    if trailing.is_empty() && has_zeroed_sector(bytes, offset) {
        ReadRecord::Torn
    } else {
        ReadRecord::Corrupt
    }
}

fn is_zeroed(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

fn has_zeroed_sector(bytes: &[u8], offset: usize) -> bool {
    let first_sector = offset.next_multiple_of(SECTOR_SIZE);
    let sectors = bytes.get(first_sector..).unwrap_or_default().chunks(SECTOR_SIZE);
    sectors.into_iter().any(is_zeroed)
}
