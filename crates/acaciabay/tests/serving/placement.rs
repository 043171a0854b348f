//! Where calls go.

use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::endpoint_load::{EndpointWork, LoadTable, RestingOrder};
use acaciabay::core::serving::endpoint_registry::{EndpointBirth, EngineStage, ServingEndpoint};
use acaciabay::ops::place_call::{PlacementView, place_plain, place_prompt, place_stream};
use proptest::prelude::*;

use crate::fixtures::{at, fixed_cases, name, numbered, prompt};

type Rows = Vec<(EndpointName, ServingEndpoint)>;

fn rows(count: u8, stage: EngineStage) -> Rows {
    let domains = ["a", "b", "c"];
    let row = |number: u8| {
        let domain = domains[usize::from(number) % domains.len()];
        (name(&format!("e{number}")), numbered(number, domain, stage))
    };
    (0..count).map(row).collect()
}

fn candidates(rows: &Rows) -> Vec<(&EndpointName, &ServingEndpoint)> {
    rows.iter().map(|(name, endpoint)| (name, endpoint)).collect()
}

fn unread(tokens: u64) -> EndpointWork {
    EndpointWork {
        unread_tokens: tokens,
        ..EndpointWork::default()
    }
}

fn calls(count: u64) -> EndpointWork {
    EndpointWork {
        calls: count,
        ..EndpointWork::default()
    }
}

fn place(loads: &LoadTable, rows: &Rows, shared: u64) -> EndpointName {
    let domain = DomainName::new("a");
    let view = PlacementView {
        now: at(0),
        domain: &domain,
        loads,
    };
    let place = place_prompt(&view, &candidates(rows), &prompt(shared, 99)).expect("there are engines");
    place.endpoint
}

/// Several entries get requests with the same long shared part. Without knowing of each other, they would have it read
/// by as many engines as there are entries.
#[test]
fn entries_agree_on_the_first_reader_of_a_part() {
    let rows = rows(7, EngineStage::Prefill);

    let first = place(&LoadTable::default(), &rows, 5);

    let mut other = LoadTable::default();
    other.begin(&first, unread(20_000));
    assert_eq!(place(&other, &rows, 5), first);
}

/// A burst asks for one shared part. Sent on as soon as one queue is a little longer, each request would have the part
/// read once more, and every queue would grow by it.
#[test]
fn a_queue_is_borne_before_a_part_is_read_again() {
    let rows = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place(&loads, &rows, 5);
    loads.note_read(&home, &prompt(5, 1).parts, 400_000);

    loads.begin(&home, unread(60_000));
    assert_eq!(place(&loads, &rows, 5), home);

    loads.begin(&home, unread(400_000));
    assert_ne!(place(&loads, &rows, 5), home);
}

/// An engine fails what it gets. Sent there for its memory's sake, one call after another would fail.
#[test]
fn an_engine_that_fails_is_left_out_while_there_are_others() {
    let rows = rows(3, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place(&loads, &rows, 5);

    loads.note_failure(at(0), &home);
    assert_ne!(place(&loads, &rows, 5), home);

    for (name, _) in &rows {
        loads.note_failure(at(0), name);
    }
    assert_eq!(place(&loads, &rows, 5), home);
}

#[test]
fn tokens_are_made_in_the_domain_of_the_reader_while_it_has_room() {
    let rows = rows(3, EngineStage::Decode);
    let (own, reader) = (DomainName::new("a"), DomainName::new("c"));
    let mut loads = LoadTable::default();
    let near = |loads: &LoadTable| {
        let view = PlacementView {
            now: at(0),
            domain: &own,
            loads,
        };
        place_stream(&view, &candidates(&rows), 400_000, Some(&reader))
    };

    assert_eq!(near(&loads), Some(name("e2")));

    loads.begin(&name("e2"), calls(20));
    assert_ne!(near(&loads), Some(name("e2")));
}

/// An engine is ordered to read prompts and first finishes what runs, for longer than the change itself takes. Sent there
/// by its last report, calls would be turned away until the next one.
#[test]
fn an_engine_rests_until_it_reports_what_was_ordered() {
    let mut loads = LoadTable::default();
    let making = numbered(1, "a", EngineStage::Decode);
    let reading = numbered(1, "a", EngineStage::Prefill);
    let order = RestingOrder {
        birth: making.birth,
        stage: EngineStage::Prefill,
        until: at(11_000),
    };

    loads.hear_resting([(name("e"), order)]);

    assert!(loads.is_resting(at(5_000), &name("e"), &making));
    assert!(!loads.is_resting(at(5_000), &name("e"), &reading));
    assert!(!loads.is_resting(at(11_000), &name("e"), &making));
    let restarted = ServingEndpoint {
        birth: EndpointBirth(2_000),
        ..making
    };
    assert!(!loads.is_resting(at(5_000), &name("e"), &restarted));
}

#[test]
fn what_is_done_is_no_load() {
    let mut loads = LoadTable::default();
    loads.begin(&name("e"), unread(100));
    loads.end(&name("e"), unread(100));

    assert_eq!(loads.work(&name("e")), EndpointWork::default());
    assert_eq!(loads.own_work().count(), 0);
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Plain calls go to an endpoint with the fewest calls, but for what another domain costs.
    #[test]
    fn plain_calls_go_where_slots_are_free(loads_of in prop::collection::vec(0_u64..64, 3), draw: u64) {
        let rows = rows(3, EngineStage::Decode);
        let mut loads = LoadTable::default();
        for ((name, _), count) in rows.iter().zip(&loads_of) {
            loads.begin(name, calls(*count));
        }
        let domain = DomainName::new("a");
        let view = PlacementView { now: at(0), domain: &domain, loads: &loads };
        let chosen = place_plain(&view, &candidates(&rows), draw).expect("there are endpoints");
        let used = |name: &EndpointName| loads.work(name).calls as f64 / 64.0;
        let least = rows.iter().map(|(name, _)| used(name)).fold(f64::INFINITY, f64::min);
        prop_assert!(used(&chosen) <= least + 0.15 + 1e-9);
    }
}
