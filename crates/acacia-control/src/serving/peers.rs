//! Listener for connections from entries, other replicas, and hosts that ask to be admitted to the group.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::prepare_socket;
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::replica::{JoinReply, JoinRequest};
use acacia_wire::{FrameWriter, split_frames};
use acaciabay::core::consensus::{DiskId, ReplicaId};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::session::serve_session;
use super::shared::ControlShared;
use crate::group::{JoinAnswer, JoinCall};
use crate::peer_listener::serve_replica;

/// Delay before the next attempt after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for the first frame of a connection, which says what kind of peer it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the kernel retries to deliver data to a peer (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts and serves connections from peers until `stop` is cancelled.
pub(super) async fn serve_peers(listener: TcpListener, shared: Arc<ControlShared>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                let (shared, stop) = (Arc::clone(&shared), stop.clone());
                tokio::spawn(async move {
                    let log = shared.log.clone();
                    let ended = tokio::select! {
                        () = stop.cancelled() => Ok(()),
                        ended = serve_connection(stream, shared) => ended,
                    };
                    if let Err(error) = ended {
                        slog::debug!(log, "peer connection failed"; "event" => event::CONNECTION_FAILED,
                            "from" => %from, "error" => %error);
                    }
                });
            }
            Err(_refused) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<ControlShared>) -> std::io::Result<()> {
    prepare_socket(&stream, USER_TIMEOUT)?;
    let (mut reader, writer) = split_frames(stream);
    match tokio::time::timeout(HELLO_TIMEOUT, reader.next()).await?? {
        Some(Frame::Hello(hello)) => serve_replica(reader, &shared.group, hello).await,
        Some(Frame::ServingHello(hello)) => serve_session(reader, writer, shared, hello).await,
        Some(Frame::JoinRequest(request)) => answer_join(writer, &shared, request).await,
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

async fn answer_join(
    mut writer: FrameWriter<TcpStream>,
    shared: &ControlShared,
    request: JoinRequest,
) -> std::io::Result<()> {
    let call = JoinCall {
        host: request.host.as_str().into(),
        address: request.address,
        disk: DiskId(request.disk),
        replica: (request.replica != 0).then_some(ReplicaId(request.replica)),
    };
    let group = shared.group.group();
    let no_decision = JoinReply {
        group,
        ..JoinReply::default()
    };
    let reply = match shared.group.join(call).await {
        JoinAnswer::Member(replica) => JoinReply {
            replica: replica.0,
            ..no_decision
        },
        JoinAnswer::Removed => JoinReply {
            removed: true,
            ..no_decision
        },
        JoinAnswer::Pending => no_decision,
        JoinAnswer::NotLeading(not_leading) => JoinReply {
            leader_address: not_leading.leader_address,
            ..no_decision
        },
    };
    writer.send(Frame::JoinReply(reply)).await
}
