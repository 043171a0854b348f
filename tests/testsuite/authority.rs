//! The control group under kills, pauses, cuts and lost disks.

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use test_support::{ClusterShape, TestCluster, wait_until};

use crate::support::cluster;

fn three_controls() -> ClusterShape {
    ClusterShape {
        controls: 3,
        engines: 0,
        ..ClusterShape::default()
    }
}

fn pools_with(name: &str) -> Value {
    json!([
        {"name": "booking", "kind": "at_most_once", "endpoints": ["booking-*"]},
        {"name": name, "kind": "engine", "endpoints": []},
    ])
}

async fn read_pools(cluster: &TestCluster) -> Value {
    cluster
        .operator()
        .read_table("pools")
        .await
        .expect("the table can be read")
}

async fn assert_serves(cluster: &TestCluster, entry: usize, secret: &str) {
    let caller = test_support::Caller::new(cluster.entry_address(entry, 0), secret);
    wait_until("the entry serves", || async {
        (caller.get("/v1/models").await.ok()?.status == 200).then_some(())
    })
    .await;
}

/// The leader's host loses power. Operators must find every accepted table unchanged, and be able to edit on within
/// seconds, while callers notice nothing.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_tables_survive_a_killed_leader() {
    let mut cluster = cluster(three_controls());
    let key = cluster.configure().await;
    cluster.apply("pools", &pools_with("before")).await;
    let before = read_pools(&cluster).await;
    let leader = cluster.leader().await;

    cluster.controls[leader].take().expect("the leader runs").kill();
    let killed_at = Instant::now();
    let after = read_pools(&cluster).await;
    cluster.apply("pools", &pools_with("after")).await;
    let outage = killed_at.elapsed();

    assert_eq!(before, after);
    assert!(outage < Duration::from_secs(4), "it took {outage:?}");
    assert_serves(&cluster, 0, &key.secret).await;
}

/// The leader is frozen past its lease, another replica leads, and the frozen one goes on as if nothing had happened.
/// If it still answered as leader, an operator could read a table that is no longer in force.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_does_not_answer_from_its_old_state() {
    let cluster = cluster(three_controls());
    cluster.configure().await;
    let old = cluster.leader().await;
    let frozen = cluster.controls[old].as_ref().expect("the leader runs");

    frozen.pause();
    cluster.apply("pools", &pools_with("newer")).await;
    let newer = read_pools(&cluster).await;
    frozen.resume();

    let only_old = cluster.operator_of(old).with_patience(Duration::from_secs(2));
    let answer = only_old.request(Method::GET, "/v1/tables/pools", None).await;
    match answer {
        Ok(answer) => assert_eq!(answer.body["number"], newer["number"], "an old table was shown"),
        Err(error) => assert!(format!("{error:#}").contains("does not lead"), "{error:#}"),
    }
}

/// Two operators read the same table and both apply an edit. If both were accepted, the first one's edit would be gone
/// without anyone being told.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_have_one_winner_for_each_number() {
    let cluster = cluster(three_controls());
    cluster.configure().await;
    let start = read_pools(&cluster).await["number"]
        .as_u64()
        .expect("tables have numbers");

    for round in 0..5 {
        let writes = (0..4).map(|operator| {
            let client = cluster.operator();
            let rows = pools_with(&format!("pool-{round}-{operator}"));
            tokio::spawn(async move { client.write_table("pools", start + round, &rows, false).await.is_ok() })
        });
        let mut winners = 0;
        for write in writes.collect::<Vec<_>>() {
            winners += u32::from(write.await.expect("the write does not panic"));
        }

        assert_eq!(winners, 1, "in round {round}");
        assert_eq!(read_pools(&cluster).await["number"], json!(start + round + 1));
    }
}

