//! A model runner sends a second answer late, while its own state is being asked for. See `claim.txt` of the case.

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standin::*;

const HOST: &str = "shop.example";
const ROUNDS: usize = 12;
/// How long the runner takes for its own state: less than a step of its engine and a queue of calls.
const REPORT_TIME: Duration = Duration::from_millis(5);
/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Events of a stream.
const EVENTS: usize = 4;

const ENGINE_SERVICE: &str = r#"{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":450102,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":13,"most":12,"kv_hold_s":5.0,"role_switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}"#;

/// What the runner does wrong.
struct Faults {
    /// Whether second answers are sent at all.
    sends_second_answers: bool,
    /// Requests whose answer is broken off after two events.
    broken: Mutex<HashSet<String>>,
    /// Requests after whose answer a second one follows, late.
    repeated: Mutex<HashSet<String>>,
}

fn event(id: &str, number: usize) -> Vec<u8> {
    format!("id: {number}\ndata: {id} piece {number}\n\n").into_bytes()
}

fn stream_head(id: &str, runner: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAcaciabay-Request-Id: {id}\r\nAcaciabay-Server-Stamp: stamp.{runner}.{id}\r\nAcaciabay-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Serves one connection of a model runner: one request at a time.
fn serve_runner(mut connection: Connection, heart: &Heart, faults: &Faults, record: &Record) -> std::io::Result<()> {
    // The second answer that is still to come on this connection.
    let mut second: Option<Vec<u8>> = None;
    loop {
        let message = connection.read_message(false)?;
        if let Some(second) = second.take() {
            record.note(format!(
                "{}: the second answer goes out as {} comes",
                heart.id, message.first
            ));
            connection.write(&second)?;
        }
        let id = message.header("acaciabay-request-id").unwrap_or("").to_owned();
        if message.path() == "/-/report" {
            thread::sleep(REPORT_TIME);
            let report = format!(
                r#"{{"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":1,"kv_used":0,"kv_total":450102,"kv_handles":0,"born":{}}}"#,
                heart.born
            );
            record.note(format!("{}: answers /-/report", heart.id));
            connection.write(&answer_bytes(
                "200 OK",
                &[("Content-Type", "application/json")],
                report.as_bytes(),
            ))?;
            continue;
        }
        if id.is_empty() {
            connection.write(&answer_bytes("200 OK", &[("Acaciabay-Instance-Id", &heart.id)], b"{}"))?;
            continue;
        }
        if message
            .header("acaciabay-expect-instance")
            .is_some_and(|expected| expected != heart.id)
        {
            let headers = [("Acaciabay-Request-Id", id.as_str()), ("Acaciabay-Not-Executed", "1")];
            connection.write(&answer_bytes("421 Misdirected Request", &headers, b""))?;
            continue;
        }
        let after: usize = message
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        record.note(format!("{} runs {id}, after event {after}", heart.id));
        connection.write(stream_head(&id, &heart.id).as_bytes())?;
        for number in after + 1..=EVENTS {
            connection.write(&chunk(&event(&id, number)))?;
            thread::sleep(EVENT_TIME);
            if number == 2 && faults.broken.lock().unwrap().contains(&id) {
                record.note(format!("{} breaks {id} off", heart.id));
                connection.close();
                return Ok(());
            }
        }
        connection.write(b"0\r\n\r\n")?;
        if faults.sends_second_answers && faults.repeated.lock().unwrap().contains(&id) {
            let mut bytes = stream_head(&id, &heart.id).into_bytes();
            for number in 1..=EVENTS {
                bytes.extend(chunk(&event(&id, number)));
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
            second = Some(bytes);
        }
    }
}

/// What a caller has got of a stream.
struct Taken {
    head: Message,
    body: Vec<u8>,
    is_whole: bool,
}

/// Sends a request for a stream and takes what comes.
fn take_stream(edge: std::net::SocketAddr, id: &str, path: &str, after: Option<usize>) -> std::io::Result<Taken> {
    let after = after.map(|after| after.to_string());
    let mut headers = proper(HOST, id, "key-rossi-1", "5000");
    headers.extend([
        ("Acaciabay-Model", "m"),
        ("Acaciabay-Token-Count", "60,4"),
        ("Acaciabay-Prompt-Prefix", "5c1e07a2:40,91bd3f06:20"),
    ]);
    if let Some(after) = &after {
        headers.push(("Last-Event-Id", after));
    }
    let mut connection = Connection::open(edge)?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let others: Vec<_> = headers.iter().copied().filter(|(name, _)| *name != "Host").collect();
    connection.write(&request_bytes("POST", path, HOST, &others, b"prompt"))?;
    let mut head = connection.read_head()?;
    if !head
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        connection.read_body(&mut head, true)?;
        let body = std::mem::take(&mut head.body);
        return Ok(Taken {
            head,
            body,
            is_whole: true,
        });
    }
    let mut body = Vec::new();
    loop {
        match connection.read_chunk() {
            Ok(Some(bytes)) => body.extend(bytes),
            Ok(None) => {
                return Ok(Taken {
                    head,
                    body,
                    is_whole: true,
                });
            }
            Err(_broken) => {
                return Ok(Taken {
                    head,
                    body,
                    is_whole: false,
                });
            }
        }
    }
}

fn main() {
    let case = Case::begin();
    let fleet = Fleet::new(&case, 3, &SMALL);
    start_platform(&case, &fleet);
    fleet.start(1);
    let more = r#","sticky":true,"resumable":true,"target_gap_ms":400"#;
    let routes = [route("r-story", "/story/", "streaming", "llm", 5_000, 1, more)];
    let tenants = r#"{"name":"rossi","api_keys":["key-rossi-1"],"priority":1}"#;
    fleet.put(&case, &manifest(3, &routes, ENGINE_SERVICE, tenants));
    let heart = Heart::new(
        "i-llm-1",
        "llm",
        fleet.endpoint(1),
        "cremona",
        64,
        Some("decode"),
        fleet.control_list(),
    );
    let faults = Arc::new(Faults {
        sends_second_answers: case.trouble,
        broken: Mutex::default(),
        repeated: Mutex::default(),
    });
    {
        let (heart, faults, record) = (Arc::clone(&heart), Arc::clone(&faults), case.record.clone());
        let started = serve(heart.address, Arc::default(), move |connection| {
            let _ended = serve_runner(connection, &heart, &faults, &record);
        });
        case.need("the runner cannot listen", started.ok());
    }
    heart.keep_beating();
    fleet.wait_ready(&case, 1);
    let edge = fleet.edge(1);
    let served = wait(Duration::from_secs(10), || {
        let taken = take_stream(edge, "warm-up", "/story/warm", None).ok()?;
        (taken.head.status == 200 && taken.is_whole).then_some(())
    });
    case.need("no stream is served", served);

    let (mut foreign, mut resumed, mut refused) = (0, 0, 0);
    for round in 0..ROUNDS {
        // Connections of the round before are gone, so that each round begins alike.
        let (whole, cut, rest) = (
            format!("whole-{round}"),
            format!("cut-{round}"),
            format!("rest-{round}"),
        );
        let path = format!("/story/{round}");
        faults.broken.lock().unwrap().insert(cut.clone());
        faults.repeated.lock().unwrap().insert(whole.clone());
        let other = {
            let (whole, path) = (whole.clone(), format!("/story/other-{round}"));
            thread::spawn(move || take_stream(edge, &whole, &path, None))
        };
        let first = take_stream(edge, &cut, &path, None);
        let events = first.as_ref().map_or(0, |taken| count_events(&taken.body));
        let other = other.join().ok().and_then(Result::ok);
        case.record.note(format!(
            "caller: {cut} broke off after {events} events; {whole} is {}",
            if other.is_some_and(|other| other.is_whole) {
                "whole"
            } else {
                "not whole"
            }
        ));
        thread::sleep(Duration::from_millis(150));
        // As every caller may after a broken connection, it takes the stream up after the last event that it has.
        match take_stream(edge, &rest, &path, Some(events)) {
            Ok(taken) => {
                let stamp = taken.head.header("acaciabay-server-stamp").unwrap_or("none").to_owned();
                let body = String::from_utf8_lossy(&taken.body).into_owned();
                case.record.note(format!(
                    "caller: {rest} got {} with stamp {stamp}, whole: {}, body {body:?}",
                    taken.head.status, taken.is_whole
                ));
                let is_own = stamp == format!("stamp.i-llm-1.{rest}");
                match taken.head.status {
                    200 if !is_own => foreign += 1,
                    200 => resumed += 1,
                    _ => refused += 1,
                }
            }
            Err(error) => {
                case.record.note(format!("caller: {rest} got no answer: {error}"));
                refused += 1;
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    heart.stopped.store(true, Ordering::Relaxed);
    let verdict = format!(
        "{foreign} of {ROUNDS} callers got a success that is not the answer to their request; {resumed} got theirs, {refused} none"
    );
    if foreign == 0 && resumed == 0 {
        case.end(NOT_RUN, &format!("could not run: no stream was taken up; {verdict}"));
    }
    case.end(if foreign > 0 { BROKEN } else { HELD }, &verdict);
}

fn count_events(body: &[u8]) -> usize {
    String::from_utf8_lossy(body).matches("id: ").count()
}
