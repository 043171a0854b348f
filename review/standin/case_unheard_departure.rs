//! Endpoints leave as planned, each by way of another core machine. See `claim.txt` of the case.

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
/// How much longer than `drain_ms` an endpoint that leaves serves on.
const LINGER_MS: u64 = 1_500;

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, CORES);
    start_platform(&case, &fleet);
    fleet.start(EDGES);
    let routes = [route("r-book", "/book/", "non_idempotent", "app", 1_000, 1, "")];
    let tenants = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    fleet.put(&case, &manifest(3, &routes, PLAIN_SERVICE, tenants));
    let list = fleet.control_list();
    let arrivals = Arrivals::default();
    let hearts: Vec<_> = (1..=ENDPOINTS)
        .map(|number| {
            let id = format!("i-app-{number}");
            let heart = Heart::new(&id, "app", fleet.endpoint(number), "cremona", 6, None, list.clone());
            start_plain(&case, &heart, Duration::from_millis(15), Arc::clone(&arrivals));
            heart.keep_beating();
            heart
        })
        .collect();
    for edge in 1..=EDGES {
        fleet.wait_ready(&case, edge);
    }
    let book = {
        let (edges, record): (Vec<_>, _) = ((1..=EDGES).map(|edge| fleet.edge(edge)).collect(), case.record.clone());
        move |number: usize| {
            let id = format!("book-{number}");
            let edge = edges[number % edges.len()];
            let answer = call(
                edge,
                "POST",
                "/book/a",
                &proper(HOST, &id, "key-rossi-1", "1000"),
                b"slot",
                Duration::from_secs(2),
            );
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

    // Each endpoint that leaves picks a node of its list. Without the disruption, the nodes are the three seeds.
    let first = if case.trouble { 4 } else { 1 };
    let mut acks = Vec::new();
    for (leaving, node) in hearts.iter().zip(first..).take(usize::from(LEAVING)) {
        leaving.use_nodes(vec![fleet.core(node)]);
        leaving.drain();
        let acked = leaving.beat().map(|_node| Instant::now());
        if acked.is_none() {
            // It goes on to the next node, as it does after every failure.
            case.record
                .note(format!("{} reports draining to core-{node}: no ack", leaving.id));
            leaving.use_nodes(list.clone());
        } else {
            case.record
                .note(format!("{} reports draining to core-{node}: acknowledged", leaving.id));
        }
        acks.push((Arc::clone(leaving), node, acked));
    }
    let began = Instant::now();
    let exits: Vec<_> = acks
        .iter()
        .filter_map(|(heart, node, acked)| {
            let (heart, node, acked, record) = (Arc::clone(heart), *node, (*acked)?, case.record.clone());
            Some(thread::spawn(move || {
                thread::sleep(Duration::from_millis(DRAIN_MS + LINGER_MS).saturating_sub(acked.elapsed()));
                let told = heart.deregister();
                heart.stopped.store(true, Ordering::Relaxed);
                record.note(format!(
                    "{} deregisters at core-{node}, acknowledged: {}; it exits",
                    heart.id,
                    told.is_some()
                ));
            }))
        })
        .collect();
    let (mut number, mut statuses) = (0, Vec::new());
    while began.elapsed() < Duration::from_millis(DRAIN_MS + 4_000) {
        let callers: Vec<_> = (0..4)
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
        let _ = exit.join();
    }
    case.record.note(format!("callers got {}", tally(&statuses)));
    let mut late = 0;
    for (heart, node, acked) in &acks {
        let Some(acked) = acked else { continue };
        let rows = arrivals.lock().unwrap();
        let reached = rows
            .iter()
            .filter(|run| run.endpoint == heart.id && run.at > *acked + Duration::from_millis(DRAIN_MS));
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
