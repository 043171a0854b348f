//! Binary deltas: a target byte string as ranges copied from a base, and inserted bytes.
//!
//! Operators submit a configuration as a whole document, and one change affects several places in it, such as the
//! version number. The size of a delta depends only on the amount of changed data, not on its position. Computing a
//! delta takes time proportional to the input length, also when the two documents have nothing in common.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use fastcdc::v2020::{Chunk, FastCDC};

/// Minimum, average and maximum size of the content-defined chunks that are compared, in bytes.
///
/// The sizes match those of a route, which is a few hundred bytes long.
const CHUNK_SIZES: (usize, usize, usize) = (64, 256, 1_024);
/// Maximum size of a reconstructed target, in bytes.
///
/// It is far larger than any configuration, yet fits into the memory of every process.
const MAX_RESULT_BYTES: usize = 64 * 1024 * 1024;

/// One instruction of a [`ByteDelta`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaPiece {
    /// Copies a range of the base.
    Kept {
        /// The offset of the range in the base.
        start: usize,
        /// The number of bytes.
        length: usize,
    },
    /// Inserts new bytes.
    Inserted(Bytes),
}

/// A sequence of pieces that reconstructs a target from a base. Clones share the pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByteDelta {
    pieces: Arc<[DeltaPiece]>,
}

/// The error for a delta that was computed for another base or whose target would be too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeltaMismatch;

impl std::fmt::Display for DeltaMismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the delta does not fit its base")
    }
}

impl std::error::Error for DeltaMismatch {}

impl ByteDelta {
    /// Computes the delta that turns `base` into `target`.
    pub fn between(base: &[u8], target: &Bytes) -> Self {
        let offsets: HashMap<&[u8], usize> = chunks(base)
            .map(|chunk| (chunk_bytes(base, &chunk), chunk.offset))
            .collect();
        let mut delta = DeltaBuilder {
            base,
            target,
            encoded_end: 0,
            base_next: 0,
            pieces: Vec::new(),
        };
        delta.copy_match(0, 0);
        for chunk in chunks(target) {
            // The chunk overlaps the range copied last. Skip it: the next chunk finds any match that follows.
            if chunk.offset < delta.encoded_end {
                continue;
            }
            let bytes = chunk_bytes(target, &chunk);
            let follows = base.get(delta.base_next..).is_some_and(|rest| rest.starts_with(bytes));
            let base_offset = follows
                .then_some(delta.base_next)
                .or_else(|| offsets.get(bytes).copied());
            if let Some(base_offset) = base_offset {
                delta.copy_match(base_offset, chunk.offset);
            }
        }
        delta.insert_until(target.len());
        Self::from_pieces(delta.pieces)
    }

    /// Builds a delta from its pieces.
    pub fn from_pieces(pieces: Vec<DeltaPiece>) -> Self {
        Self { pieces: pieces.into() }
    }

    /// Returns the pieces in order.
    pub fn pieces(&self) -> &[DeltaPiece] {
        &self.pieces
    }

    /// Returns the number of inserted bytes.
    pub fn inserted_bytes(&self) -> usize {
        let lengths = self.pieces.iter().map(|piece| match piece {
            DeltaPiece::Kept { .. } => 0,
            DeltaPiece::Inserted(bytes) => bytes.len(),
        });
        lengths.sum()
    }

    /// Reconstructs the target from `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if a piece refers to bytes outside the base, or if the target would exceed 64 MiB.
    pub fn apply(&self, base: &[u8]) -> Result<Bytes, DeltaMismatch> {
        let mut result = BytesMut::new();
        for piece in self.pieces.iter() {
            let bytes = match piece {
                DeltaPiece::Kept { start, length } => {
                    let end = start.checked_add(*length).ok_or(DeltaMismatch)?;
                    base.get(*start..end).ok_or(DeltaMismatch)?
                }
                DeltaPiece::Inserted(bytes) => bytes,
            };
            if result.len() + bytes.len() > MAX_RESULT_BYTES {
                return Err(DeltaMismatch);
            }
            result.extend_from_slice(bytes);
        }
        Ok(result.freeze())
    }
}

/// A delta under construction: its pieces cover the target up to `encoded_end`.
#[derive(Debug)]
struct DeltaBuilder<'bytes> {
    base: &'bytes [u8],
    target: &'bytes Bytes,
    /// The end of the part of the target that the pieces already cover.
    encoded_end: usize,
    /// The offset in the base just after the range copied last.
    base_next: usize,
    pieces: Vec<DeltaPiece>,
}

impl DeltaBuilder<'_> {
    /// Copies the longest matching range around `base_offset` in the base and `target_offset` in the target.
    fn copy_match(&mut self, base_offset: usize, target_offset: usize) {
        let unencoded = &self.target[self.encoded_end..target_offset];
        let before = self.base[..base_offset].iter().rev().zip(unencoded.iter().rev());
        let matched_before = before.take_while(|(one, other)| one == other).count();
        let after = self.base[base_offset..].iter().zip(&self.target[target_offset..]);
        let matched_after = after.take_while(|(one, other)| one == other).count();
        if matched_before + matched_after == 0 {
            return;
        }
        self.insert_until(target_offset - matched_before);
        self.pieces.push(DeltaPiece::Kept {
            start: base_offset - matched_before,
            length: matched_before + matched_after,
        });
        self.encoded_end = target_offset + matched_after;
        self.base_next = base_offset + matched_after;
    }

    /// Inserts the bytes of the target from `encoded_end` up to `end`.
    fn insert_until(&mut self, end: usize) {
        if end > self.encoded_end {
            self.pieces
                .push(DeltaPiece::Inserted(self.target.slice(self.encoded_end..end)));
            self.encoded_end = end;
        }
    }
}

fn chunks(bytes: &[u8]) -> FastCDC<'_> {
    let (min, average, max) = CHUNK_SIZES;
    FastCDC::new(bytes, min, average, max)
}

fn chunk_bytes<'bytes>(whole: &'bytes [u8], chunk: &Chunk) -> &'bytes [u8] {
    &whole[chunk.offset..chunk.offset + chunk.length]
}
