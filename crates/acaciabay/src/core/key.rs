//! Callers' keys, held as digests only.

use std::collections::BTreeMap;

use crate::core::name::CustomerName;
use crate::util::digest::ContentDigest;

/// Identifies a key towards operators without revealing it: the first 12 digits of its digest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(String);

impl KeyId {
    /// Derives the identifier from the key's digest.
    pub fn of(digest: &ContentDigest) -> Self {
        Self(digest.to_hex()[..12].to_owned())
    }

    /// Wraps an identifier that an operator typed.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One issued key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRow {
    /// The digest of the secret; the secret itself is shown once, to the operator who issues it.
    pub digest: ContentDigest,
    /// The customer whose requests the key admits.
    pub customer: CustomerName,
}

/// All keys that are in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyTable {
    rows: BTreeMap<KeyId, KeyRow>,
}

impl KeyTable {
    /// Adds a key; a resend of the same key changes nothing. Returns whether the key is now in force for `row`'s customer.
    pub fn issue(&mut self, row: &KeyRow) -> bool {
        let present = self.rows.entry(KeyId::of(&row.digest)).or_insert_with(|| row.clone());
        present == row
    }

    /// Removes a key and tells whether it was in force.
    pub fn withdraw(&mut self, id: &KeyId) -> bool {
        self.rows.remove(id).is_some()
    }

    /// Returns all keys in the order of their identifiers.
    pub fn rows(&self) -> impl Iterator<Item = (&KeyId, &KeyRow)> {
        self.rows.iter()
    }

    /// Returns the key with this identifier.
    pub fn get(&self, id: &KeyId) -> Option<&KeyRow> {
        self.rows.get(id)
    }

    /// Returns the customer whose key has this digest.
    ///
    /// The row is found by a prefix of the digest, and the whole digest is compared in constant time: a caller who
    /// measures response times learns nothing about a digest that it cannot invert anyway.
    pub fn authenticate(&self, digest: &ContentDigest) -> Option<&CustomerName> {
        let row = self.rows.get(&KeyId::of(digest))?;
        row.digest.matches(digest).then_some(&row.customer)
    }
}
