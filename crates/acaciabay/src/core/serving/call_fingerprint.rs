//! Fingerprints, by which a call is recognised when its caller sends it again under another identifier.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::core::name::CustomerName;
use crate::util::digest::update_separated;

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Keyed hash of the content of a call. It reveals nothing about the content to anyone without the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallFingerprint([u8; FINGERPRINT_BYTES]);

impl CallFingerprint {
    /// Returns the bytes of the fingerprint.
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Creates a fingerprint from its bytes. Returns `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Parses a fingerprint from 32 hexadecimal digits, as [`Display`](fmt::Display) writes it.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.is_ascii() {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Content that makes two calls the same call.
#[derive(Clone, Copy, Debug)]
pub struct CallContent<'call> {
    /// Method of the request.
    pub method: &'call str,
    /// Host name that the caller addressed.
    pub host: &'call str,
    /// Path with the query.
    pub target: &'call str,
    /// Customer to whom the caller's key belongs. It is a part of the content so that no customer can cause the
    /// quarantine of another customer's calls.
    pub customer: Option<&'call CustomerName>,
    /// Body of the request.
    pub body: &'call [u8],
}

/// Secret of a control group from which fingerprints are computed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct FingerprintKey([u8; 32]);

impl FingerprintKey {
    /// Creates a key from random bytes. Returns `None` if their number is not 32.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the key.
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Computes the fingerprint of a call.
    pub fn fingerprint(&self, content: &CallContent<'_>) -> CallFingerprint {
        let customer = content.customer.map_or("", CustomerName::as_str);
        let mut hasher = Sha256::new_with_prefix(self.0);
        let head = [content.method, content.host, content.target, customer];
        update_separated(&mut hasher, head.map(str::as_bytes));
        hasher.update(content.body);
        let digest: [u8; 32] = hasher.finalize().into();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        CallFingerprint(bytes)
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey(redacted)")
    }
}
