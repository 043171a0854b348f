//! Calls that may run at most once, under resends and kills. The stand-in's own record is the judge.

use serde_json::{Value, json};
use test_support::{Caller, ClusterShape, TestCluster, wait_until};

use crate::support::cluster;

/// The place of the one booking service among the endpoints.
const BOOKING: usize = 0;

async fn booking_cluster(controls: usize) -> (TestCluster, Caller, Caller) {
    let cluster = cluster(ClusterShape {
        controls,
        engines: 0,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let callers = (cluster.caller(0, &key), cluster.caller(1, &key));
    (cluster, callers.0, callers.1)
}

async fn runs(cluster: &TestCluster) -> usize {
    cluster.record(BOOKING).await.runs.len()
}

fn code(body: &Value) -> &str {
    body["error"]["code"].as_str().unwrap_or_default()
}

/// A caller's answer is lost, and it sends the same booking again, through another entry. It must get the answer of the
/// one booking; a second one would block a second bench.
#[tokio::test(flavor = "multi_thread")]
async fn resend_through_another_entry_gets_the_stored_answer() {
    let (cluster, first, second) = booking_cluster(1).await;
    let body = json!({"bench": 1, "slot": "09:00"});

    let original = first.book("order-1", &body).await.expect("entry-1 answers");
    let resent = second.book("order-1", &body).await.expect("entry-2 answers");

    assert_eq!(original.status.as_u16(), 200, "{}", original.body);
    assert_eq!((original.status, original.body), (resent.status, resent.body));
    assert_eq!(runs(&cluster).await, 1);
}

/// A client's retry logic sends the same booking many times at once through both entries.
#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_resends_run_once() {
    let (cluster, first, second) = booking_cluster(3).await;
    cluster.set_faults(BOOKING, &json!({"delay_answers_ms": 200})).await;
    let body = json!({"bench": 2});

    let sends = (0..20).map(|number| {
        let caller = if number % 2 == 0 { first.clone() } else { second.clone() };
        let body = body.clone();
        tokio::spawn(async move { caller.book("order-2", &body).await.expect("the entry answers") })
    });
    let mut answered = 0;
    for send in sends.collect::<Vec<_>>() {
        let answer = send.await.expect("the send does not panic");
        match answer.status.as_u16() {
            200 => answered += 1,
            409 => assert_eq!(code(&answer.body), "already_running"),
            other => panic!("unexpected {other}: {}", answer.body),
        }
    }

    assert!(answered >= 1);
    assert_eq!(runs(&cluster).await, 1);
}

/// The service runs a booking and its answer is lost. Nobody can know from outside whether it ran, so the caller must
/// be told exactly that, now and at every resend, and it must never run again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_unknown_for_good() {
    let (cluster, first, second) = booking_cluster(1).await;
    cluster.set_faults(BOOKING, &json!({"lose_answers": 1})).await;
    let body = json!({"bench": 3});

    let lost = first.book("order-3", &body).await.expect("entry-1 answers");
    let resent = second.book("order-3", &body).await.expect("entry-2 answers");

    for answer in [&lost, &resent] {
        assert_eq!((answer.status.as_u16(), code(&answer.body)), (502, "outcome_unknown"));
        assert_eq!(answer.body["error"]["not_run"], json!(false));
    }
    assert_eq!(runs(&cluster).await, 1);
}

/// The service's answer has neither a length nor chunks, and its connection is closed in the middle. Taken for the whole, half
/// of a confirmation would be stored and be the answer to every resend.
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_framing_is_unknown_and_not_stored() {
    let (cluster, first, second) = booking_cluster(1).await;
    cluster.set_faults(BOOKING, &json!({"cut_answers": 1})).await;
    let body = json!({"bench": 3});

    let cut = first.book("order-3", &body).await.expect("entry-1 answers");
    let resent = second.book("order-3", &body).await.expect("entry-2 answers");

    for answer in [&cut, &resent] {
        assert_eq!((answer.status.as_u16(), code(&answer.body)), (502, "outcome_unknown"));
    }
    assert_eq!(runs(&cluster).await, 1);
}

