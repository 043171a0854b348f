//! The machine that acknowledges the first manifest loses its disk right after that. See `claim.txt` of the case.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const HOST: &str = "shop.example";
/// Core machines, as many as the sheet has; the loss of two of them, with their disks, is to be borne.
const CORES: u8 = 5;
/// How long the machine is away: the largest dose of the site.
const AWAY: Duration = Duration::from_secs(3);
/// How long the operator and the caller go on after the machine is back: `recover_s` of the sheet is 12 s.
const PATIENCE: Duration = Duration::from_secs(60);
/// The first pause of the operator between two nodes; each further one is longer by as much.
const BACKOFF: Duration = Duration::from_millis(10);

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, CORES, &SMALL);
    start_platform(&case, &fleet);
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
    fleet.start(1);
    heart.keep_beating();
    let routes = [route("r-book", "/book/", "non_idempotent", "app", 1_000, 1, "")];
    let tenants = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    let first = manifest(3, &routes, PLAIN_SERVICE, tenants);

    let acked_by = send_first(&case, &fleet, &first);
    if case.trouble {
        let name = format!("core-{acked_by}");
        fleet.kill(&name);
        let wiped = fs::remove_dir_all(fleet.data_folder(&name));
        case.need("the disk could not be emptied", wiped.ok());
        case.record.note(format!("{name} has lost its disk"));
        thread::sleep(AWAY);
        fleet.start_core(acked_by, false);
    }

    let back = Instant::now();
    let mut number = 0;
    let mut is_served = false;
    let mut held = None;
    while back.elapsed() < PATIENCE && !(is_served && held.is_some()) {
        held = held.or_else(|| fleet.read_manifest());
        number += 1;
        let id = format!("book-{number}");
        let headers = proper(HOST, &id, "key-rossi-1", "1000");
        let limit = Duration::from_secs(2);
        let answer = call(fleet.edge(1), "POST", "/book/a", &headers, b"slot", limit);
        let status = answer.map_or(0, |answer| answer.status);
        case.record.note(format!(
            "caller: {id} -> {status}; manifest read back: {}",
            held.is_some()
        ));
        is_served |= status == 200;
        thread::sleep(Duration::from_millis(200));
    }
    let same = held.as_ref().is_some_and(|held| held == &first);
    // Whether the operator can do anything about it: the same manifest again, and a newer one.
    let again = fleet.try_put(&first, Duration::from_secs(5)).map(|(status, _)| status);
    let newer = fleet.try_put(&manifest(8, &routes, PLAIN_SERVICE, tenants), Duration::from_secs(5));
    let newer = newer.map(|(status, _)| status);
    case.record
        .note(format!("processes that have ended: {:?}", fleet.ended()));
    let verdict = format!(
        "the acknowledged manifest was read back within {} s: {}, unchanged: {same}; a request was served: {is_served}; \
         sent again: {again:?}, a newer one: {newer:?}",
        PATIENCE.as_secs(),
        held.is_some()
    );
    case.end(if same && is_served { HELD } else { BROKEN }, &verdict);
}

/// Sends the first manifest as the operator does: to one node after the other, with increasing backoff, until it is
/// acknowledged. Returns the node that has acknowledged it.
fn send_first(case: &Case, fleet: &Fleet, first: &str) -> u8 {
    let began = Instant::now();
    for turn in 0_u32.. {
        let asked = u8::try_from(turn % u32::from(CORES)).unwrap_or_default() + 1;
        let mut target = fleet.core(asked);
        for _ in 0..3 {
            let json = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let Ok(answer) = call(target, "POST", "/-/config/put", &json, first.as_bytes(), limit) else {
                break;
            };
            let node = (1..=CORES).find(|core| fleet.core(*core) == target);
            if answer.status == 200 {
                let node = case.need("a node that nobody knows has answered", node);
                let after = began.elapsed().as_millis();
                case.record.note(format!(
                    "operator: core-{node} acknowledges version 3, {after} ms after the start"
                ));
                return node;
            }
            let next = answer.header("location").and_then(|to| to.strip_prefix("http://"));
            match next.and_then(|to| to.split('/').next()?.parse().ok()) {
                Some(next) => target = next,
                None => break,
            }
        }
        if began.elapsed() > Duration::from_secs(20) {
            break;
        }
        thread::sleep(BACKOFF * (turn + 1));
    }
    case.end(NOT_RUN, "could not run: the first manifest was not acknowledged")
}
