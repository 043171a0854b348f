//! Planned changes cut no request and lose no usage.

use std::time::{Duration, Instant};

use acacia_standin::{RunState, naive_text};
use hyper::Method;
use serde_json::json;
use test_support::{Caller, ClusterShape, Program, StreamedAnswer, TestCluster, wait_until};
use tokio::task::JoinHandle;

use crate::support::cluster;

const TOKENS: u64 = 600;
/// How long a process may take to notice that it was asked to stop; on a busy host it is some milliseconds.
const SIGNAL_PATIENCE: Duration = Duration::from_secs(1);

fn start_streams(caller: &Caller, count: usize) -> Vec<JoinHandle<(String, StreamedAnswer)>> {
    let streams = (0..count).map(|number| {
        let caller = caller.clone();
        let prompt = format!("planned change {number}");
        tokio::spawn(async move {
            let answer = caller.stream(&prompt, TOKENS).await.expect("the entry answers");
            (prompt, answer)
        })
    });
    streams.collect()
}

async fn assert_all_whole(streams: Vec<JoinHandle<(String, StreamedAnswer)>>) {
    for stream in streams {
        let (prompt, answer) = stream.await.expect("the stream does not panic");
        assert!(answer.whole, "a stream was cut: {:?}", answer.chunks.last());
        assert_eq!(answer.text, naive_text(&prompt, TOKENS));
    }
}

async fn wait_runs(cluster: &TestCluster, engine: usize, count: usize) {
    wait_until("the streams run", || async {
        (cluster.record(engine).await.runs.len() >= count).then_some(())
    })
    .await;
}

