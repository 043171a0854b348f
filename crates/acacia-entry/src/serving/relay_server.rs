//! Relays connections of other entries to endpoints that they do not reach by themselves.
//!
//! The bytes of both directions are passed on as they come; all decisions on calls remain with the entry that has taken
//! them. A connection is never relayed twice: it goes directly to the endpoint or not at all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{prepare_socket, set_reset_on_close};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::RelayOutcome;
use acacia_wire::{RelayHandshake, RelayMessage, RelayReply, RelayRequest};
use acaciabay::core::serving::broken_attempt::PortState;
use acaciabay::core::serving::carried_entries::CarriedEntry;
use acaciabay::util::number::whole_millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::endpoint_paths::EndpointPaths;
use super::endpoint_rests::{RelayTarget, record_relayed_rest};
use super::shared::EntryShared;

/// Maximum number of relayed connections. Each takes two descriptors and two buffers.
const MAX_RELAYED: usize = 512;
/// Maximum number of connections on which a request is awaited.
const MAX_HANDSHAKES: usize = 64;
/// Time limit for reading the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which sent data may remain unacknowledged before the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next attempt after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Relays connections until `closing` is cancelled, and then those that are open until they end or `ended` is cancelled.
pub(super) async fn serve_relays(
    listener: TcpListener,
    shared: Arc<EntryShared>,
    closing: CancellationToken,
    ended: CancellationToken,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let relayed = Arc::new(Semaphore::new(MAX_RELAYED));
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Strangers that connect and say nothing must not take the place of relayed connections.
        let Ok(handshake) = Arc::clone(&handshakes).try_acquire_owned() else {
            continue;
        };
        let (shared, relayed, ended) = (Arc::clone(&shared), Arc::clone(&relayed), ended.clone());
        connections.spawn(async move {
            tokio::select! {
                () = ended.cancelled() => {}
                () = serve_connection(stream, from, &shared, &relayed, handshake) => {}
            }
        });
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    shared: &EntryShared,
    relayed: &Semaphore,
    handshake_permit: tokio::sync::OwnedSemaphorePermit,
) {
    let mut handshake = RelayHandshake::new(stream);
    let message = tokio::time::timeout(REQUEST_TIMEOUT, handshake.read_message()).await;
    let message = match message {
        Ok(Ok(message)) if shared.paths.knows_token(message.token()) => message,
        refused => {
            let reason = match refused {
                Ok(Ok(_stranger)) => "unknown token".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Err(_elapsed) => "no request".to_owned(),
            };
            slog::warn!(shared.log, "relay request refused"; "event" => event::RELAY_REFUSED, "from" => %from,
                "reason" => reason);
            metrics::counter!("acacia_relay_strangers_total").increment(1);
            return;
        }
    };
    let request = match message {
        RelayMessage::Open(request) => request,
        RelayMessage::Rest(rest) => {
            record_relayed_rest(shared, &rest);
            return;
        }
    };
    // A rest that the endpoint asks for while the connection is being opened concerns it too.
    let _carried = CarriedConnection::begin(&shared.paths, &request);
    let permit = relayed.try_acquire().ok();
    let outcome = match permit {
        Some(_) => connect(shared, &request).await,
        None => Err(RelayOutcome::Unavailable),
    };
    drop(handshake_permit);
    let answer = outcome
        .as_ref()
        .map_or_else(|outcome| *outcome, |_stream| RelayOutcome::Opened);
    let began_at = boot_now();
    slog::info!(shared.log, "connection relayed"; "event" => event::RELAY_OPENED, "entry" => &request.host,
        "address" => %request.address, "connection" => request.connection, "outcome" => ?answer);
    let reply = RelayReply {
        outcome: answer,
        resets_breaks: true,
    };
    if handshake.answer(reply).await.is_err() {
        return;
    }
    let Ok(endpoint) = outcome else { return };
    let (entry, early) = handshake.finish();
    if !early.is_empty() {
        return;
    }
    let passed = pass_both(shared, entry, endpoint).await;
    slog::debug!(shared.log, "relayed connection ended"; "event" => event::RELAY_ENDED,
        "connection" => request.connection, "end" => ?passed,
        "lasted_ms" => whole_millis(boot_now().since(began_at)));
}

/// Counts a connection of another entry until it is dropped.
#[derive(Debug)]
struct CarriedConnection<'paths> {
    paths: &'paths EndpointPaths,
    endpoint: SocketAddr,
    /// Absent if the entry hears nothing from relays.
    entry: Option<CarriedEntry>,
}

