//! HTTP client for endpoints that reports whether any part of a failed request was written.
//!
//! A caller may be told that a request was not run only if that is certain, so the client counts the bytes that each
//! connection has passed to the kernel. A connection is reused only after its last response was read to the end.
//! Otherwise, the rest of that response could be delivered to another caller.

use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use acaciabay::core::attempt::AttemptState;
use acaciabay::core::clock::BootTime;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream, ToSocketAddrs};

use crate::watched_stream::{WatchedStream, WriteGuard, WrittenBytes};

/// Timeouts and limits for the connections of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Time limit for a connection attempt.
    pub connect_timeout: Duration,
    /// TCP user timeout: how long the kernel retransmits data that the endpoint does not acknowledge.
    pub user_timeout: Duration,
    /// Maximum time for which an idle connection is kept. A device on the path may drop the state of an idle connection
    /// without notice, and the next request on it would get no answer. A short limit makes that rare.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections kept for each address.
    pub idle_connections: usize,
    /// Address of this host from which connections are opened. Without it, the system chooses one.
    pub source: Option<IpAddr>,
    /// Condition checked before each write, for clients whose authority to send may expire.
    pub guard: Option<WriteGuard>,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            user_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(4),
            idle_connections: 64,
            source: None,
            guard: None,
        }
    }
}

/// Choice between an idle connection and a new one for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Uses an idle connection if there is one, or else opens a new one.
    Pooled,
    /// Opens a new connection, for use when an idle one may be broken.
    Fresh,
}

/// Error of a request that received no response.
#[derive(Debug)]
pub struct SendFailure {
    /// Progress of the request: [`AttemptState::Unsent`] or [`AttemptState::Written`].
    pub state: AttemptState,
    source: anyhow::Error,
}

impl SendFailure {
    fn unsent(source: impl Into<anyhow::Error>) -> Self {
        Self {
            state: AttemptState::Unsent,
            source: source.into(),
        }
    }
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state {
            AttemptState::Unsent => write!(f, "request was not sent: {:#}", self.source),
            AttemptState::Written | AttemptState::Started | AttemptState::Ended => {
                write!(f, "request got no answer: {:#}", self.source)
            }
        }
    }
}

impl std::error::Error for SendFailure {}

/// Head of a response, with the connection on which the body is still arriving.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Response, whose body must be read to the end before the connection can be reused.
    pub response: Response<Incoming>,
    /// Connection to pass to [`EndpointClient::give_back`].
    pub connection: FinishedConnection,
}

/// Connection on which a response is being read.
#[derive(Debug)]
pub struct FinishedConnection {
    address: SocketAddr,
    connection: OpenConnection,
}

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    written: WrittenBytes,
}

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    until: BootTime,
}

/// HTTP client for endpoints with a pool of idle connections.
#[derive(Debug)]
pub struct EndpointClient {
    options: ClientOptions,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl EndpointClient {
    /// Creates a client without open connections.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            options,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the returned future, or the response body before its end, closes the connection, which the endpoint
    /// treats as a cancellation.
    ///
    /// # Errors
    ///
    /// Fails with [`AttemptState::Unsent`] only if no byte of the request was passed to the kernel.
    pub async fn send(
        &self,
        now: BootTime,
        address: SocketAddr,
        choice: ConnectionChoice,
        request: Request<Full<Bytes>>,
    ) -> Result<EndpointAnswer, SendFailure> {
        let mut request = request;
        if choice == ConnectionChoice::Pooled {
            while let Some(connection) = self.take_idle(now, address) {
                match send_on(connection, address, request).await {
                    Ok(answer) => return Ok(answer),
                    Err(SendError::Unsent(unsent)) => request = *unsent,
                    Err(SendError::Failed(failure)) => return Err(failure),
                }
            }
        }
        let connection = self.connect(address).await.map_err(SendFailure::unsent)?;
        match send_on(connection, address, request).await {
            Ok(answer) => Ok(answer),
            Err(SendError::Unsent(_)) => Err(SendFailure::unsent(anyhow::anyhow!("new connection was closed"))),
            Err(SendError::Failed(failure)) => Err(failure),
        }
    }

    /// Returns a connection to the pool after the response body was read to its end.
    pub async fn give_back(&self, now: BootTime, finished: FinishedConnection) {
        self.give_back_for(now, finished, self.options.idle_timeout).await;
    }

    /// Returns a connection to the pool for at most `keep`, the time for which the endpoint has announced to keep it
    /// open.
    pub async fn give_back_for(&self, now: BootTime, finished: FinishedConnection, keep: Duration) {
        let until = now + keep.min(self.options.idle_timeout);
        let FinishedConnection {
            address,
            mut connection,
        } = finished;
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock();
        let list = idle.entry(address).or_default();
        list.retain(|known| now < known.until);
        if list.len() < self.options.idle_connections {
            list.push(IdleConnection { connection, until });
        }
    }

    fn take_idle(&self, now: BootTime, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        while let Some(IdleConnection { connection, until }) = list.pop() {
            if now < until && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> anyhow::Result<OpenConnection> {
        let ClientOptions {
            connect_timeout,
            user_timeout,
            source,
            ..
        } = self.options;
        let stream = connect_from(source, address, connect_timeout, user_timeout).await?;
        let written = WrittenBytes::default();
        let watched = WatchedStream::new(stream, written.clone(), self.options.guard.clone());
        let (sender, connection) = handshake(TokioIo::new(watched)).await?;
        tokio::spawn(connection);
        Ok(OpenConnection { sender, written })
    }
}

enum SendError {
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(SendFailure),
}

async fn send_on(
    mut connection: OpenConnection,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<EndpointAnswer, SendError> {
    let before = connection.written.count();
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(EndpointAnswer {
            response,
            connection: FinishedConnection { address, connection },
        }),
        Err(mut error) => match error.take_message() {
            Some(request) => Err(SendError::Unsent(Box::new(request))),
            None if connection.written.count() == before => {
                Err(SendError::Failed(SendFailure::unsent(error.into_error())))
            }
            None => {
                let source = anyhow::Error::new(error.into_error());
                Err(SendError::Failed(SendFailure {
                    state: AttemptState::Written,
                    source,
                }))
            }
        },
    }
}

/// Connects with a time limit and sets the socket options of [`prepare_socket`]. Without the limit, an attempt takes
/// minutes to fail if the other host does not answer.
///
/// # Errors
///
/// Fails if the attempt times out, the connection is refused, or a socket option cannot be set.
pub async fn connect_within(
    address: impl ToSocketAddrs,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await??;
    prepare_socket(&stream, user_timeout)?;
    Ok(stream)
}

/// Connects as [`connect_within`] does, from this address of the host if there is one.
///
/// # Errors
///
/// Fails as [`connect_within`] does, or if `source` is not an address of this host.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return connect_within(address, connect_timeout, user_timeout).await;
    };
    let socket = if source.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = tokio::time::timeout(connect_timeout, socket.connect(address)).await??;
    prepare_socket(&stream, user_timeout)?;
    Ok(stream)
}

/// Sets the socket options that detect a dead connection: keepalive while it is idle, and a user timeout while sent
/// data is unacknowledged. Also disables Nagle's algorithm.
///
/// # Errors
///
/// Fails if a socket option cannot be set.
pub fn prepare_socket(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
    const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL),
    )
}
