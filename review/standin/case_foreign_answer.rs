//! One of three endpoints sends, after few of its answers, additional bytes: an answer of its own that belongs to no request, late, where
//! the next answer on the connection is expected. It is a health answer as the pages show it, without a request id and a proof.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standin::*;

/// One extra answer in so many answers of the faulty endpoint: 3 in 100.
const EVERY: usize = 34;
const CALLERS: usize = 8;
const CALLS: usize = 120;

type Runs = Arc<Mutex<HashMap<String, String>>>;

fn start_endpoint(case: &Case, heart: &Arc<Heart>, runs: Runs, is_faulty: bool) {
    let (record, name) = (case.record.clone(), Arc::clone(heart));
    let answered = AtomicUsize::new(0);
    let started = serve(heart.address, Arc::default(), move |mut connection| {
        let mut owes_extra = false;
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
            if std::mem::take(&mut owes_extra) {
                record.note(format!("{}: an extra answer comes late, before that to {id}", name.id));
                let headers = [
                    ("Acaciabay-Instance-Id", name.id.as_str()),
                    ("Acaciabay-Server-Load", "3,0,6"),
                ];
                if connection.write(&answer_bytes("200 OK", &headers, b"healthy")).is_err() {
                    return;
                }
            }
            let body = format!("done {id} at {}", name.id);
            runs.lock().unwrap().insert(id.clone(), body.clone());
            record.note(format!("{} runs {} {id}", name.id, message.first));
            thread::sleep(Duration::from_millis(15));
            let stamp = format!("stamp.{}.{id}", name.id);
            let headers = [
                ("Acaciabay-Request-Id", id.as_str()),
                ("Acaciabay-Server-Stamp", stamp.as_str()),
            ];
            if connection
                .write(&answer_bytes("200 OK", &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
            owes_extra = is_faulty && answered.fetch_add(1, Ordering::Relaxed) % EVERY == EVERY - 1;
        }
    });
    case.need("an endpoint cannot listen", started.ok());
}

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, 5, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(2);
    let routes = [route("r-book", "/book/", "non_idempotent", "app", 1_000, 1, "")];
    let tenants = r#"{"name":"t1","api_keys":["key-one"]}"#;
    fleet.put(&case, &manifest(1, &routes, PLAIN_SERVICE, tenants));
    let list = fleet.control_list();
    let runs = Runs::default();
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
        start_endpoint(&case, &heart, Arc::clone(&runs), case.trouble && number == 1);
        heart.keep_beating();
    }
    fleet.wait_ready(&case, 1);
    fleet.wait_ready(&case, 2);
    thread::sleep(Duration::from_secs(3));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, runs) = (case.record.clone(), Arc::clone(&runs));
            let (statuses, foreign) = (Arc::clone(&statuses), Arc::clone(&foreign));
            let edge = fleet.edge(1 + (caller % 2) as u8);
            thread::spawn(move || {
                for number in 0..CALLS {
                    let id = format!("c{caller}-{number}");
                    let headers = proper("shop.example", &id, "key-one", "1000");
                    let answer = call(edge, "POST", "/book/x", &headers, b"a booking", Duration::from_secs(2));
                    let Ok(answer) = answer else {
                        statuses.lock().unwrap().push(0);
                        continue;
                    };
                    statuses.lock().unwrap().push(answer.status);
                    if !(200..300).contains(&answer.status) {
                        continue;
                    }
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let has_proof = answer.header("acaciabay-server-stamp").is_some();
                    if !has_proof || runs.lock().unwrap().get(&id) != Some(&body) {
                        record.note(format!(
                            "caller: {id} got {} with proof: {has_proof}, body {body:?}",
                            answer.status
                        ));
                        foreign.lock().unwrap().push(id);
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let (statuses, foreign) = (statuses.lock().unwrap(), foreign.lock().unwrap());
    case.record.note(format!("calls: {}", tally(&statuses)));
    if foreign.is_empty() {
        case.end(HELD, "every success had the proof and the body of its endpoint");
    }
    case.end(
        BROKEN,
        &format!(
            "{} of {} calls got a success that belongs to no request",
            foreign.len(),
            statuses.len()
        ),
    );
}
