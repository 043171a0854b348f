//! Tests of what the client makes of the framing of a response and of the end of its connection.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::{
    BodyRefusal, ClientOptions, ConnectionChoice, ConnectionPath, EndpointClient, FetchRequest, body_framing,
    fetch_json, read_body, set_reset_on_close,
};
use acaciabay::core::answer_end::BodyFraming::{self, Chunked, Length, UntilClose};
use acaciabay::core::clock::BootTime;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const NOW: BootTime = BootTime::from_millis(1_000);
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for which a server holds a connection open, so that its last bytes arrive by themselves.
const PAUSE: Duration = Duration::from_millis(30);

/// How a server ends its connection after the last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    /// The server closes its direction alone, and goes on reading.
    HalfClose,
    Reset,
    /// An orderly close, and a reset right after it.
    CloseThenReset,
    KeepOpen,
}

use ConnectionEnd::{Close, CloseThenReset, HalfClose, KeepOpen, Reset};

async fn serve(answer: &'static str, end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_once(stream, answer, end));
        }
    });
    address
}

async fn answer_once(mut stream: TcpStream, answer: &'static str, end: ConnectionEnd) -> std::io::Result<()> {
    let mut request = BytesMut::new();
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut request).await?;
    }
    stream.write_all(answer.as_bytes()).await?;
    tokio::time::sleep(PAUSE).await;
    match end {
        Close => {}
        HalfClose => {
            stream.shutdown().await?;
            tokio::time::sleep(PATIENCE).await;
        }
        Reset => set_reset_on_close(&stream, true)?,
        CloseThenReset => {
            stream.shutdown().await?;
            set_reset_on_close(&stream, true)?;
        }
        KeepOpen => tokio::time::sleep(PATIENCE).await,
    }
    Ok(())
}

/// What the client makes of a response: its framing, and its body or why there is none.
type Received = Option<(BodyFraming, Result<Bytes, BodyRefusal>)>;

async fn receive(method: Method, address: SocketAddr) -> Received {
    let request = Request::builder().method(method).uri("/").header("host", "test");
    let request = request.body(Full::new(Bytes::new())).expect("it is valid");
    let client = EndpointClient::new(ClientOptions::default());
    let sent = client.send(NOW, address, ConnectionChoice::Fresh, request).await;
    let response = sent.ok()?.response;
    let framing = body_framing(&response);
    Some((framing, read_body(response.into_body(), 1_000, PATIENCE / 2).await))
}

const BROKEN: Result<&str, BodyRefusal> = Err(BodyRefusal::Broken);

/// A head, a body and an end of the connection, and what is to be received.
type FramingCase = (
    &'static str,
    &'static str,
    ConnectionEnd,
    BodyFraming,
    Result<&'static str, BodyRefusal>,
);

async fn check(cases: &[FramingCase]) {
    for (head, body, end, framing, expected) in cases {
        let answer: &'static str = format!("HTTP/{head}\r\n\r\n{body}").leak();
        let address = serve(answer, *end).await;

        let received = receive(Method::GET, address).await;

        let expected = expected.map(|body| Bytes::from_static(body.as_bytes()));
        assert_eq!(received, Some((*framing, expected)), "{answer:?}, {end:?}");
    }
}

/// A part of a body must not be taken for the whole where a length tells them apart.
#[tokio::test]
async fn a_body_shorter_than_its_length_is_broken() {
    check(&[
        ("1.1 200 OK\r\ncontent-length: 4", "four", KeepOpen, Length, Ok("four")),
        ("1.1 200 OK\r\ncontent-length: 4", "four", Reset, Length, Ok("four")),
        ("1.1 200 OK\r\ncontent-length: 9", "four", Close, Length, BROKEN),
        ("1.1 200 OK\r\ncontent-length: 9", "four", Reset, Length, BROKEN),
        ("1.0 200 OK\r\ncontent-length: 9", "four", Close, Length, BROKEN),
        ("1.1 200 OK\r\ncontent-length: 0", "", KeepOpen, Length, Ok("")),
        ("1.1 204 No Content", "", KeepOpen, Length, Ok("")),
        ("1.1 304 Not Modified", "", KeepOpen, Length, Ok("")),
    ])
    .await;
}

