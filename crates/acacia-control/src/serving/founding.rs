//! How a host finds its place in the group, or founds it together with the other seeds.
//!
//! At the first start of the whole system all hosts are told the same seeds, and nobody is told how many hosts there
//! are. The hosts that are seeds found the group: each of them writes the same first members, without a message. All
//! others ask the seeds for a place. A host with an empty folder that starts later is never a founder: it would found a
//! second group with an empty configuration, and what was accepted would seem to be lost.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_runtime::event;
use acacia_settings::ServingControlSettings;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::replica::{JoinReply, JoinRequest};
use acacia_wire::split_frames;
use acaciabay::core::consensus::{DiskId, HardState, MemberRow, MemberSet, ReplicaId, ReplicaSnapshot};
use acaciabay::util::rendezvous;
use slog::Logger;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::daemon::random_number;
use crate::storage::{DataFolder, FolderIdentity};

/// How often the group is asked for a place.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// How long one replica may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// After how many rounds of asking the reason is logged again.
const LOG_EVERY: u32 = 50;
/// Folders that are drawn at random have larger numbers than the founders' folders, which are numbered from 1.
const FIRST_DRAWN_DISK: u64 = 1 << 16;

/// The control addresses through which the group is found; they change while the process runs.
pub(super) type SeedList = watch::Receiver<Vec<SocketAddr>>;

/// Returns the peer addresses behind control addresses; all hosts have the same ports.
fn peer_addresses(settings: &ServingControlSettings, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let port = settings.peer_address.port();
    seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Returns whom the folder belongs to. A founder's folder is filled; any other empty one draws its number.
pub(super) fn open_identity(
    folder: &mut DataFolder,
    settings: &ServingControlSettings,
) -> anyhow::Result<FolderIdentity> {
    if let Some(identity) = folder.identity()? {
        return Ok(identity);
    }
    let mut peers = peer_addresses(settings, &settings.seed_addresses);
    peers.sort_unstable();
    peers.dedup();
    let place = peers.iter().position(|peer| *peer == settings.peer_address);
    if let Some(place) = place.filter(|_| settings.found_group) {
        return found(folder, &peers, place);
    }
    let identity = FolderIdentity {
        group: 0,
        disk: DiskId(random_number()?.max(FIRST_DRAWN_DISK)),
        replica: None,
    };
    folder.store_identity(&identity)?;
    Ok(identity)
}

fn found(folder: &mut DataFolder, peers: &[SocketAddr], place: usize) -> anyhow::Result<FolderIdentity> {
    let number = |place: usize| place as u64 + 1;
    let rows = peers.iter().enumerate().map(|(place, peer)| {
        let row = MemberRow {
            host: peer.ip().to_string().as_str().into(),
            address: peer.to_string(),
            disk: Some(DiskId(number(place))),
            voter: true,
        };
        (ReplicaId(number(place)), row)
    });
    let members = MemberSet::new(rows, ReplicaId(number(peers.len() - 1)));
    let text: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let identity = FolderIdentity {
        group: rendezvous::hash(text.join(",").as_bytes()).max(1),
        disk: DiskId(number(place)),
        replica: None,
    };
    folder.store_identity(&identity)?;
    folder.initialise(HardState::founding(), &ReplicaSnapshot::founding(members))?;
    let identity = FolderIdentity {
        replica: Some(ReplicaId(number(place))),
        ..identity
    };
    folder.store_identity(&identity)?;
    Ok(identity)
}

/// Asks for a place until there is one.
pub(super) async fn await_place(
    settings: &ServingControlSettings,
    seeds: &SeedList,
    disk: DiskId,
    log: &Logger,
) -> (u64, ReplicaId) {
    for round in 0_u32.. {
        let peers = peer_addresses(settings, &seeds.borrow());
        let reply = ask_all(settings, peers, disk, None).await;
        if let Some(reply) = &reply
            && reply.replica != 0
        {
            return (reply.group, ReplicaId(reply.replica));
        }
        if round % LOG_EVERY == 0 {
            slog::info!(log, "waiting to be admitted"; "event" => event::IDENTITY_AWAITED,
                "seeds" => ?*seeds.borrow(), "reason" => ?reply);
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    unreachable!("the rounds have no end")
}

/// Tells whether the group says that this replica was removed; unknown where no leader can be reached.
///
/// The `members` that the replica knew are asked beside the seeds, which may have been exchanged or be down.
pub(super) async fn was_removed(
    settings: &ServingControlSettings,
    seeds: &SeedList,
    members: Vec<SocketAddr>,
    disk: DiskId,
    replica: ReplicaId,
) -> bool {
    let mut peers = peer_addresses(settings, &seeds.borrow());
    peers.extend(members);
    let reply = ask_all(settings, peers, disk, Some(replica)).await;
    reply.is_some_and(|reply| reply.removed)
}

/// Asks replicas, and the leader that they name.
async fn ask_all(
    settings: &ServingControlSettings,
    peers: Vec<SocketAddr>,
    disk: DiskId,
    replica: Option<ReplicaId>,
) -> Option<JoinReply> {
    let request = JoinRequest {
        host: settings.peer_address.ip().to_string(),
        address: settings.peer_address.to_string(),
        disk: disk.0,
        replica: replica.map_or(0, |replica| replica.0),
    };
    let mut open = None;
    for peer in peers.into_iter().filter(|peer| *peer != settings.peer_address) {
        let mut reply = ask(peer, &request).await.ok();
        if let Some(leader) = reply.as_ref().and_then(|reply| reply.leader_address.parse().ok()) {
            reply = ask(leader, &request).await.ok();
        }
        match reply {
            Some(reply) if reply.replica != 0 || reply.removed => return Some(reply),
            Some(reply) => open = Some(reply),
            None => {}
        }
    }
    open
}

async fn ask(address: SocketAddr, request: &JoinRequest) -> std::io::Result<JoinReply> {
    let asked = async {
        let (mut reader, mut writer) = split_frames(TcpStream::connect(address).await?);
        writer.send(Frame::JoinRequest(request.clone())).await?;
        match reader.next().await? {
            Some(Frame::JoinReply(reply)) => Ok(reply),
            _ => Err(std::io::ErrorKind::InvalidData.into()),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, asked).await?
}
