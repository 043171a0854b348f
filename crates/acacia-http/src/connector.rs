//! How connections to endpoints are opened.

use std::any::Any;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use futures::future::BoxFuture;
use futures::{FutureExt, TryFutureExt};
use tokio::net::TcpStream;

use crate::socket::connect_within;

/// Path on which a connection reaches its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPath {
    /// It leads to the endpoint itself.
    Direct,
    /// It leads over another host.
    Relayed {
        /// Address of that host.
        relay: SocketAddr,
        /// Number of the connection in the logs of both hosts.
        connection: u64,
        /// True if that host ends the connection in order only where the endpoint has done so.
        resets_breaks: bool,
    },
}

impl ConnectionPath {
    /// Returns true if an orderly end of the connection is the endpoint's own.
    pub const fn ends_as_endpoint(self) -> bool {
        match self {
            Self::Direct => true,
            Self::Relayed { resets_breaks, .. } => resets_breaks,
        }
    }
}

/// A connection to an endpoint that was just opened.
#[derive(Debug)]
pub struct NewConnection {
    /// The connection, on which nothing has been sent to the endpoint.
    pub stream: TcpStream,
    /// Its path.
    pub path: ConnectionPath,
    /// Dropped when the connection is no longer used.
    pub lifetime: Option<Arc<dyn Any + Send + Sync>>,
}

/// Error of a connection attempt.
#[derive(Debug)]
pub struct ConnectFailure {
    /// True if the path to the endpoint is lost, which says nothing about the endpoint.
    pub is_path_lost: bool,
    /// What happened.
    pub source: anyhow::Error,
}

/// Opens the connections of an [`EndpointClient`].
pub trait Connector: fmt::Debug + Send + Sync + 'static {
    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if no path leads to the endpoint.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<NewConnection, ConnectFailure>>;

    /// Returns true if a connection on this path that is idle since then may be used.
    fn may_use(&self, address: SocketAddr, path: ConnectionPath, idle_since: BootTime) -> bool;

    /// Records that bytes have arrived on a direct connection.
    fn record_arrival(&self);

    /// Records that an open direct connection to an endpoint has broken under a request.
    fn record_broken(&self, address: SocketAddr);

    /// Completes when open direct connections to an endpoint are lost with the path to it.
    fn lost(&self, address: SocketAddr) -> BoxFuture<'_, ()>;
}

/// Connector that knows no path but the direct one.
#[derive(Debug)]
pub(crate) struct DirectConnector {
    pub(crate) connect_timeout: Duration,
    pub(crate) user_timeout: Duration,
}

impl Connector for DirectConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<NewConnection, ConnectFailure>> {
        let connecting = connect_within(address, self.connect_timeout, self.user_timeout);
        let connected = connecting.map_ok(|stream| NewConnection {
            stream,
            path: ConnectionPath::Direct,
            lifetime: None,
        });
        let failed = |error: std::io::Error| ConnectFailure {
            is_path_lost: false,
            source: error.into(),
        };
        connected.map_err(failed).boxed()
    }

    fn may_use(&self, _address: SocketAddr, _path: ConnectionPath, _idle_since: BootTime) -> bool {
        true
    }

    fn record_arrival(&self) {}

    fn record_broken(&self, _address: SocketAddr) {}

    fn lost(&self, _address: SocketAddr) -> BoxFuture<'_, ()> {
        std::future::pending().boxed()
    }
}
