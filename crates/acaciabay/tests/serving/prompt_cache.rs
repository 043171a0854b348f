//! Tests of the estimate of an endpoint's prompt cache.

use acaciabay::core::serving::prompt::PartId;
use acaciabay::core::serving::prompt_cache::PromptCacheEstimate;
use proptest::prelude::*;

use crate::fixtures::{fixed_cases, part, prompt};

#[test]
fn only_the_leading_cached_parts_count() {
    let mut cache = PromptCacheEstimate::default();
    cache.record_prefill(&[part(2, 100), part(3, 100)], 1_000);

    assert_eq!(cache.cached_prefix_tokens(&[part(1, 100), part(2, 100)]), 0);
    assert_eq!(
        cache.cached_prefix_tokens(&[part(2, 100), part(1, 100), part(3, 100)]),
        100
    );
}

#[test]
fn requests_with_the_same_shared_parts_have_the_same_affinity() {
    assert_eq!(prompt(7, 1).affinity(), Some(PartId(7)));
    assert_eq!(prompt(7, 2).affinity(), Some(PartId(7)));
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// The cache holds the same parts as a plain list in order of use from which the oldest are removed.
    #[test]
    fn least_recently_used_parts_are_evicted_first(uses in prop::collection::vec((0_u64..8, 1_u64..50), 1..60)) {
        const CAPACITY: u64 = 120;
        let mut cache = PromptCacheEstimate::default();
        let mut list: Vec<(u64, u64)> = Vec::new();
        for (id, tokens) in uses {
            cache.record_prefill(&[part(id, tokens)], CAPACITY);
            list.retain(|known| known.0 != id);
            list.push((id, tokens));
            while list.iter().map(|known| known.1).sum::<u64>() > CAPACITY {
                list.remove(0);
            }
        }
        prop_assert_eq!(cache.tokens(), list.iter().map(|known| known.1).sum::<u64>());
        for (id, tokens) in list {
            prop_assert_eq!(cache.cached_prefix_tokens(&[part(id, tokens)]), tokens);
        }
    }
}
