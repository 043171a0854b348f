//! Input that cannot be served: each gets its status at once, nothing runs, and the process goes on.

use std::time::Duration;

use serde_json::{Value, json};
use test_support::{Caller, ClusterShape, TestCluster};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::cluster;

async fn ready_cluster() -> (TestCluster, Caller) {
    let cluster = cluster(ClusterShape {
        entries: 1,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);
    (cluster, caller)
}

async fn assert_still_serving(cluster: &TestCluster, caller: &Caller) {
    let record = cluster.record(0).await;
    assert!(record.runs.is_empty(), "something ran: {record:?}");
    assert_eq!(caller.get("/v1/models").await.expect("the entry goes on").status, 200);
}

/// Sends bytes over a connection of its own and returns all that comes back.
async fn send_raw(cluster: &TestCluster, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.entry_address(0, 0))
        .await
        .expect("the entry listens");
    stream.write_all(bytes).await.expect("the entry reads");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the entry kept the connection open");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_with_their_place() {
    let (cluster, caller) = ready_cluster().await;
    let cases = [
        (json!([1]), 400, "bad_json", "expected an object"),
        (json!({"prompt": "x"}), 400, "bad_field", "/model: missing"),
        (
            json!({"model": 7, "prompt": "x"}),
            400,
            "bad_field",
            "/model: expected a string",
        ),
        (
            json!({"model": "liuto-7b", "prompt": "x", "max_tokens": 0}),
            400,
            "bad_field",
            "/max_tokens",
        ),
        (
            json!({"model": "liuto-7b", "prompt": "x", "n": 2}),
            400,
            "unsupported",
            "/n",
        ),
        (
            json!({"model": "unheard-of", "prompt": "x"}),
            404,
            "model_not_found",
            "unheard-of",
        ),
    ];

    for (body, status, code, message) in cases {
        let answer = caller
            .post("/v1/completions", &[], &body)
            .await
            .expect("the entry answers");

        let error = &answer.body["error"];
        assert_eq!(
            (answer.status.as_u16(), &error["code"]),
            (status, &json!(code)),
            "{body}"
        );
        assert!(
            error["message"].as_str().is_some_and(|text| text.contains(message)),
            "{error}"
        );
        assert_eq!(error["not_run"], json!(true));
    }
    assert_still_serving(&cluster, &caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_and_wrong_keys_are_refused() {
    let (cluster, caller) = ready_cluster().await;
    let stranger = Caller::new(caller.entry, "ak-unknown");

    let wrong = stranger.get("/v1/models").await.expect("the entry answers");
    let missing = send_raw(
        &cluster,
        b"GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    )
    .await;

    assert_eq!(
        (wrong.status.as_u16(), &wrong.body["error"]["type"]),
        (401, &json!("authentication_error"))
    );
    assert!(missing.starts_with("HTTP/1.1 401"), "{missing}");
    assert_still_serving(&cluster, &caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_bodies_and_heads_are_refused() {
    let (cluster, caller) = ready_cluster().await;
    let body = json!({"model": "liuto-7b", "prompt": "x".repeat(100_000)});
    let head = format!(
        "GET /v1/models HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n",
        "y".repeat(100_000)
    );

    let large_body = caller
        .post("/v1/completions", &[], &body)
        .await
        .expect("the entry answers");
    let large_head = send_raw(&cluster, head.as_bytes()).await;

    assert_eq!(large_body.status.as_u16(), 413, "{}", large_body.body);
    assert!(large_head.starts_with("HTTP/1.1 431"), "{large_head}");
    assert_still_serving(&cluster, &caller).await;
}

/// A client opens a connection and sends a byte now and then. Without a bound, a few hundred such clients would hold
/// all connections, and callers could no longer connect.
#[tokio::test(flavor = "multi_thread")]
async fn slow_clients_are_cut_off() {
    let (cluster, caller) = ready_cluster().await;
    let slow_head = b"GET /v1/models HTTP/1.1\r\nhost: a\r\n";
    let slow_body = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\ncontent-length: 50\r\n\r\n{{",
        caller.key
    );

    let (head_answer, body_answer) =
        tokio::join!(send_raw(&cluster, slow_head), send_raw(&cluster, slow_body.as_bytes()));

    assert!(
        head_answer.is_empty() || head_answer.starts_with("HTTP/1.1 408"),
        "{head_answer}"
    );
    assert!(body_answer.starts_with("HTTP/1.1 408"), "{body_answer}");
    assert_still_serving(&cluster, &caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn route_to_a_missing_pool_is_refused_as_not_run_until_the_pool_exists() {
    let (cluster, caller) = ready_cluster().await;
    let pools = cluster.operator().read_table("pools").await.expect("pools can be read")["rows"].clone();
    cluster.apply("pools", &json!([])).await;
    let body = json!({"model": "liuto-7b", "prompt": "x", "max_tokens": 2});

    let refused = caller
        .post("/v1/completions", &[], &body)
        .await
        .expect("the entry answers");
    cluster.apply("pools", &pools).await;
    let served = caller
        .post("/v1/completions", &[], &body)
        .await
        .expect("the entry answers");

    assert_eq!(
        (refused.status.as_u16(), &refused.body["error"]["code"]),
        (503, &json!("no_pool"))
    );
    assert_eq!(refused.body["error"]["not_run"], json!(true));
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(served.status.as_u16(), 200, "{}", served.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_reports_of_endpoints_change_nothing() {
    let (cluster, caller) = ready_cluster().await;
    let address = cluster.entry_address(0, 1);
    let bodies = [
        json!({}),
        json!({"endpoint": "engine-9", "address": "nowhere"}),
        Value::Null,
    ];

    for body in &bodies {
        let request = acacia_http::FetchRequest::post("/v1/endpoints/report", body);
        let answer = acacia_http::fetch_json(address, request, Duration::from_secs(5))
            .await
            .expect("the entry answers");
        assert_eq!(answer.status.as_u16(), 400);
    }

    assert_still_serving(&cluster, &caller).await;
}
