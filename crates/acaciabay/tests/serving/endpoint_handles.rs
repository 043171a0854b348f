//! Numbers that stand for endpoints in the messages of one replica.

use std::time::Duration;

use acaciabay::core::serving::endpoint_handles::{HandleTable, ReceivedHandles};
use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointPhase, EndpointRegistry, REPORT_TIMEOUT, ServingEndpoint,
};

use crate::fixtures::{at, name};

fn report(incarnation: u64, sequence: u64) -> ServingEndpoint {
    ServingEndpoint {
        service: "app".into(),
        address: "127.0.0.1:9000".parse().expect("the address is well formed"),
        domain: "a".into(),
        slots: 4,
        phase: EndpointPhase::Ready,
        stage: None,
        reclaimable: false,
        version: None,
        incarnation: EndpointIncarnation(incarnation),
        sequence,
    }
}

/// Report of an endpoint at another address.
fn elsewhere() -> ServingEndpoint {
    ServingEndpoint {
        address: "127.0.0.1:9001".parse().expect("the address is well formed"),
        ..report(1, 1)
    }
}

/// A report without news costs a row for every session, and control runs out of memory at size.
#[test]
fn reports_without_news_are_collected_as_numbers() {
    let mut table = HandleTable::default();
    let handle = table.assign(&name("e"));

    for _report in 0..5 {
        table.record_report(handle);
    }

    assert_eq!(table.get(&name("e")), Some(handle));
    assert_eq!(table.name(handle), Some(&name("e")));
    assert_eq!(table.take_reported().into_iter().collect::<Vec<_>>(), [handle]);
    assert!(table.take_reported().is_empty());
}

/// An endpoint whose row was sent once falls silent for entries, although it goes on reporting.
#[test]
fn endpoint_stays_known_by_its_number() {
    let mut table = HandleTable::default();
    let (mut handles, mut registry) = (ReceivedHandles::default(), EndpointRegistry::default());
    let handle = table.assign(&name("e"));
    registry.apply_report(at(0), &name("e"), report(1, 1));
    registry.apply_report(at(0), &name("other"), elsewhere());
    handles.record(handle, name("e"), EndpointIncarnation(1));
    let late = at(0) + REPORT_TIMEOUT + Duration::from_secs(1);

    handles.apply_reports(late, [handle], &mut registry);

    let service = "app".into();
    let ready = registry.ready(late, &service);
    assert_eq!(
        ready.into_iter().map(|(name, _)| name).collect::<Vec<_>>(),
        [&name("e")]
    );
}

/// The number of an earlier incarnation keeps a later one alive that has crashed.
#[test]
fn number_of_an_earlier_incarnation_is_ignored() {
    let mut registry = EndpointRegistry::default();
    registry.apply_report(at(0), &name("e"), report(2, 1));
    registry.apply_report(at(5_000), &name("other"), elsewhere());

    registry.record_unchanged(at(5_000), &name("e"), EndpointIncarnation(1));

    let service = "app".into();
    let ready = registry.ready(at(5_000), &service);
    assert_eq!(
        ready.into_iter().map(|(name, _)| name).collect::<Vec<_>>(),
        [&name("other")]
    );
}
