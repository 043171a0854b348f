//! File header with the format version, and records with a length and checksums.

use anyhow::bail;
use crc32fast::hash;

/// First bytes of every file.
const MAGIC: [u8; 4] = *b"ACBY";
/// Format version that this release writes, and the newest version that it can read.
const FORMAT_VERSION: u32 = 1;
/// Length of the file header in bytes.
pub(super) const FILE_HEADER: usize = 8;
/// Length of the record header in bytes: payload length, checksum of that length and checksum of the payload.
const RECORD_HEADER: usize = 12;
/// Size of a disk sector in bytes. Disks write whole sectors, so a power loss during a write leaves whole sectors
/// unwritten.
const SECTOR: usize = 512;

/// Returns the file header.
pub(super) fn file_header() -> [u8; FILE_HEADER] {
    let mut header = [0; FILE_HEADER];
    header[..4].copy_from_slice(&MAGIC);
    header[4..].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header
}

/// Checks the file header and returns the bytes after it.
pub(super) fn after_file_header(bytes: &[u8]) -> anyhow::Result<&[u8]> {
    let Some((header, rest)) = bytes.split_at_checked(FILE_HEADER) else {
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
    let mut record = Vec::with_capacity(RECORD_HEADER + payload.len());
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
    Whole(&'file [u8], usize),
    /// End of the file.
    End,
    /// Incomplete last write, which was never acknowledged.
    Torn,
    /// Bytes that do not match their checksum although their write was complete.
    Damaged,
}

/// Reads the record that starts at `place`.
///
/// If a corrupt record were truncated as a torn write, entries that this replica has acknowledged would be dropped, and
/// the group could lose committed entries. So the end of the file counts as torn only if it looks like an incomplete
/// write: either the file ends before the record does, or the unwritten sectors read as zeros.
pub(super) fn read_record(bytes: &[u8], place: usize) -> ReadRecord<'_> {
    let rest = &bytes[place..];
    if rest.is_empty() {
        return ReadRecord::End;
    }
    let Some((header, after)) = rest.split_at_checked(RECORD_HEADER) else {
        return ReadRecord::Torn;
    };
    let word = |at: usize| [header[at], header[at + 1], header[at + 2], header[at + 3]];
    let length = word(0);
    if hash(&length) != u32::from_le_bytes(word(4)) {
        return if is_unwritten(rest) {
            ReadRecord::Torn
        } else {
            ReadRecord::Damaged
        };
    }
    let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
    let Some((payload, behind)) = after.split_at_checked(length) else {
        return ReadRecord::Torn;
    };
    if hash(payload) == u32::from_le_bytes(word(8)) {
        return ReadRecord::Whole(payload, place + RECORD_HEADER + length);
    }
    if behind.is_empty() && has_unwritten_sector(bytes, place) {
        ReadRecord::Torn
    } else {
        ReadRecord::Damaged
    }
}

fn is_unwritten(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

fn has_unwritten_sector(bytes: &[u8], place: usize) -> bool {
    let first = place.next_multiple_of(SECTOR);
    let sectors = bytes.get(first..).unwrap_or_default().chunks(SECTOR);
    sectors.into_iter().any(is_unwritten)
}
