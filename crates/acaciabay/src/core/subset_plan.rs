//! Which entries hear of which endpoint.
//!
//! At today's size every entry hears of every endpoint. At the target's, 350 entries cannot all be told the load of
//! 4,100 endpoints within 4 KB/s, so each endpoint is heard of by a fixed number of entries, picked by rendezvous
//! hashing. Picking from the endpoint's side leaves no endpoint unheard, whose capacity would be paid for in vain; and
//! when an entry leaves, only the endpoints that it heard of get another one. `docs/CAPACITY.md` has the sums.

use std::collections::HashMap;

use crate::core::member::EntryTable;
use crate::core::name::{EndpointName, HostName};
use crate::util::rendezvous;

/// How many entries hear of an endpoint. Two picks among a dozen entries spread a burst, and twelve exceeds the number
/// of entry hosts of today, so that nothing changes at that size.
pub const ENTRIES_PER_ENDPOINT: usize = 12;

/// The entries that hear of each endpoint, worked out when first asked for.
#[derive(Clone, Debug, Default)]
pub struct SubsetPlan {
    entries: Vec<(HostName, u64)>,
    subscribers: HashMap<EndpointName, Vec<HostName>>,
}

impl SubsetPlan {
    /// Takes over the entries that serve, and tells whether they have changed.
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

    /// Tells whether every entry hears of every endpoint.
    pub const fn is_full_mesh(&self) -> bool {
        self.entries.len() <= ENTRIES_PER_ENDPOINT
    }

    /// Returns the entries that hear of an endpoint.
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
