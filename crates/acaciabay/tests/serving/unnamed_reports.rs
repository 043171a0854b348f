//! Tests of reports that name a service which the configuration does not name.

use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_registry::ServingEndpoint;
use acaciabay::core::serving::unnamed_reports::UnnamedReports;

use crate::fixtures::{at, endpoint, name};

fn of(service: &str) -> ServingEndpoint {
    ServingEndpoint {
        service: service.into(),
        ..endpoint("a")
    }
}

fn named(reports: &mut UnnamedReports, now_ms: u64, service: &str) -> Vec<EndpointName> {
    let service = ServiceName::new(service);
    let taken = reports.take_named(at(now_ms), |known| *known == service);
    taken.into_iter().map(|(name, _)| name).collect()
}

/// Guards against endpoints that report before the configuration that names their service and are not used when it comes.
#[test]
fn a_report_is_taken_when_its_service_is_named() {
    let mut reports = UnnamedReports::default();
    reports.keep(at(0), &name("early"), of("new"));
    reports.keep(at(0), &name("odd"), of("nowhere"));

    assert_eq!(named(&mut reports, 1_000, "new"), [name("early")]);
    assert_eq!(named(&mut reports, 1_000, "new"), []);
}

/// Guards against calls that are sent to an endpoint which has left before its service was named.
#[test]
fn an_endpoint_that_is_silent_or_has_left_is_not_taken() {
    let mut reports = UnnamedReports::default();
    reports.keep(at(0), &name("silent"), of("new"));
    reports.keep(at(4_000), &name("left"), of("new"));

    reports.forget(&name("left"));

    assert_eq!(named(&mut reports, 5_000, "new"), []);
    assert!(reports.is_empty());
}

/// Guards against a writer of odd reports that fills the memory of a core machine.
#[test]
fn kept_reports_are_bounded() {
    let mut reports = UnnamedReports::default();

    for number in 0..10_000 {
        reports.keep(at(0), &name(&format!("odd-{number}")), of("new"));
    }

    assert!(named(&mut reports, 10, "new").len() < 5_000);
}
