//! Tests of the examination whether an endpoint ended with the connection of an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::broken_attempt::{
    BreakExamination, BreakVerdict, BrokenAttempt, EndpointSighting, PortState, examine_break,
};
use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointPhase, EndpointRegistry, ServingEndpoint,
};

use crate::fixtures::{at, endpoint, name};
use crate::suspects::{fingerprint, identity};

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 80);

fn reported(incarnation: u64, sequence: u64, phase: EndpointPhase) -> ServingEndpoint {
    ServingEndpoint {
        address: ADDRESS,
        incarnation: EndpointIncarnation(incarnation),
        sequence,
        phase,
        ..endpoint("a")
    }
}

fn broken(port: PortState) -> BrokenAttempt {
    BrokenAttempt {
        parts: Vec::new(),
        call: identity(1, "one"),
        endpoint: name("e"),
        incarnation: EndpointIncarnation(1),
        address: ADDRESS,
        sent_at: at(900),
        broken_at: at(1_000),
        port,
    }
}

fn registry_with(reports: &[(BootTime, &str, ServingEndpoint)]) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for (now, endpoint, report) in reports {
        registry.apply_report(*now, &name(endpoint), report.clone());
    }
    registry
}

/// Examines a break by what the registry has seen.
fn examine(now: BootTime, port: PortState, registry: &EndpointRegistry) -> BreakVerdict {
    let broken = broken(port);
    examine_break(now, &broken, &registry.sighting(&broken))
}

#[test]
fn refused_connection_shows_that_the_endpoint_ended() {
    let registry = registry_with(&[(at(500), "e", reported(1, 1, EndpointPhase::Ready))]);

    let verdict = examine(at(1_001), PortState::Refused, &registry);

    assert_eq!(verdict, BreakVerdict::Ended);
}

/// Guards against an endpoint that is back so soon that its port answers.
#[test]
fn successor_at_the_address_shows_that_the_endpoint_ended() {
    let ready = EndpointPhase::Ready;
    let same_name = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (at(1_500), "e", reported(2, 1, ready)),
    ]);
    let other_name = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (at(1_500), "f", reported(2, 1, ready)),
    ]);

    for registry in [same_name, other_name] {
        let verdict = examine(at(1_600), PortState::Open, &registry);
        assert_eq!(verdict, BreakVerdict::Ended);
    }
}

/// Guards against blame for calls that a reset of connections breaks.
#[test]
fn endpoint_that_goes_on_reporting_has_not_ended() {
    let ready = EndpointPhase::Ready;
    let registry = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (at(2_100), "e", reported(1, 2, ready)),
    ]);

    let verdict = examine(at(2_200), PortState::Open, &registry);

    assert_eq!(verdict, BreakVerdict::Innocent);
}

/// Guards against blame for calls on an endpoint that leaves as planned or is reclaimed.
#[test]
fn endpoint_that_leaves_as_planned_proves_nothing() {
    for phase in [EndpointPhase::Draining, EndpointPhase::Gone] {
        let registry = registry_with(&[(at(500), "e", reported(1, 1, phase))]);

        let verdict = examine(at(1_100), PortState::Refused, &registry);

        assert_eq!(verdict, BreakVerdict::Innocent);
    }
}

/// Guards against blame for calls that an entry loses because it is cut off itself.
#[test]
fn silence_counts_only_while_other_endpoints_report() {
    let ready = EndpointPhase::Ready;
    let alone = registry_with(&[(at(500), "e", reported(1, 1, ready))]);
    let others_report = registry_with(&[
        (at(500), "e", reported(1, 1, ready)),
        (
            at(3_000),
            "f",
            ServingEndpoint {
                address: SocketAddr::from(([127, 0, 0, 2], 80)),
                ..reported(1, 1, ready)
            },
        ),
    ]);

    let now = at(1_000) + Duration::from_millis(2_700);
    assert_eq!(examine(now, PortState::Silent, &alone), BreakVerdict::Undecided);
    assert_eq!(examine(now, PortState::Silent, &others_report), BreakVerdict::Ended);
    assert_eq!(examine(at(5_000), PortState::Silent, &alone), BreakVerdict::Innocent);
}

/// Guards against a break that is examined for longer than it takes until the call is answered whole elsewhere.
#[test]
fn whole_answer_ends_the_examination() {
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Open));

    examination.forget(&fingerprint(1));

    assert!(examination.is_empty());
}

/// Guards against a connection attempt before the break that is taken for one after it.
#[test]
fn port_state_from_before_a_break_says_nothing() {
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Unknown));

    examination.record_port(at(999), ADDRESS, PortState::Refused);
    assert_eq!(examination.due_ports(at(1_000)).len(), 1);
    examination.record_port(at(1_000), ADDRESS, PortState::Refused);

    let decided = examination.take_decided(at(1_001), |_broken| Some(EndpointSighting::default()));
    assert_eq!(decided.len(), 1);
    assert!(examination.is_empty());
}

/// Guards against a process that closes its port after its connections: found open, it would count as alive until its
/// successor reports, and the call that ended it would end more.
#[test]
fn a_port_that_is_still_open_is_asked_again() {
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Unknown));
    let mut asked = Vec::new();

    for millis in (1_000..3_000).step_by(10) {
        if !examination.due_ports(at(millis)).is_empty() {
            asked.push(millis - 1_000);
            examination.record_port(at(millis), ADDRESS, PortState::Open);
        }
    }

    assert_eq!(asked, [0, 50, 150, 350, 750, 1_150, 1_550, 1_950]);
}

/// Guards against an entry that finds out by itself, seconds after the others, that an endpoint has ended.
#[test]
fn an_ending_that_the_group_knows_needs_no_other_proof() {
    let sighting = EndpointSighting {
        has_ended: true,
        ..EndpointSighting::default()
    };

    for port in [PortState::Open, PortState::Silent, PortState::Unknown] {
        assert_eq!(examine_break(at(1_100), &broken(port), &sighting), BreakVerdict::Ended);
    }
}

/// Guards against an entry that never learns that a port has closed, because its first attempt had no answer.
#[test]
fn a_port_that_was_silent_is_asked_again() {
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Unknown));

    examination.record_port(at(1_000), ADDRESS, PortState::Silent);

    assert!(examination.due_ports(at(1_040)).is_empty());
    assert_eq!(examination.due_ports(at(1_050)).len(), 1);
}

#[test]
fn a_port_that_refuses_when_asked_again_shows_that_the_endpoint_ended() {
    let registry = registry_with(&[(at(500), "e", reported(1, 1, EndpointPhase::Ready))]);
    let mut examination = BreakExamination::default();
    examination.add(broken(PortState::Unknown));
    examination.record_port(at(1_000), ADDRESS, PortState::Open);
    examination.record_port(at(1_050), ADDRESS, PortState::Refused);

    let decided = examination.take_decided(at(1_051), |broken| Some(registry.sighting(broken)));

    let verdicts: Vec<BreakVerdict> = decided.iter().map(|(_, verdict)| *verdict).collect();
    assert_eq!(verdicts, [BreakVerdict::Ended]);
}
