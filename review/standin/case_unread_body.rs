//! Endpoints answer before they have read a long body, keep the connection, and read on later. The answer is there at once, and has
//! to reach the caller by the route's time limit.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

/// Within the limit of the manifest, 4,194,304 bytes.
const BODY: usize = 4_000_000;
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// How much later an answer may come.
const SLACK: Duration = Duration::from_millis(500);
/// When an endpoint reads on.
const LATER: Duration = Duration::from_secs(4);
const CALLS: usize = 24;

fn start_endpoint(case: &Case, heart: &Arc<Heart>, is_early: bool) {
    let (record, name) = (case.record.clone(), Arc::clone(heart));
    let started = serve(heart.address, Arc::default(), move |mut connection| {
        while let Ok(mut message) = connection.read_head() {
            let id = message.header("acaciabay-request-id").unwrap_or("").to_owned();
            if message
                .header("acaciabay-expect-instance")
                .is_some_and(|expected| expected != name.id)
            {
                let headers = [("Acaciabay-Request-Id", id.as_str()), ("Acaciabay-Not-Executed", "1")];
                let refusal = answer_bytes("421 Misdirected Request", &headers, b"");
                if connection.read_body(&mut message, false).is_err() || connection.write(&refusal).is_err() {
                    return;
                }
                continue;
            }
            if !is_early && connection.read_body(&mut message, false).is_err() {
                return;
            }
            record.note(format!("{} runs {} {id}", name.id, message.first));
            let stamp = format!("stamp.{}.{id}", name.id);
            let headers = [
                ("Acaciabay-Request-Id", id.as_str()),
                ("Acaciabay-Server-Stamp", stamp.as_str()),
            ];
            if connection
                .write(&answer_bytes("200 OK", &headers, format!("done {id}").as_bytes()))
                .is_err()
            {
                return;
            }
            record.note(format!("{} has answered {id}", name.id));
            if is_early {
                thread::sleep(LATER);
                let read = connection.read_body(&mut message, false);
                record.note(format!(
                    "{} reads on: the body of {id} came whole: {}",
                    name.id,
                    read.is_ok()
                ));
                if read.is_err() {
                    return;
                }
            }
        }
    });
    case.need("an endpoint cannot listen", started.ok());
}

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, 5, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(2);
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let routes = [route("r-book", "/book/", "non_idempotent", "app", timeout_ms, 1, "")];
    let tenants = r#"{"name":"t1","api_keys":["key-one"]}"#;
    fleet.put(&case, &manifest(1, &routes, PLAIN_SERVICE, tenants));
    let list = fleet.control_list();
    for number in 1..=3 {
        let zone = ["cremona", "milano", "bologna"][usize::from(number) % 3];
        let heart = Heart::new(
            &format!("i-app-{number}"),
            "app",
            fleet.endpoint(number),
            zone,
            6,
            None,
            list.clone(),
        );
        start_endpoint(&case, &heart, case.trouble);
        heart.keep_beating();
    }
    fleet.wait_ready(&case, 1);
    fleet.wait_ready(&case, 2);
    thread::sleep(Duration::from_secs(3));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLS)
        .map(|number| {
            let (record, statuses) = (case.record.clone(), Arc::clone(&statuses));
            let edge = fleet.edge(1 + (number % 2) as u8);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(500) * number as u32);
                let id = format!("q{number}");
                let body = vec![b'x'; BODY];
                let headers = proper("shop.example", &id, "key-one", "5000");
                let began = Instant::now();
                let answer = call(edge, "POST", "/book/x", &headers, &body, Duration::from_secs(6));
                let (status, took) = (answer.map_or(0, |answer| answer.status), began.elapsed());
                record.note(format!("caller: {id} got {status} after {} ms", took.as_millis()));
                statuses.lock().unwrap().push((status, took));
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let rows = statuses.lock().unwrap();
    let lasting = rows.iter().filter(|(_, took)| *took > TIMEOUT).count();
    let overdue = rows.iter().filter(|(_, took)| *took > TIMEOUT + SLACK).count();
    let verdict = format!(
        "{overdue} of {} calls had no answer 0.5 s after the route's time limit, {lasting} none at it",
        rows.len()
    );
    if overdue >= 8 && overdue * 4 > rows.len() && overdue * 2 > lasting {
        case.end(BROKEN, &verdict);
    }
    case.end(HELD, &verdict);
}
