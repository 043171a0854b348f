//! Reports of endpoints in any order.

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

/// A report that was held up by the network arrives after the endpoint has said that it leaves. Were it believed, calls
/// would be sent to an endpoint that goes away under them, and callers would see their answers break off.
#[test]
fn a_late_ready_does_not_undo_a_draining() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 5, EndpointPhase::Draining));

    let effect = registry.report(at(10), &name("e"), report(1, 4, EndpointPhase::Ready));

    assert_eq!(effect, ReportEffect::Old);
    assert!(registry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint tells one replica that it leaves, while its last `ready` with a higher number is still on its way through
/// another. Callers would be sent to it again for as long as it goes on reporting.
#[test]
fn leaving_holds_for_the_whole_start() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 5, EndpointPhase::Ready));
    registry.leave(&name("e"), None);

    registry.report(at(10), &name("e"), report(1, 6, EndpointPhase::Ready));

    assert!(registry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint has told one replica that it leaves, and has gone on reporting to another until it stopped. What the first
/// one tells has an old number; dropped as old, it would leave callers with an endpoint that is gone.
#[test]
fn word_of_leaving_counts_also_with_an_old_number() {
    let mut entry = EndpointRegistry::default();
    entry.hear(at(0), &name("e"), report(1, 9, EndpointPhase::Ready));

    let effect = entry.hear(at(10), &name("e"), report(1, 5, EndpointPhase::Gone));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(entry.ready(at(10), &"llm".into()).is_empty());
}

/// An endpoint starts again under the name that it had, and its counts start anew. If only the numbers were compared, its
/// reports would be dropped as old until they passed the last one of the start before.
#[test]
fn a_new_start_counts_from_the_beginning() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 500, EndpointPhase::Draining));

    let effect = registry.report(at(10), &name("e"), report(2, 1, EndpointPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert_eq!(registry.ready(at(10), &"llm".into()).len(), 1);
}

/// A notice that an earlier start has left arrives when the endpoint is up again. Taken for the present one, it would
/// leave an idle endpoint that nobody sends to.
#[test]
fn leaving_of_an_earlier_start_is_old() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(2, 1, EndpointPhase::Ready));

    let effect = registry.leave(&name("e"), Some(EndpointBirth(1)));

    assert_eq!(effect, ReportEffect::Old);
    assert_eq!(registry.ready(at(10), &"llm".into()).len(), 1);
}

/// A report that a partition has held up comes from an endpoint whose address belongs to another one by now. Calls for
/// the first would reach the second.
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

/// An endpoint crashes and says nothing. Callers would wait for its connections to time out, one after the other.
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

/// The path of all reports is cut while the endpoints serve on. If silence alone took them out, every call would be
/// refused although every endpoint could run it.
#[test]
fn when_all_are_silent_all_are_used() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(1, 1, EndpointPhase::Ready));

    let service = "llm".into();
    let ready = registry.ready(at(0) + SILENCE_LIMIT * 2, &service);

    assert_eq!(ready.len(), 1);
}

/// A replica that was cut off still tells that an earlier start of an endpoint has left, while the endpoint has started
/// again under its name. Believed for the later start, that would take a sound endpoint out for good.
#[test]
fn a_late_word_that_an_earlier_start_has_left_harms_no_later_one() {
    let mut registry = EndpointRegistry::default();
    registry.report(at(0), &name("e"), report(2, 1, EndpointPhase::Ready));

    let effect = registry.hear(at(0), &name("e"), report(1, 9, EndpointPhase::Gone));

    assert_eq!(effect, ReportEffect::Old);
    assert_eq!(registry.ready(at(0), &"llm".into()).len(), 1);
}

/// An endpoint has started again and says to a replica that has not heard of that start yet that it leaves. What this
/// replica passes on must name the later start, or those who know it would go on sending calls there.
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

/// An endpoint that leaves takes no new calls, but other engines may still copy from it what it has read.
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

    /// Whatever the order of reports, what is held is the report with the highest pair of start and number, and it
    /// drains if any report of that start said so up to then.
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
