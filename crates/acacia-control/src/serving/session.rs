//! A session with an entry or with another replica. It sends updates and, to entries, the answers to their renewals.

use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{Leadership, ReplicaAddresses, ServingFrame, ServingHello, SignOfLife};
use acacia_wire::{EncodedFrame, FrameReader, FrameWriter, MESSAGE_REVISION, announcement_to_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::util::number::whole_millis;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::renewals::{SentState, answer_renewal};
use super::shared::{ControlShared, encoded_frame};

/// Interval of keepalive messages, from whose absence the other side detects a dead connection.
pub(super) const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of frames that are queued for one connection.
const MAX_QUEUED_FRAMES: usize = 256;

/// Serves one session until its connection ends.
pub(super) async fn serve_session(
    reader: FrameReader<TcpStream>,
    writer: FrameWriter<TcpStream>,
    shared: Arc<ControlShared>,
    hello: ServingHello,
) -> std::io::Result<()> {
    slog::info!(shared.log, "session begun"; "event" => event::SESSION_BEGUN,
        "peer" => &hello.host, "start" => hello.start, "entry" => hello.entry);
    let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let ended = tokio::select! {
        ended = read_frames(reader, &shared, &hello, frames.clone()) => ended,
        ended = write_frames(writer, queue, &shared, &hello) => ended,
        () = send_updates(&shared, &hello, frames) => Ok(()),
    };
    slog::info!(shared.log, "session ended"; "event" => event::SESSION_ENDED,
        "peer" => &hello.host, "start" => hello.start, "outcome" => ?ended.as_ref().err());
    ended
}

async fn read_frames(
    mut reader: FrameReader<TcpStream>,
    shared: &Arc<ControlShared>,
    hello: &ServingHello,
    frames: mpsc::Sender<QueuedFrame>,
) -> std::io::Result<()> {
    let mut sent = SentState::default();
    while let Some(frame) = reader.next().await? {
        let Frame::Serving(ServingFrame { body: Some(body) }) = frame else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        let answer = match body {
            Body::Renew(request) => answer_renewal(shared, hello, request, &mut sent).await,
            Body::Origin(origin) => {
                shared.origins.record_told(boot_now(), &hello.host, &origin);
                continue;
            }
            Body::OriginQuery(query) => Body::OriginAnswer(shared.origins.answer(boot_now(), &query)),
            _ => continue,
        };
        if frames.send(QueuedFrame::answer(boot_now(), answer)).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// A frame in the queue of a connection.
#[derive(Debug)]
struct QueuedFrame {
    frame: EncodedFrame,
    /// Number of the configuration that the frame carries, if any, and the time at which it was queued.
    queued_config: Option<(Option<u64>, BootTime)>,
}

impl QueuedFrame {
    fn answer(now: BootTime, body: Body) -> Self {
        let queued_config = match &body {
            Body::Renewed(renewed) => renewed.content.as_ref().map(|_| (renewed.config_number, now)),
            _ => None,
        };
        Self {
            frame: encoded_frame(body),
            queued_config,
        }
    }
}

impl From<EncodedFrame> for QueuedFrame {
    fn from(frame: EncodedFrame) -> Self {
        Self {
            frame,
            queued_config: None,
        }
    }
}

impl From<Body> for QueuedFrame {
    fn from(body: Body) -> Self {
        encoded_frame(body).into()
    }
}

async fn write_frames(
    mut writer: FrameWriter<TcpStream>,
    mut queue: mpsc::Receiver<QueuedFrame>,
    shared: &ControlShared,
    hello: &ServingHello,
) -> std::io::Result<()> {
    let mut next_keepalive = Instant::now();
    loop {
        let frame = match tokio::time::timeout_at(next_keepalive, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(()),
            Err(_elapsed) => {
                next_keepalive = Instant::now() + KEEPALIVE_INTERVAL;
                keepalive().into()
            }
        };
        let mut queued_config = frame.queued_config;
        writer.feed_encoded(frame.frame).await?;
        while let Ok(frame) = queue.try_recv() {
            queued_config = queued_config.or(frame.queued_config);
            writer.feed_encoded(frame.frame).await?;
        }
        writer.flush().await?;
        if let Some((number, since)) = queued_config {
            slog::info!(shared.log, "configuration written"; "event" => event::CONFIG_WRITTEN, "entry" => &hello.host,
                "number" => number, "waited_ms" => whole_millis(boot_now().since(since)));
        }
    }
}

fn keepalive() -> Body {
    Body::Alive(SignOfLife {
        wall_ms: wall_nanos() / 1_000_000,
        revision: MESSAGE_REVISION,
    })
}

/// Sends all endpoints, and then every change until the session ends: endpoints, replica addresses, leadership of this
/// replica, and the number of the configuration.
async fn send_updates(shared: &Arc<ControlShared>, hello: &ServingHello, frames: mpsc::Sender<QueuedFrame>) {
    let mut updates = shared.subscribe();
    let mut numbers = shared.group.serving_config_numbers();
    let mut suspects = shared.group.suspects_versions();
    let mut status = shared.group.status();
    let mut addresses = Vec::new();
    let mut was_leading = false;
    if !send_all_endpoints(shared, &frames).await {
        return;
    }
    numbers.mark_changed();
    status.mark_changed();
    loop {
        let frame: QueuedFrame = tokio::select! {
            received = updates.recv() => match received {
                Ok(update) if update.revision <= hello.revision => update.frame.clone().into(),
                Ok(update) if update.reported.is_empty() => continue,
                Ok(update) => shared.rows_of(&update.reported).into(),
                Err(RecvError::Lagged(_)) => {
                    if !send_all_endpoints(shared, &frames).await {
                        return;
                    }
                    continue;
                }
                Err(RecvError::Closed) => return,
            },
            Ok(()) = numbers.changed() => {
                let Some(number) = *numbers.borrow_and_update() else { continue };
                announcement_to_wire(number, hello.revision).into()
            }
            Ok(()) = suspects.changed() => {
                suspects.mark_unchanged();
                // Each entry has a session with every replica, and needs the table only once.
                if status.borrow().leading_since.is_none() {
                    continue;
                }
                Body::Suspects(shared.published_suspects()).into()
            }
            Ok(()) = status.changed() => {
                let (leads, voters) = {
                    let status = status.borrow_and_update();
                    (status.leading_since.is_some(), voter_addresses(&status.members))
                };
                // Entries without a lease refuse everything: told of the leader, they need not find it by asking.
                let has_become_leader = std::mem::replace(&mut was_leading, leads) != leads && leads;
                if has_become_leader && frames.send(Body::Leads(Leadership {}).into()).await.is_err() {
                    return;
                }
                if voters == addresses {
                    continue;
                }
                addresses.clone_from(&voters);
                Body::Replicas(ReplicaAddresses { addresses: voters }).into()
            },
            else => return,
        };
        if frames.send(frame).await.is_err() {
            return;
        }
    }
}

/// Sends all endpoints. Returns false if the session has ended.
async fn send_all_endpoints(shared: &ControlShared, frames: &mpsc::Sender<QueuedFrame>) -> bool {
    for frame in shared.all_endpoints(boot_now()).await {
        if frames.send(frame.into()).await.is_err() {
            return false;
        }
    }
    true
}

fn voter_addresses(members: &acaciabay::core::consensus::MemberSet) -> Vec<String> {
    let voters = members.rows().filter(|(_, row)| row.voter);
    voters.map(|(_, row)| row.address.clone()).collect()
}
