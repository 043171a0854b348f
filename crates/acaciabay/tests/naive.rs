//! Deciding code beside versions that are slow and obviously right, over inputs drawn from a fixed seed.

use std::collections::{BTreeMap, BTreeSet};

use acaciabay::core::claim::{ClaimHolder, ClaimKey, ClaimOutcome, ClaimTable, StoredAnswer};
use acaciabay::core::clock::{BootTime, WallTime};
use acaciabay::core::endpoint::{
    EndpointIncarnation, EndpointRow, EndpointState, EndpointTable, EndpointWork, REPORT_TIMEOUT,
};
use acaciabay::core::fair_queue::{FairQueue, RequestCost, TicketNumber};
use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::name::{CustomerName, EndpointName, HostName, PoolName};
use acaciabay::core::order::{OrderTable, OrderTarget};
use acaciabay::core::share_table::{PoolDemand, ShareTable};
use acaciabay::core::table::{EndpointPattern, PoolKind, PoolRow, PoolTable, RouteTarget, TableEdit, TableNumber};
use acaciabay::core::usage::{UsageFigures, UsageReport, UsageTable};
use acaciabay::ops::divide_pool::{customer_parts, divide_pool, total_demands};
use acaciabay::ops::place_request::{OwnLoad, OwnSends, PlacementRequest, place_request};
use acaciabay::util::digest::ContentDigest;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn check<S: Strategy>(cases: u32, strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    if let Err(error) = TestRunner::new_with_rng(config, random).run(strategy, test) {
        panic!("{error}");
    }
}

fn customer(number: usize) -> CustomerName {
    CustomerName::new(format!("customer-{number}"))
}

fn pool_row(name: usize, endpoints: usize) -> PoolRow {
    let pattern = EndpointPattern(format!("e{endpoints}*"));
    PoolRow {
        name: PoolName::new(format!("pool-{name}")),
        kind: PoolKind::Engine,
        endpoints: vec![pattern],
    }
}

/// The naive table: every accepted content under its number, from the first on.
#[test]
fn tables_accept_what_one_number_for_each_content_accepts() {
    let writes = prop::collection::vec((0..4_u64, prop::collection::btree_set(0..4_usize, 0..4)), 1..30);
    check(500, &writes, |writes| {
        let (mut table, mut naive) = (PoolTable::default(), vec![BTreeSet::new()]);
        for (back, names) in writes {
            let current = naive.len() as u64 - 1;
            let expected = current.saturating_sub(back);
            let wanted: Vec<PoolRow> = names.iter().map(|name| pool_row(*name, 0)).collect();
            let digest = ContentDigest::of(format!("{names:?}"));
            let edit = table.edit_towards(TableNumber(expected), digest, wanted);

            let accepted = table
                .apply(&edit)
                .map(|number| number.0)
                .map_err(|conflict| conflict.current.0);

            let resent = naive.get(usize::try_from(expected + 1).unwrap_or(0)) == Some(&names);
            let right = if resent {
                Ok(expected + 1)
            } else if expected == current {
                naive.push(names);
                Ok(current + 1)
            } else {
                Err(current)
            };
            prop_assert_eq!(accepted, right);
            let held: BTreeSet<String> = table.rows().map(|row| row.name.to_string()).collect();
            let listed: BTreeSet<String> = naive
                .last()
                .into_iter()
                .flatten()
                .map(|name| format!("pool-{name}"))
                .collect();
            prop_assert_eq!(held, listed);
        }
        Ok(())
    });
}

/// A follower that gets each accepted difference, in order, holds the same rows.
#[test]
fn followers_of_a_table_hold_the_same_rows() {
    let writes = prop::collection::vec(prop::collection::btree_map(0..6_usize, 0..3_usize, 0..5), 1..20);
    check(300, &writes, |writes| {
        let (mut table, mut follower) = (PoolTable::default(), PoolTable::default());
        for (number, rows) in (0..).zip(writes) {
            let wanted: Vec<PoolRow> = rows
                .iter()
                .map(|(name, endpoints)| pool_row(*name, *endpoints))
                .collect();
            let edit: TableEdit<PoolRow> =
                table.edit_towards(TableNumber(number), ContentDigest::of(number.to_be_bytes()), wanted);
            let number = table.apply(&edit).expect("the edit names the present number");
            follower.follow(number, &edit.upserts, &edit.removals);
            prop_assert!(table.rows().eq(follower.rows()));
        }
        Ok(())
    });
}

