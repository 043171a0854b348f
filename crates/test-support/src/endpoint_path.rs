//! The way to one endpoint, which can be cut for callers at chosen addresses while it stays whole for all others.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

const BUFFER: usize = 64 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a cut shows at the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutFace {
    /// All packets are lost: open connections and new ones hang.
    Hang,
    /// Open connections are reset, and new ones hang.
    Reset,
    /// Open connections live on, and new ones hang.
    KeepOpen,
}

/// Passes connections on to an endpoint. Packets of callers that are cut off are dropped by the kernel, so that connection
/// attempts get no answer and sent data no acknowledgement.
#[derive(Debug)]
pub struct EndpointPath {
    /// Where the path begins.
    pub address: SocketAddr,
    state: Arc<PathState>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct PathState {
    listener: TcpListener,
    cuts: Mutex<BTreeMap<Ipv4Addr, CutFace>>,
}

impl EndpointPath {
    /// Starts a path from one address to the endpoint at another.
    ///
    /// # Panics
    ///
    /// Panics when the address is taken.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("the system has sockets");
        socket.set_reuseaddr(true).expect("a new socket takes options");
        socket.bind(address).expect("the address is free");
        let state = Arc::new(PathState {
            listener: socket.listen(128).expect("the address is free"),
            cuts: Mutex::default(),
        });
        let task = tokio::spawn(accept(Arc::clone(&state), target));
        Self { address, state, task }
    }

    /// Cuts the path for callers at this address.
    ///
    /// # Panics
    ///
    /// Panics when the system takes no packet filter.
    pub fn cut(&self, source: Ipv4Addr, face: CutFace) {
        self.state.cuts.lock().insert(source, face);
        self.state.filter_new();
    }

    /// Refuses new connections from now on, as the port of an endpoint that has ended does.
    ///
    /// # Panics
    ///
    /// Panics when the system does not close the port.
    pub fn close(&self) {
        let socket = SockRef::from(&self.state.listener);
        socket.shutdown(Shutdown::Both).expect("a listener can be shut down");
    }

    /// Passes everything on again. Connections that have lost bytes stay broken.
    ///
    /// # Panics
    ///
    /// Panics when the system takes no packet filter.
    pub fn heal(&self) {
        self.state.cuts.lock().clear();
        self.state.filter_new();
    }
}

impl Drop for EndpointPath {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PathState {
    fn face(&self, source: Ipv4Addr) -> Option<CutFace> {
        self.cuts.lock().get(&source).copied()
    }

    /// Drops the packets of new connections from all callers that are cut off.
    fn filter_new(&self) {
        let sources: Vec<Ipv4Addr> = self.cuts.lock().keys().copied().collect();
        let socket = SockRef::from(&self.listener);
        socket
            .attach_filter(&drop_from(&sources))
            .expect("a filter can be attached");
    }
}

/// Returns a packet filter that drops everything from these addresses.
fn drop_from(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    /// The source address in the network header of a packet.
    const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for (index, source) in sources.iter().enumerate() {
        let to_drop = u8::try_from(sources.len() - index).expect("a test cuts off a few callers");
        filter.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, source.to_bits()));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter.push(SockFilter::new(RETURN, 0, 0, 0));
    filter
}

async fn accept(state: Arc<PathState>, target: SocketAddr) {
    while let Ok((source, SocketAddr::V4(from))) = state.listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            if let Ok(onward) = TcpStream::connect(target).await {
                pass_both(source, from, onward, &state).await;
            }
        });
    }
}

async fn pass_both(mut source: TcpStream, from: SocketAddrV4, mut onward: TcpStream, state: &PathState) {
    // An accepted connection has the filter of the listener, which may be from before a cut was healed.
    let passes_all = [SockFilter::new(0x06, 0, 0, u32::MAX)];
    let _unfiltered = SockRef::from(&source).attach_filter(&passes_all);
    let is_cut = || state.face(*from.ip()).is_some_and(|face| face != CutFace::KeepOpen);
    // The halves are borrowed: one that is dropped by itself would close the connection in order, whatever has happened.
    let (mut source_read, mut source_write) = source.split();
    let (mut onward_read, mut onward_write) = onward.split();
    let end = tokio::select! {
        end = pass(&mut source_read, &mut onward_write, is_cut) => end,
        end = pass(&mut onward_read, &mut source_write, is_cut) => end,
        () = wait_until_cut(is_cut) => PassEnd::Cut,
    };
    if end == PassEnd::Closed {
        return;
    }
    // Closed in order, also after a cut has healed, the connection would say that the endpoint has ended its answer.
    let _reset = SockRef::from(&source).set_linger(Some(Duration::ZERO));
    if end == PassEnd::Broken || state.face(*from.ip()) == Some(CutFace::Reset) {
        return;
    }
    let _filtered = SockRef::from(&source).attach_filter(&drop_from(&[*from.ip()]));
    while is_cut() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_cut(is_cut: impl Fn() -> bool) {
    while !is_cut() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PassEnd {
    /// One side has closed its connection in order.
    Closed,
    /// The connection of one side broke.
    Broken,
    Cut,
}

async fn pass(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>, is_cut: impl Fn() -> bool) -> PassEnd {
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await;
        if is_cut() {
            return PassEnd::Cut;
        }
        match read {
            Ok(0) => return PassEnd::Closed,
            Ok(count) if to.write_all(&buffer[..count]).await.is_ok() => {}
            _ => return PassEnd::Broken,
        }
    }
}
