//! Rows of endpoints on the wire, also between processes of different releases.

use acacia_wire::generated::serving::EndpointRow;
use acacia_wire::{endpoint_from_wire, endpoint_to_wire};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EndpointPhase, EngineStage, ServingEndpoint};
use acaciabay::core::serving::software_version::SoftwareVersion;
use prost::Message;

fn endpoint(version: Option<&str>) -> (EndpointName, ServingEndpoint) {
    let endpoint = ServingEndpoint {
        service: "llm".into(),
        address: ([10, 0, 0, 1], 8_000).into(),
        domain: "a".into(),
        slots: 64,
        phase: EndpointPhase::Ready,
        stage: Some(EngineStage::Decode),
        reclaimable: false,
        version: version.and_then(SoftwareVersion::from_text),
        incarnation: EndpointIncarnation(17),
        sequence: 4,
    };
    ("i-7".into(), endpoint)
}

fn passed_on(message: &EndpointRow) -> (EndpointName, ServingEndpoint) {
    let read = EndpointRow::decode(message.encode_to_vec().as_slice()).expect("it was encoded just now");
    endpoint_from_wire(&read).expect("the row is well formed")
}

#[test]
fn a_row_keeps_the_version_of_the_software() {
    for version in [Some("v1.1"), None] {
        let (name, endpoint) = endpoint(version);

        let message = endpoint_to_wire(&name, &endpoint);

        assert_eq!(passed_on(&message), (name, endpoint));
    }
}

/// A row of an earlier release has no version, and one that is empty must not count as the same as another that is empty.
#[test]
fn a_row_without_a_version_has_an_unknown_one() {
    let (name, endpoint) = endpoint(Some("v1.1"));
    for version in [None, Some(String::new())] {
        let message = EndpointRow {
            version,
            ..endpoint_to_wire(&name, &endpoint)
        };

        assert_eq!(passed_on(&message).1.version, None);
    }
}