/// An operator's answer is lost, and the same edit is sent again. It must count as the one accepted edit: a refusal
/// would make the operator repeat an edit that is in force already.
#[tokio::test(flavor = "multi_thread")]
async fn resent_edit_is_answered_as_before() {
    let cluster = cluster(three_controls());
    cluster.configure().await;
    let client = cluster.operator();
    let number = read_pools(&cluster).await["number"]
        .as_u64()
        .expect("tables have numbers");

    let first = client
        .write_table("pools", number, &pools_with("a"), false)
        .await
        .expect("the edit is accepted");
    let again = client
        .write_table("pools", number, &pools_with("a"), false)
        .await
        .expect("the resend is recognised");
    let other = client.write_table("pools", number, &pools_with("b"), false).await;

    assert_eq!(first["number"], again["number"]);
    assert!(other.is_err(), "other rows were accepted under the same number");
}

/// Every control process is killed after hundreds of changes, as when a whole site loses power. What was accepted must
/// be there afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn all_replicas_restart_with_everything_that_was_accepted() {
    let mut cluster = cluster(three_controls());
    let key = cluster.configure().await;
    let client = cluster.operator();
    let mut number = read_pools(&cluster).await["number"]
        .as_u64()
        .expect("tables have numbers");
    for change in 0..300 {
        let rows = pools_with(&format!("pool-{change}"));
        client
            .write_table("pools", number, &rows, false)
            .await
            .expect("the edit is accepted");
        number += 1;
    }
    let before = read_pools(&cluster).await;

    for index in 0..3 {
        cluster.controls[index].take().expect("the replica runs").kill();
    }
    for index in 0..3 {
        cluster.start_control(index);
    }

    assert_eq!(read_pools(&cluster).await, before);
    assert_serves(&cluster, 0, &key.secret).await;
}

/// A host's disk is replaced by an empty one. The host must not come back as the replica that it was, which would have
/// forgotten what it confirmed. The operator replaces it, and right after that a second host is lost for good.
#[tokio::test(flavor = "multi_thread")]
async fn second_host_lost_right_after_a_repair_costs_nothing() {
    let mut cluster = cluster(three_controls());
    let key = cluster.configure().await;
    cluster.apply("pools", &pools_with("kept")).await;
    let before = read_pools(&cluster).await;
    let leader = cluster.leader().await;
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);

    cluster.controls[lost].take().expect("the replica runs").kill();
    std::fs::remove_dir_all(cluster.control_folder(lost)).expect("the folder is there");
    cluster.start_control(lost);
    let waiting = cluster.controls[lost]
        .as_ref()
        .expect("it was started")
        .wait_event("E0307");
    let path = format!("/v1/members/control-{}/replace", lost + 1);
    cluster
        .operator()
        .expect(Method::POST, &path, None)
        .await
        .expect("the member can be replaced");
    cluster.wait_voter(lost).await;
    cluster.controls[second].take().expect("the replica runs").kill();
    std::fs::remove_dir_all(cluster.control_folder(second)).expect("the folder is there");

    assert!(
        waiting["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("another data folder")),
        "{waiting}"
    );
    assert_eq!(read_pools(&cluster).await, before);
    cluster.apply("pools", &pools_with("accepted afterwards")).await;
    assert_serves(&cluster, 1, &key.secret).await;
}

/// The leader's host is cut off from the others without any connection breaking. An operator who reaches only that
/// host must not be told that an edit was accepted, and the others must go on.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_leader_accepts_nothing_and_is_replaced() {
    let cluster = cluster(ClusterShape {
        relays: true,
        ..three_controls()
    });
    cluster.configure().await;
    let old = cluster.leader().await;

    // Nothing from the others reaches it any more, and none of its connections breaks.
    cluster.relays[old].cut();
    let others: Vec<usize> = (0..3).filter(|index| *index != old).collect();
    let operator = cluster.operator_of_all(&others);
    let number = wait_until("another replica leads", || async {
        operator.read_table("pools").await.ok()?["number"].as_u64()
    })
    .await;
    let accepted = operator
        .write_table("pools", number, &pools_with("by the others"), false)
        .await;
    let alone = cluster
        .operator_of(old)
        .write_table("pools", number, &pools_with("alone"), false)
        .await;

    assert!(accepted.is_ok(), "{accepted:?}");
    assert!(alone.is_err(), "a cut-off leader accepted an edit: {alone:?}");
    for relay in &cluster.relays {
        relay.heal();
    }
    let healed = read_pools(&cluster).await;
    assert!(healed["rows"].to_string().contains("by the others"), "{healed}");
}