/// The naive claims: one map from a key to the one attempt that may run it.
#[test]
fn claims_let_one_attempt_run_as_one_map_does() {
    #[derive(Clone, Debug)]
    enum Step {
        Take { key: usize, holder: u64, content: u8 },
        Finish { key: usize, holder: u64 },
        Lose { key: usize, holder: u64 },
        Release { key: usize, holder: u64 },
    }
    let (key, holder) = (0..3_usize, 0..4_u64);
    let step = prop_oneof![
        4 => (key.clone(), holder.clone(), 0..2_u8).prop_map(|(key, holder, content)| Step::Take { key, holder, content }),
        1 => (key.clone(), holder.clone()).prop_map(|(key, holder)| Step::Finish { key, holder }),
        1 => (key.clone(), holder.clone()).prop_map(|(key, holder)| Step::Lose { key, holder }),
        1 => (key, holder).prop_map(|(key, holder)| Step::Release { key, holder }),
    ];
    let answer = StoredAnswer {
        status: 200,
        content_type: String::new(),
        body: None,
    };
    check(1_000, &prop::collection::vec(step, 1..40), |steps| {
        let mut table = ClaimTable::default();
        let mut naive: BTreeMap<usize, (u64, u8, ClaimOutcome)> = BTreeMap::new();
        let claim_key = |key: usize| ClaimKey {
            customer: customer(0),
            key: format!("key-{key}").as_str().into(),
        };
        let holder_of = |holder: u64| ClaimHolder {
            incarnation: EntryIncarnation(holder),
            attempt: holder,
        };
        for step in steps {
            match step {
                Step::Take { key, holder, content } => {
                    let digest = ContentDigest::of([content]);
                    let outcome = table.take(WallTime::from_secs(1), &claim_key(key), holder_of(holder), digest);
                    let right = match naive.get(&key) {
                        None => {
                            naive.insert(key, (holder, content, ClaimOutcome::Running));
                            ClaimOutcome::Granted
                        }
                        Some((_, other, _)) if *other != content => ClaimOutcome::Mismatch,
                        Some((own, _, ClaimOutcome::Running)) if *own == holder => ClaimOutcome::Granted,
                        Some((_, _, state)) => state.clone(),
                    };
                    prop_assert_eq!(outcome, right);
                }
                Step::Finish { key, holder } => {
                    table.finish(&claim_key(key), holder_of(holder), answer.clone());
                    end(&mut naive, key, holder, Some(ClaimOutcome::Answered(answer.clone())));
                }
                Step::Lose { key, holder } => {
                    table.lose(&claim_key(key), holder_of(holder));
                    end(&mut naive, key, holder, Some(ClaimOutcome::Unknown));
                }
                Step::Release { key, holder } => {
                    table.release(&claim_key(key), holder_of(holder));
                    end(&mut naive, key, holder, None);
                }
            }
        }
        Ok(())
    });
}

fn end(naive: &mut BTreeMap<usize, (u64, u8, ClaimOutcome)>, key: usize, holder: u64, outcome: Option<ClaimOutcome>) {
    let Some(row) = naive
        .get_mut(&key)
        .filter(|row| row.0 == holder && row.2 == ClaimOutcome::Running)
    else {
        return;
    };
    match outcome {
        Some(outcome) => row.2 = outcome,
        None => {
            naive.remove(&key);
        }
    }
}

/// The naive usage: a sum over the reports with different numbers. Windows and what is open together are that sum.
#[test]
fn usage_is_the_sum_of_reports_with_different_numbers() {
    let step = (0..3_u64, 0..3_u64, 0..3_usize, 1..100_u64, any::<bool>());
    check(500, &prop::collection::vec(step, 1..60), |steps| {
        let mut table = UsageTable::default();
        let mut next = BTreeMap::new();
        let (mut sum, mut billed) = (0, 0);
        for (entry, repeat, who, tokens, seal) in steps {
            // An entry sends its reports in order, each of them once or more.
            let sequence = next.entry(entry).or_insert(0_u64);
            *sequence += u64::from(repeat > 0);
            let figures = UsageFigures {
                prompt_tokens: 0,
                output_tokens: tokens,
                calls: 0,
            };
            let rows = vec![(customer(who), figures)];
            let report = UsageReport {
                incarnation: EntryIncarnation(entry),
                sequence: *sequence,
                rows,
            };
            if *sequence > 0 && table.count(&report) {
                sum += tokens;
            }
            if seal {
                table.seal(table.last_window() + 1);
            }
            while let Some(window) = table.pending().first().cloned() {
                billed += window
                    .rows
                    .iter()
                    .map(|(_, figures)| figures.output_tokens)
                    .sum::<u64>();
                table.acknowledge(window.window);
            }
        }
        table.seal(table.last_window() + 1);
        billed += table
            .pending()
            .iter()
            .flat_map(|window| &window.rows)
            .map(|(_, row)| row.output_tokens)
            .sum::<u64>();
        prop_assert_eq!(billed, sum);
        Ok(())
    });
}

