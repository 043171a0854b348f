//! A manifest whose `autoscale` names a `min` above its `max`: it is acknowledged, and every core machine that leads from then on
//! ends by itself. The script starts each again, as the platform does.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const CORES: u8 = 5;
/// The short delay after which the platform starts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);

fn services(min: u32, max: u32) -> String {
    let engine = r#"{"slots":64,"kv_capacity_tokens":450102,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":13,"most":12,"kv_hold_s":5.0,"role_switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}"#;
    let prices = r#"{"cremona":1.0,"milano":0.8,"bologna":1.25}"#;
    format!(
        r#"{PLAIN_SERVICE},{{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{engine},"autoscale":{{"min":{min},"max":{max},"boot_s":4.0,"zone_prices":{prices}}}}}"#
    )
}

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, CORES, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(2);
    let routes = [
        route("r-app", "/app/", "idempotent", "app", 1_000, 2, ""),
        route(
            "r-llm",
            "/llm/",
            "streaming",
            "llm",
            5_000,
            1,
            r#","sticky":true,"resumable":false,"target_gap_ms":400"#,
        ),
    ];
    let tenants = r#"{"name":"t1","api_keys":["key-one"]}"#;
    fleet.put(&case, &manifest(1, &routes, &services(1, 6), tenants));
    let list = fleet.control_list();
    let app = Heart::new("i-app", "app", fleet.endpoint(1), "cremona", 6, None, list.clone());
    start_plain(&case, &app, Duration::from_millis(15), Arc::default());
    app.keep_beating();
    // Model runners only have to be there: nobody calls them.
    for (number, stage) in [(2, "prefill"), (3, "decode"), (4, "prefill")] {
        let zone = ["cremona", "milano", "bologna"][usize::from(number) % 3];
        let llm = Heart::new(
            &format!("i-llm-{number}"),
            "llm",
            fleet.endpoint(number),
            zone,
            64,
            Some(stage),
            list.clone(),
        );
        start_plain(&case, &llm, Duration::from_millis(15), Arc::default());
        llm.keep_beating();
    }
    fleet.wait_ready(&case, 1);
    thread::sleep(Duration::from_secs(6));
    let before = fleet.ended();
    if !before.is_empty() {
        case.end(NOT_RUN, &format!("could not run: ended before the change: {before:?}"));
    }
    let (min, max) = if case.trouble { (4, 3) } else { (3, 4) };
    let (status, _) = fleet.put(&case, &manifest(2, &routes, &services(min, max), tenants));
    if case.trouble && (400..500).contains(&status) {
        case.end(HELD, "the manifest was refused as invalid");
    }
    let mut ends: BTreeMap<u8, u32> = BTreeMap::new();
    let mut due: BTreeMap<u8, Instant> = BTreeMap::new();
    let mut statuses = Vec::new();
    let mut reads = (0, 0);
    let began = Instant::now();
    let mut turn = 0;
    while began.elapsed() < Duration::from_secs(70) {
        for core in 1..=CORES {
            if !due.contains_key(&core) && fleet.has_ended(&format!("core-{core}")) {
                *ends.entry(core).or_default() += 1;
                due.insert(core, Instant::now() + RESTART_DELAY);
            } else if due.get(&core).is_some_and(|due| *due <= Instant::now()) {
                due.remove(&core);
                fleet.start_core(core, false);
            }
        }
        turn += 1;
        let id = format!("q{turn}");
        let headers = proper("shop.example", &id, "key-one", "1000");
        let answer = call(fleet.edge(1), "GET", "/app/x", &headers, b"", Duration::from_secs(2));
        statuses.push(answer.map_or(0, |answer| answer.status));
        match fleet.read_manifest() {
            Some(_) => reads.0 += 1,
            None => reads.1 += 1,
        }
        thread::sleep(Duration::from_millis(300));
    }
    case.record
        .note(format!("core machines ended by themselves, by number: {ends:?}"));
    case.record.note(format!("calls answered: {}", tally(&statuses)));
    case.record
        .note(format!("reads of the manifest: {} came, {} did not", reads.0, reads.1));
    let machines = ends.values().filter(|count| **count >= 3).count();
    let total: u32 = ends.values().sum();
    // A tenth of the machines in use, two at least.
    if machines >= 2 {
        case.end(
            BROKEN,
            &format!("core processes ended by themselves {total} times, {machines} machines three times or more"),
        );
    }
    case.end(HELD, &format!("core processes ended by themselves {total} times"));
}
