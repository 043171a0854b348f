//! The whole system in one process on loopback: the quickest way to see it work, and the way to embed it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use acacia_control::RunningControl;
use acacia_entry::RunningEntry;
use acacia_http::{FetchRequest, fetch_json};
use acacia_operator::{IssuedKey, OperatorClient};
use acacia_runtime::log::{discard_log, open_log};
use acacia_runtime::metrics_page::MetricsPage;
use acacia_runtime::program::{run_program, stop_token};
use acacia_settings::{
    AdmissionPolicy, CallerLimits, ControlSettings, DEFAULT_WINDOW, EntrySettings, StandinKind, StandinSettings,
};
use acacia_standin::RunningStandin;
use acaciabay::util::digest::ContentDigest;
use anyhow::{Context, ensure};
use argh::FromArgs;
use hyper::Method;
use serde_json::{Value, json};
use slog::Logger;
use tokio_util::sync::CancellationToken;

const LOCAL_TOKEN: &str = "local-operator-token";
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Run the whole system in one process on loopback.
#[derive(Debug, FromArgs)]
struct LocalArgs {
    /// send a completion and a booking, print the answers and stop
    #[argh(switch)]
    once: bool,
    /// the folder for all files, default: acacia-data in the working folder
    #[argh(option, default = "PathBuf::from(\"acacia-data\")")]
    data: PathBuf,
    /// print logs to standard error
    #[argh(switch)]
    logs: bool,
}

#[derive(Debug)]
struct LocalSystem {
    control: RunningControl,
    entries: Vec<RunningEntry>,
    standins: Vec<RunningStandin>,
    operator: OperatorClient,
}

fn main() -> ExitCode {
    let args: LocalArgs = argh::from_env();
    run_program(|| run(args))
}

async fn run(args: LocalArgs) -> anyhow::Result<()> {
    let log = if args.logs {
        open_log("acacia-local", "local")
    } else {
        discard_log()
    };
    let stop = stop_token()?;
    let system = start(&args.data, &stop, &log).await?;
    let key = configure(&system.operator).await?;
    if args.once {
        show_requests(&system, &key).await?;
    } else {
        print_usage(&system, &key);
        stop.cancelled().await;
    }
    stop.cancel();
    for entry in system.entries {
        entry.finished().await?;
    }
    for standin in system.standins {
        standin.finished().await?;
    }
    system.control.finished().await
}

async fn start(data: &Path, stop: &CancellationToken, log: &Logger) -> anyhow::Result<LocalSystem> {
    let page = MetricsPage::install()?;
    let settings = control_settings(data);
    if !acacia_control::is_formed(&settings.data_folder)? {
        // A group of one never dials its own address, so a port that is drawn anew at each start does no harm.
        acacia_control::form_group(&settings, settings.peer_address)?;
    }
    let control = acacia_control::start(settings, stop.clone(), page.clone(), log.clone()).await?;
    let mut entries = Vec::new();
    for host in ["entry-1", "entry-2"] {
        let settings = entry_settings(host, control.peer_address);
        entries.push(acacia_entry::start(settings, stop.clone(), page.clone(), log.clone()).await?);
    }
    let reports: Vec<SocketAddr> = entries.iter().map(|entry| entry.endpoint_address).collect();
    let engine = StandinKind::Engine {
        models: vec!["liuto-7b".to_owned()],
    };
    let booking = StandinKind::Service {
        service: "booking".to_owned(),
    };
    let mut standins = Vec::new();
    for (name, kind) in [("engine-1", engine), ("booking-1", booking)] {
        let settings = standin_settings(name, kind, reports.clone());
        standins.push(acacia_standin::start(settings, stop.clone(), log.clone()).await?);
    }
    let operator = OperatorClient::new(vec![control.operator_address], LOCAL_TOKEN)?;
    Ok(LocalSystem {
        control,
        entries,
        standins,
        operator,
    })
}

fn control_settings(data: &Path) -> ControlSettings {
    ControlSettings {
        host: "control-1".to_owned(),
        failure_domain: "local-a".to_owned(),
        data_folder: data.join("control-1"),
        peer_address: ANY_PORT,
        operator_address: ANY_PORT,
        admin_address: ANY_PORT,
        control_addresses: Vec::new(),
        peer_hosts: vec![ANY_PORT.ip()],
        operator_token_sha256: ContentDigest::of(LOCAL_TOKEN).to_hex(),
        platform_address: None,
        usage_window: DEFAULT_WINDOW,
        trace_file: None,
    }
}

