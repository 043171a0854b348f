//! An HTTP/1.1 server with bounds on what a client may take, and a stop that cuts no request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::ResponseBody;
use crate::client::prepare_socket;

/// How long the kernel goes on trying to deliver an answer to a client that does not acknowledge it.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// How long to wait after the system refused to accept a connection, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on what a client may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerBounds {
    /// The largest request head, in bytes; a larger one is answered 431.
    pub head_bytes: usize,
    /// How long a client may take to send a request head, counted anew for each request on the connection.
    pub head_timeout: Duration,
    /// Most connections open at once; further ones wait to be accepted.
    pub connections: usize,
}

impl Default for ServerBounds {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            connections: 1_024,
        }
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Fails, naming the address, when it is taken or not this host's.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("failed to listen on `{address}`"))
}

/// Serves connections until `stop` is cancelled, then finishes the requests that have begun and returns.
pub async fn serve_http<F>(
    listener: TcpListener,
    bounds: ServerBounds,
    stop: CancellationToken,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    serve_http_within(listener, move || bounds, stop, handle).await;
}

/// Serves like [`serve_http`], with bounds that are asked for at each connection because they may change.
pub async fn serve_http_within<F>(
    listener: TcpListener,
    bounds_now: impl Fn() -> ServerBounds,
    stop: CancellationToken,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let open = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(bounds_now().connections));
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (stop, handle, bounds) = (stop.clone(), handle.clone(), bounds_now());
        open.spawn(async move {
            serve_connection(stream, bounds, stop, handle).await;
            drop(permit);
        });
    }
    drop(listener);
    open.close();
    open.wait().await;
}

async fn serve_connection<F>(
    stream: TcpStream,
    bounds: ServerBounds,
    stop: CancellationToken,
    handle: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<ResponseBody>>,
{
    if prepare_socket(&stream, CLIENT_USER_TIMEOUT).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A failed connection concerns its client alone, which sees the failure itself.
    let _ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}
