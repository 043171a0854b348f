//! One of three endpoints spoils few of its answers: beside the chunked body that it sends whole, the head names a length that
//! is not that of the body. HTTP has the chunks decide (RFC 9112, section 6.3).

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standin::*;

/// One spoiled answer in so many answers of the faulty endpoint: 3 in 100.
const EVERY: usize = 34;
const CALLERS: usize = 8;
const CALLS: usize = 100;
/// Length of a body; longer than what an entry holds before it passes an answer on.
const BODY: usize = 80_000;
/// Length that the head of a spoiled answer names.
const NAMED: usize = 20_000;

type Bodies = Arc<Mutex<HashMap<String, String>>>;

fn start_endpoint(case: &Case, heart: &Arc<Heart>, bodies: Bodies, is_faulty: bool) {
    let (record, name) = (case.record.clone(), Arc::clone(heart));
    let answered = AtomicUsize::new(0);
    let started = serve(heart.address, Arc::default(), move |mut connection| {
        while let Ok(message) = connection.read_message(false) {
            let id = message.header("acaciabay-request-id").unwrap_or("").to_owned();
            if message
                .header("acaciabay-expect-instance")
                .is_some_and(|expected| expected != name.id)
            {
                let headers = [("Acaciabay-Request-Id", id.as_str()), ("Acaciabay-Not-Executed", "1")];
                if connection
                    .write(&answer_bytes("421 Misdirected Request", &headers, b""))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let line = format!("row of {id} at {}\n", name.id);
            let body = line.repeat(BODY / line.len());
            bodies.lock().unwrap().insert(id.clone(), body.clone());
            let is_spoiled = is_faulty && answered.fetch_add(1, Ordering::Relaxed) % EVERY == EVERY - 1;
            record.note(format!(
                "{} runs {} {id}; spoiled: {is_spoiled}",
                name.id, message.first
            ));
            thread::sleep(Duration::from_millis(15));
            let mut text = format!(
                "HTTP/1.1 200 OK\r\nAcaciabay-Request-Id: {id}\r\nAcaciabay-Server-Stamp: stamp.{}.{id}\r\nTransfer-Encoding: chunked\r\n",
                name.id
            );
            if is_spoiled {
                let _ = write!(text, "Content-Length: {NAMED}\r\n");
            }
            let _ = write!(text, "\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            if connection.write(text.as_bytes()).is_err() {
                return;
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
    let routes = [route("r-read", "/read/", "idempotent", "app", 1_000, 2, "")];
    let tenants = r#"{"name":"t1","api_keys":["key-one"]}"#;
    fleet.put(&case, &manifest(1, &routes, PLAIN_SERVICE, tenants));
    let list = fleet.control_list();
    let bodies = Bodies::default();
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
        start_endpoint(&case, &heart, Arc::clone(&bodies), case.trouble && number == 1);
        heart.keep_beating();
    }
    fleet.wait_ready(&case, 1);
    fleet.wait_ready(&case, 2);
    thread::sleep(Duration::from_secs(3));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, bodies) = (case.record.clone(), Arc::clone(&bodies));
            let (statuses, wrong) = (Arc::clone(&statuses), Arc::clone(&wrong));
            let edge = fleet.edge(1 + (caller % 2) as u8);
            thread::spawn(move || {
                for number in 0..CALLS {
                    let id = format!("c{caller}-{number}");
                    let headers = proper("shop.example", &id, "key-one", "1000");
                    let answer = call(edge, "GET", "/read/x", &headers, b"", Duration::from_secs(2));
                    let Ok(answer) = answer else {
                        statuses.lock().unwrap().push(0);
                        continue;
                    };
                    statuses.lock().unwrap().push(answer.status);
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let is_success = (200..300).contains(&answer.status);
                    let is_whole = bodies.lock().unwrap().get(&id).is_some_and(|whole| *whole == body);
                    if is_success && !is_whole {
                        record.note(format!(
                            "caller: {id} got {}, proof {:?}, Content-Length {:?}, Transfer-Encoding {:?}, {} bytes of {}",
                            answer.status,
                            answer.header("acaciabay-server-stamp"),
                            answer.header("content-length"),
                            answer.header("transfer-encoding"),
                            body.len(),
                            bodies.lock().unwrap().get(&id).map_or(0, String::len)
                        ));
                        wrong.lock().unwrap().push(id);
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let (statuses, wrong) = (statuses.lock().unwrap(), wrong.lock().unwrap());
    case.record.note(format!("calls: {}", tally(&statuses)));
    if wrong.is_empty() {
        case.end(HELD, "every success had the whole body of its endpoint");
    }
    case.end(
        BROKEN,
        &format!(
            "{} of {} calls got a part of the body that looks whole",
            wrong.len(),
            statuses.len()
        ),
    );
}
