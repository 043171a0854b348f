//! Tests that a client of the server can tell a whole answer from one that breaks off.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::{ResponseBody, ServerBounds, listen, serve_http};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Time between two pieces of an answer, so that each is written by itself.
const PIECE_INTERVAL: Duration = Duration::from_millis(5);

/// Answers in two pieces. `/cut` breaks off after them, `/large` ends after many bytes, any other path ends.
async fn answer(request: Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() == "/large" {
        let pieces = stream::iter([Ok(Frame::data(Bytes::from(vec![b'x'; LARGE_BYTES])))]);
        return Response::new(StreamBody::new(pieces).boxed_unsync());
    }
    let end = (request.uri().path() == "/cut").then(|| Err(std::io::Error::other("broken off")));
    let pieces = ["one ", "two"].map(|piece| Ok(Frame::data(Bytes::from(piece))));
    let pieces = stream::iter(pieces.into_iter().chain(end)).then(|piece| async {
        tokio::time::sleep(PIECE_INTERVAL).await;
        piece
    });
    Response::new(StreamBody::new(pieces).boxed_unsync())
}

/// More than the kernel holds for a client that does not read.
const LARGE_BYTES: usize = 16 * 1024 * 1024;
/// Pause of a slow client after each piece.
const READING_PAUSE: Duration = Duration::from_millis(10);

async fn serve() -> SocketAddr {
    let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(serve_http(
        listener,
        ServerBounds::default(),
        CancellationToken::new(),
        answer,
    ));
    address
}

/// Sends a request and reads until the connection ends.
async fn exchange(address: SocketAddr, path: &str, version: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!("GET {path} {version}\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// A client in HTTP/1.0 knows the end of an answer without a length by the end of the connection alone. If that were
/// orderly after a break, it would take a part for the whole.
#[tokio::test]
async fn an_answer_without_framing_that_breaks_off_is_reset() {
    let address = serve().await;

    let cut = exchange(address, "/cut", "HTTP/1.0").await;
    let whole = exchange(address, "/whole", "HTTP/1.0").await;

    let error = cut.expect_err("the connection does not end in order");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(
        whole
            .expect("the connection ends in order")
            .ends_with("\r\n\r\none two")
    );
}

/// A client reads slowly. If the connection were reset after a whole answer, what the client has not read would be lost.
#[tokio::test]
async fn a_whole_answer_without_framing_reaches_a_slow_client() {
    let address = serve().await;
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream
        .write_all(b"GET /large HTTP/1.0\r\nhost: test\r\n\r\n")
        .await
        .expect("it reads");
    let mut answer = Vec::new();

    let read = loop {
        let mut piece = vec![0; LARGE_BYTES / 4];
        match stream.read(&mut piece).await {
            Ok(0) => break Ok(()),
            Ok(count) => answer.extend_from_slice(&piece[..count]),
            Err(error) => break Err(error),
        }
        tokio::time::sleep(READING_PAUSE).await;
    };

    read.expect("the connection ends in order");
    assert!(answer.ends_with(&vec![b'x'; LARGE_BYTES]), "{} bytes", answer.len());
}

/// In chunks, the missing last one tells it. What has been sent is not taken back by a reset.
#[tokio::test]
async fn an_answer_in_chunks_that_breaks_off_has_no_last_chunk() {
    let address = serve().await;

    let cut = exchange(address, "/cut", "HTTP/1.1").await.expect("it ends in order");
    let whole = exchange(address, "/whole", "HTTP/1.1").await.expect("it ends in order");

    assert!(cut.contains("two") && !cut.ends_with("0\r\n\r\n"), "{cut}");
    assert!(whole.ends_with("0\r\n\r\n"), "{whole}");
}
