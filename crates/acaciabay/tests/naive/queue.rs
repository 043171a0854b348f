//! Compares the fair queue with a sorted list.

use acaciabay::core::fair_queue::{FairQueue, RequestCost, TicketNumber};
use proptest::prelude::*;
use std::collections::BTreeMap;

use crate::{check, customer};

/// The reference implementation keeps all waiting requests in one list, which it sorts by start tag before each pop.
#[test]
fn fair_queue_serves_in_order_of_start_tags() {
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
                let expected = (!naive.is_empty()).then(|| naive.remove(0));
                virtual_time = expected.map_or(virtual_time, |(start, _)| virtual_time.max(start));
                prop_assert_eq!(queue.pop(), expected.map(|(_, number)| TicketNumber(number)));
            }
        }
        Ok(())
    });
}

/// Guards against starvation: a customer sends a single request while another one has about a thousand requests
/// waiting. The single request must be served first or second.
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