/// The naive fair queue: all waiting requests sorted by their start tags, worked out anew from the whole history.
#[test]
fn fair_queue_serves_in_the_order_of_a_sort() {
    let request = (0..4_usize, 1..50_u64, 0..3_u8);
    check(500, &prop::collection::vec(request, 1..60), |requests| {
        let mut queue = FairQueue::default();
        let mut naive: Vec<(f64, u64)> = Vec::new();
        let mut finish: BTreeMap<usize, f64> = BTreeMap::new();
        let (mut virtual_time, mut number) = (0.0_f64, 0);
        for (who, tokens, pops) in requests {
            number += 1;
            let start = finish.get(&who).copied().unwrap_or(0.0).max(virtual_time);
            finish.insert(who, start + tokens as f64);
            naive.push((start, number));
            queue.push(&customer(who), RequestCost { pieces: 1, tokens });
            for _ in 0..pops {
                naive.sort_by(|first, second| first.0.total_cmp(&second.0).then(first.1.cmp(&second.1)));
                let right = (!naive.is_empty()).then(|| naive.remove(0));
                virtual_time = right.map_or(virtual_time, |(start, _)| virtual_time.max(start));
                prop_assert_eq!(queue.pop(), right.map(|(_, number)| TicketNumber(number)));
            }
        }
        Ok(())
    });
}

/// A small customer sends one request while a large one has a thousand waiting; it must be next but one at the latest.
#[test]
fn single_request_does_not_wait_behind_another_customers_backlog() {
    let mut queue = FairQueue::default();
    for _ in 0..1_000 {
        queue.push(
            &customer(0),
            RequestCost {
                pieces: 1,
                tokens: 1_000,
            },
        );
    }
    for _ in 0..10 {
        queue.pop();
    }

    let small = queue.push(
        &customer(1),
        RequestCost {
            pieces: 1,
            tokens: 1_000,
        },
    );
    let next = [queue.pop(), queue.pop()];

    assert!(next.contains(&Some(small)), "{next:?}");
}

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