fn entry_settings(host: &str, control: SocketAddr) -> EntrySettings {
    EntrySettings {
        host: host.to_owned(),
        failure_domain: "local-a".to_owned(),
        caller_address: ANY_PORT,
        endpoint_address: ANY_PORT,
        admin_address: ANY_PORT,
        control_addresses: vec![control],
        limits: CallerLimits::default(),
        policy: AdmissionPolicy::Fair,
        trace_file: None,
    }
}

fn standin_settings(name: &str, kind: StandinKind, entries: Vec<SocketAddr>) -> StandinSettings {
    StandinSettings {
        endpoint: name.to_owned(),
        failure_domain: "local-a".to_owned(),
        address: ANY_PORT,
        entry_addresses: entries,
        kind,
        slots: 16,
        prefill_rate: 20_000,
        decode_rate: 200,
        batch_rate: 4_000,
        pieces: 64,
        cached_prefixes: 32,
        report_lag: Duration::ZERO,
        checks_fencing: true,
        version: "1".to_owned(),
    }
}

async fn configure(operator: &OperatorClient) -> anyhow::Result<IssuedKey> {
    let pools = json!([
        {"name": "engines", "kind": "engine", "endpoints": ["engine-*"]},
        {"name": "booking", "kind": "at_most_once", "endpoints": ["booking-*"]},
    ]);
    let routes = json!([
        {"customer": "bottega-amati", "model": "liuto-7b", "pool": "engines"},
        {"customer": "bottega-amati", "service": "booking", "pool": "booking"},
    ]);
    for (table, rows) in [("pools", &pools), ("routes", &routes)] {
        let number = operator.read_table(table).await?["number"].as_u64().unwrap_or(0);
        operator.write_table(table, number, rows, false).await?;
    }
    let key = operator.issue_key("bottega-amati").await?;
    operator.wait_in_force(key.version, READY_TIMEOUT).await?;
    wait_for_endpoints(operator).await?;
    Ok(key)
}

async fn wait_for_endpoints(operator: &OperatorClient) -> anyhow::Result<()> {
    let ready = async {
        loop {
            let status = operator.expect(Method::GET, "/v1/status", None).await?;
            let endpoints = status["endpoints"].as_array().map_or(0, Vec::len);
            let serving = status["entries"]
                .as_array()
                .into_iter()
                .flatten()
                .all(|entry| entry["version"] == status["version"]);
            if endpoints == 2 && serving {
                return anyhow::Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .context("the stand-ins did not announce themselves")??;
    // One more report interval lets both entries hear of both endpoints.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(())
}

async fn show_requests(system: &LocalSystem, key: &IssuedKey) -> anyhow::Result<()> {
    println!(
        "system: 1 control, {} entries, {} stand-ins on loopback",
        system.entries.len(),
        system.standins.len()
    );
    let completion = json!({"model": "liuto-7b", "prompt": "summarise the history of the cello", "max_tokens": 12});
    let answer = post(system, 0, "/v1/completions", key, &completion).await?;
    println!(
        "completion through entry-1:{}",
        answer["choices"][0]["text"].as_str().unwrap_or_default()
    );
    println!("  usage: {}", answer["usage"]);
    let booking = json!({"bench": 3, "slot": "2026-12-04T09:00"});
    let answer = post(system, 1, "/v1/services/booking/slots", key, &booking).await?;
    println!("booking through entry-2: confirmation {}", answer["confirmation"]);
    let usage = system.operator.expect(Method::GET, "/v1/usage", None).await?;
    println!("billed: {}", usage["usage"]);
    Ok(())
}

async fn post(system: &LocalSystem, entry: usize, path: &str, key: &IssuedKey, body: &Value) -> anyhow::Result<Value> {
    let address = system.entries[entry].caller_address;
    // The data folder outlives a run, so the same key would get the earlier run's answer.
    let idempotency_key = format!("local-{}", key.id);
    let headers = [("idempotency-key", idempotency_key.as_str())];
    let request = FetchRequest {
        token: Some(&key.secret),
        headers: &headers,
        ..FetchRequest::post(path, body)
    };
    let answer = fetch_json(address, request, ANSWER_TIMEOUT).await?;
    ensure!(
        answer.status.is_success(),
        "`{path}` was answered {}: {}",
        answer.status,
        answer.body
    );
    Ok(answer.body)
}

fn print_usage(system: &LocalSystem, key: &IssuedKey) {
    for (index, entry) in system.entries.iter().enumerate() {
        println!(
            "entry-{}: http://{} (admin http://{})",
            index + 1,
            entry.caller_address,
            entry.admin_address
        );
    }
    println!(
        "control: {} (operators), token {LOCAL_TOKEN}",
        system.control.operator_address
    );
    println!("key of bottega-amati: {}", key.secret);
    println!("stop with Ctrl-C");
}
