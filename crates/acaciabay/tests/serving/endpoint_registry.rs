//! Tests of the endpoint registry with delayed, duplicated and reordered reports.

use std::net::SocketAddr;

use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointPhase, EndpointRegistry, REPORT_TIMEOUT, ReportEffect, ServingEndpoint,
};
use proptest::prelude::*;

use crate::fixtures::{at, endpoint, fixed_cases, name};

fn report(incarnation: u64, sequence: u64, phase: EndpointPhase) -> ServingEndpoint {
    ServingEndpoint {
        incarnation: EndpointIncarnation(incarnation),
        sequence,
        phase,
        ..endpoint("a")
    }
}

/// A `ready` report that the network has delayed arrives after a `draining` one. If it were applied, calls would be
/// sent to an endpoint that is about to leave, and callers would see truncated answers.
#[test]
fn delayed_ready_report_does_not_undo_draining() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(1, 5, EndpointPhase::Draining));

    let effect = registry.apply_report(at(10), &name("e"), report(1, 4, EndpointPhase::Ready));

    assert_eq!(effect, ReportEffect::Ignored);
    assert!(registry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint announces its departure to one replica while a `ready` with a higher sequence number is still in flight
/// through another. If that report were applied, calls would be sent to the endpoint for as long as it goes on
/// reporting.
#[test]
fn departure_holds_for_the_whole_incarnation() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(1, 5, EndpointPhase::Ready));
    registry.mark_gone(&name("e"), None);

    registry.apply_report(at(10), &name("e"), report(1, 6, EndpointPhase::Ready));

    assert!(registry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint announces its departure to one replica and goes on reporting to another until it stops. The departure
/// that the first replica relays has a stale sequence number. If it were ignored, calls would be sent to an endpoint
/// that is gone.
#[test]
fn relayed_departure_with_a_stale_sequence_number_is_applied() {
    let mut entry = EndpointRegistry::default();
    entry.apply_relayed_report(at(0), &name("e"), report(1, 9, EndpointPhase::Ready));

    let effect = entry.apply_relayed_report(at(10), &name("e"), report(1, 5, EndpointPhase::Gone));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(entry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint restarts under the same name, and its sequence numbers start again. If only these were compared, its
/// reports would be ignored until they passed the last number of the previous incarnation.
#[test]
fn new_incarnation_restarts_the_sequence_numbers() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(1, 500, EndpointPhase::Draining));

    let effect = registry.apply_report(at(10), &name("e"), report(2, 1, EndpointPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert_eq!(registry.ready(at(10), &"llm".into()).len(), 1);
}

/// The departure of an earlier incarnation arrives after the endpoint has restarted. If it were applied to the present
/// incarnation, a healthy endpoint would get no calls.
#[test]
fn departure_of_an_earlier_incarnation_is_ignored() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(2, 1, EndpointPhase::Ready));

    let effect = registry.mark_gone(&name("e"), Some(EndpointIncarnation(1)));

    assert_eq!(effect, ReportEffect::Ignored);
    assert_eq!(registry.ready(at(10), &"llm".into()).len(), 1);
}

/// A report that a network partition has delayed names an address that by now belongs to another endpoint. If it were
/// used, calls for the first endpoint would reach the second.
#[test]
fn address_belongs_to_the_latest_incarnation() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("current"), report(2, 1, EndpointPhase::Ready));

    registry.apply_report(at(10), &name("outdated"), report(1, 9, EndpointPhase::Ready));

    let service = "llm".into();
    let ready = registry.ready(at(10), &service);
    assert_eq!(
        ready.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["current"]
    );
}

/// The rows of endpoints that have left stay for a minute. If they counted, a relay would connect nobody to the endpoint that
/// has taken the address.
#[test]
fn address_answers_for_the_latest_incarnation() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("left"), report(1, 1, EndpointPhase::Ready));
    registry.apply_report(at(10), &name("successor"), report(2, 1, EndpointPhase::Ready));
    let address = endpoint("a").address;

    let answering: Vec<_> = registry.answering_at(address).map(|(name, _)| name.as_str()).collect();
    assert_eq!(answering, ["successor"]);

    registry.mark_gone(&name("successor"), None);
    assert_eq!(registry.answering_at(address).count(), 0);
}

