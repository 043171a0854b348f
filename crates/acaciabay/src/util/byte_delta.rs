//! What turns one sequence of bytes into another: parts that are kept, and bytes that are new.
//!
//! Operators send a configuration as a whole, and one change in it touches several places, its number among them. A
//! delta costs what has changed, wherever that stands, and is made in time that grows with the length alone, so that two
//! documents without anything in common cost no more than two that are nearly equal.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use fastcdc::v2020::{Chunk, FastCDC};

/// Shortest, usual and longest chunk by which equal parts are found, in bytes: a route is a few hundred bytes long.
const CHUNK_SIZES: (usize, usize, usize) = (64, 256, 1_024);
/// The largest result that is put together, in bytes: far beyond every configuration, within every process's memory.
const MAX_RESULT_BYTES: usize = 64 * 1024 * 1024;

/// A part of the result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaPiece {
    /// Bytes of the base.
    Kept {
        /// Where they begin in the base.
        start: usize,
        /// How many they are.
        length: usize,
    },
    /// Bytes that the base does not have there.
    Inserted(Bytes),
}

/// What turns a base into a result: its pieces one after the other. A clone shares them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByteDelta {
    pieces: Arc<[DeltaPiece]>,
}

/// The delta was made for another base, or its result would be too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeltaMismatch;

impl std::fmt::Display for DeltaMismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the delta does not fit its base")
    }
}

impl std::error::Error for DeltaMismatch {}

impl ByteDelta {
    /// Finds what turns `base` into `target`.
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
            // A chunk of which a part is kept already is looked at no more: what follows it is found by the next one.
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

    /// Wraps pieces.
    pub fn from_pieces(pieces: Vec<DeltaPiece>) -> Self {
        Self { pieces: pieces.into() }
    }

    /// Returns the pieces in order.
    pub fn pieces(&self) -> &[DeltaPiece] {
        &self.pieces
    }

    /// Returns how many bytes are new.
    pub fn inserted_bytes(&self) -> usize {
        let lengths = self.pieces.iter().map(|piece| match piece {
            DeltaPiece::Kept { .. } => 0,
            DeltaPiece::Inserted(bytes) => bytes.len(),
        });
        lengths.sum()
    }

    /// Puts the result together.
    ///
    /// # Errors
    ///
    /// Fails when a piece lies outside the base, or the result would be larger than 64 MiB.
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

/// A delta of which the first pieces are known.
#[derive(Debug)]
struct DeltaBuilder<'bytes> {
    base: &'bytes [u8],
    target: &'bytes Bytes,
    /// Up to where the pieces give the target.
    encoded_end: usize,
    /// Where the base goes on behind the last part that was kept.
    base_next: usize,
    pieces: Vec<DeltaPiece>,
}

impl DeltaBuilder<'_> {
    /// Keeps as much as is equal around `base_offset` in the base and `target_offset` in the target.
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

    /// Inserts the target's bytes up to `end` that no piece gives yet.
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
