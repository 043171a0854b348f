//! Endpoints that answer with bytes without end that are no answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use acacia_http::listen;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Bytes of one write.
const WRITE_BYTES: usize = 16 * 1024;

/// What an endpoint sends, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct EndlessBytes {
    /// What a failed test calls it.
    pub name: &'static str,
    /// Sent once.
    pub start: &'static str,
    /// Sent again and again.
    pub repeated: &'static str,
    /// Pause after each repetition, or `None` to send as fast as they are taken.
    pub pause: Option<Duration>,
}

impl EndlessBytes {
    /// Bytes that are sent as fast as they are taken.
    pub const fn fast(name: &'static str, start: &'static str, repeated: &'static str) -> Self {
        Self {
            name,
            start,
            repeated,
            pause: None,
        }
    }

    /// The same bytes with a pause after each repetition.
    #[must_use]
    pub const fn dripping(self, pause: Duration) -> Self {
        Self {
            pause: Some(pause),
            ..self
        }
    }
}

/// One endpoint. It answers until its callers close their connections.
#[derive(Debug)]
pub struct EndlessEndpoint {
    open: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

impl EndlessEndpoint {
    /// Starts the endpoint.
    ///
    /// # Panics
    ///
    /// Panics when the address is taken.
    pub async fn start(address: SocketAddr, bytes: EndlessBytes) -> Self {
        let listener = listen(address).await.expect("the address is free");
        let (open, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (counted, asked) = (Arc::clone(&open), Arc::clone(&requests));
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let (counted, asked) = (Arc::clone(&counted), Arc::clone(&asked));
                tokio::spawn(async move { answer(stream, bytes, &counted, &asked).await });
            }
        });
        Self {
            open,
            requests,
            accepting,
        }
    }

    /// Returns the number of connections on which it is answering.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the number of requests that it has begun to answer.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

impl Drop for EndlessEndpoint {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn answer(mut stream: TcpStream, bytes: EndlessBytes, open: &AtomicUsize, requests: &AtomicUsize) {
    let mut request = [0; 4096];
    if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
        requests.fetch_add(1, Ordering::AcqRel);
        open.fetch_add(1, Ordering::AcqRel);
        send_until_closed(&mut stream, bytes).await;
        open.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn send_until_closed(stream: &mut TcpStream, bytes: EndlessBytes) {
    if stream.write_all(bytes.start.as_bytes()).await.is_err() {
        return;
    }
    let count = match bytes.pause {
        Some(_) => 1,
        None => WRITE_BYTES.div_ceil(bytes.repeated.len()),
    };
    let piece = bytes.repeated.repeat(count);
    while stream.write_all(piece.as_bytes()).await.is_ok() {
        if let Some(pause) = bytes.pause {
            tokio::time::sleep(pause).await;
        }
    }
}
