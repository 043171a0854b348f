//! Entries that have joined, each start of an entry process under an incarnation of its own.

use std::collections::BTreeMap;

use crate::core::name::{DomainName, HostName};

/// The number that the control group grants to one start of an entry process.
///
/// It is committed before it is used, so that claims and usage of a restarted entry can never be taken for those of
/// the process before it. Neither a clock nor a random source could promise that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryIncarnation(pub u64);

/// Identifies one request to join, so that a join whose answer was lost is not granted twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JoinNonce(pub u64);

/// The latest incarnation of one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRow {
    /// The failure domain that the host is in.
    pub domain: DomainName,
    /// The incarnation granted last.
    pub incarnation: EntryIncarnation,
    /// The request that it was granted for.
    pub nonce: JoinNonce,
}

/// All entry hosts that have ever joined and were not removed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryTable {
    last: EntryIncarnation,
    rows: BTreeMap<HostName, EntryRow>,
}

impl EntryTable {
    /// Rebuilds the table from a snapshot.
    pub fn restore(last: EntryIncarnation, rows: impl IntoIterator<Item = (HostName, EntryRow)>) -> Self {
        Self {
            last,
            rows: rows.into_iter().collect(),
        }
    }

    /// Grants an incarnation, the same one when the same request comes again.
    pub fn join(&mut self, host: &HostName, domain: &DomainName, nonce: JoinNonce) -> EntryIncarnation {
        if let Some(row) = self.rows.get(host).filter(|row| row.nonce == nonce) {
            return row.incarnation;
        }
        self.last = EntryIncarnation(self.last.0 + 1);
        let row = EntryRow {
            domain: domain.clone(),
            incarnation: self.last,
            nonce,
        };
        self.rows.insert(host.clone(), row);
        self.last
    }

    /// Forgets a host that was taken out of service, and tells whether it was known.
    pub fn remove(&mut self, host: &HostName) -> bool {
        self.rows.remove(host).is_some()
    }

    /// Returns the highest incarnation granted so far.
    pub const fn last(&self) -> EntryIncarnation {
        self.last
    }

    /// Returns all hosts in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = (&HostName, &EntryRow)> {
        self.rows.iter()
    }

    /// Tells whether the incarnation is the latest of its host.
    pub fn is_current(&self, incarnation: EntryIncarnation) -> bool {
        self.rows.values().any(|row| row.incarnation == incarnation)
    }
}