/// All control hosts are unreachable. The entries cannot know any more whether a key was withdrawn, so after their lease
/// they must refuse, truthfully as not run and at once, and serve again by themselves when control is back.
#[tokio::test(flavor = "multi_thread")]
async fn entries_refuse_when_their_lease_has_run_out_and_recover() {
    let cluster = cluster(three_controls());
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);

    for control in &cluster.controls {
        control.as_ref().expect("the replica runs").pause();
    }
    let refused = wait_until("the entry refuses", || async {
        let answer = caller.get("/v1/models").await.ok()?;
        (answer.status == 503).then_some(answer)
    })
    .await;
    for control in &cluster.controls {
        control.as_ref().expect("the replica runs").resume();
    }

    let error = &refused.body["error"];
    assert_eq!(
        (&error["code"], &error["not_run"]),
        (&json!("no_serving_lease"), &json!(true))
    );
    assert!(refused.headers.contains_key("retry-after"));
    assert_serves(&cluster, 0, &key.secret).await;
}

/// An entry is frozen while a key is withdrawn. The withdrawal must come into force without it, within its lease, and
/// the entry must not accept the key when it goes on, not even for the first request.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_does_not_accept_a_key_withdrawn_meanwhile() {
    let cluster = cluster(three_controls());
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);
    let frozen = cluster.entries[0].as_ref().expect("the entry runs");
    let operator = cluster.operator();

    frozen.pause();
    let started = Instant::now();
    let version = operator.withdraw_key(&key.id).await.expect("the key can be withdrawn");
    operator
        .wait_in_force(version, Duration::from_secs(20))
        .await
        .expect("the withdrawal comes into force");
    let waited = started.elapsed();
    frozen.resume();
    let first = caller.get("/v1/models").await.expect("the entry answers");

    assert!(waited < Duration::from_secs(5), "it took {waited:?}");
    assert!(
        matches!(first.status.as_u16(), 401 | 503),
        "the key was accepted: {}",
        first.status
    );
}

/// The folder of a running replica is given to a second process by mistake. If both wrote to it, the log would be
/// ruined.
#[tokio::test(flavor = "multi_thread")]
async fn second_process_on_the_same_folder_is_refused() {
    let cluster = cluster(ClusterShape {
        controls: 1,
        entries: 0,
        engines: 0,
        bookings: 0,
        ..ClusterShape::default()
    });
    let settings = cluster.folder().join("control-1.json");

    let output = std::process::Command::new(crate::support::PATHS.control)
        .arg("--settings")
        .arg(settings)
        .output();

    let output = output.expect("the program can be run");
    assert!(!output.status.success());
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(printed.contains("another process uses the folder"), "{printed}");
}

/// Guards against a connection that is given up in the middle of a large table and begins it anew, without end.
#[tokio::test(flavor = "multi_thread")]
async fn entry_takes_a_table_that_is_long_on_its_way() {
    let mut cluster = cluster(ClusterShape {
        engines: 0,
        entries: 1,
        relays: true,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let routes: Vec<Value> = (0..4_000)
        .map(|number| json!({"customer": "bottega-amati", "model": format!("m-{number}"), "pool": "engines", "deadline_ms": 30_000}))
        .collect();
    cluster.apply("routes", &routes.into()).await;
    cluster.entries[0].take().expect("the entry runs").kill();

    cluster.relays[0].slow_towards_source(60_000);
    cluster.start_entry(0);

    assert_serves(&cluster, 0, &key.secret).await;
}
