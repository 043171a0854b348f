//! Tests of the endpoint registry with delayed, duplicated and reordered reports.

use std::net::SocketAddr;

use acaciabay::core::serving::endpoint_registry::{
    EndpointBirth, EndpointPhase, EndpointRegistry, ReportEffect, SILENCE_LIMIT, ServingEndpoint,
};
use proptest::prelude::*;

use crate::fixtures::{at, endpoint, fixed_cases, name};

fn report(birth: u64, sequence: u64, phase: EndpointPhase) -> ServingEndpoint {
    ServingEndpoint {
        birth: EndpointBirth(birth),
        sequence,
        phase,
        ..endpoint("a")
    }
}

/// A `ready` report that the network has delayed arrives after a `draining` one. If it were applied, calls would be
/// sent to an endpoint that is about to leave, and callers would see truncated answers.
#[test]
fn a_late_ready_does_not_undo_a_draining() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 5, EndpointPhase::Draining));

    let effect = registry.report(at(10), &name("e"), report(1, 4, EndpointPhase::Ready));

    assert_eq!(effect, ReportEffect::Old);
    assert!(registry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint announces its departure to one replica while a `ready` with a higher sequence number is still in flight
/// through another. If that report were applied, calls would be sent to the endpoint for as long as it goes on
/// reporting.
#[test]
fn leaving_holds_for_the_whole_start() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 5, EndpointPhase::Ready));
    registry.leave(&name("e"), None);

    registry.report(at(10), &name("e"), report(1, 6, EndpointPhase::Ready));

    assert!(registry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint announces its departure to one replica and goes on reporting to another until it stops. The departure
/// that the first replica relays has a stale sequence number. If it were ignored, calls would be sent to an endpoint
/// that is gone.
#[test]
fn word_of_leaving_counts_also_with_an_old_number() {
    let mut entry = EndpointRegistry::default();
    entry.hear(at(0), &name("e"), report(1, 9, EndpointPhase::Ready));

    let effect = entry.hear(at(10), &name("e"), report(1, 5, EndpointPhase::Gone));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(entry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint restarts under the same name, and its sequence numbers start again. If only these were compared, its
/// reports would be ignored until they passed the last number of the previous incarnation.
#[test]
fn a_new_start_counts_from_the_beginning() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 500, EndpointPhase::Draining));

    let effect = registry.report(at(10), &name("e"), report(2, 1, EndpointPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert_eq!(registry.ready(at(10), &"llm".into()).len(), 1);
}

/// The departure of an earlier incarnation arrives after the endpoint has restarted. If it were applied to the present
/// incarnation, a healthy endpoint would get no calls.
#[test]
fn leaving_of_an_earlier_start_is_old() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(2, 1, EndpointPhase::Ready));

    let effect = registry.leave(&name("e"), Some(EndpointBirth(1)));

    assert_eq!(effect, ReportEffect::Old);
    assert_eq!(registry.ready(at(10), &"llm".into()).len(), 1);
}

/// A report that a network partition has delayed names an address that by now belongs to another endpoint. If it were
/// used, calls for the first endpoint would reach the second.
#[test]
fn an_address_belongs_to_the_latest_start() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("young"), report(2, 1, EndpointPhase::Ready));

    registry.report(at(10), &name("ghost"), report(1, 9, EndpointPhase::Ready));

    let service = "llm".into();
    let ready = registry.ready(at(10), &service);
    assert_eq!(
        ready.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["young"]
    );
}

/// An endpoint crashes without announcing its departure. If it were still used, one caller after another would wait for
/// its connection to time out.
#[test]
fn a_silent_endpoint_is_left_out_while_others_are_heard() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("silent"), report(1, 1, EndpointPhase::Ready));
    let other = ServingEndpoint {
        address: SocketAddr::from(([10, 0, 0, 2], 8_000)),
        ..report(1, 1, EndpointPhase::Ready)
    };
    let later = at(0) + SILENCE_LIMIT;
    registry.report(later, &name("heard"), other);

    let service = "llm".into();
    let ready = registry.ready(later, &service);

    assert_eq!(
        ready.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["heard"]
    );
}

