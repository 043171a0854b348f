//! API keys of callers, stored only as digests.

use std::collections::BTreeMap;

use crate::core::name::CustomerName;
use crate::util::digest::ContentDigest;

/// The identifier that operators use for a key: the first 12 digits of its digest, which do not reveal the key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(String);

impl KeyId {
    /// Derives the identifier from the key's digest.
    pub fn of(digest: &ContentDigest) -> Self {
        Self(digest.to_hex()[..12].to_owned())
    }

    /// Creates an identifier from text that an operator entered.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An issued key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRow {
    /// The digest of the secret. The secret itself is shown only once, to the operator who issues the key.
    pub digest: ContentDigest,
    /// The customer whose requests the key authenticates.
    pub customer: CustomerName,
}

/// The table of all keys that are in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyTable {
    rows: BTreeMap<KeyId, KeyRow>,
}

impl KeyTable {
    /// Adds a key and returns true if it is now in force for the customer of `row`. Adding the same key again has no
    /// effect.
    pub fn issue(&mut self, row: &KeyRow) -> bool {
        let present = self.rows.entry(KeyId::of(&row.digest)).or_insert_with(|| row.clone());
        present == row
    }

    /// Removes a key and returns true if it was in force.
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
    /// The row is looked up by a prefix of the digest, and the whole digest is compared in constant time. Response
    /// times therefore reveal nothing useful to a caller, who cannot invert a digest.
    pub fn authenticate(&self, digest: &ContentDigest) -> Option<&CustomerName> {
        let row = self.rows.get(&KeyId::of(digest))?;
        row.digest.matches(digest).then_some(&row.customer)
    }
}
