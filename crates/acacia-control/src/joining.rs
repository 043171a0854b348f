//! Requests for a replica identity, which a host with an empty data folder sends to the group.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_runtime::event;
use acacia_settings::ControlSettings;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::replica::{IdentityReply, IdentityRequest};
use acacia_wire::split_frames;
use acaciabay::core::consensus::{DiskId, ReplicaId};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::daemon::ControlListeners;

/// Delay between two rounds of requests to the other replicas.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum time for one request. The reply can take a commit, because the group first binds the member to the data
/// folder.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of rounds after which the reason for the wait is logged again.
const LOG_INTERVAL_ROUNDS: u32 = 20;

/// Requests an identity from the other replicas until one of them assigns it.
///
/// Returns the number of the group and the replica that the data folder with disk number `disk` belongs to, or `None`
/// if `stop` is cancelled first.
pub(crate) async fn wait_for_identity(
    settings: &ControlSettings,
    disk: DiskId,
    listeners: &ControlListeners,
    stop: &CancellationToken,
    log: &Logger,
) -> Option<(u64, ReplicaId)> {
    let rounds = async {
        for round in 0_u32.. {
            let mut reason = "no replica in `control_addresses` leads".to_owned();
            let mut unreachable = String::new();
            for address in &settings.control_addresses {
                match request_identity(*address, &settings.host, disk).await {
                    Ok(reply) if reply.replica != 0 => return Some((reply.group, ReplicaId(reply.replica))),
                    // Only the leader states a reason; every other replica sends an empty one.
                    Ok(reply) if reply.reason.is_empty() => {}
                    Ok(reply) => reason = reply.reason,
                    Err(error) => unreachable = format!("; `{address}` cannot be reached: {error}"),
                }
            }
            if round % LOG_INTERVAL_ROUNDS == 0 {
                slog::info!(log, "waiting to be admitted"; "event" => event::IDENTITY_AWAITED, "reason" => reason + &unreachable);
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        None
    };
    tokio::select! {
        () = stop.cancelled() => None,
        identity = rounds => identity,
        // Closing every connection at once makes clients try another replica instead of waiting for their timeout.
        () = close_connections(&listeners.peers) => None,
        () = close_connections(&listeners.operators) => None,
        () = close_connections(&listeners.admin) => None,
    }
}

async fn close_connections(listener: &TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    }
}

async fn request_identity(address: SocketAddr, host: &str, disk: DiskId) -> std::io::Result<IdentityReply> {
    let exchange = async {
        let (mut reader, mut writer) = split_frames(TcpStream::connect(address).await?);
        let request = IdentityRequest {
            host: host.to_owned(),
            disk: disk.0,
        };
        writer.send(Frame::IdentityRequest(request)).await?;
        match reader.next().await? {
            Some(Frame::IdentityReply(reply)) => Ok(reply),
            _ => Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                "no identity reply was received",
            )),
        }
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange).await?
}
