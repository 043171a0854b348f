//! Receives the endpoint reports that the other replicas got.
//!
//! An endpoint may report to any replica, which broadcasts the report to all its sessions. Each replica therefore keeps
//! a session with every other voter, as entries do. So the leader knows all endpoints, and every replica can send all
//! of them to a new session at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::connect_within;
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{ServingFrame, ServingHello};
use acacia_wire::{CONNECT_TIMEOUT, MESSAGE_REVISION, endpoint_from_wire, split_frames};
use acaciabay::core::serving::endpoint_handles::{EndpointHandle, ReceivedHandles};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::session::KEEPALIVE_INTERVAL;
use super::shared::ControlShared;

/// Time for which the kernel retries to deliver data to a replica (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a received byte after which the connection counts as lost: three missed keepalives.
const SILENCE_LIMIT: Duration = KEEPALIVE_INTERVAL.saturating_mul(3);
/// Delay before a new connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Keeps a session open with every other voter until `stop` is cancelled.
pub(super) async fn observe_replicas(shared: Arc<ControlShared>, stop: CancellationToken) {
    let mut status = shared.group.status();
    let mut sessions: BTreeMap<String, JoinHandle<()>> = BTreeMap::new();
    loop {
        let addresses = {
            let status = status.borrow_and_update();
            let own = status.replica;
            let others = status.members.rows().filter(|(id, row)| Some(*id) != own && row.voter);
            others.map(|(_, row)| row.address.clone()).collect::<Vec<_>>()
        };
        sessions.retain(|address, session| {
            let keep = addresses.contains(address);
            if !keep {
                session.abort();
            }
            keep
        });
        for address in addresses {
            let shared = Arc::clone(&shared);
            sessions
                .entry(address.clone())
                .or_insert_with(|| tokio::spawn(maintain_session(shared, address)));
        }
        tokio::select! {
            () = stop.cancelled() => break,
            changed = status.changed() => if changed.is_err() { break },
        }
    }
    for session in sessions.values() {
        session.abort();
    }
}

async fn maintain_session(shared: Arc<ControlShared>, address: String) {
    loop {
        if let Err(error) = run_session(&shared, &address).await {
            slog::debug!(shared.log, "session with a replica failed"; "event" => event::CONNECTION_FAILED,
                "address" => &address, "error" => %error);
        }
        if let Ok(replica) = address.parse() {
            shared.record_wall_clock(replica, None);
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_session(shared: &ControlShared, address: &str) -> std::io::Result<()> {
    let stream = connect_within(address, CONNECT_TIMEOUT, USER_TIMEOUT).await?;
    let (mut reader, mut writer) = split_frames(stream);
    let hello = ServingHello {
        host: shared.settings.host.clone(),
        domain: shared.settings.failure_domain.clone(),
        start: 0,
        entry: false,
        takes_deltas: false,
        revision: MESSAGE_REVISION,
    };
    writer.send(Frame::ServingHello(hello)).await?;
    let mut handles = ReceivedHandles::default();
    let replica: Option<SocketAddr> = address.parse().ok();
    while let Some(frame) = reader.next_within(SILENCE_LIMIT).await? {
        let Frame::Serving(ServingFrame { body: Some(body) }) = frame else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        let news = match body {
            Body::News(news) => news,
            Body::Reported(reports) => {
                shared.record_unchanged(&handles, &reports);
                continue;
            }
            Body::Alive(sign) => {
                if let Some(replica) = replica {
                    shared.record_wall_clock(replica, Some(sign.wall_ms));
                }
                continue;
            }
            _ => continue,
        };
        for row in &news.rows {
            match endpoint_from_wire(row) {
                Ok((name, endpoint)) => {
                    handles.record(EndpointHandle(row.handle), name.clone(), endpoint.incarnation);
                    shared.record_relayed_report(&name, endpoint);
                }
                Err(error) => {
                    slog::warn!(shared.log, "malformed endpoint report"; "event" => event::MESSAGE_REFUSED,
                        "from" => address, "error" => %error);
                }
            }
        }
    }
    Ok(())
}
