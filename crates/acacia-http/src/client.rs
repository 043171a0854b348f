//! HTTP client for endpoints that reports whether any part of a failed request was written.
//!
//! A caller may be told that a request was not run only if that is certain, so the client counts the bytes that each
//! connection has passed to the kernel. A connection is reused only after its last response was read to the end.
//! Otherwise, the rest of that response could be delivered to another caller.

use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
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

use crate::connector::{ConnectFailure, ConnectionPath, Connector, DirectConnector, NewConnection};
use crate::watched_stream::{HeadBound, WatchedStream, WriteGuard, WrittenBytes};

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
            guard: None,
        }
    }
}

/// Choice between an idle connection and a new one for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Uses an idle connection if there is one, or else opens a new one.
    Pooled,
    /// As [`Pooled`](Self::Pooled), but gives up a request on a direct connection when the path to the endpoint is lost. For
    /// requests that may be sent again.
    PooledWhileReachable,
    /// Opens a new connection, for use when an idle one may be broken.
    Fresh,
}

/// Error of a request that received no response.
#[derive(Debug)]
pub struct SendFailure {
    /// Progress of the request: [`AttemptState::Unsent`] or [`AttemptState::Written`].
    pub state: AttemptState,
    /// True if the path to the endpoint is lost, which says nothing about the endpoint.
    pub is_path_lost: bool,
    /// True if a connection was open, but the request was not to be sent any more, see [`EndpointClient::send_if`].
    pub is_withheld: bool,
    source: anyhow::Error,
}

impl SendFailure {
    fn unsent(source: impl Into<anyhow::Error>) -> Self {
        Self {
            state: AttemptState::Unsent,
            is_path_lost: false,
            is_withheld: false,
            source: source.into(),
        }
    }

    fn withheld() -> Self {
        Self {
            is_withheld: true,
            ..Self::unsent(anyhow::anyhow!("it was not to be sent any more"))
        }
    }
}

