//! How a host with an empty data folder finds its place in the group.

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

/// How often the group is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// How long one replica may take to answer; a binding has to be committed first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// After how many rounds of asking the reason is logged again.
const LOG_EVERY: u32 = 20;

/// Asks the other replicas until one names the replica that this folder is to be; nothing when told to stop.
pub(crate) async fn await_identity(
    settings: &ControlSettings,
    disk: DiskId,
    listeners: &ControlListeners,
    stop: &CancellationToken,
    log: &Logger,
) -> Option<(u64, ReplicaId)> {
    let asking = async {
        for round in 0_u32.. {
            let mut reason = "no replica in `control_addresses` leads".to_owned();
            let mut unreachable = String::new();
            for address in &settings.control_addresses {
                match ask(*address, &settings.host, disk).await {
                    Ok(reply) if reply.replica != 0 => return Some((reply.group, ReplicaId(reply.replica))),
                    // Only the leader can tell what stands in the way.
                    Ok(reply) if reply.reason.is_empty() => {}
                    Ok(reply) => reason = reply.reason,
                    Err(error) => unreachable = format!("; `{address}` cannot be reached: {error}"),
                }
            }
            if round % LOG_EVERY == 0 {
                slog::info!(log, "waiting to be admitted"; "event" => event::IDENTITY_AWAITED, "reason" => reason + &unreachable);
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
        None
    };
    tokio::select! {
        () = stop.cancelled() => None,
        found = asking => found,
        // Whoever connects meanwhile learns at once that this replica cannot help, and tries another.
        () = refuse_all(&listeners.peers) => None,
        () = refuse_all(&listeners.operators) => None,
        () = refuse_all(&listeners.admin) => None,
    }
}

async fn refuse_all(listener: &TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    }
}

async fn ask(address: SocketAddr, host: &str, disk: DiskId) -> std::io::Result<IdentityReply> {
    let asked = async {
        let (mut reader, mut writer) = split_frames(TcpStream::connect(address).await?);
        let request = IdentityRequest {
            host: host.to_owned(),
            disk: disk.0,
        };
        writer.send(Frame::IdentityRequest(request)).await?;
        match reader.next().await? {
            Some(Frame::IdentityReply(reply)) => Ok(reply),
            _ => Err(std::io::ErrorKind::InvalidData.into()),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, asked).await?
}
