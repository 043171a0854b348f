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
const WAITING_MESSAGES: usize = 1_024;
/// `TCP_USER_TIMEOUT` of a connection: if sent data stays unacknowledged for longer, the connection is considered lost.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between the end of a connection and the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

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
    called: Arc<Notify>,
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
    pub(crate) fn follow_members(&mut self, members: &MemberSet, own: ReplicaId) {
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
    pub(crate) fn open_for_caller(&mut self, id: ReplicaId, address: &str) {
        if !address.is_empty() {
            self.open(id, address);
        }
        if let Some(link) = self.links.get(&id) {
            link.called.notify_one();
        }
    }

    fn open(&mut self, id: ReplicaId, address: &str) {
        if self.links.contains_key(&id) {
            return;
        }
        let (messages, waiting) = mpsc::channel(WAITING_MESSAGES);
        let called = Arc::new(Notify::new());
        let link = keep_link(address.to_owned(), self.hello.clone(), waiting, Arc::clone(&called));
        self.runtime.spawn(link);
        self.links.insert(
            id,
            PeerLink {
                address: address.to_owned(),
                messages,
                called,
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
async fn keep_link(address: String, hello: Hello, mut waiting: mpsc::Receiver<ReplicaMessage>, called: Arc<Notify>) {
    loop {
        let connected = tokio::select! {
            connected = connect_within(&address, CONNECT_TIMEOUT, USER_TIMEOUT) => connected,
            // The replica is reachable now, so retry at once and keep the queued messages, such as a reply to its vote
            // request.
            () = called.notified() => continue,
        };
        let ended = match connected {
            Ok(stream) => use_connection(stream, &hello, &mut waiting).await,
            Err(error) => Err(error),
        };
        if ended.is_ok() {
            return;
        }
        // The queued messages are stale; replication resends what is missing.
        while waiting.try_recv().is_ok() {}
        if waiting.is_closed() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_PAUSE) => {}
            () = called.notified() => {}
        }
    }
}

/// Sends queued messages until the link is dropped.
///
/// # Errors
///
/// Fails if the connection fails.
async fn use_connection(
    stream: TcpStream,
    hello: &Hello,
    waiting: &mut mpsc::Receiver<ReplicaMessage>,
) -> std::io::Result<()> {
    let (_reader, mut writer) = split_frames(stream);
    writer.send(Frame::Hello(hello.clone())).await?;
    while let Some(message) = waiting.recv().await {
        writer.feed(Frame::Message(message_to_wire(&message))).await?;
        while let Ok(message) = waiting.try_recv() {
            writer.feed(Frame::Message(message_to_wire(&message))).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
