//! The peer listener. It serves other replicas, entries, and hosts that request a replica identity.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::prepare_socket;
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::replica::{Hello, IdentityReply, IdentityRequest};
use acacia_wire::{FrameReader, FrameWriter, message_from_wire, split_frames};
use acaciabay::core::consensus::{DiskId, ReplicaId};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::daemon::Control;
use crate::entry_session::serve_entry;
use crate::group::{GroupHandle, GroupInput};

/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time until a new connection has sent its first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// `TCP_USER_TIMEOUT` of a peer connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts and serves connections from the configured peer hosts until `stop` is cancelled.
pub(crate) async fn serve_peers(listener: TcpListener, control: Arc<Control>, stop: CancellationToken) {
    let sessions = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) if control.settings.peer_hosts.contains(&from.ip()) => {
                let (control, stop) = (Arc::clone(&control), stop.clone());
                sessions.spawn(async move {
                    let log = control.log.clone();
                    let result = tokio::select! {
                        () = stop.cancelled() => Ok(()),
                        result = serve_connection(stream, control) => result,
                    };
                    if let Err(error) = result {
                        slog::debug!(log, "peer connection failed"; "event" => event::CONNECTION_FAILED,
                            "from" => %from, "error" => %error);
                    }
                });
            }
            Ok((_stream, from)) => {
                slog::warn!(control.log, "connection refused: not a peer host"; "event" => event::MESSAGE_REFUSED,
                    "from" => %from);
            }
            Err(_accept_failed) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    sessions.close();
    sessions.wait().await;
}

async fn serve_connection(stream: TcpStream, control: Arc<Control>) -> std::io::Result<()> {
    prepare_socket(&stream, USER_TIMEOUT)?;
    let (mut reader, writer) = split_frames(stream);
    match tokio::time::timeout(HELLO_TIMEOUT, reader.next()).await?? {
        Some(Frame::Hello(Hello { replica: 0, .. })) => serve_entry(reader, writer, control).await,
        Some(Frame::Hello(hello)) => serve_replica(reader, &control.group, hello).await,
        Some(Frame::IdentityRequest(request)) => answer_identity(writer, control, request).await,
        _ => Err(std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            "received neither a hello nor an identity request",
        )),
    }
}

/// Passes the messages of another replica to this one until its connection ends.
///
/// # Errors
///
/// Fails if the connection fails, if the replica belongs to another group, or if a message is malformed or names
/// another sender.
pub(crate) async fn serve_replica(
    mut reader: FrameReader<TcpStream>,
    group: &GroupHandle,
    hello: Hello,
) -> std::io::Result<()> {
    if hello.group != group.group() {
        let text = format!("replica {} on `{}` belongs to another group", hello.replica, hello.host);
        return Err(std::io::Error::other(text));
    }
    let replica = ReplicaId(hello.replica);
    group.send_input(GroupInput::PeerConnected {
        replica,
        address: hello.address,
    });
    while let Some(frame) = reader.next().await? {
        let Frame::Message(message) = frame else {
            return Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                "frame from a replica is not a replica message",
            ));
        };
        match message_from_wire(message) {
            Ok(message) if message.from == replica => {
                group.send_input(GroupInput::Message(message));
            }
            Ok(_wrong_sender) => return Err(std::io::Error::other("message names another replica as its sender")),
            Err(error) => return Err(std::io::Error::other(error)),
        }
    }
    Ok(())
}

async fn answer_identity(
    mut writer: FrameWriter<TcpStream>,
    control: Arc<Control>,
    request: IdentityRequest,
) -> std::io::Result<()> {
    let group = control.group.group();
    let reply = match control
        .group
        .identify(request.host.as_str().into(), DiskId(request.disk))
        .await
    {
        Ok(replica) => IdentityReply {
            replica: replica.0,
            group,
            reason: String::new(),
        },
        Err(reason) => IdentityReply {
            replica: 0,
            group,
            reason,
        },
    };
    writer.send(Frame::IdentityReply(reply)).await
}
