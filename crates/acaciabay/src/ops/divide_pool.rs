//! Divides a pool's capacity between customers, and their parts between the entries that they come through.

use std::collections::BTreeMap;

use crate::core::name::{CustomerName, HostName};
use crate::core::share_table::PoolDemand;

/// What one entry should get.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryPart {
    /// Pieces, headroom included.
    pub pieces: u32,
    /// The weights of the customers that come through this entry. A customer's weight is 1 over all entries, divided
    /// as its demand is: one who comes through every entry must not count once in each.
    pub weights: BTreeMap<CustomerName, f64>,
}

/// Divides `capacity` pieces.
///
/// Customers get max-min fair parts of the whole pool, whichever entries they come through: were entries given parts by
/// their own demand, a customer who floods one entry would take from all customers at the others. What nobody asks for
/// is spread evenly over the entries, so that a burst is admitted without asking the leader first.
pub fn divide_pool(capacity: u32, demands: &BTreeMap<&HostName, &PoolDemand>) -> BTreeMap<HostName, EntryPart> {
    let totals = total_demands(demands);
    let parts = customer_parts(f64::from(capacity), &totals);
    let given: f64 = parts.values().sum();
    let headroom = (f64::from(capacity) - given).max(0.0) / demands.len().max(1) as f64;
    let entries = demands
        .iter()
        .map(|(host, demand)| ((*host).clone(), part_of(demand, &totals, &parts, headroom)));
    entries.collect()
}

/// Adds up what each customer asks for over all entries.
pub fn total_demands<'demand>(
    demands: &BTreeMap<&HostName, &'demand PoolDemand>,
) -> BTreeMap<&'demand CustomerName, u64> {
    let mut totals: BTreeMap<&CustomerName, u64> = BTreeMap::new();
    for (customer, pieces) in demands.values().flat_map(|demand| &demand.customers) {
        *totals.entry(customer).or_default() += pieces;
    }
    totals
}

/// Gives every customer what it asks for, or an equal part of what is left, whichever is less.
pub fn customer_parts<'demand>(
    capacity: f64,
    totals: &BTreeMap<&'demand CustomerName, u64>,
) -> BTreeMap<&'demand CustomerName, f64> {
    let mut by_demand: Vec<(&CustomerName, u64)> =
        totals.iter().map(|(customer, pieces)| (*customer, *pieces)).collect();
    by_demand.sort_by_key(|(_, pieces)| *pieces);
    let mut left = capacity;
    let mut parts = BTreeMap::new();
    for (place, (customer, pieces)) in by_demand.iter().enumerate() {
        let equal = left / (by_demand.len() - place) as f64;
        let part = equal.min(*pieces as f64);
        left -= part;
        parts.insert(*customer, part);
    }
    parts
}

fn part_of(
    demand: &PoolDemand,
    totals: &BTreeMap<&CustomerName, u64>,
    parts: &BTreeMap<&CustomerName, f64>,
    headroom: f64,
) -> EntryPart {
    let weight = |customer: &CustomerName, pieces: u64| {
        let total = totals.get(customer).copied().unwrap_or(1).max(1);
        pieces as f64 / total as f64
    };
    let weights = demand
        .customers
        .iter()
        .map(|(customer, pieces)| (customer.clone(), weight(customer, *pieces)));
    let weights: BTreeMap<CustomerName, f64> = weights.collect();
    let part = |customer: &CustomerName| parts.get(customer).copied().unwrap_or(0.0);
    let own: f64 = weights.iter().map(|(customer, weight)| part(customer) * weight).sum();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "parts lie between 0 and the capacity"
    )]
    let pieces = (own + headroom + 1e-6).floor() as u32;
    EntryPart { pieces, weights }
}
