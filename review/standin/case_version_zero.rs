//! The operator numbers its manifests from 0. The first one is acknowledged, is not stored, and is never in force.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, 5, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(2);
    let version = if case.trouble { 0 } else { 1 };
    let routes = [route("r-app", "/app/", "idempotent", "app", 1_000, 2, "")];
    let tenants = r#"{"name":"t1","api_keys":["key-one"]}"#;
    let sent = manifest(version, &routes, PLAIN_SERVICE, tenants);
    let (status, acked) = fleet.put(&case, &sent);
    if status != 200 {
        case.end(
            HELD,
            &format!("the manifest was not acknowledged, but answered {status}"),
        );
    }
    let list = fleet.control_list();
    let app = Heart::new("i-app", "app", fleet.endpoint(1), "cremona", 6, None, list);
    start_plain(&case, &app, Duration::from_millis(15), Arc::default());
    app.keep_beating();
    let mut statuses = Vec::new();
    let mut reads = Vec::new();
    let mut turn = 0;
    // Longer than the time in which a change has to be in force, and than the operator asks for it at the end of a day.
    while acked.elapsed() < Duration::from_secs(25) {
        turn += 1;
        let id = format!("q{turn}");
        let headers = proper("shop.example", &id, "key-one", "1000");
        let began = Instant::now();
        let answer = call(
            fleet.edge(1 + (turn % 2) as u8),
            "GET",
            "/app/x",
            &headers,
            b"",
            Duration::from_secs(2),
        );
        let status = answer.map_or(0, |answer| answer.status);
        let read = fleet.read_manifest();
        case.record.note(format!(
            "caller: {id} got {status} after {} ms; operator: the manifest {}",
            began.elapsed().as_millis(),
            read.as_ref()
                .map_or("does not come".to_owned(), |read| if *read == sent {
                    "is read back".to_owned()
                } else {
                    format!("is another: {read}")
                })
        ));
        if acked.elapsed() > Duration::from_secs(10) {
            statuses.push(status);
            reads.push(read.as_ref() == Some(&sent));
        }
        thread::sleep(Duration::from_millis(400));
    }
    let came = reads.iter().filter(|read| **read).count();
    case.record
        .note(format!("calls from 10 s after the ack on: {}", tally(&statuses)));
    if came == 0 {
        case.end(
            BROKEN,
            &format!("the acknowledged manifest was never read back in {} tries", reads.len()),
        );
    }
    case.end(
        HELD,
        &format!(
            "the acknowledged manifest was read back in {came} of {} tries",
            reads.len()
        ),
    );
}
