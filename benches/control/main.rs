//! The control group: commits, failover, changes coming into force, restart, and the slopes for `docs/CAPACITY.md`.
//!
//! `cargo bench --bench control -- commits in-force failover restart slopes config` prints one JSON object a line for each
//! measurement named, all of them without a name.

mod stub_entry;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use acacia_entry::ControlLink;
use acacia_operator::OperatorClient;
use acacia_runtime::log::discard_log;
use acacia_wire::EntryCall;
use acaciabay::core::entry_config::EntryConfig;
use acaciabay::core::key::{KeyRow, KeyTable};
use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::usage::{UsageFigures, UsageReport};
use acaciabay::util::digest::ContentDigest;
use hyper::Method;
use serde_json::{Value, json};
use test_support::{ClusterShape, Program, ProgramPaths, TestCluster, wait_until};

use crate::stub_entry::StubFleet;

const PATHS: ProgramPaths = ProgramPaths {
    control: env!("CARGO_BIN_EXE_acacia-control"),
    entry: env!("CARGO_BIN_EXE_acacia-entry"),
    standin: env!("CARGO_BIN_EXE_acacia-standin"),
};

fn main() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let wanted: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|other| other == name);
    runtime.block_on(async {
        if is_wanted("commits") {
            measure_commits().await;
        }
        if is_wanted("in-force") {
            measure_in_force().await?;
        }
        if is_wanted("failover") {
            measure_failover().await;
        }
        if is_wanted("restart") {
            measure_restart().await?;
        }
        if is_wanted("slopes") {
            measure_slopes().await;
        }
        if is_wanted("config") {
            measure_config_size().await?;
            measure_key_checks();
        }
        Ok(())
    })
}

fn print(value: &Value) {
    println!("{value}");
}

async fn group(controls: usize, entries: usize) -> TestCluster {
    let shape = ClusterShape {
        controls,
        entries,
        engines: 0,
        bookings: 0,
        ..ClusterShape::default()
    };
    let cluster = TestCluster::start(PATHS, &shape);
    cluster.complete_group().await;
    cluster.wait_entries().await;
    cluster
}

fn control_peers(cluster: &TestCluster) -> Vec<SocketAddr> {
    (0..cluster.controls.len())
        .map(|index| cluster.control_address(index, 0))
        .collect()
}

fn open_link(cluster: &TestCluster) -> ControlLink {
    let (link, driver) = ControlLink::open("bench".to_owned(), control_peers(cluster), discard_log());
    tokio::spawn(driver.run());
    link
}

fn usage_report(writer: u64, sequence: u64) -> EntryCall {
    let figures = UsageFigures {
        prompt_tokens: 100,
        output_tokens: 50,
        calls: 0,
    };
    let incarnation = EntryIncarnation(1_000_000 + writer);
    EntryCall::Usage(UsageReport {
        incarnation,
        sequence,
        rows: vec![("customer".into(), figures)],
    })
}

fn quantile(times: &mut [Duration], part: f64) -> f64 {
    times.sort();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the place lies within the list"
    )]
    let place = ((times.len() as f64 - 1.0) * part) as usize;
    times.get(place).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

