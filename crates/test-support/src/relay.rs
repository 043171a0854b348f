//! A relay between two processes that can lose everything in one direction or both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

const BUFFER: usize = 64 * 1024;
/// How much is read at a time from a connection that is slow.
const SLOW_BUFFER: usize = 4 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Passes connections on until it is told to swallow what they carry. A swallowed connection stays open, as it does
/// when a network partition loses packets silently.
#[derive(Debug)]
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    cut: Arc<RelayCut>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct RelayCut {
    to_target: AtomicBool,
    to_source: AtomicBool,
    /// How many bytes a second pass to the source; 0 for no bound.
    pace_to_source: AtomicU64,
}

impl Relay {
    /// Starts a relay.
    ///
    /// # Panics
    ///
    /// Panics when the address is taken.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let cut = Arc::new(RelayCut::default());
        let socket = TcpSocket::new_v4().expect("the system has sockets");
        socket.set_reuseaddr(true).expect("a new socket takes options");
        socket.bind(address).expect("the address is free");
        let listener = socket.listen(128).expect("the address is free");
        let task = tokio::spawn(accept(listener, target, Arc::clone(&cut)));
        Self { address, cut, task }
    }

    /// Loses everything in both directions from now on.
    pub fn cut(&self) {
        self.cut_towards_target();
        self.cut.to_source.store(true, Ordering::Release);
    }

    /// Loses everything that goes to the target from now on.
    pub fn cut_towards_target(&self) {
        self.cut.to_target.store(true, Ordering::Release);
    }

    /// Passes only so many bytes a second to the source of each connection from now on.
    pub fn slow_towards_source(&self, bytes_per_second: u64) {
        self.cut.pace_to_source.store(bytes_per_second, Ordering::Release);
    }

    /// Passes everything on again. What was lost stays lost, so connections that lost something are broken.
    pub fn heal(&self) {
        self.cut.to_target.store(false, Ordering::Release);
        self.cut.to_source.store(false, Ordering::Release);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: Arc<RelayCut>) {
    while let Ok((source, _)) = listener.accept().await {
        let cut = Arc::clone(&cut);
        tokio::spawn(async move {
            if let Ok(onward) = TcpStream::connect(target).await {
                pass_both(source, onward, cut).await;
            }
        });
    }
}

async fn pass_both(source: TcpStream, onward: TcpStream, cut: Arc<RelayCut>) {
    let (source_read, source_write) = source.into_split();
    let (onward_read, onward_write) = onward.into_split();
    let (forward, backward) = (Arc::clone(&cut), cut);
    // When one direction ends, so does the connection.
    tokio::select! {
        () = pass(source_read, onward_write, || forward.to_target.load(Ordering::Acquire), || 0) => {}
        () = pass(
            onward_read,
            source_write,
            || backward.to_source.load(Ordering::Acquire),
            || backward.pace_to_source.load(Ordering::Acquire),
        ) => {}
    }
}

/// Passes bytes on; a connection that has lost any ends once the cut is healed.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    is_cut: impl Fn() -> bool,
    bytes_per_second: impl Fn() -> u64,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let pace = bytes_per_second();
        let room = if pace == 0 { BUFFER } else { SLOW_BUFFER };
        let Ok(count) = from.read(&mut buffer[..room]).await else {
            return;
        };
        if is_cut() {
            // An end of the connection is a packet too, and is lost like any other.
            while is_cut() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        if pace > 0 {
            tokio::time::sleep(Duration::from_secs_f64(count as f64 / pace as f64)).await;
        }
    }
}
