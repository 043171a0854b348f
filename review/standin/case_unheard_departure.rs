//! Endpoints leave as planned, each by way of another core machine, as one report is late. See `claim.txt` of the case.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const HOST: &str = "shop.example";
/// Core machines, as many as the sheet of the whole fleet has.
const CORES: u8 = 10;
const EDGES: u8 = 2;
const ENDPOINTS: u8 = 24;
/// Endpoints that leave: an eighth of all.
const LEAVING: u8 = 3;
/// The core machine that all endpoints report to: a seed.
const SEED: u8 = 1;
/// The first of the nodes that are next in the lists of those that leave: no seeds.
const NEXT: u8 = 4;
/// How late the last report before the departure arrives.
const DELAY: Duration = Duration::from_millis(3_500);
/// The time after which a report without an answer goes to the next node.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// How much longer than `drain_ms` an endpoint that leaves serves on.
const LINGER: Duration = Duration::from_millis(2_000);

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, CORES, &LARGE);
    let drain = Duration::from_millis(LARGE.drain_ms);
    start_platform(&case, &fleet);
    fleet.start(EDGES);
    let routes = [route("r-book", "/book/", "non_idempotent", "app", 1_000, 1, "")];
    let tenants = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    fleet.put(&case, &manifest(3, &routes, PLAIN_SERVICE, tenants));
    let arrivals = Arrivals::default();
    let hearts: Vec<_> = (1..=ENDPOINTS)
        .map(|number| {
            let id = format!("i-app-{number}");
            let nodes = vec![fleet.core(SEED)];
            let heart = Heart::new(&id, "app", fleet.endpoint(number), "cremona", 6, None, nodes);
            start_plain(&case, &heart, Duration::from_millis(15), Arc::clone(&arrivals));
            heart.keep_beating();
            heart
        })
        .collect();
    for edge in 1..=EDGES {
        fleet.wait_ready(&case, edge);
    }
    let book = {
        let edges: Vec<_> = (1..=EDGES).map(|edge| fleet.edge(edge)).collect();
        let record = case.record.clone();
        move |number: usize| {
            let id = format!("book-{number}");
            let edge = edges[number % edges.len()];
            let headers = proper(HOST, &id, "key-rossi-1", "1000");
            let answer = call(edge, "POST", "/book/a", &headers, b"slot", Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status);
            if status != 200 {
                record.note(format!("caller: {id} -> {status}"));
            }
            status
        }
    };
    let served = wait(Duration::from_secs(10), || (book(0) == 200).then_some(()));
    case.need("no request is served", served);
    // All core machines have joined long before anybody leaves.
    thread::sleep(Duration::from_secs(12));

    let leaving: Vec<_> = hearts.iter().take(usize::from(LEAVING)).cloned().collect();
    if case.trouble {
        for heart in &leaving {
            heart.pause();
            heart.beat_late(fleet.core(SEED), DELAY);
            case.record.note(format!(
                "{} reports ready to core-{SEED}; the report arrives {DELAY:?} late",
                heart.id
            ));
        }
        thread::sleep(ANSWER_TIME);
    }
    let began = Instant::now();
    let mut departures = Vec::new();
    for (heart, next) in leaving.iter().zip(NEXT..) {
        // Without the disruption, the node that has acknowledged all reports gets this one too.
        let node = if case.trouble { next } else { SEED };
        heart.use_nodes(vec![fleet.core(node)]);
        heart.drain();
        let acked = heart.beat().map(|_node| Instant::now());
        let told = if acked.is_some() {
            "acknowledged"
        } else {
            "not acknowledged"
        };
        case.record
            .note(format!("{} reports draining to core-{node}: {told}", heart.id));
        heart.go_on();
        if let Some(acked) = acked {
            departures.push((Arc::clone(heart), node, acked));
        }
    }
    if departures.is_empty() {
        case.end(NOT_RUN, "could not run: no departure was acknowledged");
    }
    let exits: Vec<_> = departures
        .iter()
        .map(|(heart, node, acked)| {
            let (heart, node, acked, record) = (Arc::clone(heart), *node, *acked, case.record.clone());
            thread::spawn(move || {
                thread::sleep((drain + LINGER).saturating_sub(acked.elapsed()));
                let told = heart.deregister().is_some();
                heart.stopped.store(true, Ordering::Relaxed);
                record.note(format!(
                    "{} deregisters at core-{node}, acknowledged: {told}; it exits",
                    heart.id
                ));
            })
        })
        .collect();
    let (mut number, mut statuses) = (0, Vec::new());
    while began.elapsed() < drain + LINGER + Duration::from_secs(2) {
        let callers: Vec<_> = (0..8)
            .map(|_| {
                number += 1;
                let (book, number) = (book.clone(), number);
                thread::spawn(move || book(number))
            })
            .collect();
        statuses.extend(callers.into_iter().filter_map(|caller| caller.join().ok()));
        thread::sleep(Duration::from_millis(20));
    }
    for exit in exits {
        let _ended = exit.join();
    }
    case.record.note(format!("callers got {}", tally(&statuses)));
    let mut late = 0;
    for (heart, node, acked) in &departures {
        let rows = arrivals.lock().unwrap();
        let reached = rows
            .iter()
            .filter(|run| run.endpoint == heart.id && run.at > *acked + drain);
        let ages: Vec<_> = reached
            .map(|run| format!("{:.2}", (run.at - *acked).as_secs_f64()))
            .collect();
        late += ages.len();
        case.record.note(format!(
            "{}, acknowledged by core-{node}: {} requests later than drain_ms, s after the ack: {}",
            heart.id,
            ages.len(),
            ages.join(" ")
        ));
    }
    let verdict = format!("{late} requests reached endpoints more than drain_ms after the ack of their departure");
    case.end(if late > 0 { BROKEN } else { HELD }, &verdict);
}