/// Committed writes a second and their latency by the number of writers, beside one synced write after the other.
async fn measure_commits() {
    const SECONDS: u64 = 3;
    let cluster = group(3, 0).await;
    let links: Vec<ControlLink> = (0..8).map(|_| open_link(&cluster)).collect();
    for writers in [1_u64, 16, 256] {
        let leader = cluster.leader().await;
        let before = resources(&cluster);
        let give_up = Instant::now() + Duration::from_secs(SECONDS);
        let tasks = (0..writers).map(|writer| {
            let link = links[usize::try_from(writer).unwrap_or(0) % links.len()].clone();
            tokio::spawn(async move {
                let mut times = Vec::new();
                while Instant::now() < give_up {
                    let started = Instant::now();
                    let call = usage_report(writers * 1_000 + writer, times.len() as u64 + 1);
                    if link.call(call, "").await.is_ok() {
                        times.push(started.elapsed());
                    }
                }
                times
            })
        });
        let mut times = Vec::new();
        for task in tasks.collect::<Vec<_>>() {
            times.extend(task.await.unwrap_or_default());
        }
        let after = resources(&cluster);
        let per_write = |index: usize| {
            after[index].1.saturating_sub(before[index].1).as_secs_f64() * 1e6 / times.len().max(1) as f64
        };
        let (leader_us, follower_us) = (per_write(leader), per_write((leader + 1) % 3));
        let rate = times.len() as f64 / SECONDS as f64;
        let (p50, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
        print(&json!({
            "case": "commits",
            "writers": writers,
            "writes_per_second": rate,
            "p50_ms": p50,
            "p99_ms": p99,
            "leader_us_per_write": leader_us,
            "follower_us_per_write": follower_us,
        }));
    }
    print(&json!({"case": "naive commits", "writes_per_second": naive_writes(cluster.folder())}));
}

/// The naive version: every write is synced on its own, and no other replica takes part.
fn naive_writes(folder: &std::path::Path) -> f64 {
    let mut file = std::fs::File::create(folder.join("naive")).expect("the folder can be written");
    let started = Instant::now();
    let mut writes = 0;
    while started.elapsed() < Duration::from_secs(2) {
        file.write_all(&[7; 100])
            .and_then(|()| file.sync_data())
            .expect("the file can be written");
        writes += 1;
    }
    f64::from(writes) / started.elapsed().as_secs_f64()
}

/// From an operator's edit to its being in force on eight entries, also with one of them frozen.
async fn measure_in_force() -> anyhow::Result<()> {
    let cluster = group(3, 8).await;
    let operator = cluster.operator();
    let mut number = 0;
    for frozen in [false, true] {
        if frozen {
            cluster.entries[0].as_ref().expect("the entry runs").pause();
        }
        let rounds = if frozen { 5 } else { 50 };
        let mut times = Vec::new();
        for round in 0..rounds {
            let rows = json!([{"name": format!("pool-{frozen}-{round}"), "kind": "engine", "endpoints": []}]);
            let started = Instant::now();
            let answer = operator.write_table("pools", number, &rows, false).await?;
            let version = answer["version"].as_u64().unwrap_or(0);
            operator.wait_in_force(version, Duration::from_secs(30)).await?;
            times.push(started.elapsed());
            number = answer["number"].as_u64().unwrap_or(0);
            if frozen {
                cluster.entries[0].as_ref().expect("the entry runs").resume();
                wait_in_step(&operator).await;
                cluster.entries[0].as_ref().expect("the entry runs").pause();
            }
        }
        let (p50, worst) = (quantile(&mut times, 0.5), quantile(&mut times, 1.0));
        print(&json!({"case": "in force", "entries": 8, "one_frozen": frozen, "p50_ms": p50, "worst_ms": worst}));
    }
    cluster.entries[0].as_ref().expect("the entry runs").resume();
    Ok(())
}

async fn wait_in_step(operator: &OperatorClient) {
    wait_until("all entries are in step", || async {
        let status = operator.expect(Method::GET, "/v1/status", None).await.ok()?;
        let entries = status["entries"].as_array()?.clone();
        entries
            .iter()
            .all(|entry| entry["version"] == status["version"])
            .then_some(())
    })
    .await;
}

/// From the kill of the leader to the next committed write.
async fn measure_failover() {
    const KILLS: usize = 20;
    let mut cluster = group(3, 0).await;
    let link = open_link(&cluster);
    let (mut times, mut sequence) = (Vec::new(), 0);
    for _ in 0..KILLS {
        let leader = cluster.leader().await;
        let mut killed = cluster.controls[leader].take().expect("the leader runs");
        let started = Instant::now();
        killed.kill();
        sequence += 1;
        if link.call(usage_report(1, sequence), "").await.is_ok() {
            times.push(started.elapsed());
        }
        cluster.start_control(leader);
        cluster.wait_ready(leader).await;
    }
    let (p50, worst) = (quantile(&mut times, 0.5), quantile(&mut times, 1.0));
    print(&json!({"case": "failover", "kills": KILLS, "p50_ms": p50, "worst_ms": worst}));
}

/// How long a replica takes to start after many changes.
async fn measure_restart() -> anyhow::Result<()> {
    const CHANGES: u64 = 100_000;
    let mut cluster = group(1, 0).await;
    let before = restart(&mut cluster).await;
    let operator = cluster.operator();
    let done = Arc::new(AtomicU64::new(0));
    let tasks = (0..64).map(|_| {
        let (operator, done) = (operator.clone(), Arc::clone(&done));
        tokio::spawn(async move {
            while done.fetch_add(2, Ordering::Relaxed) < CHANGES {
                let key = operator.issue_key("customer").await?;
                operator.withdraw_key(&key.id).await?;
            }
            anyhow::Ok(())
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await??;
    }
    let status = operator.expect(Method::GET, "/v1/status", None).await?;
    let after = restart(&mut cluster).await;
    print(&json!({
        "case": "restart",
        "changes": status["version"],
        "empty_ms": before.as_secs_f64() * 1_000.0,
        "after_changes_ms": after.as_secs_f64() * 1_000.0,
        "note": "both include one election of 0.9 to 1.3 s",
    }));
    Ok(())
}

async fn restart(cluster: &mut TestCluster) -> Duration {
    cluster.controls[0].take().expect("the replica runs").kill();
    let started = Instant::now();
    cluster.start_control(0);
    cluster.wait_ready(0).await;
    cluster.leader().await;
    started.elapsed()
}

/// Processor time, memory and bytes of the control group by the number of entries and of endpoints.
async fn measure_slopes() {
    const SECONDS: u64 = 5;
    for (entries, endpoints) in [
        (0, 0),
        (50, 0),
        (100, 0),
        (200, 0),
        (350, 0),
        (350, 1_000),
        (350, 2_000),
        (350, 4_100),
    ] {
        let cluster = group(3, 0).await;
        let fleet = StubFleet::start(&control_peers(&cluster), entries, endpoints).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let leader = cluster.leader().await;
        let before = resources(&cluster);
        let bytes_before = fleet.bytes();
        tokio::time::sleep(Duration::from_secs(SECONDS)).await;
        let (after, bytes) = (resources(&cluster), fleet.bytes());
        let cores = |index: usize| after[index].1.saturating_sub(before[index].1).as_secs_f64() / SECONDS as f64;
        let follower = (leader + 1) % 3;
        let per_entry = |bytes: u64| bytes as f64 / SECONDS as f64 / entries.max(1) as f64;
        print(&json!({
            "case": "slopes",
            "entries": entries,
            "endpoints": endpoints,
            "leader_cores": cores(leader),
            "follower_cores": cores(follower),
            "leader_memory_mb": after[leader].0 as f64 / 1e6,
            "follower_memory_mb": after[follower].0 as f64 / 1e6,
            "entry_sends_bytes_per_second": per_entry(bytes.sent - bytes_before.sent),
            "entry_receives_bytes_per_second": per_entry(bytes.received - bytes_before.received),
            "renewals_per_second": (bytes.renewals - bytes_before.renewals) as f64 / SECONDS as f64,
        }));
        if entries == 350 && endpoints == 0 {
            measure_storm(cluster, &fleet, leader).await;
        }
    }
}

/// The leader is lost and all entries come to the next one at once.
async fn measure_storm(mut cluster: TestCluster, fleet: &StubFleet, leader: usize) {
    let started = Instant::now();
    cluster.controls[leader].take().expect("the leader runs").kill();
    let marks = fleet.renewal_marks();
    fleet.wait_all_renewed_after(&marks, started).await;
    print(&json!({
        "case": "reconnect storm",
        "entries": marks.len(),
        "all_renewed_ms": started.elapsed().as_secs_f64() * 1_000.0,
    }));
}

fn resources(cluster: &TestCluster) -> Vec<(u64, Duration)> {
    let none = (0, Duration::ZERO);
    cluster
        .controls
        .iter()
        .map(|control| control.as_ref().and_then(Program::resources).unwrap_or(none))
        .collect()
}

/// Memory by the number of customers, and what a whole configuration and one change weigh on the wire.
async fn measure_config_size() -> anyhow::Result<()> {
    for customers in [0_usize, 900, 1_800, 3_600, 7_200] {
        let cluster = group(3, 1).await;
        let operator = cluster.operator();
        let rows: Vec<Value> = (0..customers)
            .flat_map(|customer| (0..6).map(move |model| (customer, model)))
            .map(|(customer, model)| {
                json!({"customer": format!("customer-{customer}"), "model": format!("model-{model}"), "pool": format!("pool-{model}")})
            })
            .collect();
        operator.write_table("routes", 0, &json!(rows), false).await?;
        for customer in 0..customers.min(200) {
            operator.issue_key(&format!("customer-{customer}")).await?;
        }
        wait_in_step(&operator).await;
        let entry = cluster.entries[0]
            .as_ref()
            .and_then(Program::resources)
            .map_or(0, |(bytes, _)| bytes);
        let leader = cluster.leader().await;
        let control = resources(&cluster)[leader].0;
        let sizes = stub_entry::config_sizes(&control_peers(&cluster)).await;
        print(&json!({
            "case": "configuration",
            "customers": customers,
            "routes": customers * 6,
            "entry_memory_mb": entry as f64 / 1e6,
            "leader_memory_mb": control as f64 / 1e6,
            "whole_bytes": sizes.whole,
        }));
    }
    Ok(())
}

/// What one key check costs by the number of keys.
fn measure_key_checks() {
    const CHECKS: u32 = 200_000;
    for keys in [900_u32, 7_200] {
        let mut table = KeyTable::default();
        let secrets: Vec<String> = (0..keys).map(|number| format!("ak-{number:064}")).collect();
        for secret in &secrets {
            table.issue(&KeyRow {
                digest: ContentDigest::of(secret),
                customer: "customer".into(),
            });
        }
        let config = EntryConfig {
            keys: table,
            ..EntryConfig::default()
        };
        let started = Instant::now();
        let mut found = 0;
        for check in 0..CHECKS {
            let secret = &secrets[usize::try_from(check % keys).unwrap_or(0)];
            found += u32::from(config.keys.authenticate(&ContentDigest::of(secret)).is_some());
        }
        assert_eq!(found, CHECKS, "every key is in force");
        let nanos = started.elapsed().as_nanos() / u128::from(CHECKS);
        print(&json!({"case": "key check", "keys": keys, "nanoseconds": u64::try_from(nanos).unwrap_or(0)}));
    }
}
