//! The connection to the leader of the control group.
//!
//! Every call is safe to send again under its own number: a join by its nonce, a claim by its holder, usage by its
//! sequence. So when a connection breaks, goes silent or leads to a replica that does not lead, the link moves on and
//! sends all unanswered calls again, and callers of [`ControlLink::call`] just wait.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::entry::EntryReply;
use acacia_wire::generated::replica::Hello;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::{EntryAnswer, EntryCall, FrameReader, FrameWriter, answer_from_wire, call_to_wire, split_frames};
use acaciabay::core::entry_config::ConfigVersion;
use rand::Rng;
use slog::Logger;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the oldest call may wait without a byte of an answer before the connection is given up as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The longest pause before trying the next address; the actual one is random, so that the entries do not all come at
/// once when a leader has changed.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// How many calls may wait to be taken up by the link.
const WAITING_CALLS: usize = 4_096;

/// The link is gone because the process is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkClosed;

/// Sends calls to the leader.
#[derive(Clone, Debug)]
pub struct ControlLink {
    calls: mpsc::Sender<LinkCall>,
    newest: watch::Receiver<LinkStatus>,
}

/// What the link learns without asking.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkStatus {
    /// The newest version that a leader has announced.
    pub version: ConfigVersion,
    /// Counts connections; marks of endpoint reports are valid for one connection only.
    pub connection: u64,
}

#[derive(Debug)]
struct LinkCall {
    call: EntryCall,
    traceparent: String,
    answer: oneshot::Sender<EntryAnswer>,
}

impl ControlLink {
    /// Creates a link and the task that drives it.
    pub fn open(host: String, addresses: Vec<SocketAddr>, log: Logger) -> (Self, LinkDriver) {
        let (calls, waiting) = mpsc::channel(WAITING_CALLS);
        let (status, newest) = watch::channel(LinkStatus::default());
        let driver = LinkDriver {
            host,
            addresses,
            log,
            waiting,
            status,
            pending: HashMap::new(),
            last: 0,
            hint: None,
        };
        (Self { calls, newest }, driver)
    }

    /// Sends a call and waits for the leader's answer, however many connections that takes.
    ///
    /// Dropping the future gives the call up; it may have been carried out all the same.
    ///
    /// # Errors
    ///
    /// Fails when the link's driver is gone because the process is stopping.
    pub async fn call(&self, call: EntryCall, traceparent: &str) -> Result<EntryAnswer, LinkClosed> {
        let (answer, answered) = oneshot::channel();
        let call = LinkCall {
            call,
            traceparent: traceparent.to_owned(),
            answer,
        };
        self.calls.send(call).await.map_err(|_gone| LinkClosed)?;
        answered.await.map_err(|_gone| LinkClosed)
    }

    /// Follows what the leader announces.
    pub fn status(&self) -> watch::Receiver<LinkStatus> {
        self.newest.clone()
    }
}

/// Drives a [`ControlLink`].
#[derive(Debug)]
pub struct LinkDriver {
    host: String,
    addresses: Vec<SocketAddr>,
    log: Logger,
    waiting: mpsc::Receiver<LinkCall>,
    status: watch::Sender<LinkStatus>,
    pending: HashMap<u64, PendingCall>,
    last: u64,
    hint: Option<SocketAddr>,
}

#[derive(Debug)]
struct PendingCall {
    call: LinkCall,
    sent_at: Instant,
}

/// Why a connection came to its end.
#[derive(Debug)]
enum LinkEnd {
    Closed,
    MovedOn,
    Failed(std::io::Error),
}

