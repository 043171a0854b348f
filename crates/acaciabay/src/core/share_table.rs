//! What the leader has granted of each pool to each entry, so that all grants together never exceed the pool.
//!
//! A grant that was lowered may still be in use: the answer that lowers it can be late or lost. Each entry therefore
//! repeats the number of its grant, and until it has confirmed the lower one the higher one counts.

use std::collections::BTreeMap;

use crate::core::name::{CustomerName, HostName, PoolName};
use crate::core::token_latency::TokenLatencyReport;

/// What one entry asks for in one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Pieces in use.
    pub used: u64,
    /// The grant that the entry acts under.
    pub share: u32,
    /// That grant's number.
    pub number: u64,
    /// Pieces that each customer uses or waits for.
    pub customers: BTreeMap<CustomerName, u64>,
    /// How fast the pool's engines have answered since the entry last asked.
    pub latency: TokenLatencyReport,
}

#[derive(Clone, Debug, Default)]
struct EntryGrant {
    /// What was granted last.
    granted: u32,
    /// Its number.
    number: u64,
    /// The most that the entry may believe to have.
    max_assumed: u32,
    demand: PoolDemand,
}

/// The grants of all pools.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    pools: BTreeMap<PoolName, BTreeMap<HostName, EntryGrant>>,
    last_number: u64,
}

impl ShareTable {
    /// Takes an entry's demand and what it confirms.
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
            grant.max_assumed = grant.max_assumed.max(demand.share);
        }
        grant.demand = demand;
    }

    /// Forgets entries that may not serve any more.
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

    /// Grants up to `wanted` pieces to an entry, as far as the pool's capacity is not promised to others.
    ///
    /// Returns the pieces and the number of the grant.
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

/// What an entry may have in use at the most.
fn reserved_pieces(grant: &EntryGrant) -> u64 {
    u64::from(grant.max_assumed.max(grant.granted)).max(grant.demand.used)
}