/// The service refuses a booking and says that it did not run it. That is certain, so the claim is given back, and the
/// resend may run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_call_is_not_run_and_may_be_sent_again() {
    let (cluster, first, second) = booking_cluster(1).await;
    cluster.set_faults(BOOKING, &json!({"refuse": 1})).await;
    let body = json!({"bench": 4});

    let refused = first.book("order-4", &body).await.expect("entry-1 answers");
    let resent = second.book("order-4", &body).await.expect("entry-2 answers");

    assert_eq!(
        (refused.status.as_u16(), &refused.body["error"]["not_run"]),
        (503, &json!(true))
    );
    assert_eq!(resent.status.as_u16(), 200, "{}", resent.body);
    assert_eq!(runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_with_another_call_is_refused() {
    let (cluster, first, second) = booking_cluster(1).await;

    first
        .book("order-5", &json!({"bench": 5}))
        .await
        .expect("entry-1 answers");
    let other = second
        .book("order-5", &json!({"bench": 6}))
        .await
        .expect("entry-2 answers");
    let missing = second
        .post("/v1/services/booking/slots", &[], &json!({}))
        .await
        .expect("entry-2 answers");

    assert_eq!(
        (other.status.as_u16(), code(&other.body)),
        (422, "idempotency_key_reused")
    );
    assert_eq!(
        (missing.status.as_u16(), code(&missing.body)),
        (400, "idempotency_key_missing")
    );
    assert_eq!(runs(&cluster).await, 1);
}

/// The entry dies after it has written a booking and before the answer came. A resend must not conclude from the dead
/// entry that the booking was not run.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_the_write_leaves_the_outcome_unknown() {
    let (mut cluster, first, second) = booking_cluster(1).await;
    cluster.set_faults(BOOKING, &json!({"delay_answers_ms": 3_000})).await;
    let body = json!({"bench": 7});

    let sent = tokio::spawn({
        let body = body.clone();
        async move { first.book("order-7", &body).await }
    });
    wait_until("the booking has arrived", || async {
        (runs(&cluster).await == 1).then_some(())
    })
    .await;
    cluster.entries[0].take().expect("the entry runs").kill();
    let running = second.book("order-7", &body).await.expect("entry-2 answers");
    cluster.start_entry(0);
    let unknown = wait_until("the claim's holder is known to be gone", || async {
        let answer = second.book("order-7", &body).await.ok()?;
        (code(&answer.body) == "outcome_unknown").then_some(answer)
    })
    .await;

    assert!(
        sent.await.expect("the send does not panic").is_err(),
        "a killed entry cannot have answered"
    );
    assert_eq!((running.status.as_u16(), code(&running.body)), (409, "already_running"));
    assert_eq!(unknown.body["error"]["not_run"], json!(false));
    assert_eq!(runs(&cluster).await, 1);
}

/// The leader of the control group dies while bookings are under way. Each must come to one answer, and none may run
/// twice, although the entries send their claims again to the next leader.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_while_the_leader_changes() {
    let (mut cluster, first, second) = booking_cluster(3).await;
    let leader = cluster.leader().await;

    let sends = (0..60).map(|number| {
        let callers = [first.clone(), second.clone()];
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(number * 30)).await;
            let key = format!("order-8-{number}");
            let body = json!({"bench": number});
            // A caller with a refusal or without an answer sends again, alternating between the entries.
            for round in 0..40_usize {
                let sent = callers[(round + usize::try_from(number).unwrap_or(0)) % 2]
                    .book(&key, &body)
                    .await;
                match sent {
                    Ok(answer) if answer.status == 200 => return true,
                    _ => tokio::time::sleep(std::time::Duration::from_millis(200)).await,
                }
            }
            false
        })
    });
    let sends: Vec<_> = sends.collect();
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    cluster.controls[leader].take().expect("the leader runs").kill();
    for send in sends {
        assert!(
            send.await.expect("the send does not panic"),
            "a booking came to no answer"
        );
    }

    let mut bodies: Vec<String> = cluster
        .record(BOOKING)
        .await
        .runs
        .into_iter()
        .map(|run| run.body)
        .collect();
    let all = bodies.len();
    bodies.sort();
    bodies.dedup();
    assert_eq!((all, bodies.len()), (60, 60), "a booking ran twice or not at all");
}
