//! Orders to endpoints and usage windows to the platform: from one process, once, without conflict.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use test_support::{ClusterShape, TestCluster, wait_until};

use crate::support::cluster;

async fn order(cluster: &TestCluster, target: &str) -> Option<u64> {
    let path = format!("/v1/endpoints/engine-1/{target}");
    cluster.operator().expect(Method::POST, &path, None).await.ok()?["number"].as_u64()
}

async fn wait_settled(cluster: &TestCluster) {
    wait_until("no order is unsettled", || async {
        let status = cluster.operator().expect(Method::GET, "/v1/status", None).await.ok()?;
        (status["unsettled_orders"] == json!([])).then_some(())
    })
    .await;
}

/// Numbers never fall, and where one number comes twice it says the same.
async fn assert_no_conflict(cluster: &TestCluster) {
    let orders = cluster.record(0).await.orders;
    let mut targets = BTreeMap::new();
    for pair in orders.windows(2) {
        assert!(
            pair[0].number <= pair[1].number,
            "an older order came after a newer one: {orders:?}"
        );
    }
    for order in &orders {
        let first = targets.entry(order.number).or_insert_with(|| order.target.clone());
        assert_eq!(*first, order.target, "one number with two targets: {orders:?}");
    }
}

/// An engine carries an order out and its answer is lost. The leader cannot know, so it sends the same order again, and
/// takes no conflicting one before it is settled.
#[tokio::test(flavor = "multi_thread")]
async fn order_with_a_lost_answer_is_repeated_and_blocks_conflicting_ones() {
    let cluster = cluster(ClusterShape {
        bookings: 0,
        checks_fencing: false,
        ..ClusterShape::default()
    });
    cluster.configure().await;
    cluster.set_faults(0, &json!({"lose_order_answers": 2})).await;

    let first = order(&cluster, "drain").await;
    let conflicting = order(&cluster, "serve").await;
    let same = order(&cluster, "drain").await;
    wait_settled(&cluster).await;
    let after = order(&cluster, "serve").await;
    wait_settled(&cluster).await;

    assert!(first.is_some() && conflicting.is_none(), "{conflicting:?}");
    assert_eq!(same, first);
    assert!(after > first);
    assert_no_conflict(&cluster).await;
}

/// The leader commits an order, and is frozen before or while it sends it. Another replica leads, settles the order and
/// gives the opposite one; then the frozen leader goes on. The engine ignores fencing numbers, so only the check in the
/// write itself keeps the old order back.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_sends_no_order_of_its_old_term() {
    let cluster = cluster(ClusterShape {
        controls: 3,
        bookings: 0,
        checks_fencing: false,
        ..ClusterShape::default()
    });
    cluster.configure().await;
    // The first leader is past the time in which it sends nothing.
    order(&cluster, "drain").await;
    wait_settled(&cluster).await;
    cluster.set_faults(0, &json!({"lose_order_answers": 1_000})).await;
    let leader = cluster.leader().await;

    let unsettled = order(&cluster, "serve").await;
    cluster.controls[leader].as_ref().expect("the leader runs").pause();
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    cluster.set_faults(0, &json!({})).await;
    let operator = cluster.operator_of_all(&others);
    wait_until("the next leader has settled the order", || async {
        let status = operator.expect(Method::GET, "/v1/status", None).await.ok()?;
        (status["unsettled_orders"] == json!([])).then_some(())
    })
    .await;
    let opposite = operator
        .expect(Method::POST, "/v1/endpoints/engine-1/drain", None)
        .await
        .expect("it is taken");
    wait_until("the opposite order is settled", || async {
        let status = operator.expect(Method::GET, "/v1/status", None).await.ok()?;
        (status["unsettled_orders"] == json!([])).then_some(())
    })
    .await;
    cluster.controls[leader].as_ref().expect("the leader runs").resume();
    // Longer than the old leader would wait before it repeats an order.
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert!(opposite["number"].as_u64() > unsettled);
    assert_no_conflict(&cluster).await;
    assert_eq!(
        cluster
            .record(0)
            .await
            .orders
            .last()
            .map(|order| order.target.clone())
            .as_deref(),
        Some("drain")
    );
}

/// An engine crashes after an order was committed and comes back. What was meant for the process before is not valid
/// for the new one: it would drain an engine that has just been started to serve.
#[tokio::test(flavor = "multi_thread")]
async fn order_for_an_earlier_incarnation_is_settled_without_being_sent() {
    let mut cluster = cluster(ClusterShape {
        bookings: 0,
        ..ClusterShape::default()
    });
    cluster.configure().await;
    order(&cluster, "drain").await;
    wait_settled(&cluster).await;
    cluster.endpoints[0].take().expect("the engine runs").kill();

    let meant_for_the_dead = order(&cluster, "serve").await;
    cluster.start_endpoint(0);
    wait_settled(&cluster).await;

    assert!(meant_for_the_dead.is_some());
    assert_eq!(cluster.record(0).await.orders, []);
}

fn sum(windows: &BTreeMap<u64, String>, field: &str) -> u64 {
    let bodies = windows
        .values()
        .map(|body| serde_json::from_str::<Value>(body).expect("a window is JSON"));
    let rows = bodies.flat_map(|body| body["usage"].as_array().cloned().unwrap_or_default());
    rows.map(|row| row[field].as_u64().unwrap_or(0)).sum()
}

/// The leader is killed again and again while it reports usage, and answers of the platform are lost. Each window must
/// have one set of figures, and all windows together what was served: a customer would otherwise pay twice or not.
#[tokio::test(flavor = "multi_thread")]
async fn usage_windows_are_billed_once_through_killed_leaders_and_lost_answers() {
    let mut cluster = cluster(ClusterShape {
        controls: 3,
        bookings: 0,
        platform: true,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let platform = cluster.platform();
    let tokens = 20;
    let mut served = 0;
    for round in 0..3 {
        cluster.set_faults(platform, &json!({"lose_answers": 2})).await;
        for number in 0..5 {
            let caller = cluster.caller(number % 2, &key);
            let answer = caller
                .stream(&format!("one two three {round}"), tokens)
                .await
                .expect("the entry answers");
            assert!(answer.whole, "{answer:?}");
            served += 1;
        }
        let leader = cluster.leader().await;
        cluster.controls[leader].take().expect("the leader runs").kill();
        cluster.start_control(leader);
    }

    let windows = wait_until("all usage is billed", || async {
        let mut windows: BTreeMap<u64, String> = BTreeMap::new();
        for record in cluster.record(platform).await.windows {
            let first = windows.entry(record.window).or_insert_with(|| record.body.clone());
            assert_eq!(
                *first, record.body,
                "window {} came with two sets of figures",
                record.window
            );
        }
        (sum(&windows, "output_tokens") >= served * tokens).then_some(windows)
    })
    .await;

    assert_eq!(sum(&windows, "output_tokens"), served * tokens);
    assert_eq!(sum(&windows, "prompt_tokens"), served * 4);
}
