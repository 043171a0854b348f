//! Compares the claim table with a single map.

use acaciabay::core::claim::{ClaimHolder, ClaimKey, ClaimOutcome, ClaimTable, StoredAnswer};
use acaciabay::core::clock::WallTime;
use acaciabay::core::member::EntryIncarnation;
use acaciabay::util::digest::ContentDigest;
use proptest::prelude::*;
use std::collections::BTreeMap;

use crate::{check, customer};

/// The reference implementation is a map from each key to the only attempt that may run its call.
#[test]
fn claim_table_matches_a_map() {
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
                    let expected = match naive.get(&key) {
                        None => {
                            naive.insert(key, (holder, content, ClaimOutcome::Running));
                            ClaimOutcome::Granted
                        }
                        Some((_, other, _)) if *other != content => ClaimOutcome::Mismatch,
                        Some((own, _, ClaimOutcome::Running)) if *own == holder => ClaimOutcome::Granted,
                        Some((_, _, state)) => state.clone(),
                    };
                    prop_assert_eq!(outcome, expected);
                }
                Step::Finish { key, holder } => {
                    table.finish(&claim_key(key), holder_of(holder), answer.clone());
                    end_claim(&mut naive, key, holder, Some(ClaimOutcome::Answered(answer.clone())));
                }
                Step::Lose { key, holder } => {
                    table.mark_unknown(&claim_key(key), holder_of(holder));
                    end_claim(&mut naive, key, holder, Some(ClaimOutcome::Unknown));
                }
                Step::Release { key, holder } => {
                    table.release(&claim_key(key), holder_of(holder));
                    end_claim(&mut naive, key, holder, None);
                }
            }
        }
        Ok(())
    });
}

fn end_claim(
    naive: &mut BTreeMap<usize, (u64, u8, ClaimOutcome)>,
    key: usize,
    holder: u64,
    outcome: Option<ClaimOutcome>,
) {
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
