//! Connections to the other replicas, one for each, kept open by a task.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_http::connect_within;
use acacia_wire::generated::replica::Hello;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::{CONNECT_TIMEOUT, message_to_wire, split_frames};
use acaciabay::core::consensus::{MemberSet, ReplicaId, ReplicaMessage};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

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

    /// Opens a link to a replica that has called, if there is none.
    ///
    /// A replica that has just been admitted, or was away while members changed, does not know the leader that calls
    /// it. Without a link it could not answer, and the leader would never learn what it lacks.
    pub(crate) fn open_for_caller(&mut self, id: ReplicaId, address: &str) {
        if !address.is_empty() {
            self.open(id, address);
        }
    }

    fn open(&mut self, id: ReplicaId, address: &str) {
        if self.links.contains_key(&id) {
            return;
        }
        let (messages, waiting) = mpsc::channel(WAITING_MESSAGES);
        self.runtime
            .spawn(keep_link(address.to_owned(), self.hello.clone(), waiting));
        self.links.insert(
            id,
            PeerLink {
                address: address.to_owned(),
                messages,
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
async fn keep_link(address: String, hello: Hello, mut waiting: mpsc::Receiver<ReplicaMessage>) {
    loop {
        if use_connection(&address, &hello, &mut waiting).await.is_ok() {
            return;
        }
        // What waited meanwhile is stale; replication sends anew what is missing.
        while waiting.try_recv().is_ok() {}
        if waiting.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends until the link is dropped; fails when the connection does.
async fn use_connection(
    address: &str,
    hello: &Hello,
    waiting: &mut mpsc::Receiver<ReplicaMessage>,
) -> std::io::Result<()> {
    let stream = connect_within(address, CONNECT_TIMEOUT, USER_TIMEOUT).await?;
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
