//! Tests of which renewals an entry requests and which answers count.

use acaciabay::core::serving::pending_renewals::PendingRenewals;

use crate::fixtures::at;

/// Guards against dropping answers that arrive after the next request was sent.
#[test]
fn an_answer_to_an_older_request_counts_from_that_request() {
    let mut renewals = PendingRenewals::default();
    let first = renewals.record_request(at(0), "held at first");
    let second = renewals.record_request(at(700), "held later");

    let late = renewals.complete(first).expect("the first is open");
    let next = renewals.complete(second).expect("the second is open");

    assert_eq!((late.requested_at, late.held), (at(0), "held at first"));
    assert_eq!((next.requested_at, next.held), (at(700), "held later"));
}

/// Guards against counting an answer twice, and against accepting one to a request older than the last answered one.
#[test]
fn an_answer_completes_its_request_once_and_drops_older_ones() {
    let mut renewals = PendingRenewals::default();
    let first = renewals.record_request(at(0), ());
    let second = renewals.record_request(at(700), ());

    assert!(renewals.complete(second).is_some());

    assert_eq!(renewals.complete(first), None);
    assert_eq!(renewals.complete(second), None);
    assert_eq!(renewals.complete(99), None);
}

#[test]
fn the_next_request_waits_for_the_last_until_a_timeout() {
    let mut renewals = PendingRenewals::default();
    assert!(renewals.can_request(at(0)));

    renewals.record_request(at(0), ());

    assert!(!renewals.can_request(at(599)));
    assert!(renewals.can_request(at(600)));
    renewals.record_request(at(600), ());
    assert!(!renewals.can_request(at(1_199)));
    assert_eq!(renewals.overdue(at(1_199)), None);
    assert_eq!(renewals.overdue(at(1_200)).map(|renewal| renewal.number), Some(2));
}

/// Guards against an unbounded number of requests to a replica that never answers.
#[test]
fn unanswered_requests_are_limited() {
    let mut renewals = PendingRenewals::default();
    let mut requested = 0;

    for second in 0..1_000 {
        let now = at(second * 1_000);
        if renewals.can_request(now) {
            renewals.record_request(now, ());
            requested += 1;
        }
    }

    assert_eq!(requested, 32);
    renewals.complete(1).expect("the first is open");
    assert!(renewals.can_request(at(1_000_000)));
}
