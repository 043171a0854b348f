//! A session with an entry, or with a replica that listens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{
    Leadership, RenewServing, ReplicaAddresses, ServingElsewhere, ServingFrame, ServingHello, ServingRenewed,
    SignOfLife, serving_renewed,
};
use acacia_wire::generated::state::WindowCounts;
use acacia_wire::{
    FrameReader, FrameWriter, counts_from_wire, delta_to_wire, pace_from_wire, use_from_wire, use_to_wire,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::HostName;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::start_counts::{EntryStart, GatheredRow};
use acaciabay::util::number::whole_millis;
use bytes::Bytes;
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::hub::{EntryPresence, ServingHub};

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
        "host" => &hello.host, "start" => hello.start, "entry" => hello.entry);
    let (frames, waiting) = mpsc::channel(WAITING_FRAMES);
    let ended = tokio::select! {
        ended = read_frames(reader, &hub, &hello, frames.clone()) => ended,
        ended = write_frames(writer, waiting, &hub, &hello) => ended,
        () = send_news(&hub, frames) => Ok(()),
    };
    slog::info!(hub.log, "session ended"; "event" => event::SESSION_ENDED,
        "host" => &hello.host, "start" => hello.start, "outcome" => ?ended.as_ref().err());
    ended
}

async fn read_frames(
    mut reader: FrameReader<TcpStream>,
    hub: &Arc<ServingHub>,
    hello: &ServingHello,
    frames: mpsc::Sender<WaitingFrame>,
) -> std::io::Result<()> {
    // What this entry was sent last on this connection, as the base of the next change.
    let mut sent = SentDocument::default();
    while let Some(frame) = reader.next().await? {
        let Frame::Serving(ServingFrame { body: Some(body) }) = frame else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        if let Body::Renew(request) = body {
            let answer = answer_renewal(hub, hello, request, &mut sent).await;
            if frames.send(WaitingFrame::new(boot_now(), answer)).await.is_err() {
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
    since: BootTime,
}

impl WaitingFrame {
    const fn new(since: BootTime, body: Body) -> Self {
        Self { body, since }
    }

    /// Returns the number of the configuration that the frame carries, if it does.
    fn carried_config(&self) -> Option<u64> {
        match &self.body {
            Body::Renewed(renewed) => renewed.content.as_ref().map(|_| renewed.config_number),
            _ => None,
        }
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
                WaitingFrame::new(boot_now(), sign_of_life())
            }
        };
        let mut carried = frame.carried_config().map(|number| (number, frame.since));
        writer.feed(serving_frame(frame.body)).await?;
        while let Ok(frame) = waiting.try_recv() {
            carried = carried.or(frame.carried_config().map(|number| (number, frame.since)));
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
    let mut numbers = hub.group.serving_numbers();
    let mut status = hub.group.status();
    let mut addresses = Vec::new();
    let mut led = false;
    let first = Body::News(hub.all_endpoints());
    if frames.send(WaitingFrame::new(boot_now(), first)).await.is_err() {
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
                let word = WaitingFrame::new(boot_now(), Body::Leads(Leadership {}));
                if leads_now && frames.send(word).await.is_err() {
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
        if frames.send(WaitingFrame::new(boot_now(), body)).await.is_err() {
            return;
        }
    }
}

fn voter_addresses(members: &acaciabay::core::consensus::MemberSet) -> Vec<String> {
    let voters = members.rows().filter(|(_, row)| row.voter);
    voters.map(|(_, row)| row.address.clone()).collect()
}

#[derive(Debug, Default)]
struct SentDocument {
    number: ConfigNumber,
    document: Bytes,
}

/// Confirms an entry's lease, if this replica leads, and brings its configuration up to date.
///
/// The leader is confirmed before the state is read: what is read then contains everything that any replica has
/// acknowledged, so that the entry never serves by a configuration that was replaced before it asked.
async fn answer_renewal(
    hub: &Arc<ServingHub>,
    hello: &ServingHello,
    request: RenewServing,
    sent: &mut SentDocument,
) -> Body {
    let read_at = boot_now();
    if hub.group.confirm().await.is_err() {
        return Body::Elsewhere(ServingElsewhere {
            request: request.request,
            leader_address: leader_peer_address(hub),
        });
    }
    let (number, document) = {
        let state = hub.group.read();
        (state.serving.config_number, state.serving.document.clone())
    };
    let (entries, others) = take_presence(hub, hello, &request);
    let held = ConfigNumber(request.config_number);
    let content = (held != number).then(|| {
        if held == sent.number && held != ConfigNumber(0) {
            let delta = hub.delta_between((held, &sent.document), (number, &document));
            serving_renewed::Content::Delta(delta_to_wire(held, &delta))
        } else {
            serving_renewed::Content::Document(document.clone())
        }
    });
    if let Some(content) = &content {
        let (base, bytes) = match content {
            serving_renewed::Content::Document(document) => (None, document.len()),
            serving_renewed::Content::Delta(delta) => (Some(delta.base_number), delta.encoded_len()),
        };
        slog::info!(hub.log, "configuration sent"; "event" => event::CONFIG_SENT, "entry" => &hello.host,
            "number" => number.0, "held" => held.0, "base" => base, "bytes" => bytes, "asked" => request.request,
            "answer_ms" => whole_millis(boot_now().since(read_at)));
        metrics::counter!("acacia_config_bytes_sent_total").increment(bytes as u64);
    }
    *sent = SentDocument { number, document };
    Body::Renewed(ServingRenewed {
        request: request.request,
        config_number: number.0,
        content,
        entries,
        others,
    })
}

fn leader_peer_address(hub: &ServingHub) -> String {
    let control: Option<SocketAddr> = hub.leader_control_address();
    let peer = control.map(|control| SocketAddr::new(control.ip(), hub.settings.peer_address.port()));
    peer.map(|peer| peer.to_string()).unwrap_or_default()
}

fn gathered_row(entry: EntryStart, message: &WindowCounts) -> GatheredRow {
    let (window, counts) = counts_from_wire(message.clone());
    GatheredRow { entry, window, counts }
}

/// Notes what the entry has said, and returns how many entries serve and what the others have at the endpoints.
fn take_presence(
    hub: &ServingHub,
    hello: &ServingHello,
    request: &RenewServing,
) -> (u32, Vec<acacia_wire::generated::serving::EndpointUse>) {
    let now = boot_now();
    let host: HostName = hello.host.as_str().into();
    let start = EntryStart(hello.start);
    let starts: Vec<GatheredRow> = request
        .counts
        .iter()
        .map(|message| gathered_row(start, message))
        .collect();
    let news: Vec<GatheredRow> = {
        let state = hub.group.read();
        starts
            .into_iter()
            .filter(|row| state.serving.gathered.is_news(row))
            .collect()
    };
    let mut soft = hub.soft();
    soft.starts.extend(news);
    for demand in &request.demands {
        let traffic = soft.traffic.entry(demand.service.as_str().into()).or_default();
        traffic.calls += demand.calls;
        traffic.unread_tokens += demand.unread_tokens;
        traffic.output_tokens += demand.output_tokens;
        traffic.wait_us = traffic.wait_us.max(demand.wait_us);
    }
    let uses = request.uses.iter().map(use_from_wire).collect();
    let known = soft.entries.remove(&host);
    // A service for which nothing was asked since the last word is not named in this one.
    let mut paces = known.map(|row| row.paces).unwrap_or_default();
    let measured = request.demands.iter();
    paces.extend(measured.filter_map(|row| Some((row.service.as_str().into(), pace_from_wire(row.pace_us)?))));
    let presence = EntryPresence {
        heard_at: now,
        uses,
        paces,
    };
    soft.entries.insert(host.clone(), presence);
    let entries = u32::try_from(soft.live_entries(now)).unwrap_or(u32::MAX);
    let others = soft.uses_beside(Some(&host));
    let others = others.iter().map(|(name, work)| use_to_wire(name, *work));
    (entries, others.collect())
}
