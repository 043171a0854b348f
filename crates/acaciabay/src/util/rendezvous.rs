//! Rendezvous (highest random weight) hashing.
//!
//! Each pair of key and candidate gets a score, and the highest score wins. When a candidate leaves, only its own keys
//! move; when one joins, it takes an even share from all others.

use sha2::{Digest, Sha256};

/// Scores a candidate for a key; equal inputs score equally on every host and in every release.
pub fn score(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((key.len() as u64).to_be_bytes());
    hasher.update(key);
    hasher.update(candidate);
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
