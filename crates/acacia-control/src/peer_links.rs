//! Connections to the other replicas, one for each, kept open by a task.

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

/// How many messages may wait for one replica. What does not fit is dropped; replication finds out and sends it again.
const WAITING_MESSAGES: usize = 1_024;
/// How long the kernel may go on trying to deliver; a longer silence means that the connection is lost.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait before connecting again.
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
    /// Tells that the replica has called.
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

    /// Opens links to new members and drops those of members that have left.
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

    /// Opens a link to a replica that has called, if there is none, and connects at once where it is not connected.
    ///
    /// After all hosts lost power, an attempt to connect to one that was still down would be waited for until it times
    /// out, and the votes that its replica asks for meanwhile would be lost: the group is without a leader for as long.
    ///
    /// A replica that has just been admitted, or was away while members changed, does not know the leader that calls
    /// it. Without a link it could not answer, and the leader would never learn what it lacks.
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

    /// Sends messages, or drops those for which there is no room or no link.
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

/// Keeps a connection open until the link is dropped.
async fn keep_link(address: String, hello: Hello, mut waiting: mpsc::Receiver<ReplicaMessage>, called: Arc<Notify>) {
    loop {
        let connected = tokio::select! {
            connected = connect_within(&address, CONNECT_TIMEOUT, USER_TIMEOUT) => connected,
            // It can be reached now; what waits for it was meant for this moment.
            () = called.notified() => continue,
        };
        let ended = match connected {
            Ok(stream) => use_connection(stream, &hello, &mut waiting).await,
            Err(error) => Err(error),
        };
        if ended.is_ok() {
            return;
        }
        // What waited meanwhile is stale; replication sends anew what is missing.
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

/// Sends until the link is dropped; fails when the connection does.
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
