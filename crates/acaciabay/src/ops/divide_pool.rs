//! Division of a pool's capacity among customers, and of their shares among the entries that receive their requests.

use std::collections::BTreeMap;

use crate::core::name::{CustomerName, HostName};
use crate::core::share_table::PoolDemand;

/// The capacity of a pool that one entry should get.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryAllocation {
    /// Number of pieces, including headroom.
    pub pieces: u32,
    /// Weights of the customers whose requests this entry receives. The weights of one customer add up to 1 over all
    /// entries, in proportion to its demand at each. A customer that uses every entry thus does not count once in each.
    pub weights: BTreeMap<CustomerName, f64>,
}

/// Divides `capacity` pieces among the entries.
///
/// Customers get max-min fair shares of the whole pool, regardless of the entries that they use. If entries got shares
/// by their own demand instead, a customer that floods one entry would take capacity from all customers at the others.
/// Capacity without demand is spread evenly over the entries as headroom, so that a burst is admitted without asking
/// the leader first.
pub fn divide_pool(capacity: u32, demands: &BTreeMap<&HostName, &PoolDemand>) -> BTreeMap<HostName, EntryAllocation> {
    let totals = total_demands(demands);
    let shares = max_min_shares(f64::from(capacity), &totals);
    let allocated: f64 = shares.values().sum();
    let headroom = (f64::from(capacity) - allocated).max(0.0) / demands.len().max(1) as f64;
    let entries = demands
        .iter()
        .map(|(host, demand)| ((*host).clone(), entry_allocation(demand, &totals, &shares, headroom)));
    entries.collect()
}

/// Returns the demand of each customer, summed over all entries.
pub fn total_demands<'demand>(
    demands: &BTreeMap<&HostName, &'demand PoolDemand>,
) -> BTreeMap<&'demand CustomerName, u64> {
    let mut totals: BTreeMap<&CustomerName, u64> = BTreeMap::new();
    for (customer, pieces) in demands.values().flat_map(|demand| &demand.customers) {
        *totals.entry(customer).or_default() += pieces;
    }
    totals
}

/// Returns the max-min fair share of each customer.
///
/// In ascending order of demand, each customer gets its demand or an equal share of the remaining capacity, whichever
/// is less.
pub fn max_min_shares<'demand>(
    capacity: f64,
    totals: &BTreeMap<&'demand CustomerName, u64>,
) -> BTreeMap<&'demand CustomerName, f64> {
    let mut by_demand: Vec<(&CustomerName, u64)> =
        totals.iter().map(|(customer, pieces)| (*customer, *pieces)).collect();
    by_demand.sort_by_key(|(_, pieces)| *pieces);
    let mut remaining = capacity;
    let mut shares = BTreeMap::new();
    for (index, (customer, pieces)) in by_demand.iter().enumerate() {
        let equal_share = remaining / (by_demand.len() - index) as f64;
        let share = equal_share.min(*pieces as f64);
        remaining -= share;
        shares.insert(*customer, share);
    }
    shares
}

/// Returns the allocation of one entry: from the share of each customer the fraction that matches its demand here, and
/// the headroom.
fn entry_allocation(
    demand: &PoolDemand,
    totals: &BTreeMap<&CustomerName, u64>,
    shares: &BTreeMap<&CustomerName, f64>,
    headroom: f64,
) -> EntryAllocation {
    let weight = |customer: &CustomerName, pieces: u64| {
        let total = totals.get(customer).copied().unwrap_or(1).max(1);
        pieces as f64 / total as f64
    };
    let weights = demand
        .customers
        .iter()
        .map(|(customer, pieces)| (customer.clone(), weight(customer, *pieces)));
    let weights: BTreeMap<CustomerName, f64> = weights.collect();
    let share = |customer: &CustomerName| shares.get(customer).copied().unwrap_or(0.0);
    let customer_pieces: f64 = weights.iter().map(|(customer, weight)| share(customer) * weight).sum();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "shares lie between 0 and the capacity"
    )]
    let pieces = (customer_pieces + headroom + 1e-6).floor() as u32;
    EntryAllocation { pieces, weights }
}
