//! A session with an entry, or with a replica that listens.

use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{Leadership, ReplicaAddresses, ServingFrame, ServingHello, SignOfLife};
use acacia_wire::{FrameReader, FrameWriter};
use acaciabay::core::clock::BootTime;
use acaciabay::util::number::whole_millis;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::hub::ServingHub;
use super::renewals::{SentNews, answer_renewal};

/// How often something is sent where nothing is new, so that the other side notices a silent connection.
pub(super) const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// How many frames may wait to be written to one connection.
const WAITING_FRAMES: usize = 256;

/// Serves one session until its connection ends.
pub(super) async fn serve_session(
    reader: FrameReader<TcpStream>,
    writer: FrameWriter<TcpStream>,
    hub: Arc<ServingHub>,
    hello: ServingHello,
) -> std::io::Result<()> {
    slog::info!(hub.log, "session begun"; "event" => event::SESSION_BEGUN,
        "peer" => &hello.host, "start" => hello.start, "entry" => hello.entry);
    let (frames, waiting) = mpsc::channel(WAITING_FRAMES);
    let ended = tokio::select! {
        ended = read_frames(reader, &hub, &hello, frames.clone()) => ended,
        ended = write_frames(writer, waiting, &hub, &hello) => ended,
        () = send_news(&hub, frames) => Ok(()),
    };
    slog::info!(hub.log, "session ended"; "event" => event::SESSION_ENDED,
        "peer" => &hello.host, "start" => hello.start, "outcome" => ?ended.as_ref().err());
    ended
}

async fn read_frames(
    mut reader: FrameReader<TcpStream>,
    hub: &Arc<ServingHub>,
    hello: &ServingHello,
    frames: mpsc::Sender<WaitingFrame>,
) -> std::io::Result<()> {
    let mut sent = SentNews::default();
    while let Some(frame) = reader.next().await? {
        let Frame::Serving(ServingFrame { body: Some(body) }) = frame else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        if let Body::Renew(request) = body {
            let answer = answer_renewal(hub, hello, request, &mut sent).await;
            if frames.send(WaitingFrame::answer(boot_now(), answer)).await.is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// A frame that waits to be written.
#[derive(Debug)]
struct WaitingFrame {
    body: Body,
    /// The number of the configuration that it carries, and since when it waits.
    carried: Option<(u64, BootTime)>,
}

impl WaitingFrame {
    fn answer(now: BootTime, body: Body) -> Self {
        let carried = match &body {
            Body::Renewed(renewed) => renewed.content.as_ref().map(|_| (renewed.config_number, now)),
            _ => None,
        };
        Self { body, carried }
    }
}

impl From<Body> for WaitingFrame {
    fn from(body: Body) -> Self {
        Self { body, carried: None }
    }
}

async fn write_frames(
    mut writer: FrameWriter<TcpStream>,
    mut waiting: mpsc::Receiver<WaitingFrame>,
    hub: &ServingHub,
    hello: &ServingHello,
) -> std::io::Result<()> {
    let mut next_sign = Instant::now();
    loop {
        let frame = match tokio::time::timeout_at(next_sign, waiting.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(()),
            Err(_elapsed) => {
                next_sign = Instant::now() + ALIVE_INTERVAL;
                sign_of_life().into()
            }
        };
        let mut carried = frame.carried;
        writer.feed(serving_frame(frame.body)).await?;
        while let Ok(frame) = waiting.try_recv() {
            carried = carried.or(frame.carried);
            writer.feed(serving_frame(frame.body)).await?;
        }
        writer.flush().await?;
        if let Some((number, since)) = carried {
            slog::info!(hub.log, "configuration written"; "event" => event::CONFIG_WRITTEN, "entry" => &hello.host,
                "number" => number, "waited_ms" => whole_millis(boot_now().since(since)));
        }
    }
}

fn sign_of_life() -> Body {
    Body::Alive(SignOfLife {
        wall_ms: wall_nanos() / 1_000_000,
    })
}

pub(super) const fn serving_frame(body: Body) -> Frame {
    Frame::Serving(ServingFrame { body: Some(body) })
}

/// Sends what is new until the session ends: endpoints, replicas, the number of the configuration.
async fn send_news(hub: &Arc<ServingHub>, frames: mpsc::Sender<WaitingFrame>) {
    let mut news = hub.news();
    let mut numbers = hub.group.serving_config_numbers();
    let mut status = hub.group.status();
    let mut addresses = Vec::new();
    let mut led = false;
    let first = Body::News(hub.all_endpoints());
    if frames.send(first.into()).await.is_err() {
        return;
    }
    numbers.mark_changed();
    status.mark_changed();
    loop {
        let body = tokio::select! {
            received = news.recv() => match received {
                Ok(news) => news.as_ref().clone(),
                Err(RecvError::Lagged(_)) => Body::News(hub.all_endpoints()),
                Err(RecvError::Closed) => return,
            },
            Ok(()) = numbers.changed() => Body::NewerConfig(numbers.borrow_and_update().0),
            Ok(()) = status.changed() => {
                let (leads, voters) = {
                    let status = status.borrow_and_update();
                    (status.leading_since.is_some(), voter_addresses(&status.members))
                };
                // Entries without a lease refuse everything: told of the leader, they need not find it by asking.
                let leads_now = std::mem::replace(&mut led, leads) != leads && leads;
                if leads_now && frames.send(Body::Leads(Leadership {}).into()).await.is_err() {
                    return;
                }
                if voters == addresses {
                    continue;
                }
                addresses.clone_from(&voters);
                Body::Replicas(ReplicaAddresses { addresses: voters })
            },
            else => return,
        };
        if frames.send(body.into()).await.is_err() {
            return;
        }
    }
}

fn voter_addresses(members: &acaciabay::core::consensus::MemberSet) -> Vec<String> {
    let voters = members.rows().filter(|(_, row)| row.voter);
    voters.map(|(_, row)| row.address.clone()).collect()
}
