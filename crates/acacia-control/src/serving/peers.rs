//! The listener for entries, other replicas, and hosts that ask for a place in the group.

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

use super::hub::ServingHub;
use super::session::serve_session;
use crate::group::{JoinAnswer, JoinCall};
use crate::peer_listener::serve_replica;

/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a peer may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the kernel may go on trying to deliver to a peer.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves peers' connections until `stop` is cancelled.
pub(super) async fn serve_peers(listener: TcpListener, hub: Arc<ServingHub>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                let (hub, stop) = (Arc::clone(&hub), stop.clone());
                tokio::spawn(async move {
                    let log = hub.log.clone();
                    let ended = tokio::select! {
                        () = stop.cancelled() => Ok(()),
                        ended = serve_connection(stream, hub) => ended,
                    };
                    if let Err(error) = ended {
                        slog::debug!(log, "peer connection failed"; "event" => event::CONNECTION_FAILED,
                            "from" => %from, "error" => %error);
                    }
                });
            }
            Err(_refused) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, hub: Arc<ServingHub>) -> std::io::Result<()> {
    prepare_socket(&stream, USER_TIMEOUT)?;
    let (mut reader, writer) = split_frames(stream);
    match tokio::time::timeout(HELLO_TIMEOUT, reader.next()).await?? {
        Some(Frame::Hello(hello)) => serve_replica(reader, &hub.group, hello).await,
        Some(Frame::ServingHello(hello)) => serve_session(reader, writer, hub, hello).await,
        Some(Frame::JoinRequest(request)) => answer_join(writer, &hub, request).await,
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

async fn answer_join(
    mut writer: FrameWriter<TcpStream>,
    hub: &ServingHub,
    request: JoinRequest,
) -> std::io::Result<()> {
    let call = JoinCall {
        host: request.host.as_str().into(),
        address: request.address,
        disk: DiskId(request.disk),
        replica: (request.replica != 0).then_some(ReplicaId(request.replica)),
    };
    let group = hub.group.group();
    let open = JoinReply {
        group,
        ..JoinReply::default()
    };
    let reply = match hub.group.join(call).await {
        JoinAnswer::Member(replica) => JoinReply {
            replica: replica.0,
            ..open
        },
        JoinAnswer::Removed => JoinReply { removed: true, ..open },
        JoinAnswer::Pending => open,
        JoinAnswer::NotLeading(not_leading) => JoinReply {
            leader_address: not_leading.leader_address,
            ..open
        },
    };
    writer.send(Frame::JoinReply(reply)).await
}
