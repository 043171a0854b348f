//! Tests of the records which version has begun a stream.

use std::collections::BTreeSet;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::call_fingerprint::CallContent;
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_origin::{
    ORIGIN_RETENTION, OriginEffect, OriginFinding, OriginKey, OriginTable, choose_keepers,
};
use proptest::prelude::*;

use crate::fixtures::{at, fixed_cases};

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::from_text(text).expect("the text is usable")
}

fn known(text: &str) -> OriginFinding {
    OriginFinding::Known(version(text))
}

fn after(millis: u64) -> BootTime {
    at(0) + ORIGIN_RETENTION + std::time::Duration::from_millis(millis)
}

#[test]
fn a_record_is_found_until_it_is_too_old() {
    let mut table = OriginTable::new(4);
    let effect = table.record(at(0), OriginKey(1), Some(&version("v1")));

    assert_eq!(effect, OriginEffect::New);
    assert_eq!(table.find(at(30), OriginKey(1)).0, known("v1"));
    assert_eq!(table.find(at(30), OriginKey(2)).0, OriginFinding::Unknown);
    assert_eq!(table.find(after(0), OriginKey(1)).0, OriginFinding::Unknown);
}

/// A caller that uses an identifier twice must not go on at either version, whichever was told first.
#[test]
fn records_that_contradict_each_other_name_no_version_for_good() {
    let mut table = OriginTable::new(4);
    table.record(at(0), OriginKey(1), Some(&version("v1")));
    let same = table.record(at(1), OriginKey(1), Some(&version("v1")));
    let other = table.record(at(2), OriginKey(1), Some(&version("v1.1")));
    table.record(at(3), OriginKey(1), Some(&version("v1")));

    assert_eq!((same, other), (OriginEffect::Same, OriginEffect::Conflict));
    assert_eq!(table.find(at(4), OriginKey(1)).0, OriginFinding::Conflicting);
}

/// An entry learns that an endpoint had started again before it began the stream. Nobody may go on at the version that was told.
#[test]
fn a_record_that_is_not_certain_names_no_version_for_good() {
    let mut table = OriginTable::new(4);
    table.record(at(0), OriginKey(1), Some(&version("v1")));
    let effect = table.record(at(1), OriginKey(1), None);
    table.record(at(2), OriginKey(1), Some(&version("v1")));
    table.record(at(2), OriginKey(2), None);

    assert_eq!(effect, OriginEffect::Conflict);
    assert_eq!(table.find(at(3), OriginKey(1)).0, OriginFinding::Conflicting);
    assert_eq!(table.find(at(3), OriginKey(2)).0, OriginFinding::Conflicting);
}

/// A flood of streams must neither fill the memory nor remove what was recorded last.
#[test]
fn the_oldest_records_are_removed_first() {
    let mut table = OriginTable::new(3);
    for key in 1..=5 {
        table.record(at(key), OriginKey(key), Some(&version("v1")));
    }

    let found: Vec<bool> = (1..=5)
        .map(|key| table.find(at(9), OriginKey(key)).0 == known("v1"))
        .collect();

    assert_eq!(found, [false, false, true, true, true]);
    assert_eq!((table.len(), table.evicted()), (3, 2));
}

#[test]
fn old_records_take_no_memory() {
    let mut table = OriginTable::new(100);
    for key in 0..50 {
        table.record(at(key), OriginKey(key), Some(&version("v1")));
    }

    table.remove_expired(after(40));

    assert_eq!((table.len(), table.evicted()), (9, 0));
    table.remove_expired(after(1_000));
    assert!(table.is_empty());
}

/// A customer that names another customer's request must learn nothing of it, and contradict nothing.
#[test]
fn streams_of_other_customers_and_services_have_other_keys() {
    let (one, two, llm, app) = ("one".into(), "two".into(), "llm".into(), "app".into());
    let keys = BTreeSet::from([
        OriginKey::of_attempt(Some(&one), &llm, "r-1"),
        OriginKey::of_attempt(Some(&two), &llm, "r-1"),
        OriginKey::of_attempt(None, &llm, "r-1"),
        OriginKey::of_attempt(Some(&one), &app, "r-1"),
        OriginKey::of_attempt(Some(&one), &llm, "r-2"),
        OriginKey::of_attempt(Some(&"onel".into()), &"lm".into(), "r-1"),
    ]);

    assert_eq!(keys.len(), 6);
    assert_eq!(
        OriginKey::of_attempt(Some(&one), &llm, "r-1"),
        OriginKey::of_attempt(Some(&one), &llm, "r-1")
    );
}

/// A caller that names no attempt is known by what it asks. Another customer that asks the same must not contradict it.
#[test]
fn streams_of_the_same_content_have_the_same_key() {
    let (one, two, llm) = ("one".into(), "two".into(), "llm".into());
    let content = CallContent {
        method: "POST",
        host: "shop.example",
        target: "/story/",
        customer: Some(&one),
        body: b"a story",
    };
    let key = |content| OriginKey::of_content(&llm, &content);

    assert_eq!(key(content), key(content));
    let others = [
        CallContent {
            customer: Some(&two),
            ..content
        },
        CallContent {
            body: b"another story",
            ..content
        },
        CallContent {
            target: "/story",
            ..content
        },
        CallContent {
            host: "shop",
            ..content
        },
    ];
    assert!(others.iter().all(|other| key(*other) != key(content)));
    assert_ne!(key(content), OriginKey::of_attempt(Some(&one), &llm, "a story"));
}

/// Two entries that tell of one stream, and one that asks, must mean the same replicas.
#[test]
fn keepers_do_not_depend_on_the_order_of_the_replicas() {
    let replicas = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"];
    let mut reversed = replicas;
    reversed.reverse();
    let mut uses = [0_usize; 5];
    for key in 0..500 {
        let keepers = choose_keepers(OriginKey(key), &replicas, ToString::to_string);
        let same = choose_keepers(OriginKey(key), &reversed, ToString::to_string);
        assert_eq!(keepers, same);
        assert_eq!(keepers.len(), 3);
        for keeper in keepers {
            uses[replicas
                .iter()
                .position(|replica| replica == keeper)
                .expect("it is one of them")] += 1;
        }
    }

    assert!(uses.iter().all(|uses| (240..360).contains(uses)), "{uses:?}");
    assert_eq!(
        choose_keepers(OriginKey(1), &replicas[..2], ToString::to_string).len(),
        2
    );
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// In any order, repeated or lost, copies never name a version that did not begin the stream.
    #[test]
    fn copies_agree_with_the_truth_or_name_no_version(
        told in proptest::collection::vec((0_u64..6, 0_u64..400), 0..200),
        asked_at in 0_u64..400,
    ) {
        let truth = |key: u64| format!("v{}", key % 3);
        let mut table = OriginTable::new(4);
        for (number, (key, _)) in told.iter().enumerate() {
            table.record(at(number as u64), OriginKey(*key), Some(&version(&truth(*key))));
        }

        for key in 0..6 {
            let found = table.find(at(asked_at), OriginKey(key)).0;
            prop_assert!(found == OriginFinding::Unknown || found == known(&truth(key)));
        }
        prop_assert!(table.len() <= 4);
    }
}
