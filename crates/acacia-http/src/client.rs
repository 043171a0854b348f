//! A client for endpoints that can tell whether a failed request was ever written.
//!
//! A refusal that says "not run" must be true, so the client counts the bytes that each connection has handed to the
//! kernel. A connection is used again only after its last answer ended cleanly: a late answer on a reused connection
//! would otherwise reach another caller.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
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
use tokio::net::{TcpStream, ToSocketAddrs};

use crate::watched_stream::{WatchedStream, WriteGuard, WrittenBytes};

/// How the client treats its connections.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// How long a connection attempt may take.
    pub connect_timeout: Duration,
    /// How long the kernel may go on trying to deliver what was written.
    pub user_timeout: Duration,
    /// How long an unused connection is kept. Something between the two ends may lose track of an idle connection, and
    /// the next request on it would then wait in vain; a short bound makes that rare.
    pub idle_timeout: Duration,
    /// Most unused connections kept for one address.
    pub idle_connections: usize,
    /// Asked at each write, where sending needs authority.
    pub guard: Option<WriteGuard>,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            user_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(4),
            idle_connections: 64,
            guard: None,
        }
    }
}

/// Which connection a request may go out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An unused one if there is one.
    Pooled,
    /// A new one, because an old one is suspected.
    Fresh,
}

/// A request that got no answer.
#[derive(Debug)]
pub struct SendFailure {
    /// How far the request had come: [`AttemptState::Unsent`] or [`AttemptState::Written`].
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

/// The head of an answer, with the connection that its body is still arriving on.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The answer; its body must be read to the end before the connection can be used again.
    pub response: Response<Incoming>,
    /// The connection, for [`EndpointClient::give_back`].
    pub connection: FinishedConnection,
}

/// A connection whose answer is being read.
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

/// Sends requests to endpoints over connections of its own.
#[derive(Debug)]
pub struct EndpointClient {
    options: ClientOptions,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl EndpointClient {
    /// Creates a client without connections.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            options,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// Dropping the returned future, or the answer's body before its end, closes the connection; the endpoint takes
    /// that as a cancellation.
    ///
    /// # Errors
    ///
    /// Fails with [`AttemptState::Unsent`] only if no byte of the request was handed to the kernel.
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
                    Err(Refused::Unsent(unsent)) => request = *unsent,
                    Err(Refused::Failed(failure)) => return Err(failure),
                }
            }
        }
        let connection = self.connect(address).await.map_err(SendFailure::unsent)?;
        match send_on(connection, address, request).await {
            Ok(answer) => Ok(answer),
            Err(Refused::Unsent(_)) => Err(SendFailure::unsent(anyhow::anyhow!("new connection was closed"))),
            Err(Refused::Failed(failure)) => Err(failure),
        }
    }

    /// Keeps a connection for later, after the answer's body was read to its end.
    pub async fn give_back(&self, now: BootTime, finished: FinishedConnection) {
        self.give_back_for(now, finished, self.options.idle_timeout).await;
    }

    /// Keeps a connection for later, but no longer than `keep`: what the other side has said that it keeps it.
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
            ..
        } = self.options;
        let stream = connect_within(address, connect_timeout, user_timeout).await?;
        let written = WrittenBytes::default();
        let watched = WatchedStream::new(stream, written.clone(), self.options.guard.clone());
        let (sender, connection) = handshake(TokioIo::new(watched)).await?;
        tokio::spawn(connection);
        Ok(OpenConnection { sender, written })
    }
}

enum Refused {
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(SendFailure),
}

async fn send_on(
    mut connection: OpenConnection,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<EndpointAnswer, Refused> {
    let before = connection.written.count();
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(EndpointAnswer {
            response,
            connection: FinishedConnection { address, connection },
        }),
        Err(mut refused) => match refused.take_message() {
            Some(request) => Err(Refused::Unsent(Box::new(request))),
            None if connection.written.count() == before => {
                Err(Refused::Failed(SendFailure::unsent(refused.into_error())))
            }
            None => {
                let source = anyhow::Error::new(refused.into_error());
                Err(Refused::Failed(SendFailure {
                    state: AttemptState::Written,
                    source,
                }))
            }
        },
    }
}

/// Connects, and sets the options that find a silent connection. Without a bound of its own an attempt hangs for minutes
/// where the other host does not answer.
///
/// # Errors
///
/// Fails when the time has passed, the other end refuses, or the system refuses an option.
pub async fn connect_within(
    address: impl ToSocketAddrs,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await??;
    prepare_socket(&stream, user_timeout)?;
    Ok(stream)
}

/// Sets the options that find a silent connection: keepalive while it is idle, a user timeout while data is under way.
///
/// # Errors
///
/// Fails when the system refuses an option.
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
