//! HTTP/1.1 server with limits for each client and graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::ResponseBody;
use crate::caller_body::{CallerBody, FlushSignal};
use crate::caller_stream::{CallerStream, UnframedAnswer};
use crate::head_account::{ConnectionHead, HeadAccount};
use crate::socket::{limit_unsent, prepare_socket};

/// TCP user timeout: how long the kernel retransmits a response that the client does not acknowledge.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed `accept`, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes that the kernel holds of what a client has sent and nobody has read. It would hold megabytes otherwise, which are memory of
/// the host as well.
const RECEIVE_BYTES: usize = 32 * 1024;

/// Limits on the resources that clients may use.
#[derive(Clone, Copy, Debug)]
pub struct ServerBounds {
    /// Maximum size of a request head, in bytes. A larger one is answered with status 431.
    pub head_bytes: usize,
    /// Time limit for receiving a request head. It starts again for each request on the connection.
    pub head_timeout: Duration,
    /// Maximum number of open connections. Further ones wait to be accepted.
    pub connections: usize,
    /// Maximum number of bytes of a response that the kernel holds before it can send them, if it is limited.
    pub unsent_bytes: Option<u32>,
    /// True if a response breaks off only after everything before the break has been written, however slowly its client reads.
    pub flushes_breaks: bool,
}

impl Default for ServerBounds {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            connections: 1_024,
            unsent_bytes: None,
            flushes_breaks: false,
        }
    }
}

/// Binds a TCP listener to an address.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this host. The error names the address.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("failed to listen on `{address}`"))
}

/// Serves connections until `stop` is cancelled, then completes the requests in progress and returns.
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

/// Serves connections like [`serve_http`], but calls `bounds_now` for each new connection, because the bounds may
/// change. The maximum number of connections is read only once, at the start.
pub async fn serve_http_within<F>(
    listener: TcpListener,
    bounds_now: impl Fn() -> ServerBounds,
    stop: CancellationToken,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    // Where the system refuses it, its own size holds. Connections inherit it.
    let _refused = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES);
    let open = TaskTracker::new();
    let heads = HeadAccount::default();
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (stop, handle, bounds) = (stop.clone(), handle.clone(), bounds_now());
        let head = heads.open();
        open.spawn(async move {
            serve_connection(stream, bounds, head, stop, handle).await;
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
    head: ConnectionHead,
    stop: CancellationToken,
    handle: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<ResponseBody>>,
{
    if prepare_socket(&stream, CLIENT_USER_TIMEOUT).is_err() || limit_unsent(&stream, bounds.unsent_bytes).is_err() {
        return;
    }
    let unframed = UnframedAnswer::default();
    let flush = bounds.flushes_breaks.then(FlushSignal::default);
    let service = service_fn(|request| {
        let is_chunkless = request.version() < Version::HTTP_11;
        head.end();
        let (answer, unframed, flush, head) = (handle(request), unframed.clone(), flush.clone(), head.clone());
        async move {
            let response = answer.await;
            head.begin();
            let has_no_chunks = is_chunkless || response.version() < Version::HTTP_11;
            if has_no_chunks && response.body().size_hint().exact().is_none() {
                unframed.begin();
            }
            Ok::<_, Infallible>(response.map(|body| CallerBody::new(body, flush)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_bytes)
        .half_close(false)
        .serve_connection(
            TokioIo::new(CallerStream::new(stream, unframed.clone(), flush.clone(), head.clone())),
            service,
        );
    let mut connection = pin!(connection);
    // An error is ignored: it affects only this connection, and the client notices it.
    let _ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}
