//! The peer listener: other replicas, entries, and hosts that ask for their place in the group.

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

/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a peer may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the kernel may go on trying to deliver to a peer.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves peers' connections until `stop` is cancelled.
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
                    let ended = tokio::select! {
                        () = stop.cancelled() => Ok(()),
                        ended = serve_connection(stream, control) => ended,
                    };
                    if let Err(error) = ended {
                        slog::debug!(log, "peer connection failed"; "event" => event::CONNECTION_FAILED,
                            "from" => %from, "error" => %error);
                    }
                });
            }
            Ok((_stream, from)) => {
                slog::warn!(control.log, "connection refused: not a peer host"; "event" => event::MESSAGE_REFUSED,
                    "from" => %from);
            }
            Err(_refused) => tokio::time::sleep(ACCEPT_PAUSE).await,
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
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

/// Takes another replica's messages until its connection ends.
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
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        match message_from_wire(message) {
            Ok(message) if message.from == replica => {
                group.send_input(GroupInput::Message(message));
            }
            Ok(_forged) => return Err(std::io::Error::other("message in another replica's name")),
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
