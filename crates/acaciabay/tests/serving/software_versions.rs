//! Tests of the choice of endpoints that may write the rest of a stream.

use std::time::Duration;

use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointPhase, EndpointRegistry, REPORT_TIMEOUT, ServingEndpoint,
};
use acaciabay::core::serving::software_version::{SoftwareVersion, StreamVersion};

use crate::fixtures::{at, endpoint, name};

const DRAIN_WINDOW: Duration = Duration::from_secs(1);

fn version(text: &str) -> Option<SoftwareVersion> {
    SoftwareVersion::from_text(text)
}

fn only(text: &str) -> StreamVersion {
    StreamVersion::Only(version(text).expect("the text is usable"))
}

/// Report of an engine at an address of its own.
fn report(number: u8, sequence: u64, text: &str) -> ServingEndpoint {
    ServingEndpoint {
        address: ([10, 0, 0, number], 8_000).into(),
        sequence,
        version: version(text),
        ..endpoint("a")
    }
}

fn registry(reports: impl IntoIterator<Item = ServingEndpoint>) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for (number, report) in (1..).zip(reports) {
        registry.apply_report(at(0), &name(&format!("e-{number}")), report);
    }
    registry
}

fn resumable(registry: &EndpointRegistry, millis: u64, version: &StreamVersion) -> Vec<String> {
    let service = "llm".into();
    let rows = registry.resumable(at(millis), &service, version, DRAIN_WINDOW);
    rows.into_iter().map(|(name, _)| name.to_string()).collect()
}

/// Versions have no order, and one that begins like another is another one.
#[test]
fn a_stream_goes_on_at_the_very_same_version_only() {
    let registry = registry([
        report(1, 1, "v1"),
        report(2, 1, "v1.1"),
        report(3, 1, "V1"),
        report(4, 1, "v1 "),
    ]);

    assert_eq!(resumable(&registry, 10, &only("v1")), ["e-1"]);
    assert_eq!(resumable(&registry, 10, &only("v1 ")), ["e-4"]);
    assert!(resumable(&registry, 10, &only("v2")).is_empty());
}

/// Two endpoints that have told no version would otherwise count as the same.
#[test]
fn an_unknown_version_is_not_the_same_as_another() {
    let registry = registry([report(1, 1, ""), report(2, 1, ""), report(3, 1, "v1")]);

    assert!(resumable(&registry, 10, &StreamVersion::Unknown).is_empty());
    assert_eq!(resumable(&registry, 10, &only("v1")), ["e-3"]);
    assert_eq!(
        StreamVersion::begun_by(report(1, 1, "").version.as_ref()),
        StreamVersion::Unknown
    );
    assert_eq!(resumable(&registry, 10, &StreamVersion::Any).len(), 3);
}

/// A version is kept for each stream, so a long one would fill the memory.
#[test]
fn a_version_that_is_too_long_is_unknown() {
    let longest = "v".repeat(SoftwareVersion::MAX_BYTES);

    assert!(version(&longest).is_some());
    assert_eq!(version(&format!("{longest}v")), None);
}

/// An endpoint whose reports are cut off may have started again at another version. If all are cut off, no row is believed.
#[test]
fn a_silent_endpoint_does_not_go_on_even_if_all_are_silent() {
    let registry = registry([report(1, 1, "v1"), report(2, 1, "v1")]);
    let silence = u64::try_from(REPORT_TIMEOUT.as_millis()).expect("it is short");

    assert_eq!(resumable(&registry, silence - 1, &only("v1")).len(), 2);
    assert!(resumable(&registry, silence, &only("v1")).is_empty());
    assert_eq!(registry.ready(at(silence), &"llm".into()).len(), 2);
}

/// In a rolling update the engines of the old version are often those that leave. A request that comes late, or to one that
/// has been leaving for an unknown time, would meet an engine that is gone.
#[test]
fn a_draining_endpoint_goes_on_for_a_while() {
    let mut registry = registry([report(1, 1, "v1")]);
    let draining = |number, sequence| ServingEndpoint {
        phase: EndpointPhase::Draining,
        ..report(number, sequence, "v1")
    };
    registry.apply_report(at(100), &name("e-1"), draining(1, 2));
    registry.apply_report(at(100), &name("first-heard"), draining(2, 9));
    registry.apply_report(at(900), &name("e-1"), draining(1, 3));

    assert_eq!(resumable(&registry, 1_099, &only("v1")), ["e-1"]);
    assert!(resumable(&registry, 1_100, &only("v1")).is_empty());
    assert!(registry.ready(at(200), &"llm".into()).is_empty());
}

/// A process of an earlier release passes reports on without the version.
#[test]
fn a_version_is_kept_within_an_incarnation_only() {
    let mut registry = registry([report(1, 1, "v1")]);
    registry.apply_report(at(10), &name("e-1"), report(1, 2, ""));
    let kept = resumable(&registry, 20, &only("v1"));
    let restarted = ServingEndpoint {
        incarnation: EndpointIncarnation(2_000),
        ..report(1, 1, "")
    };

    registry.apply_report(at(30), &name("e-1"), restarted);

    assert_eq!(kept, ["e-1"]);
    assert!(resumable(&registry, 40, &only("v1")).is_empty());
}

/// An endpoint that has started again under its name resumes whatever it is asked to, and its row may be older than the start.
#[test]
fn what_a_restarted_endpoint_writes_is_of_an_unknown_version() {
    let chosen = report(1, 1, "v1");
    let restarted = |text| ServingEndpoint {
        incarnation: EndpointIncarnation(2_000),
        ..report(1, 1, text)
    };
    let written = |after: Option<ServingEndpoint>| {
        let mut registry = registry([chosen.clone()]);
        if let Some(report) = after {
            registry.apply_report(at(10), &name("e-1"), report);
        }
        registry.written_version(&name("e-1"), &chosen)
    };

    assert_eq!(written(None), only("v1"));
    assert_eq!(written(Some(restarted("v1"))), only("v1"));
    assert_eq!(written(Some(restarted("v1.1"))), StreamVersion::Unknown);
    assert_eq!(written(Some(restarted(""))), StreamVersion::Unknown);
}

/// The departure of an incarnation that has not reported yet says nothing of its version.
#[test]
fn a_departure_of_a_later_incarnation_drops_the_version() {
    let mut registry = registry([report(1, 1, "v1")]);

    registry.mark_gone(&name("e-1"), Some(EndpointIncarnation(2_000)));

    let row = registry.get(&name("e-1"));
    assert_eq!(row.and_then(|row| row.version.clone()), None);
}