/// A body in chunks is whole only with its last chunk, wherever it ends before that.
#[tokio::test]
async fn a_body_without_its_last_chunk_is_broken() {
    const HEAD: &str = "1.1 200 OK\r\ntransfer-encoding: chunked";
    const BOTH: &str = "1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked";
    check(&[
        (HEAD, "4\r\nfour\r\n0\r\n\r\n", KeepOpen, Chunked, Ok("four")),
        (HEAD, "4\r\nfour\r\n0\r\nnote: x\r\n\r\n", KeepOpen, Chunked, Ok("four")),
        (HEAD, "4\r\nfour\r\n", Close, Chunked, BROKEN),
        (HEAD, "4\r\nfour\r\n", Reset, Chunked, BROKEN),
        (HEAD, "4\r\nfo", Close, Chunked, BROKEN),
        (HEAD, "4\r\nfour\r\n1", Close, Chunked, BROKEN),
        (HEAD, "4\r\nfour\r\n0\r\n", Close, Chunked, BROKEN),
        (HEAD, "4\r\nfour\r\nzz\r\n", Close, Chunked, BROKEN),
        // Chunks go before a length (RFC 9112, section 6.3).
        (BOTH, "4\r\nfour\r\n0\r\n\r\n", KeepOpen, Chunked, Ok("four")),
        (BOTH, "4\r\nfour\r\n", Close, Chunked, BROKEN),
    ])
    .await;
}

/// Without framing, an orderly close is all that tells the end, and a reset is none.
#[tokio::test]
async fn a_body_without_framing_is_broken_by_a_reset() {
    check(&[
        ("1.1 200 OK", "\r\nfour", Close, UntilClose, Ok("\r\nfour")),
        ("1.1 200 OK", "four", Close, UntilClose, Ok("four")),
        ("1.1 200 OK", "four", HalfClose, UntilClose, Ok("four")),
        ("1.1 200 OK", "four", Reset, UntilClose, BROKEN),
        // The close has arrived before the reset, which says nothing of the body.
        ("1.1 200 OK", "four", CloseThenReset, UntilClose, Ok("four")),
        ("1.1 200 OK", "", Close, UntilClose, Ok("")),
        ("1.0 200 OK", "four", Close, UntilClose, Ok("four")),
        ("1.0 200 OK", "four", Reset, UntilClose, BROKEN),
        ("1.1 200 OK\r\nconnection: close", "four", Close, UntilClose, Ok("four")),
        (
            "1.1 200 OK\r\ntransfer-encoding: gzip",
            "four",
            Close,
            UntilClose,
            Ok("four"),
        ),
    ])
    .await;
}

/// The length in an answer to HEAD is that of a body that does not come.
#[tokio::test]
async fn an_answer_to_head_has_no_body() {
    let address = serve("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", KeepOpen).await;

    let received = receive(Method::HEAD, address).await;

    assert_eq!(received, Some((Length, Ok(Bytes::new()))));
}

/// Bytes whose extent is not certain could be read as the beginning of another answer.
#[tokio::test]
async fn contradictory_framing_is_no_answer() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nfour",
        "HTTP/1.1 200 OK\r\ncontent-length: four\r\n\r\nfour",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 2",
        "four",
    ];
    for answer in answers {
        let address = serve(answer, Close).await;

        assert_eq!(receive(Method::GET, address).await, None, "{answer:?}");
    }
}

/// A proxy cuts a list in order. Read as null, it would look like an empty one to an operator.
#[tokio::test]
async fn a_cut_json_answer_is_an_error() {
    let cut = serve(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"hosts\": [1, ",
        Close,
    )
    .await;
    let text = serve(
        "HTTP/1.1 404 Not Found\r\ncontent-type: text/plain\r\n\r\nno such path",
        Close,
    )
    .await;
    let request = || FetchRequest::new(&Method::GET, "/");

    let refused = fetch_json(cut, request(), PATIENCE).await;
    let answered = fetch_json(text, request(), PATIENCE).await;

    let error = refused.expect_err("half of a list is none");
    assert!(format!("{error:#}").contains("is no whole JSON"), "{error:#}");
    assert_eq!(answered.expect("it is an answer").body, Value::Null);
}

/// A relay of an earlier release closes a connection in order also when it breaks.
#[test]
fn only_a_relay_that_resets_breaks_ends_as_its_endpoint() {
    let relayed = |resets_breaks| ConnectionPath::Relayed {
        relay: ([127, 0, 0, 1], 1).into(),
        connection: 1,
        resets_breaks,
    };

    assert!(ConnectionPath::Direct.ends_as_endpoint());
    assert!(relayed(true).ends_as_endpoint());
    assert!(!relayed(false).ends_as_endpoint());
}