/// The naive division: pieces are handed out one hundredth at a time to whichever customer has least and wants more.
#[test]
fn pool_is_divided_as_if_piece_by_piece_to_the_neediest() {
    check(200, &demands_strategy(), |(capacity, entries)| {
        let demands: Vec<PoolDemand> = entries.iter().map(|rows| demand_of(rows)).collect();
        let hosts: Vec<HostName> = (0..demands.len())
            .map(|number| HostName::new(format!("h{number}")))
            .collect();
        let demands: BTreeMap<&HostName, &PoolDemand> = hosts.iter().zip(&demands).collect();
        let (parts, totals) = (divide_pool(capacity, &demands), total_demands(&demands));
        let given = customer_parts(f64::from(capacity), &totals);
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

/// Grants and confirmations come late, out of step, or not at all. What all entries together believe to have must never
/// exceed the pool, or two busy entries would overfill an engine.
#[test]
fn grants_together_never_exceed_the_pool() {
    let step = (0..4_usize, 0..120_u32, 0..3_u8);
    check(1_000, &prop::collection::vec(step, 1..80), |steps| {
        const CAPACITY: u32 = 100;
        let pool = PoolName::new("p");
        let hosts: Vec<HostName> = (0..4).map(|number| HostName::new(format!("h{number}"))).collect();
        let mut table = ShareTable::default();
        // What each entry acts under, and the answer on its way to it.
        let mut acting = vec![(0_u32, 0_u64); 4];
        for (entry, wanted, fate) in steps {
            let (share, number) = acting[entry];
            let demand = PoolDemand {
                used: u64::from(share),
                share,
                number,
                ..PoolDemand::default()
            };
            table.report(&pool, &hosts[entry], demand);
            let granted = table.grant(&pool, &hosts[entry], wanted, CAPACITY);
            // One answer in three is lost.
            if fate > 0 {
                acting[entry] = granted;
            }
            let together: u32 = acting.iter().map(|(share, _)| share).sum();
            prop_assert!(together <= CAPACITY, "{:?}", acting);
        }
        Ok(())
    });
}

fn endpoint(used: u32, heard_at: BootTime, state: EndpointState) -> EndpointRow {
    EndpointRow {
        incarnation: EndpointIncarnation(1),
        sequence: 1,
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "d".into(),
        work: EndpointWork::Models(vec!["m".into()]),
        state,
        running: 0,
        slots: 100,
        pieces_used: used,
        pieces: 10,
        heard_at,
    }
}

/// The naive placement scans everything with perfect knowledge: whoever is picked takes work, is not tried yet, and has
/// room if anyone has; without a prefix, the pick is never the fullest of several.
#[test]
fn placement_picks_only_what_a_full_scan_allows() {
    let row = (0..12_u32, 0..4_u64, any::<bool>(), 0..6_u32);
    let all = (
        prop::collection::vec(row, 0..8),
        prop::collection::btree_set(0..8_usize, 0..3),
        any::<u64>(),
        any::<bool>(),
    );
    check(2_000, &all, |(rows, tried, seed, with_prefix)| {
        let now = BootTime::from_millis(100_000);
        let name = |number: usize| EndpointName::new(format!("e{number}"));
        let (mut table, mut sends) = (EndpointTable::default(), OwnSends::new());
        for (number, (used, age, drains, own)) in rows.iter().enumerate() {
            let heard_at = BootTime::from_millis(100_000 - age * 1_000);
            let state = if *drains {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            };
            table.report(&name(number), endpoint(*used, heard_at, state));
            sends.insert(
                name(number),
                OwnLoad {
                    requests: *own,
                    pieces: *own,
                    reported: 0,
                },
            );
        }
        let tried: Vec<EndpointName> = tried.into_iter().map(name).collect();
        let pool = pool_row(0, 0);
        let pool = PoolRow {
            endpoints: vec![EndpointPattern("e*".to_owned())],
            ..pool
        };
        let target = RouteTarget::Model("m".into());
        let prefix: &[u8] = if with_prefix { b"prefix" } else { b"" };
        let request = PlacementRequest {
            pool: &pool,
            target: &target,
            prefix,
            pieces: 1,
            tried: &tried,
        };

        let picked = place_request(now, &mut StdRng::seed_from_u64(seed), &table, &sends, request);

        let load = |number: usize| rows[number].0 + rows[number].3;
        let takes_work = |number: &usize| {
            let (_, age, drains, _) = rows[*number];
            !drains && u128::from(age) * 1_000 < REPORT_TIMEOUT.as_millis() && !tried.contains(&name(*number))
        };
        let allowed: Vec<usize> = (0..rows.len()).filter(takes_work).collect();
        let roomy: Vec<usize> = allowed.iter().copied().filter(|number| load(*number) < 10).collect();
        let allowed = if roomy.is_empty() { allowed } else { roomy };
        let Some((picked, _)) = picked else {
            prop_assert!(allowed.is_empty(), "nothing was picked although {:?} may be", allowed);
            return Ok(());
        };
        prop_assert!(
            allowed.iter().any(|number| name(*number) == *picked),
            "{} is not among {:?}",
            picked,
            allowed
        );
        Ok(())
    });
}

/// The naive orders: at most one unsettled target for each endpoint, numbers rising.
#[test]
fn orders_hold_one_unsettled_target_for_each_endpoint() {
    let step = (0..3_usize, any::<bool>(), 0..2_u64, any::<bool>());
    check(500, &prop::collection::vec(step, 1..50), |steps| {
        let mut table = OrderTable::default();
        let mut naive: BTreeMap<usize, (u64, bool, u64)> = BTreeMap::new();
        let mut last = 0;
        for (number, drains, incarnation, settles) in steps {
            let name = EndpointName::new(format!("e{number}"));
            let target = if drains { OrderTarget::Drain } else { OrderTarget::Serve };
            let taken = table
                .intend(&name, EndpointIncarnation(incarnation), &target)
                .map(|order| order.0)
                .ok();
            let right = match naive.get(&number) {
                Some((order, other, own)) if (*other, *own) == (drains, incarnation) => Some(*order),
                Some(_) => None,
                None => {
                    last += 1;
                    naive.insert(number, (last, drains, incarnation));
                    Some(last)
                }
            };
            prop_assert_eq!(taken, right);
            if let Some((order, ..)) = naive.get(&number).copied().filter(|_| settles) {
                table.settle(&name, acaciabay::core::order::OrderNumber(order));
                naive.remove(&number);
            }
        }
        Ok(())
    });
}
