//! Content digests, which compare large values by 32 bytes.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The SHA-256 digest of some content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest of the bytes.
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(bytes.as_ref()).into())
    }

    /// Compares two digests in constant time, so that response times do not reveal how much of a secret's digest
    /// matched.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the digest as lower-case hexadecimal text.
    pub fn to_hex(&self) -> String {
        let mut text = String::with_capacity(2 * self.0.len());
        for byte in self.0 {
            text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or_default());
            text.push(char::from_digit(u32::from(byte & 0x0f), 16).unwrap_or_default());
        }
        text
    }

    /// Parses a digest from 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

/// Adds fields to a digest such that no text can be moved from one field to the next: each follows its length.
pub(crate) fn update_separated<'field>(hasher: &mut Sha256, fields: impl IntoIterator<Item = &'field [u8]>) {
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..12])
    }
}
