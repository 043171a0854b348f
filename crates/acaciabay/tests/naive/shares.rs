//! Compares the division of a pool with handing out its capacity in small steps.

use acaciabay::core::name::{CustomerName, HostName, PoolName};
use acaciabay::core::share_table::{PoolDemand, ShareTable};
use acaciabay::ops::divide_pool::{divide_pool, max_min_shares, total_demands};
use proptest::prelude::*;
use std::collections::BTreeMap;

use crate::{check, customer};

fn demands_strategy() -> impl Strategy<Value = (u32, Vec<Vec<(usize, u64)>>)> {
    let entry = prop::collection::vec((0..5_usize, 1..200_u64), 0..4);
    (0..400_u32, prop::collection::vec(entry, 1..6))
}

fn demand_of(rows: &[(usize, u64)]) -> PoolDemand {
    PoolDemand {
        customers: rows.iter().map(|(who, pieces)| (customer(*who), *pieces)).collect(),
        ..PoolDemand::default()
    }
}

/// The reference implementation hands out hundredths of a piece, each one to the customer that has the least and wants
/// more.
#[test]
fn pool_division_matches_handing_out_small_steps() {
    check(200, &demands_strategy(), |(capacity, entries)| {
        let demands: Vec<PoolDemand> = entries.iter().map(|rows| demand_of(rows)).collect();
        let hosts: Vec<HostName> = (0..demands.len())
            .map(|number| HostName::new(format!("h{number}")))
            .collect();
        let demands: BTreeMap<&HostName, &PoolDemand> = hosts.iter().zip(&demands).collect();
        let (parts, totals) = (divide_pool(capacity, &demands), total_demands(&demands));
        let given = max_min_shares(f64::from(capacity), &totals);
        let mut wants: BTreeMap<CustomerName, u64> = BTreeMap::new();
        for (who, pieces) in demands.values().flat_map(|demand| &demand.customers) {
            *wants.entry(who.clone()).or_default() += pieces;
        }
        let mut naive: BTreeMap<CustomerName, u64> = wants.keys().map(|who| (who.clone(), 0)).collect();
        for _ in 0..u64::from(capacity) * 100 {
            let needy = naive
                .iter_mut()
                .filter(|(who, has)| **has < wants[*who] * 100)
                .min_by_key(|(_, has)| **has);
            let Some((_, has)) = needy else { break };
            *has += 1;
        }
        for (who, hundredths) in naive {
            let given = given[&who];
            prop_assert!(
                (given - hundredths as f64 / 100.0).abs() < 0.05,
                "{} got {} of {}",
                who,
                given,
                hundredths
            );
            let weight: f64 = parts.values().filter_map(|part| part.weights.get(&who)).sum();
            prop_assert!((weight - 1.0).abs() < 1e-9, "{} has weight {}", who, weight);
        }
        let total: u64 = parts.values().map(|part| u64::from(part.pieces)).sum();
        prop_assert!(total <= u64::from(capacity));
        Ok(())
    });
}

/// Guards against grants that exceed the pool when answers are lost and entries keep using an old grant. The sum of the
/// shares that all entries use must never exceed the capacity, or busy entries would together overload an engine.
#[test]
fn sum_of_grants_never_exceeds_the_pool() {
    let step = (0..4_usize, 0..120_u32, 0..3_u8);
    check(1_000, &prop::collection::vec(step, 1..80), |steps| {
        const CAPACITY: u32 = 100;
        let pool = PoolName::new("p");
        let hosts: Vec<HostName> = (0..4).map(|number| HostName::new(format!("h{number}"))).collect();
        let mut table = ShareTable::default();
        // The share that each entry uses, and the number of its grant.
        let mut current = vec![(0_u32, 0_u64); 4];
        for (entry, wanted, delivery) in steps {
            let (share, number) = current[entry];
            let demand = PoolDemand {
                used: u64::from(share),
                share,
                number,
                ..PoolDemand::default()
            };
            table.report(&pool, &hosts[entry], demand);
            let granted = table.grant(&pool, &hosts[entry], wanted, CAPACITY);
            // One third of the answers are lost.
            if delivery > 0 {
                current[entry] = granted;
            }
            let total: u32 = current.iter().map(|(share, _)| share).sum();
            prop_assert!(total <= CAPACITY, "{:?}", current);
        }
        Ok(())
    });
}