impl From<ConnectFailure> for SendFailure {
    fn from(failure: ConnectFailure) -> Self {
        Self {
            state: AttemptState::Unsent,
            is_path_lost: failure.is_path_lost,
            is_withheld: false,
            source: failure.source,
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

impl FinishedConnection {
    /// Returns the path of the connection.
    pub const fn path(&self) -> ConnectionPath {
        self.connection.path
    }
}

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    written: WrittenBytes,
    head: HeadBound,
    path: ConnectionPath,
    _lifetime: Option<Arc<dyn Any + Send + Sync>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    since: BootTime,
    until: BootTime,
}

/// HTTP client for endpoints with a pool of idle connections.
#[derive(Debug)]
pub struct EndpointClient {
    options: ClientOptions,
    connector: Arc<dyn Connector>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl EndpointClient {
    /// Creates a client without open connections.
    pub fn new(options: ClientOptions) -> Self {
        let connector = Arc::new(DirectConnector {
            connect_timeout: options.connect_timeout,
            user_timeout: options.user_timeout,
        });
        Self::with_connector(options, connector)
    }

    /// Creates a client that opens its connections by `connector`.
    pub fn with_connector(options: ClientOptions, connector: Arc<dyn Connector>) -> Self {
        Self {
            options,
            connector,
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
        self.send_if(now, address, choice, request, || true).await
    }

    /// Sends a request as [`send`](Self::send) does, if `may_send` returns true once a connection is open. That may take so
    /// long that a bound on what arrives at the endpoint in a time no longer covers the request.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does, also if `may_send` returns false.
    pub async fn send_if(
        &self,
        now: BootTime,
        address: SocketAddr,
        choice: ConnectionChoice,
        request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<EndpointAnswer, SendFailure> {
        let mut request = request;
        if choice != ConnectionChoice::Fresh {
            while let Some(idle) = self.take_idle(now, address) {
                if !may_send() {
                    self.keep(now, address, idle);
                    return Err(SendFailure::withheld());
                }
                match self.send_on(idle.connection, address, choice, request).await {
                    Ok(answer) => return Ok(answer),
                    Err(SendError::Unsent(unsent)) => request = *unsent,
                    Err(SendError::Failed(failure)) => return Err(failure),
                }
            }
        }
        let connection = self.connect(address).await?;
        if !may_send() {
            self.give_back(now, FinishedConnection { address, connection }).await;
            return Err(SendFailure::withheld());
        }
        match self.send_on(connection, address, choice, request).await {
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
        let idle = IdleConnection {
            connection,
            since: now,
            until,
        };
        self.keep(now, address, idle);
    }

    fn keep(&self, now: BootTime, address: SocketAddr, connection: IdleConnection) {
        let mut idle = self.idle.lock();
        let list = idle.entry(address).or_default();
        list.retain(|known| now < known.until);
        if list.len() < self.options.idle_connections {
            list.push(connection);
        }
    }

    async fn send_on(
        &self,
        connection: OpenConnection,
        address: SocketAddr,
        choice: ConnectionChoice,
        request: Request<Full<Bytes>>,
    ) -> Result<EndpointAnswer, SendError> {
        if connection.path != ConnectionPath::Direct {
            return send_on(connection, address, request).await;
        }
        let lost = async {
            match choice {
                ConnectionChoice::PooledWhileReachable => self.connector.lost(address).await,
                ConnectionChoice::Pooled | ConnectionChoice::Fresh => std::future::pending().await,
            }
        };
        tokio::select! {
            sent = send_on(connection, address, request) => {
                if let Err(SendError::Failed(_)) = &sent {
                    self.connector.record_broken(address);
                }
                sent
            }
            () = lost => Err(SendError::Failed(SendFailure {
                state: AttemptState::Written,
                is_path_lost: true,
                is_withheld: false,
                source: anyhow::anyhow!("the path to the endpoint is lost"),
            })),
        }
    }

    /// Opens a connection and keeps it for later requests, for at most the usual time.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made.
    pub async fn open_idle(&self, now: BootTime, address: SocketAddr) -> Result<(), SendFailure> {
        let connection = self.connect(address).await?;
        self.give_back(now, FinishedConnection { address, connection }).await;
        Ok(())
    }

    /// Closes idle connections over relays that may not be used any more. One that stops waits for them.
    pub fn close_unusable(&self, now: BootTime) {
        let mut idle = self.idle.lock();
        for (address, list) in idle.iter_mut() {
            list.retain(|idle| {
                let path = idle.connection.path;
                path == ConnectionPath::Direct
                    || (now < idle.until && self.connector.may_use(*address, path, idle.since))
            });
        }
    }

    fn take_idle(&self, now: BootTime, address: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        let may_use = |idle: &IdleConnection| self.connector.may_use(address, idle.connection.path, idle.since);
        // A direct connection that may not be used now may be whole, and is needed once its path is found again.
        list.retain(|idle| idle.connection.path == ConnectionPath::Direct || may_use(idle));
        while let Some(index) = list.iter().rposition(may_use) {
            let idle = list.remove(index);
            if now < idle.until && !idle.connection.sender.is_closed() {
                return Some(idle);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, SendFailure> {
        let NewConnection { stream, path, lifetime } = self.connector.connect(address).await?;
        let written = WrittenBytes::default();
        let head = HeadBound::default();
        let arrivals = (path == ConnectionPath::Direct).then(|| Arc::clone(&self.connector));
        let watched = WatchedStream::new(
            stream,
            written.clone(),
            head.clone(),
            self.options.guard.clone(),
            arrivals,
        );
        let (sender, connection) = handshake(TokioIo::new(watched)).await.map_err(SendFailure::unsent)?;
        tokio::spawn(connection);
        Ok(OpenConnection {
            sender,
            written,
            head,
            path,
            _lifetime: lifetime,
        })
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
    connection.head.arm();
    let sent = connection.sender.try_send_request(request).await;
    connection.head.disarm();
    match sent {
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
                    is_path_lost: false,
                    is_withheld: false,
                    source,
                }))
            }
        },
    }
}
