//! The whole path over separate processes, without faults.

use std::time::{Duration, Instant};

use acacia_standin::naive_text;
use serde_json::json;
use test_support::{ClusterShape, wait_until};

use crate::support::cluster;

#[tokio::test(flavor = "multi_thread")]
async fn completion_and_booking_come_back_whole() {
    let cluster = cluster(ClusterShape::default());
    let key = cluster.configure().await;
    let (first, second) = (cluster.caller(0, &key), cluster.caller(1, &key));
    let prompt = "estimate for a cracked top";

    let streamed = first.stream(prompt, 20).await.expect("entry-1 answers");
    let chat_body = json!({"model": "liuto-7b", "messages": [{"role": "user", "content": prompt}], "max_tokens": 5});
    let chat = second
        .post("/v1/chat/completions", &[], &chat_body)
        .await
        .expect("entry-2 answers");
    let booked = second
        .book("slot-1", &json!({"bench": 1}))
        .await
        .expect("entry-2 answers");

    assert!(streamed.whole, "stream ended early: {streamed:?}");
    assert_eq!(streamed.text, naive_text(prompt, 20));
    let usage = &streamed.chunks.last().expect("there are chunks")["usage"];
    assert_eq!(
        usage,
        &json!({"prompt_tokens": 5, "completion_tokens": 20, "total_tokens": 25})
    );
    assert_eq!(chat.body["choices"][0]["message"]["content"], naive_text(prompt, 5));
    assert_eq!((booked.status.as_u16(), &booked.body["confirmation"]), (200, &json!(1)));
    let billed = cluster
        .operator()
        .expect(hyper::Method::GET, "/v1/usage", None)
        .await
        .expect("usage can be read");
    assert_eq!(
        billed["usage"],
        json!([{"customer": "bottega-amati", "prompt_tokens": 10, "output_tokens": 25, "calls": 1}])
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn models_lists_what_the_customer_has_routes_to() {
    let cluster = cluster(ClusterShape::default());
    let key = cluster.configure().await;
    let stranger = cluster.issue_key("bottega-ruggeri").await;

    let own = cluster
        .caller(0, &key)
        .get("/v1/models")
        .await
        .expect("entry-1 answers");
    let others = cluster
        .caller(0, &stranger)
        .get("/v1/models")
        .await
        .expect("entry-1 answers");

    assert_eq!(own.body["data"][0]["id"], "liuto-7b");
    assert_eq!(others.body["data"], json!([]));
}

/// A customer's key leaks and an operator withdraws it. If an entry went on accepting it, whoever found the key could
/// go on running requests in the customer's name.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_working_within_seconds() {
    let cluster = cluster(ClusterShape::default());
    let key = cluster.configure().await;
    let callers = [cluster.caller(0, &key), cluster.caller(1, &key)];
    for caller in &callers {
        assert_eq!(caller.get("/v1/models").await.expect("entry answers").status, 200);
    }

    let withdrawn_at = Instant::now();
    cluster
        .operator()
        .withdraw_key(&key.id)
        .await
        .expect("the key can be withdrawn");

    for caller in &callers {
        wait_until("the key is refused", || async {
            (caller.get("/v1/models").await.ok()?.status == 401).then_some(())
        })
        .await;
    }
    assert!(
        withdrawn_at.elapsed() < Duration::from_secs(3),
        "it took {:?}",
        withdrawn_at.elapsed()
    );
}

/// An endpoint must never learn a key: whoever runs it could act as the customer elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_never_see_a_key() {
    let cluster = cluster(ClusterShape::default());
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);

    caller.stream("intake notes", 3).await.expect("entry-1 answers");
    caller
        .book("slot-2", &json!({"bench": 2}))
        .await
        .expect("entry-1 answers");

    for endpoint in 0..2 {
        let record = cluster.record(endpoint).await;
        assert_eq!(record.runs.len(), 1);
        assert!(
            !record.runs[0].saw_authorization,
            "an Authorization header reached the endpoint"
        );
        assert!(
            !format!("{record:?}").contains(&key.secret),
            "the key reached the endpoint"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn trace_context_and_request_id_pass_through() {
    let cluster = cluster(ClusterShape::default());
    let key = cluster.configure().await;
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let traceparent = format!("00-{trace}-00f067aa0ba902b7-01");
    let headers = [
        ("traceparent", traceparent.as_str()),
        ("x-request-id", "mine-7"),
        ("idempotency-key", "k"),
    ];

    let answer = cluster
        .caller(0, &key)
        .post("/v1/services/booking/slots", &headers, &json!({}))
        .await;

    assert_eq!(answer.expect("entry-1 answers").headers["x-request-id"], "mine-7");
    let run = &cluster.record(1).await.runs[0];
    assert!(
        run.traceparent.contains(trace),
        "the trace was lost: {}",
        run.traceparent
    );
    assert!(
        !run.traceparent.contains("00f067aa0ba902b7"),
        "the hop has no span of its own"
    );
}
