//! Rendezvous (highest random weight) hashing.
//!
//! Each pair of key and candidate has a score, and a key is assigned to the candidate with the highest score. When a
//! candidate leaves, only its own keys move; when one joins, it takes an even share of the keys from all others.

use sha2::{Digest, Sha256};

/// Scores a candidate for a key.
///
/// The score depends on the inputs alone, so it is the same on every host and in every release.
pub fn score(key: &[u8], candidate: &[u8]) -> u64 {
    combine_hashes(hash(key), hash(candidate))
}

/// Hashes a key or a candidate, for callers that score it against many others.
pub fn hash(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// Turns a hash into a number from 0 to 1 (exclusive).
pub fn fraction(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

/// Computes the score of a pair from the hashes of the key and the candidate.
///
/// The multipliers and shifts are those of the `SplitMix64` finalizer.
pub const fn combine_hashes(key: u64, candidate: u64) -> u64 {
    let mut mixed = key ^ candidate.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
