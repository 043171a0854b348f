//! Compares the order table with a map that holds one unsettled order per endpoint.

use acaciabay::core::endpoint::EndpointIncarnation;
use acaciabay::core::name::EndpointName;
use acaciabay::core::order::{OrderTable, OrderTarget};
use proptest::prelude::*;
use std::collections::BTreeMap;

use crate::check;

/// The reference implementation holds at most one unsettled order for each endpoint and assigns increasing numbers.
#[test]
fn at_most_one_order_per_endpoint_is_unsettled() {
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
            let expected = match naive.get(&number) {
                Some((order, other, own)) if (*other, *own) == (drains, incarnation) => Some(*order),
                Some(_) => None,
                None => {
                    last += 1;
                    naive.insert(number, (last, drains, incarnation));
                    Some(last)
                }
            };
            prop_assert_eq!(taken, expected);
            if let Some((order, ..)) = naive.get(&number).copied().filter(|_| settles) {
                table.settle(&name, acaciabay::core::order::OrderNumber(order));
                naive.remove(&number);
            }
        }
        Ok(())
    });
}
