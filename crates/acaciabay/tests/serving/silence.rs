//! When an endpoint is taken for dead, and who is told.

use std::collections::BTreeSet;
use std::time::Duration;

use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::answer_pace::AnswerPace;
use acaciabay::core::serving::endpoint_load::LoadTable;
use acaciabay::core::serving::shared_suspicion::shared_suspicions;

use crate::fixtures::{at, domains, name};

fn shared(suspicions: &[(DomainName, EndpointName)]) -> BTreeSet<EndpointName> {
    let rows = suspicions.iter().map(|(domain, endpoint)| (domain, endpoint));
    shared_suspicions(rows).into_iter().cloned().collect()
}

/// An engine dies without a word. Of two hundred entries each would lose a call to it before it left the engine out.
#[test]
fn an_engine_that_two_domains_find_silent_is_left_out_by_all() {
    let domains = domains(&["a", "b"]);
    let suspicions = [(domains[0].clone(), name("e")), (domains[1].clone(), name("e"))];

    let mut other = LoadTable::default();
    other.hear_silent(shared(&suspicions));

    assert!(other.is_suspected(at(0), &name("e")));
    assert!(!other.is_suspected(at(0), &name("f")));
    // Others' word ends when they have no more doubt, and is not passed on as this entry's own.
    assert_eq!(other.silent_endpoints(at(0)).count(), 0);
    other.hear_silent([]);
    assert!(!other.is_suspected(at(0), &name("e")));
}

/// The way between two failure domains is cut. Entries of one find all engines of the other silent, which are well.
#[test]
fn what_one_domain_finds_silent_is_its_own_affair() {
    let domains = domains(&["a"]);
    let suspicions = [(domains[0].clone(), name("e")), (domains[0].clone(), name("e"))];

    assert!(shared(&suspicions).is_empty());
}

/// An engine is silent for three seconds, with answers usually there in a twentieth of one. A call that it takes is lost
/// for as long as it is waited for.
#[test]
fn silence_is_measured_by_what_is_usual() {
    let mut pace = AnswerPace::default();
    assert_eq!(pace.doubt_after(), None);

    for _ in 0..200 {
        pace.note(Duration::from_millis(50));
    }
    assert_eq!(pace.doubt_after(), Some(Duration::from_millis(400)));

    // Under load all engines are slow, and none of them is dead.
    for _ in 0..200 {
        pace.note(Duration::from_millis(900));
    }
    assert!(pace.doubt_after() > Some(Duration::from_millis(1_800)));
}

/// The engine answers after all. Left out for longer, it would be missed.
#[test]
fn an_answer_ends_the_doubt() {
    let mut loads = LoadTable::default();
    loads.note_silent(at(0), &name("e"));
    assert_eq!(loads.silent_endpoints(at(500)).count(), 1);

    loads.note_success(&name("e"));

    assert_eq!(loads.silent_endpoints(at(500)).count(), 0);
    assert!(!loads.is_suspected(at(500), &name("e")));
}
