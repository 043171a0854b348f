//! The entries whose connections an entry relays, by endpoint.
//!
//! To an endpoint, their requests come from the relay's host. What the endpoint asks of that host concerns all of them, and
//! connections that are open already would carry their next requests all the same. `docs/design/endpoint-rest.md` describes
//! who is told.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An entry as a relay knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CarriedEntry {
    /// Its host.
    pub host: String,
    /// Where it hears what endpoints have asked of the relay.
    pub notice_address: SocketAddr,
}

/// The entries that have connections over this one, with the number of their connections to each endpoint.
#[derive(Clone, Debug, Default)]
pub struct CarriedTable {
    rows: BTreeMap<SocketAddr, BTreeMap<CarriedEntry, usize>>,
}

impl CarriedTable {
    /// Records a connection of an entry to an endpoint.
    pub fn begin(&mut self, endpoint: SocketAddr, entry: CarriedEntry) {
        *self.rows.entry(endpoint).or_default().entry(entry).or_default() += 1;
    }

    /// Records the end of a connection that [`begin`](Self::begin) has recorded.
    pub fn end(&mut self, endpoint: SocketAddr, entry: &CarriedEntry) {
        let Some(entries) = self.rows.get_mut(&endpoint) else {
            return;
        };
        if let Some(count) = entries.get_mut(entry) {
            *count = count.saturating_sub(1);
        }
        entries.retain(|_, count| *count > 0);
        if entries.is_empty() {
            self.rows.remove(&endpoint);
        }
    }

    /// Returns the entries with connections to an endpoint, each once.
    pub fn entries_of(&self, endpoint: SocketAddr) -> impl Iterator<Item = &CarriedEntry> {
        self.rows.get(&endpoint).into_iter().flat_map(BTreeMap::keys)
    }
}
