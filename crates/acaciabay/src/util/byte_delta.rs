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
const CHUNK_BYTES: (usize, usize, usize) = (64, 256, 1_024);
/// The largest result that is put together, in bytes: far beyond every configuration, within every process's memory.
const LARGEST_RESULT: usize = 64 * 1024 * 1024;

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
pub struct DeltaMisfit;

impl std::fmt::Display for DeltaMisfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the delta does not fit its base")
    }
}

impl std::error::Error for DeltaMisfit {}

impl ByteDelta {
    /// Finds what turns `base` into `target`.
    pub fn between(base: &[u8], target: &Bytes) -> Self {
        let places: HashMap<&[u8], usize> = chunks(base)
            .map(|chunk| (bytes_of(base, &chunk), chunk.offset))
            .collect();
        let mut delta = DeltaMaker {
            base,
            target,
            done: 0,
            next: 0,
            pieces: Vec::new(),
        };
        delta.keep(0, 0);
        for chunk in chunks(target) {
            // A chunk of which a part is kept already is looked at no more: what follows it is found by the next one.
            if chunk.offset < delta.done {
                continue;
            }
            let bytes = bytes_of(target, &chunk);
            let follows = base.get(delta.next..).is_some_and(|rest| rest.starts_with(bytes));
            let place = follows.then_some(delta.next).or_else(|| places.get(bytes).copied());
            if let Some(place) = place {
                delta.keep(place, chunk.offset);
            }
        }
        delta.insert_to(target.len());
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
    pub fn apply(&self, base: &[u8]) -> Result<Bytes, DeltaMisfit> {
        let mut result = BytesMut::new();
        for piece in self.pieces.iter() {
            let bytes = match piece {
                DeltaPiece::Kept { start, length } => {
                    let end = start.checked_add(*length).ok_or(DeltaMisfit)?;
                    base.get(*start..end).ok_or(DeltaMisfit)?
                }
                DeltaPiece::Inserted(bytes) => bytes,
            };
            if result.len() + bytes.len() > LARGEST_RESULT {
                return Err(DeltaMisfit);
            }
            result.extend_from_slice(bytes);
        }
        Ok(result.freeze())
    }
}

/// A delta of which the first pieces are known.
#[derive(Debug)]
struct DeltaMaker<'bytes> {
    base: &'bytes [u8],
    target: &'bytes Bytes,
    /// Up to where the pieces give the target.
    done: usize,
    /// Where the base goes on behind the last part that was kept.
    next: usize,
    pieces: Vec<DeltaPiece>,
}

impl DeltaMaker<'_> {
    /// Keeps as much as is equal around `place` in the base and `at` in the target.
    fn keep(&mut self, place: usize, at: usize) {
        let open = &self.target[self.done..at];
        let before = self.base[..place].iter().rev().zip(open.iter().rev());
        let back = before.take_while(|(one, other)| one == other).count();
        let after = self.base[place..].iter().zip(&self.target[at..]);
        let ahead = after.take_while(|(one, other)| one == other).count();
        if back + ahead == 0 {
            return;
        }
        self.insert_to(at - back);
        self.pieces.push(DeltaPiece::Kept {
            start: place - back,
            length: back + ahead,
        });
        self.done = at + ahead;
        self.next = place + ahead;
    }

    /// Inserts the target's bytes up to `end` that no piece gives yet.
    fn insert_to(&mut self, end: usize) {
        if end > self.done {
            self.pieces
                .push(DeltaPiece::Inserted(self.target.slice(self.done..end)));
            self.done = end;
        }
    }
}

fn chunks(bytes: &[u8]) -> FastCDC<'_> {
    let (shortest, usual, longest) = CHUNK_BYTES;
    FastCDC::new(bytes, shortest, usual, longest)
}

fn bytes_of<'bytes>(whole: &'bytes [u8], chunk: &Chunk) -> &'bytes [u8] {
    &whole[chunk.offset..chunk.offset + chunk.length]
}
