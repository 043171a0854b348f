//! TCP connections with time limits, and the socket options that detect dead ones.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream, ToSocketAddrs};

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

/// Sets whether the end of a connection is a reset, also if the process is killed, or an orderly close.
///
/// # Errors
///
/// Fails if the socket option cannot be set.
pub fn set_reset_on_close(stream: &TcpStream, is_reset: bool) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(is_reset.then_some(Duration::ZERO))
}

/// Limits the bytes that the kernel takes for a stream before it can send them, if there is a limit.
///
/// # Errors
///
/// Fails if the socket option cannot be set.
pub(crate) fn limit_unsent(stream: &TcpStream, limit: Option<u32>) -> std::io::Result<()> {
    limit.map_or(Ok(()), |limit| SockRef::from(stream).set_tcp_notsent_lowat(limit))
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