impl<'paths> CarriedConnection<'paths> {
    fn begin(paths: &'paths EndpointPaths, request: &RelayRequest) -> Self {
        let entry = request.notice_address.map(|notice_address| CarriedEntry {
            host: request.host.clone(),
            notice_address,
        });
        if let Some(entry) = &entry {
            paths.state.lock().carried.begin(request.address, entry.clone());
        }
        Self {
            paths,
            endpoint: request.address,
            entry,
        }
    }
}

impl Drop for CarriedConnection<'_> {
    fn drop(&mut self) {
        if let Some(entry) = &self.entry {
            self.paths.state.lock().carried.end(self.endpoint, entry);
        }
    }
}

/// Connects to the endpoint of a request, unless this entry relays nothing to it at present.
async fn connect(shared: &EntryShared, request: &RelayRequest) -> Result<TcpStream, RelayOutcome> {
    let now = boot_now();
    if !shared.offers_relay(now) || shared.paths.is_lost(request.address) {
        return Err(RelayOutcome::Unavailable);
    }
    let target = shared.state().relay_target(now, request.address);
    match target {
        RelayTarget::Awake => {}
        RelayTarget::Unknown => return Err(RelayOutcome::Unavailable),
        RelayTarget::Resting {
            endpoint,
            incarnation,
            asked,
        } => {
            let rest = shared.paths.relayed_rest((&endpoint, incarnation), asked);
            shared.paths.tell_asking(request, &rest);
            return Err(RelayOutcome::Resting);
        }
    }
    let connected = shared.paths.connect_for_other(request.address).await;
    connected.map_err(|state| match state {
        _ if !shared.paths.may_judge(boot_now()) => RelayOutcome::Unavailable,
        PortState::Refused => RelayOutcome::Refused,
        PortState::Silent | PortState::Unknown | PortState::Open => RelayOutcome::Silent,
    })
}

/// How a relayed connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// The entry has closed its end: the call was abandoned.
    EntryClosed,
    /// The endpoint has closed its end after everything that it has sent.
    EndpointClosed,
    /// The endpoint takes no more of a request.
    EndpointBroken,
    /// A connection broke.
    Broken,
}

/// Passes bytes on until either end closes: however long nothing passes, an answer may be under way. The connection of the
/// entry is closed in order only if that of the endpoint was, and reset otherwise, also if this process is killed: an answer
/// without framing that breaks off here would look complete.
async fn pass_both(shared: &EntryShared, mut entry: TcpStream, mut endpoint: TcpStream) -> RelayEnd {
    if prepare_socket(&entry, USER_TIMEOUT).is_err() || set_reset_on_close(&entry, true).is_err() {
        return RelayEnd::Broken;
    }
    // The halves are borrowed: one that is dropped by itself would first close the connection in order.
    let (mut from_entry, mut to_entry) = entry.split();
    let (mut from_endpoint, mut to_endpoint) = endpoint.split();
    let end = {
        let mut answer = std::pin::pin!(pass_answer(&mut from_endpoint, &mut to_entry));
        tokio::select! {
            end = &mut answer => end,
            end = pass_request(shared, &mut from_entry, &mut to_endpoint) => match end {
                // What the endpoint has sent before is passed on. The writer was told of the break, so the reader sees an
                // orderly end after it.
                RelayEnd::EndpointBroken => {
                    answer.await;
                    RelayEnd::EndpointBroken
                }
                end => end,
            },
        }
    };
    if end == RelayEnd::EndpointClosed && set_reset_on_close(&entry, false).is_err() {
        return RelayEnd::Broken;
    }
    end
}

async fn pass_request(shared: &EntryShared, from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) -> RelayEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await {
            Ok(0) => return RelayEnd::EntryClosed,
            // This entry may have been paused, and a key have been withdrawn meanwhile.
            Ok(_) if !shared.has_lease(boot_now()) => return RelayEnd::Broken,
            Ok(count) => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return RelayEnd::EndpointBroken;
                }
            }
            Err(_reset) => return RelayEnd::Broken,
        }
    }
}

async fn pass_answer(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) -> RelayEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await {
            Ok(0) => return RelayEnd::EndpointClosed,
            Ok(count) => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return RelayEnd::Broken;
                }
            }
            Err(_reset) => return RelayEnd::Broken,
        }
    }
}