/// The path of all reports is cut while the endpoints still serve. If silence alone excluded an endpoint, every call
/// would be refused although every endpoint could run it.
#[test]
fn when_all_are_silent_all_are_used() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 1, EndpointPhase::Ready));

    let service = "llm".into();
    let ready = registry.ready(at(0) + SILENCE_LIMIT * 2, &service);

    assert_eq!(ready.len(), 1);
}

/// A replica that was partitioned relays the departure of an earlier incarnation after the endpoint has restarted under
/// the same name. If it were applied to the later incarnation, a healthy endpoint would be excluded for good.
#[test]
fn a_late_word_that_an_earlier_start_has_left_harms_no_later_one() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(2, 1, EndpointPhase::Ready));

    let effect = registry.hear(at(0), &name("e"), report(1, 9, EndpointPhase::Gone));

    assert_eq!(effect, ReportEffect::Old);
    assert_eq!(registry.ready(at(0), &"llm".into()).len(), 1);
}

/// A restarted endpoint announces its departure to a replica that does not know the new incarnation yet. The replica
/// must relay the departure with the new start time; otherwise entries that know the new incarnation would ignore it
/// and go on sending calls.
#[test]
fn leaving_is_passed_on_for_the_start_that_leaves() {
    let mut replica = EndpointRegistry::default();
    replica.report(at(0), &name("e"), report(1, 9, EndpointPhase::Ready));
    let mut entry = EndpointRegistry::default();
    entry.report(at(0), &name("e"), report(2, 4, EndpointPhase::Ready));

    replica.leave(&name("e"), Some(EndpointBirth(2)));
    let told = replica.get(&name("e")).expect("it is known").clone();
    let effect = entry.hear(at(0), &name("e"), told);

    assert_eq!(effect, ReportEffect::Changed);
    assert!(entry.ready(at(0), &"llm".into()).is_empty());
}

/// A draining endpoint takes no new calls, but other engines may still copy cached parts from it.
#[test]
fn an_endpoint_that_leaves_still_answers() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("leaving"), report(1, 1, EndpointPhase::Draining));
    registry.report(at(0), &name("gone"), report(1, 1, EndpointPhase::Gone));

    let service = "llm".into();

    assert!(registry.ready(at(0), &service).is_empty());
    let answering = registry.answering(at(0), &service);
    assert_eq!(
        answering.iter().map(|(name, _)| *name).collect::<Vec<_>>(),
        [&name("leaving")]
    );
}

fn phase() -> impl Strategy<Value = EndpointPhase> {
    prop_oneof![Just(EndpointPhase::Ready), Just(EndpointPhase::Draining)]
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// In any order of reports, the registry holds the report with the highest pair of start time and sequence number.
    /// The endpoint is draining if any applied report of that incarnation said so.
    #[test]
    fn any_order_comes_to_the_latest_report(reports in prop::collection::vec((1_u64..4, 1_u64..6, phase()), 1..20)) {
        let mut registry = EndpointRegistry::default();
        let mut taken: Vec<(u64, u64, EndpointPhase)> = Vec::new();
        for (birth, sequence, phase) in reports {
            registry.report(at(0), &name("e"), report(birth, sequence, phase));
            let is_newest = taken.iter().all(|known| (known.0, known.1) < (birth, sequence));
            if is_newest {
                taken.push((birth, sequence, phase));
            }
        }
        let last = *taken.last().expect("at least one report is taken");
        let drains = taken.iter().any(|known| known.0 == last.0 && known.2 == EndpointPhase::Draining);
        let held = registry.get(&name("e")).expect("it was reported");
        prop_assert_eq!((held.birth.0, held.sequence), (last.0, last.1));
        prop_assert_eq!(held.phase == EndpointPhase::Draining, drains);
    }
}
