//! The only customer's key is taken away, and the customer with it. See `claim.txt` of the case.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const HOST: &str = "shop.example";

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, 5, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(2);
    let routes = [route("r-book", "/book/", "non_idempotent", "app", 1_000, 1, "")];
    let rossi = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    fleet.put(&case, &manifest(3, &routes, PLAIN_SERVICE, rossi));
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
    fleet.wait_ready(&case, 1);
    fleet.wait_ready(&case, 2);

    let book = |edge: u8, id: &str, key: &str| {
        let answer = call(
            fleet.edge(edge),
            "POST",
            "/book/a",
            &proper(HOST, id, key, "1000"),
            b"slot",
            Duration::from_secs(2),
        );
        let status = answer.map_or(0, |answer| answer.status);
        case.record
            .note(format!("caller with {key} at edge-{edge}: {id} -> {status}"));
        status
    };
    let served = wait(Duration::from_secs(10), || {
        (book(1, "warm-up", "key-rossi-1") == 200).then_some(())
    });
    case.need("no request is served", served);
    let stranger = book(1, "stranger-before", "key-nobody");
    if stranger != 401 {
        case.end(
            NOT_RUN,
            "could not run: an unknown key is not refused from the beginning",
        );
    }

    // Without the disruption, the customer keeps its row, with no key in it: the same requests have to be refused, and are.
    let tenants = if case.trouble {
        ""
    } else {
        r#"{"name":"rossi","api_keys":[],"priority":1}"#
    };
    case.record
        .note(format!("operator: takes key-rossi-1 away; tenants are now [{tenants}]"));
    let (status, acked) = fleet.put(&case, &manifest(8, &routes, PLAIN_SERVICE, tenants));
    if status != 200 {
        case.end(NOT_RUN, "could not run: the manifest was refused");
    }
    thread::sleep(Duration::from_millis(REVOKE_MS + 1_000).saturating_sub(acked.elapsed()));
    let began = Instant::now();
    let mut statuses = Vec::new();
    for turn in 0..10 {
        for edge in 1..=2 {
            statuses.push(book(edge, &format!("revoked-{turn}-{edge}"), "key-rossi-1"));
            statuses.push(book(edge, &format!("stranger-{turn}-{edge}"), "key-nobody"));
        }
    }
    let ran: Vec<_> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.at >= began)
        .cloned()
        .collect();
    let revoked = ran.iter().filter(|run| run.id.starts_with("revoked")).count();
    let strangers = ran.iter().filter(|run| run.id.starts_with("stranger")).count();
    case.record.note(format!("callers got {}", tally(&statuses)));
    let verdict = format!(
        "{revoked} requests with the key that was taken away and {strangers} with one that never was ran, more than revoke_ms after the ack"
    );
    case.end(if revoked + strangers > 0 { BROKEN } else { HELD }, &verdict);
}
