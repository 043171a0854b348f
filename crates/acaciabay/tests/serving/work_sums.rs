//! The work of all entries at each endpoint, compared with a sum computed anew.

use std::collections::BTreeMap;

use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::work_sums::WorkSums;
use proptest::prelude::*;

type EntryWork = Vec<(EndpointName, EndpointWork)>;

fn work() -> impl Strategy<Value = EntryWork> {
    let rows = proptest::collection::btree_map(0_u8..6, (1_u64..100, 1_u64..5, 0_u64..1_000), 0..5);
    rows.prop_map(|rows| {
        let rows = rows.into_iter().map(|(endpoint, (unread_tokens, calls, held_tokens))| {
            let work = EndpointWork {
                unread_tokens,
                calls,
                held_tokens,
            };
            (EndpointName::new(format!("e-{endpoint}")), work)
        });
        rows.collect()
    })
}

fn naive_sum<'work>(entries: impl Iterator<Item = &'work EntryWork>) -> BTreeMap<EndpointName, EndpointWork> {
    let mut sums: BTreeMap<EndpointName, EndpointWork> = BTreeMap::new();
    for (endpoint, work) in entries.flatten() {
        let sum = sums.entry(endpoint.clone()).or_default();
        *sum = sum.plus(*work);
    }
    sums
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sums_equal_a_sum_over_all_entries(reports in proptest::collection::vec((0_usize..4, work()), 1..20)) {
        let mut sums = WorkSums::default();
        let mut entries: Vec<EntryWork> = vec![Vec::new(); 4];

        for (entry, work) in reports {
            sums.replace(&entries[entry], &work);
            entries[entry] = work;
            let others = entries.iter().enumerate().filter(|(other, _)| *other != entry);
            prop_assert_eq!(sums.all(), &naive_sum(entries.iter()));
            prop_assert_eq!(sums.without(&entries[entry]), naive_sum(others.map(|(_, work)| work)));
        }
    }
}
