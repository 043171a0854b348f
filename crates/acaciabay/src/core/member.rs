//! Entry hosts that have joined the system, and the incarnations of their entry processes.

use std::collections::BTreeMap;

use crate::core::name::{DomainName, HostName};

/// The number that the control group assigns to one start of an entry process.
///
/// It is committed before it is used, so claims and usage of a restarted entry are never mistaken for those of the
/// previous process. Neither a clock nor a random number could guarantee that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryIncarnation(pub u64);

/// The identifier of a join request. It prevents a resend after a lost answer from being granted a second incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JoinNonce(pub u64);

/// An entry host and its latest incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRow {
    /// The failure domain that the host is in.
    pub domain: DomainName,
    /// The incarnation that was granted last.
    pub incarnation: EntryIncarnation,
    /// The join request for which the incarnation was granted.
    pub nonce: JoinNonce,
}

/// The table of all entry hosts that have joined and have not been removed.
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

    /// Grants an incarnation to a host. A resend of the host's latest request gets the same incarnation again.
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

    /// Removes a host that was taken out of service, and returns true if it was in the table.
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

    /// Returns true if the incarnation is the latest of a host in the table.
    pub fn is_current(&self, incarnation: EntryIncarnation) -> bool {
        self.rows.values().any(|row| row.incarnation == incarnation)
    }
}
