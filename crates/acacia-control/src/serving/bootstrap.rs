//! Creation of the group by the seed hosts, and admission of all other hosts.
//!
//! At the first start of a deployment, all hosts get the same list of seeds, but not the number of hosts. The seeds
//! create the group without exchanging messages: each writes the same initial members to its own folder. All other
//! hosts ask the seeds to be admitted. A host that starts later with an empty folder must not create a group: it would
//! be a second group with an empty configuration, and everything accepted so far would seem to be lost.

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

/// Pause between two rounds of requests to be admitted.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time limit for the answer of one replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of rounds of requests between two log messages.
const ROUNDS_PER_LOG: u32 = 50;
/// Smallest random disk number. The disks of the seeds that create the group are numbered from 1, below this.
const MIN_RANDOM_DISK: u64 = 1 << 16;

/// Control addresses of the seeds, which may change while the process runs.
pub(super) type SeedList = watch::Receiver<Vec<SocketAddr>>;

/// Returns the peer addresses of the hosts with these control addresses. All hosts use the same ports.
fn peer_addresses(settings: &ServingControlSettings, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let port = settings.peer_address.port();
    seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Returns the identity stored in the folder. An empty folder is first initialised: on a seed that creates the group,
/// with the initial members, and on any other host with a random disk number and no replica.
pub(super) fn load_or_create_identity(
    folder: &mut DataFolder,
    settings: &ServingControlSettings,
) -> anyhow::Result<FolderIdentity> {
    if let Some(identity) = folder.identity()? {
        return Ok(identity);
    }
    let mut peers = peer_addresses(settings, &settings.seed_addresses);
    peers.sort_unstable();
    peers.dedup();
    let index = peers.iter().position(|peer| *peer == settings.peer_address);
    if let Some(index) = index.filter(|_| settings.found_group) {
        return create_group(folder, &peers, index);
    }
    let identity = FolderIdentity {
        group: 0,
        disk: DiskId(random_number()?.max(MIN_RANDOM_DISK)),
        replica: None,
    };
    folder.store_identity(&identity)?;
    Ok(identity)
}

fn create_group(folder: &mut DataFolder, peers: &[SocketAddr], index: usize) -> anyhow::Result<FolderIdentity> {
    let id_of = |index: usize| index as u64 + 1;
    let rows = peers.iter().enumerate().map(|(index, peer)| {
        let row = MemberRow {
            host: peer.ip().to_string().as_str().into(),
            address: peer.to_string(),
            disk: Some(DiskId(id_of(index))),
            voter: true,
        };
        (ReplicaId(id_of(index)), row)
    });
    let members = MemberSet::new(rows, ReplicaId(id_of(peers.len() - 1)));
    let text: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let identity = FolderIdentity {
        group: rendezvous::hash(text.join(",").as_bytes()).max(1),
        disk: DiskId(id_of(index)),
        replica: None,
    };
    folder.store_identity(&identity)?;
    folder.initialise(HardState::founding(), &ReplicaSnapshot::founding(members))?;
    let identity = FolderIdentity {
        replica: Some(ReplicaId(id_of(index))),
        ..identity
    };
    folder.store_identity(&identity)?;
    Ok(identity)
}

/// Asks to be admitted until a replica grants it, and returns the group and the new replica.
pub(super) async fn await_admission(
    settings: &ServingControlSettings,
    seeds: &SeedList,
    disk: DiskId,
    log: &Logger,
) -> (u64, ReplicaId) {
    for round in 0_u32.. {
        let peers = peer_addresses(settings, &seeds.borrow());
        let reply = send_join_requests(settings, peers, disk, None).await;
        if let Some(reply) = &reply
            && reply.replica != 0
        {
            return (reply.group, ReplicaId(reply.replica));
        }
        if round % ROUNDS_PER_LOG == 0 {
            slog::info!(log, "waiting to be admitted"; "event" => event::IDENTITY_AWAITED,
                "seeds" => ?*seeds.borrow(), "reason" => ?reply);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    unreachable!("the rounds have no end")
}

/// Returns true if the group answers that this replica was removed, and false also if no leader can be reached.
///
/// Besides the seeds, which may have been replaced or be down, it asks the `members` that the replica knew.
pub(super) async fn was_removed(
    settings: &ServingControlSettings,
    seeds: &SeedList,
    members: Vec<SocketAddr>,
    disk: DiskId,
    replica: ReplicaId,
) -> bool {
    let mut peers = peer_addresses(settings, &seeds.borrow());
    peers.extend(members);
    let reply = send_join_requests(settings, peers, disk, Some(replica)).await;
    reply.is_some_and(|reply| reply.removed)
}

/// Sends a join request to each peer, and to the leader that it names, until one names a replica or reports a removal.
/// Otherwise returns the last reply, if there was any.
async fn send_join_requests(
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
    let mut last_reply = None;
    for peer in peers.into_iter().filter(|peer| *peer != settings.peer_address) {
        let mut reply = send_join_request(peer, &request).await.ok();
        if let Some(leader) = reply.as_ref().and_then(|reply| reply.leader_address.parse().ok()) {
            reply = send_join_request(leader, &request).await.ok();
        }
        match reply {
            Some(reply) if reply.replica != 0 || reply.removed => return Some(reply),
            Some(reply) => last_reply = Some(reply),
            None => {}
        }
    }
    last_reply
}

async fn send_join_request(address: SocketAddr, request: &JoinRequest) -> std::io::Result<JoinReply> {
    let exchange = async {
        let (mut reader, mut writer) = split_frames(TcpStream::connect(address).await?);
        writer.send(Frame::JoinRequest(request.clone())).await?;
        match reader.next().await? {
            Some(Frame::JoinReply(reply)) => Ok(reply),
            _ => Err(std::io::ErrorKind::InvalidData.into()),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await?
}
