//! Outbound connections to the other replicas. A task per replica keeps its connection open.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::connect_within;
use acacia_wire::generated::replica::Hello;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::{CONNECT_TIMEOUT, message_to_wire, split_frames};
use acaciabay::core::consensus::{MemberSet, ReplicaId, ReplicaMessage};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{Notify, mpsc};

/// Maximum number of messages queued for one replica. Messages beyond it are dropped; replication detects the loss and
/// resends them.
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;
/// `TCP_USER_TIMEOUT` of a connection: if sent data stays unacknowledged for longer, the connection is considered lost.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between the end of a connection and the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The connections of one replica to the others.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    runtime: Handle,
    hello: Hello,
    links: BTreeMap<ReplicaId, PeerLink>,
}

#[derive(Debug)]
struct PeerLink {
    address: String,
    messages: mpsc::Sender<ReplicaMessage>,
    /// Notified when the replica has connected to this one.
    peer_connected: Arc<Notify>,
}

impl PeerLinks {
    pub(crate) const fn new(runtime: Handle, hello: Hello) -> Self {
        Self {
            runtime,
            hello,
            links: BTreeMap::new(),
        }
    }

    /// Opens links to new members and drops those of members that have left or have another address.
    pub(crate) fn update_members(&mut self, members: &MemberSet, own: ReplicaId) {
        if let Some(row) = members.get(own) {
            self.hello.address.clone_from(&row.address);
        }
        self.links
            .retain(|id, link| members.get(*id).is_some_and(|row| row.address == link.address));
        for (id, row) in members.rows().filter(|(id, _)| *id != own) {
            self.open(id, &row.address);
        }
    }

    /// Opens a link to a replica that has connected to this one, unless there is a link already. If the link is not
    /// connected, it starts a new connection attempt at once.
    ///
    /// When all hosts start after a power loss, a connection attempt to a host that is still down lasts until its
    /// timeout. Without the new attempt, votes that the host's replica requests during that time would be lost, and the
    /// group would have no leader until the timeout.
    ///
    /// A replica that has just been admitted, or was down while the members changed, does not know the leader that
    /// connects to it. Without a link, it could not reply, and the leader would not learn which log entries it lacks.
    pub(crate) fn handle_peer_connected(&mut self, id: ReplicaId, address: &str) {
        if !address.is_empty() {
            self.open(id, address);
        }
        if let Some(link) = self.links.get(&id) {
            link.peer_connected.notify_one();
        }
    }

    fn open(&mut self, id: ReplicaId, address: &str) {
        if self.links.contains_key(&id) {
            return;
        }
        let (messages, queue) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let peer_connected = Arc::new(Notify::new());
        let link = run_link(
            address.to_owned(),
            self.hello.clone(),
            queue,
            Arc::clone(&peer_connected),
        );
        self.runtime.spawn(link);
        self.links.insert(
            id,
            PeerLink {
                address: address.to_owned(),
                messages,
                peer_connected,
            },
        );
    }

    /// Queues messages for sending. Drops a message if its receiver has no link or if the queue of that link is full.
    pub(crate) fn send<'message>(&self, messages: impl Iterator<Item = &'message ReplicaMessage>) {
        for message in messages {
            if let Some(link) = self.links.get(&message.to)
                && link.messages.try_send(message.clone()).is_err()
            {
                metrics::counter!("acacia_replica_messages_dropped_total").increment(1);
            }
        }
    }
}

/// Connects to a replica and sends it the queued messages, reconnecting as needed, until the link is dropped.
async fn run_link(
    address: String,
    hello: Hello,
    mut queue: mpsc::Receiver<ReplicaMessage>,
    peer_connected: Arc<Notify>,
) {
    loop {
        let connected = tokio::select! {
            connected = connect_within(&address, CONNECT_TIMEOUT, USER_TIMEOUT) => connected,
            // The replica is reachable now, so retry at once and keep the queued messages, such as a reply to its vote
            // request.
            () = peer_connected.notified() => continue,
        };
        let result = match connected {
            Ok(stream) => send_queued(stream, &hello, &mut queue).await,
            Err(error) => Err(error),
        };
        if result.is_ok() {
            return;
        }
        // The queued messages are stale; replication resends what is missing.
        while queue.try_recv().is_ok() {}
        if queue.is_closed() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_DELAY) => {}
            () = peer_connected.notified() => {}
        }
    }
}

/// Sends queued messages until the link is dropped.
///
/// # Errors
///
/// Fails if the connection fails.
async fn send_queued(
    stream: TcpStream,
    hello: &Hello,
    queue: &mut mpsc::Receiver<ReplicaMessage>,
) -> std::io::Result<()> {
    let (_reader, mut writer) = split_frames(stream);
    writer.send(Frame::Hello(hello.clone())).await?;
    while let Some(message) = queue.recv().await {
        writer.feed(Frame::Message(message_to_wire(&message))).await?;
        while let Ok(message) = queue.try_recv() {
            writer.feed(Frame::Message(message_to_wire(&message))).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
