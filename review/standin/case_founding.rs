//! One of the seeds is killed while it starts for the first time, and starts again. See `claim.txt` of the case.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const HOST: &str = "shop.example";
/// Core machines, as many as the sheet has; the loss of two of them is to be borne.
const CORES: u8 = 5;
/// The delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long the operator goes on sending the first manifest: many times `contact_ms` and `ack_ms` together.
const OPERATOR_TIME: Duration = Duration::from_secs(45);

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, CORES, &SMALL);
    start_platform(&case, &fleet);
    // By its first file, the script knows when the process is about to found the group. Nothing is judged by it.
    let first_file = fleet.data_folder("core-1").join("identity");
    fleet.start(1);
    if case.trouble {
        let began = Instant::now();
        while !first_file.exists() && began.elapsed() < Duration::from_secs(5) {
            std::hint::spin_loop();
        }
        fleet.kill("core-1");
        thread::sleep(RESTART_DELAY);
        fleet.start_core(1, false);
    }
    let routes = [route("r-book", "/book/", "non_idempotent", "app", 1_000, 1, "")];
    let tenants = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    let heart = Heart::new(
        "i-app-1",
        "app",
        fleet.endpoint(1),
        "cremona",
        6,
        None,
        fleet.control_list(),
    );
    let arrivals = Arrivals::default();
    start_plain(&case, &heart, Duration::from_millis(15), Arc::clone(&arrivals));
    heart.keep_beating();
    let put = fleet.try_put(&manifest(3, &routes, PLAIN_SERVICE, tenants), OPERATOR_TIME);
    let acked = put.is_some_and(|(status, _)| status == 200);
    let mut number = 0;
    let served = wait(Duration::from_secs(10), || {
        number += 1;
        let id = format!("book-{number}");
        let headers = proper(HOST, &id, "key-rossi-1", "1000");
        let answer = call(
            fleet.edge(1),
            "POST",
            "/book/a",
            &headers,
            b"slot",
            Duration::from_secs(2),
        );
        let status = answer.map_or(0, |answer| answer.status);
        case.record.note(format!("caller: {id} -> {status}"));
        (status == 200).then_some(())
    });
    case.record
        .note(format!("processes that have ended: {:?}", fleet.ended()));
    let verdict = format!(
        "first manifest acknowledged within {} s: {acked}; requests served: {}; {} runs",
        OPERATOR_TIME.as_secs(),
        served.is_some(),
        arrivals.lock().unwrap().len()
    );
    case.end(if acked && served.is_some() { HELD } else { BROKEN }, &verdict);
}