impl LinkDriver {
    /// Runs until every [`ControlLink`] is dropped.
    pub async fn run(mut self) {
        let mut next = rand::rng().random_range(0..self.addresses.len().max(1));
        loop {
            let address = self.hint.take().unwrap_or_else(|| {
                next += 1;
                self.addresses[next % self.addresses.len()]
            });
            match self.use_connection(address).await {
                LinkEnd::Closed => return,
                LinkEnd::MovedOn => {}
                LinkEnd::Failed(error) => {
                    slog::debug!(self.log, "control connection failed"; "event" => event::CONTROL_LOST,
                        "address" => %address, "error" => %error);
                }
            }
            self.pending.retain(|_, pending| !pending.call.answer.is_closed());
            if self.hint.is_none() {
                let pause = rand::rng().random_range(Duration::ZERO..LONGEST_PAUSE);
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn use_connection(&mut self, address: SocketAddr) -> LinkEnd {
        match self.connect(address).await {
            Ok((reader, writer)) => {
                self.status.send_modify(|status| status.connection += 1);
                match self.exchange(reader, writer).await {
                    Ok(end) => end,
                    Err(error) => LinkEnd::Failed(error),
                }
            }
            Err(error) => LinkEnd::Failed(error),
        }
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<(FrameReader<TcpStream>, FrameWriter<TcpStream>)> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (reader, mut writer) = split_frames(stream);
        let hello = Hello {
            host: self.host.clone(),
            ..Hello::default()
        };
        writer.send(Frame::Hello(hello)).await?;
        Ok((reader, writer))
    }

    async fn exchange(
        &mut self,
        mut reader: FrameReader<TcpStream>,
        mut writer: FrameWriter<TcpStream>,
    ) -> std::io::Result<LinkEnd> {
        self.send_again(&mut writer).await?;
        loop {
            let overdue = self.overdue_at(&reader);
            tokio::select! {
                frame = reader.next() => match frame? {
                    Some(Frame::EntryReply(reply)) => {
                        if self.take_reply(reply) {
                            return Ok(LinkEnd::MovedOn);
                        }
                    }
                    Some(_) => slog::warn!(self.log, "unexpected frame from control"; "event" => event::MESSAGE_REFUSED),
                    None => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                },
                call = self.waiting.recv() => match call {
                    Some(call) => self.send_new(&mut writer, call).await?,
                    None => return Ok(LinkEnd::Closed),
                },
                () = tokio::time::sleep_until(overdue) => {
                    self.pending.retain(|_, pending| !pending.call.answer.is_closed());
                    if !self.pending.is_empty() && self.overdue_at(&reader) <= Instant::now() {
                        return Err(std::io::ErrorKind::TimedOut.into());
                    }
                }
            }
        }
    }

    /// Returns when the connection counts as silent.
    ///
    /// An answer that is on its way is not overdue however long it takes: on another connection it would begin anew.
    fn overdue_at(&self, reader: &FrameReader<TcpStream>) -> Instant {
        let oldest = self.pending.values().map(|pending| pending.sent_at).min();
        let heard_at = oldest.max(reader.partial_arrival()).unwrap_or_else(Instant::now);
        heard_at + ANSWER_TIMEOUT
    }

    async fn send_again(&mut self, writer: &mut FrameWriter<TcpStream>) -> std::io::Result<()> {
        for (number, pending) in &mut self.pending {
            pending.sent_at = Instant::now();
            let call = &pending.call;
            writer
                .feed(Frame::EntryRequest(call_to_wire(
                    boot_now(),
                    *number,
                    &call.traceparent,
                    &call.call,
                )))
                .await?;
        }
        writer.flush().await
    }

    async fn send_new(&mut self, writer: &mut FrameWriter<TcpStream>, call: LinkCall) -> std::io::Result<()> {
        let frame = self.enlist(call);
        writer.feed(frame).await?;
        while let Ok(call) = self.waiting.try_recv() {
            let frame = self.enlist(call);
            writer.feed(frame).await?;
        }
        writer.flush().await
    }

    /// Numbers a call and counts it as pending before it is written, so that a connection that breaks in the write loses
    /// nothing.
    fn enlist(&mut self, call: LinkCall) -> Frame {
        self.last += 1;
        let frame = Frame::EntryRequest(call_to_wire(boot_now(), self.last, &call.traceparent, &call.call));
        self.pending.insert(
            self.last,
            PendingCall {
                call,
                sent_at: Instant::now(),
            },
        );
        frame
    }

    /// Hands an answer to its caller; returns whether to move on to another replica.
    fn take_reply(&mut self, reply: EntryReply) -> bool {
        let request = reply.request;
        match answer_from_wire(boot_now(), reply) {
            Ok(EntryAnswer::NewerVersion(version)) => {
                self.status
                    .send_modify(|status| status.version = status.version.max(version));
                false
            }
            Ok(EntryAnswer::NotLeader { leader_address }) => {
                self.hint = leader_address.parse().ok();
                true
            }
            Ok(answer) => {
                if let Some(pending) = self.pending.remove(&request) {
                    // The one who asked may have given up; nobody else waits for this number.
                    let _given_up = pending.call.answer.send(answer);
                }
                false
            }
            Err(error) => {
                slog::warn!(self.log, "malformed answer from control"; "event" => event::MESSAGE_REFUSED,
                    "error" => %error);
                true
            }
        }
    }
}