/// Waits until the process knows that it was asked to stop. A signal arrives asynchronously: a request that overtakes it is
/// rightly answered.
async fn wait_stopping(program: &Program) {
    let asked = Instant::now();
    while program.count_events("E0102") == 0 {
        assert!(
            asked.elapsed() < SIGNAL_PATIENCE,
            "the process does not notice that it is to stop"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// An entry host is to be updated, and its process is asked to stop under load. Streams that run must end whole, new
/// requests must be refused as not run, and the usage of all of them must be there afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_entry_finishes_its_streams_and_delivers_their_usage() {
    let mut cluster = cluster(ClusterShape {
        bookings: 0,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let streams = start_streams(&cluster.caller(0, &key), 5);
    wait_runs(&cluster, 0, 5).await;

    let mut entry = cluster.entries[0].take().expect("the entry runs");
    entry.terminate();
    wait_stopping(&entry).await;
    let refused = cluster.caller(0, &key).get("/v1/models").await;
    assert_all_whole(streams).await;
    let status = entry.wait_exit();

    assert!(refused.is_err() || refused.is_ok_and(|answer| answer.status == 503));
    assert!(status.success(), "{status}");
    let usage = cluster
        .operator()
        .expect(Method::GET, "/v1/usage", None)
        .await
        .expect("usage can be read");
    assert_eq!(usage["usage"][0]["output_tokens"], json!(5 * TOKENS));
}

/// Routes and pools are replaced while streams run, so that the running requests' pool no longer exists.
#[tokio::test(flavor = "multi_thread")]
async fn table_edits_cut_no_stream() {
    let cluster = cluster(ClusterShape {
        bookings: 0,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let streams = start_streams(&cluster.caller(0, &key), 3);
    wait_runs(&cluster, 0, 3).await;

    cluster.apply("routes", &json!([])).await;
    cluster.apply("pools", &json!([])).await;
    cluster
        .operator()
        .withdraw_key(&key.id)
        .await
        .expect("the key can be withdrawn");

    assert_all_whole(streams).await;
}

/// Each control process is asked to stop, one after the other, as in an update. Each must end with success, and
/// callers must notice nothing.
#[tokio::test(flavor = "multi_thread")]
async fn control_is_updated_host_by_host_under_load() {
    let mut cluster = cluster(ClusterShape {
        controls: 3,
        bookings: 0,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;

    for index in 0..3 {
        let streams = start_streams(&cluster.caller(0, &key), 2);
        let mut control = cluster.controls[index].take().expect("the replica runs");
        let status = control.stop();
        assert!(status.success(), "{status}");
        cluster.start_control(index);
        cluster.wait_voter(index).await;
        assert_all_whole(streams).await;
    }
}

/// An engine is ordered to drain. It gets no new work within seconds, and what it runs comes to its end.
#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_finishes_its_work_and_gets_no_more() {
    let cluster = cluster(ClusterShape {
        engines: 2,
        bookings: 0,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);
    let streams = start_streams(&caller, 12);
    wait_until("both engines run streams", || async {
        let (first, second) = (cluster.record(0).await.runs.len(), cluster.record(1).await.runs.len());
        (first > 0 && second > 0 && first + second >= 12).then_some(())
    })
    .await;

    let order = cluster
        .operator()
        .expect(Method::POST, "/v1/endpoints/engine-1/drain", None)
        .await;
    let order = order.expect("the order is taken");
    let drained = cluster.operator();
    wait_until("the drain is known", || async {
        let status = drained.expect(Method::GET, "/v1/status", None).await.ok()?;
        let rows = status["endpoints"].as_array()?.clone();
        rows.iter()
            .any(|row| row["endpoint"] == "engine-1" && row["state"] == "draining")
            .then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = cluster.record(0).await.runs.len();
    let later = start_streams(&caller, 6);
    assert_all_whole(later).await;
    assert_all_whole(streams).await;

    let record = cluster.record(0).await;
    assert_eq!(record.runs.len(), before, "a draining engine was given work");
    assert!(
        record.runs.iter().all(|run| run.state == RunState::Finished),
        "a run was cut"
    );
    assert_eq!(record.orders.len(), 1, "{order}");
}

/// An engine's host loses its power without a word. Within seconds it must get no new work.
#[tokio::test(flavor = "multi_thread")]
async fn silent_engine_gets_no_work_after_a_few_seconds() {
    let cluster = cluster(ClusterShape {
        engines: 2,
        bookings: 0,
        entries: 1,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);
    cluster.set_faults(0, &json!({"stop_reports": true})).await;
    let silent_since = Instant::now();

    wait_until("the engine counts as gone", || async {
        let status = cluster.operator().expect(Method::GET, "/v1/status", None).await.ok()?;
        let rows = status["endpoints"].as_array()?.clone();
        rows.iter()
            .any(|row| row["endpoint"] == "engine-1" && row["state"] == "silent")
            .then_some(())
    })
    .await;
    let noticed = silent_since.elapsed();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = cluster.record(0).await.runs.len();
    for number in 0..8 {
        let answer = caller
            .stream(&format!("after silence {number}"), 5)
            .await
            .expect("the entry answers");
        assert!(answer.whole);
    }

    assert!(noticed < Duration::from_secs(5), "it took {noticed:?}");
    assert_eq!(cluster.record(0).await.runs.len(), before);
}

/// The answer to an admission is lost, so the operator's client sends it again. Refused the second time, it would tell the
/// operator that the host could not be admitted, although it is a member.
#[tokio::test(flavor = "multi_thread")]
async fn an_admission_that_is_sent_again_is_acknowledged_again() {
    let cluster = cluster(ClusterShape {
        controls: 2,
        entries: 0,
        engines: 0,
        bookings: 0,
        ..ClusterShape::default()
    });
    let operator = cluster.operator();
    let address = cluster.control_address(1, 0).to_string();
    let admission = json!({"host": "control-2", "address": address});
    let other = json!({"host": "control-2", "address": "127.0.0.9:1"});

    let first = operator.expect(Method::POST, "/v1/members", Some(&admission)).await;
    let second = operator.expect(Method::POST, "/v1/members", Some(&admission)).await;
    let elsewhere = operator.expect(Method::POST, "/v1/members", Some(&other)).await;

    let first = first.expect("the host can be admitted");
    assert_eq!(second.expect("it is acknowledged again"), first);
    assert!(elsewhere.is_err(), "another address is another admission");
}
