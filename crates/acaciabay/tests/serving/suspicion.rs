//! Tests of the detection of silent endpoints and of sharing suspicions among entries.

use std::collections::BTreeSet;
use std::time::Duration;

use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::answer_pace::AnswerLatency;
use acaciabay::core::serving::endpoint_load::LoadTable;
use acaciabay::core::serving::shared_suspicion::shared_suspicions;

use crate::fixtures::{at, domains, name};

fn shared(suspicions: &[(DomainName, EndpointName)]) -> BTreeSet<EndpointName> {
    let rows = suspicions.iter().map(|(domain, endpoint)| (domain, endpoint));
    shared_suspicions(rows).into_iter().cloned().collect()
}

/// Guards against every entry losing a call to a dead engine before it avoids the engine: with two hundred entries,
/// that is two hundred calls.
#[test]
fn engine_that_two_domains_find_silent_is_avoided_by_all() {
    let domains = domains(&["a", "b"]);
    let suspicions = [(domains[0].clone(), name("e")), (domains[1].clone(), name("e"))];

    let mut other = LoadTable::default();
    other.set_peer_suspicions(shared(&suspicions));

    assert!(other.is_suspected(at(0), &name("e")));
    assert!(!other.is_suspected(at(0), &name("f")));
    // A shared suspicion ends when the other entries withdraw it, and this entry does not report it as its own.
    assert_eq!(other.silent_endpoints(at(0)).count(), 0);
    other.set_peer_suspicions([]);
    assert!(!other.is_suspected(at(0), &name("e")));
}

/// When the network between two failure domains is cut, entries of one find all engines of the other silent although
/// the engines are healthy. The other entries must not avoid them.
#[test]
fn suspicion_of_one_domain_is_not_shared() {
    let domains = domains(&["a"]);
    let suspicions = [(domains[0].clone(), name("e")), (domains[0].clone(), name("e"))];

    assert!(shared(&suspicions).is_empty());
}

/// The suspicion timeout follows the usual time to first answer. An engine that is silent for three seconds where
/// answers usually begin within 50 ms must be suspected early, since its call is stuck until then.
#[test]
fn suspicion_timeout_follows_the_usual_latency() {
    let mut latency = AnswerLatency::default();
    assert_eq!(latency.suspicion_timeout(), None);

    for _ in 0..200 {
        latency.record(Duration::from_millis(50));
    }
    assert_eq!(latency.suspicion_timeout(), Some(Duration::from_millis(400)));

    // Under load all engines are slow, which must not make them suspect.
    for _ in 0..200 {
        latency.record(Duration::from_millis(900));
    }
    assert!(latency.suspicion_timeout() > Some(Duration::from_millis(1_800)));
}

/// A suspected engine that answers after all is used again at once, so that its capacity is not lost.
#[test]
fn answer_ends_the_suspicion() {
    let mut loads = LoadTable::default();
    loads.record_silence(at(0), &name("e"));
    assert_eq!(loads.silent_endpoints(at(500)).count(), 1);

    loads.record_success(&name("e"));

    assert_eq!(loads.silent_endpoints(at(500)).count(), 0);
    assert!(!loads.is_suspected(at(500), &name("e")));
}

/// An entry that finds its own paths lost would report the endpoints as silent once it is no longer cut off.
#[test]
fn nothing_is_held_against_endpoints_once_the_paths_to_them_are_found_lost() {
    let mut loads = LoadTable::default();
    loads.record_silence(at(1_000), &name("e"));
    loads.record_unreachable(at(1_000), &name("f"));

    loads.clear_suspicions();

    assert_eq!(loads.silent_endpoints(at(1_001)).count(), 0);
    assert!(!loads.is_suspected(at(1_001), &name("e")));
    assert!(!loads.is_suspected(at(1_001), &name("f")));
}
