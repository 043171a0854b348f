//! Subsetting: the selection of the entries that receive the reports of each endpoint.
//!
//! At the current size, every entry receives the reports of every endpoint. At the target size, the load of 4,100
//! endpoints cannot be sent to each of 350 entries within 4 KB/s. Each endpoint is therefore assigned a fixed number of
//! subscribing entries by rendezvous hashing. Selecting entries for each endpoint, and not endpoints for each entry,
//! ensures that no endpoint is left without an entry and its paid capacity unused. When an entry leaves, only the
//! endpoints that it subscribed to get another one. `docs/CAPACITY.md` contains the calculation.

use std::collections::HashMap;

use crate::core::member::EntryTable;
use crate::core::name::{EndpointName, HostName};
use crate::util::rendezvous;

/// Number of entries that subscribe to each endpoint.
///
/// With a dozen entries, placement by two random choices spreads a burst. Twelve is more than the current number
/// of entry hosts, so subsetting has no effect at the current size.
pub const ENTRIES_PER_ENDPOINT: usize = 12;

/// The subscribers of each endpoint, computed on first use.
#[derive(Clone, Debug, Default)]
pub struct SubsetPlan {
    entries: Vec<(HostName, u64)>,
    subscribers: HashMap<EndpointName, Vec<HostName>>,
}

impl SubsetPlan {
    /// Sets the entries that serve, and returns true if they have changed.
    pub fn set_entries(&mut self, entries: &EntryTable) -> bool {
        let hosts = || entries.rows().map(|(host, _)| host);
        if hosts().eq(self.entries.iter().map(|(host, _)| host)) {
            return false;
        }
        self.subscribers.clear();
        self.entries = hosts()
            .map(|host| (host.clone(), rendezvous::hash(host.as_str().as_bytes())))
            .collect();
        true
    }

    /// Returns true if every entry subscribes to every endpoint.
    pub const fn is_full_mesh(&self) -> bool {
        self.entries.len() <= ENTRIES_PER_ENDPOINT
    }

    /// Returns the entries that subscribe to an endpoint.
    pub fn subscribers(&mut self, endpoint: &EndpointName) -> &[HostName] {
        let entries = &self.entries;
        self.subscribers
            .entry(endpoint.clone())
            .or_insert_with(|| pick_subscribers(entries, endpoint))
    }
}

fn pick_subscribers(entries: &[(HostName, u64)], endpoint: &EndpointName) -> Vec<HostName> {
    let endpoint_hash = rendezvous::hash(endpoint.as_str().as_bytes());
    let mut scored: Vec<(u64, &HostName)> = entries
        .iter()
        .map(|(host, entry_hash)| (rendezvous::combine_hashes(*entry_hash, endpoint_hash), host))
        .collect();
    if scored.len() > ENTRIES_PER_ENDPOINT {
        scored.select_nth_unstable_by(ENTRIES_PER_ENDPOINT - 1, |first, second| second.cmp(first));
        scored.truncate(ENTRIES_PER_ENDPOINT);
    }
    scored.into_iter().map(|(_, host)| host.clone()).collect()
}
