//! Tests of the choice of endpoints for streams and plain calls.

use std::collections::BTreeMap;

use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::endpoint_load::{EndpointWork, LoadTable, StageSwitch};
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EngineStage, ServingEndpoint};
use acaciabay::ops::place_call::{PlacementView, place_plain, place_stream};
use acaciabay::util::rendezvous;
use proptest::prelude::*;

use crate::fixtures::{at, candidates, fixed_cases, name, numbered, rows, unread};

fn calls(count: u64) -> EndpointWork {
    EndpointWork {
        calls: count,
        ..EndpointWork::default()
    }
}

#[test]
fn stream_is_decoded_in_the_prefill_domain_unless_its_engine_is_busy() {
    let rows = rows(3, EngineStage::Decode);
    let (entry_domain, prefill_domain) = (DomainName::new("a"), DomainName::new("c"));
    let mut loads = LoadTable::default();
    let place = |loads: &LoadTable| {
        let view = PlacementView {
            now: at(0),
            domain: &entry_domain,
            loads,
            permitted: &[],
            slice: None,
        };
        place_stream(&view, &candidates(&rows), 400_000, Some(&prefill_domain), 7)
    };

    assert_eq!(place(&loads), Some(name("e2")));

    loads.begin(&name("e2"), calls(20));
    assert_ne!(place(&loads), Some(name("e2")));
}

/// Guards against many entries choosing the same engine. Two hundred entries place a stream within the same quarter of
/// a second, before they learn of each other's streams. If all chose the engine with the fewest streams, its slots
/// would fill up while other engines are free.
#[test]
fn entries_unaware_of_each_other_spread_their_streams() {
    let rows = rows(8, EngineStage::Decode);
    let entry_domain = DomainName::new("elsewhere");
    let mut loads = LoadTable::default();
    loads.begin(&name("e0"), calls(1));
    let view = PlacementView {
        now: at(0),
        domain: &entry_domain,
        loads: &loads,
        permitted: &[],
        slice: None,
    };

    let mut streams = BTreeMap::new();
    for entry in 0..200_u64 {
        let seed = rendezvous::hash(&entry.to_be_bytes());
        let chosen = place_stream(&view, &candidates(&rows), 400_000, None, seed).expect("there are engines");
        *streams.entry(chosen).or_insert(0) += 1;
    }

    assert_eq!(streams.len(), 8);
    assert!(streams.values().all(|count| *count < 64), "{streams:?}");
}

/// Guards against calls to an engine that is changing its stage. An engine ordered to prefill first finishes its
/// running calls, which takes longer than the change itself. Calls placed by its last report would be refused until the
/// next one.
#[test]
fn engine_is_switching_until_it_reports_the_ordered_stage() {
    let mut loads = LoadTable::default();
    let decoding = numbered(1, "a", EngineStage::Decode);
    let prefilling = numbered(1, "a", EngineStage::Prefill);
    let order = StageSwitch {
        birth: decoding.incarnation,
        stage: EngineStage::Prefill,
        until: at(11_000),
    };

    loads.set_stage_switches([(name("e"), order)]);

    assert!(loads.is_switching_stage(at(5_000), &name("e"), &decoding));
    assert!(!loads.is_switching_stage(at(5_000), &name("e"), &prefilling));
    assert!(!loads.is_switching_stage(at(11_000), &name("e"), &decoding));
    let restarted = ServingEndpoint {
        incarnation: EndpointIncarnation(2_000),
        ..decoding
    };
    assert!(!loads.is_switching_stage(at(5_000), &name("e"), &restarted));
}

#[test]
fn finished_work_adds_no_load() {
    let mut loads = LoadTable::default();
    loads.begin(&name("e"), unread(100));
    loads.end(&name("e"), unread(100));

    assert_eq!(loads.work(&name("e")), EndpointWork::default());
    assert_eq!(loads.own_work().count(), 0);
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Plain calls go to an endpoint with the fewest calls, within the penalty for another failure domain.
    #[test]
    fn plain_calls_go_to_a_least_loaded_endpoint(loads_of in prop::collection::vec(0_u64..64, 3), seed: u64) {
        let rows = rows(3, EngineStage::Decode);
        let mut loads = LoadTable::default();
        for ((name, _), count) in rows.iter().zip(&loads_of) {
            loads.begin(name, calls(*count));
        }
        let domain = DomainName::new("a");
        let view = PlacementView { now: at(0), domain: &domain, loads: &loads, permitted: &[], slice: None };
        let chosen = place_plain(&view, &candidates(&rows), seed).expect("there are endpoints");
        let used = |name: &EndpointName| loads.work(name).calls as f64 / 64.0;
        let least = rows.iter().map(|(name, _)| used(name)).fold(f64::INFINITY, f64::min);
        prop_assert!(used(&chosen) <= least + 0.15 + 1e-9);
    }
}
