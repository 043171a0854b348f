//! An endpoint answers before it has read a long body, keeps the connection and reads on later. See `claim.txt` of the case.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const HOST: &str = "shop.example";
const REQUESTS: usize = 12;
/// The body of a request, within `max_body_bytes` of the manifest.
const BODY_BYTES: usize = 4 * 1024 * 1024 - 1024;
/// The route's `timeout_ms`.
const TIMEOUT_MS: u64 = 1_000;
/// The caller's time limit.
const PATIENCE_MS: u64 = 3_000;
/// When the endpoint reads on after its answer.
const PAUSE: Duration = Duration::from_millis(3_500);

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, 3, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(1);
    let routes = [route("r-book", "/book/", "non_idempotent", "app", TIMEOUT_MS, 1, "")];
    let tenants = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    fleet.put(&case, &manifest(3, &routes, PLAIN_SERVICE, tenants));
    let heart = Heart::new(
        "i-app-1",
        "app",
        fleet.endpoint(1),
        "cremona",
        40,
        None,
        fleet.control_list(),
    );
    let answered: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    {
        let (heart, record, trouble, answered) = (
            Arc::clone(&heart),
            case.record.clone(),
            case.trouble,
            Arc::clone(&answered),
        );
        let started = serve(heart.address, Arc::default(), move |mut connection| {
            while let Ok(head) = connection.read_head() {
                let length = head
                    .header("content-length")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let id = head.header("acaciabay-request-id").unwrap_or("").to_owned();
                let is_early = trouble && length > 64 * 1024;
                if !is_early && connection.read_bytes(length).is_err() {
                    return;
                }
                let stamp = format!("stamp.{}.{id}", heart.id);
                let headers = [
                    ("Acaciabay-Request-Id", id.as_str()),
                    ("Acaciabay-Server-Stamp", stamp.as_str()),
                ];
                record.note(format!(
                    "{} runs {id} and answers {}",
                    heart.id,
                    if is_early {
                        "before it has read the body"
                    } else {
                        "after the body"
                    }
                ));
                answered.lock().unwrap().push((id.clone(), Instant::now()));
                if connection
                    .write(&answer_bytes("200 OK", &headers, format!("done {id}").as_bytes()))
                    .is_err()
                {
                    return;
                }
                if is_early {
                    thread::sleep(PAUSE);
                    let read = connection.read_bytes(length);
                    record.note(format!("{} has read the body of {id}: {}", heart.id, read.is_ok()));
                    if read.is_err() {
                        return;
                    }
                }
            }
        });
        case.need("the endpoint cannot listen", started.ok());
    }
    heart.keep_beating();
    fleet.wait_ready(&case, 1);
    let edge = fleet.edge(1);
    let patience = PATIENCE_MS.to_string();
    let served = wait(Duration::from_secs(10), || {
        let answer = call(
            edge,
            "POST",
            "/book/w",
            &proper(HOST, "warm-up", "key-rossi-1", "1000"),
            b"slot",
            Duration::from_secs(2),
        );
        (answer.ok()?.status == 200).then_some(())
    });
    case.need("no request is served", served);

    let body: Arc<Vec<u8>> = Arc::new((0..BODY_BYTES).map(|at| (at % 251) as u8).collect());
    let (mut late, mut unanswered, mut in_time) = (0, 0, 0);
    for round in 0..REQUESTS / 4 {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (id, body, patience, record) = (
                    format!("book-{round}-{caller}"),
                    Arc::clone(&body),
                    patience.clone(),
                    case.record.clone(),
                );
                thread::spawn(move || {
                    let began = Instant::now();
                    let headers = proper(HOST, &id, "key-rossi-1", &patience);
                    let answer = call(
                        edge,
                        "POST",
                        "/book/a",
                        &headers,
                        &body,
                        Duration::from_millis(PATIENCE_MS),
                    );
                    let took = began.elapsed();
                    let status = answer.map_or(0, |answer| answer.status);
                    record.note(format!("caller: {id} -> {status} after {:.3} s", took.as_secs_f64()));
                    (status, took)
                })
            })
            .collect();
        for (status, took) in callers.into_iter().filter_map(|caller| caller.join().ok()) {
            match status {
                0 => unanswered += 1,
                _ if took > Duration::from_millis(TIMEOUT_MS + 500) => late += 1,
                _ => in_time += 1,
            }
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    heart.stopped.store(true, Ordering::Relaxed);
    let ran = answered
        .lock()
        .unwrap()
        .iter()
        .filter(|(id, _)| id.starts_with("book"))
        .count();
    let verdict = format!(
        "of {REQUESTS} requests {ran} ran and were answered by the endpoint; {in_time} callers had an answer 0.5 s after the route's timeout_ms, {late} later, {unanswered} had none when they gave up"
    );
    let overdue = late + unanswered;
    case.end(
        if overdue >= 8 && overdue * 2 > REQUESTS {
            BROKEN
        } else {
            HELD
        },
        &verdict,
    );
}
