//! The share of each pool that the leader has granted to each entry, recorded so that no new grant uses capacity that
//! other entries may still be using. Grants made before the capacity of a pool fell may exceed it until they are
//! lowered.
//!
//! An entry may still use its old grant after the leader has lowered it, because the reply with the lower grant can be
//! delayed or lost. Each entry therefore sends back the number of its current grant. Until it has confirmed the lower
//! grant in this way, the higher one is counted.

use std::collections::BTreeMap;

use crate::core::name::{CustomerName, HostName, PoolName};
use crate::core::token_latency::TokenLatencyReport;

/// The demand of one entry for one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// The number of pieces in use.
    pub used: u64,
    /// The number of pieces in the grant that the entry currently uses.
    pub share: u32,
    /// The number of that grant.
    pub number: u64,
    /// The number of pieces that each customer uses or waits for.
    pub customers: BTreeMap<CustomerName, u64>,
    /// The latencies of the pool's engines since the entry's previous demand.
    pub latency: TokenLatencyReport,
}

#[derive(Clone, Debug, Default)]
struct EntryGrant {
    /// The number of pieces that were granted last.
    granted: u32,
    /// The number of the last grant.
    number: u64,
    /// The largest grant that the entry may still be using, in pieces: it has confirmed no lower grant since.
    max_assumed: u32,
    demand: PoolDemand,
}

/// The grants of all pools to all entries.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    pools: BTreeMap<PoolName, BTreeMap<HostName, EntryGrant>>,
    last_number: u64,
}

impl ShareTable {
    /// Stores an entry's demand.
    ///
    /// If the demand has the number of the last grant, the entry has confirmed this grant, and larger earlier ones no
    /// longer count.
    pub fn report(&mut self, pool: &PoolName, host: &HostName, demand: PoolDemand) {
        let grant = self
            .pools
            .entry(pool.clone())
            .or_default()
            .entry(host.clone())
            .or_default();
        if demand.number == grant.number && grant.number > 0 {
            grant.max_assumed = grant.granted;
        } else {
            // The entry uses an earlier grant, possibly one of another leader that is not in this table.
            grant.max_assumed = grant.max_assumed.max(demand.share);
        }
        grant.demand = demand;
    }

    /// Removes the grants of all hosts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&HostName) -> bool) {
        for grants in self.pools.values_mut() {
            grants.retain(|host, _| keep(host));
        }
    }

    /// Returns the demands of all entries for a pool.
    pub fn demands(&self, pool: &PoolName) -> BTreeMap<&HostName, &PoolDemand> {
        let grants = self.pools.get(pool).into_iter().flatten();
        grants.map(|(host, grant)| (host, &grant.demand)).collect()
    }

    /// Grants up to `wanted` pieces to an entry, limited to the capacity that is not reserved for other entries.
    ///
    /// Returns the number of granted pieces and the number of the grant.
    pub fn grant(&mut self, pool: &PoolName, host: &HostName, wanted: u32, capacity: u32) -> (u32, u64) {
        let grants = self.pools.entry(pool.clone()).or_default();
        let reserved: u64 = grants
            .iter()
            .filter(|(other, _)| *other != host)
            .map(|(_, grant)| reserved_pieces(grant))
            .sum();
        let free = u64::from(capacity).saturating_sub(reserved);
        let pieces = u64::from(wanted).min(free);
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        let grant = grants.entry(host.clone()).or_default();
        if grant.granted != pieces || grant.number == 0 {
            self.last_number += 1;
            grant.number = self.last_number;
            grant.granted = pieces;
        }
        grant.max_assumed = grant.max_assumed.max(pieces);
        (pieces, grant.number)
    }
}

/// Returns the maximum number of pieces that an entry may have in use.
fn reserved_pieces(grant: &EntryGrant) -> u64 {
    u64::from(grant.max_assumed.max(grant.granted)).max(grant.demand.used)
}