/// Guards against an odd report of another writer under a living endpoint's name: nobody is sent to the endpoint until its own
/// sequence numbers are higher.
#[test]
fn an_incarnation_keeps_its_service_and_address() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(7, 1, EndpointPhase::Ready));
    let elsewhere = ServingEndpoint {
        address: SocketAddr::from(([10, 0, 0, 9], 8_000)),
        ..report(7, 900, EndpointPhase::Draining)
    };
    let of_another = ServingEndpoint {
        service: "other".into(),
        ..report(7, 901, EndpointPhase::Ready)
    };

    let odd = [elsewhere, of_another].map(|odd| registry.apply_report(at(10), &name("e"), odd));
    let own = registry.apply_report(at(20), &name("e"), report(7, 2, EndpointPhase::Ready));

    assert_eq!(odd, [ReportEffect::Ignored; 2]);
    assert_eq!(own, ReportEffect::Unchanged);
    assert_eq!(registry.ready(at(20), &"llm".into()).len(), 1);
}

/// An endpoint crashes without announcing its departure. If it were still used, one caller after another would wait for
/// its connection to time out.
#[test]
fn silent_endpoint_is_excluded_while_others_report() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("silent"), report(1, 1, EndpointPhase::Ready));
    let other = ServingEndpoint {
        address: SocketAddr::from(([10, 0, 0, 2], 8_000)),
        ..report(1, 1, EndpointPhase::Ready)
    };
    let later = at(0) + REPORT_TIMEOUT;
    registry.apply_report(later, &name("reporting"), other);

    let service = "llm".into();
    let ready = registry.ready(later, &service);

    assert_eq!(
        ready.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["reporting"]
    );
}

/// The path of all reports is cut while the endpoints still serve. If silence alone excluded an endpoint, every call
/// would be refused although every endpoint could run it.
#[test]
fn all_endpoints_are_used_when_all_are_silent() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(1, 1, EndpointPhase::Ready));

    let service = "llm".into();
    let ready = registry.ready(at(0) + REPORT_TIMEOUT * 2, &service);

    assert_eq!(ready.len(), 1);
}

/// A replica that was partitioned relays the departure of an earlier incarnation after the endpoint has restarted under
/// the same name. If it were applied to the later incarnation, a healthy endpoint would be excluded for good.
#[test]
fn relayed_departure_of_an_earlier_incarnation_is_ignored() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(2, 1, EndpointPhase::Ready));

    let effect = registry.apply_relayed_report(at(0), &name("e"), report(1, 9, EndpointPhase::Gone));

    assert_eq!(effect, ReportEffect::Ignored);
    assert_eq!(registry.ready(at(0), &"llm".into()).len(), 1);
}

/// A restarted endpoint announces its departure to a replica that does not know the new incarnation yet. The replica
/// must relay the departure with the new start time; otherwise entries that know the new incarnation would ignore it
/// and go on sending calls.
#[test]
fn departure_is_relayed_with_the_incarnation_that_leaves() {
    let mut replica = EndpointRegistry::default();
    replica.apply_report(at(0), &name("e"), report(1, 9, EndpointPhase::Ready));
    let mut entry = EndpointRegistry::default();
    entry.apply_report(at(0), &name("e"), report(2, 4, EndpointPhase::Ready));

    replica.mark_gone(&name("e"), Some(EndpointIncarnation(2)));
    let relayed = replica.get(&name("e")).expect("it is known").clone();
    let effect = entry.apply_relayed_report(at(0), &name("e"), relayed);

    assert_eq!(effect, ReportEffect::Changed);
    assert!(entry.ready(at(0), &"llm".into()).is_empty());
}

/// A draining endpoint takes no new calls, but other engines may still copy cached parts from it.
#[test]
fn draining_endpoint_still_answers() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("leaving"), report(1, 1, EndpointPhase::Draining));
    registry.apply_report(at(0), &name("gone"), report(1, 1, EndpointPhase::Gone));

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
    fn any_order_of_reports_yields_the_latest(reports in prop::collection::vec((1_u64..4, 1_u64..6, phase()), 1..20)) {
        let mut registry = EndpointRegistry::default();
        let mut applied: Vec<(u64, u64, EndpointPhase)> = Vec::new();
        for (incarnation, sequence, phase) in reports {
            registry.apply_report(at(0), &name("e"), report(incarnation, sequence, phase));
            let is_newest = applied.iter().all(|known| (known.0, known.1) < (incarnation, sequence));
            if is_newest {
                applied.push((incarnation, sequence, phase));
            }
        }
        let last = *applied.last().expect("at least one report is applied");
        let drains = applied.iter().any(|known| known.0 == last.0 && known.2 == EndpointPhase::Draining);
        let stored = registry.get(&name("e")).expect("it was reported");
        prop_assert_eq!((stored.incarnation.0, stored.sequence), (last.0, last.1));
        prop_assert_eq!(stored.phase == EndpointPhase::Draining, drains);
    }
}
