//! What replicas say to each other and keep on disk, to and from the library's types.

use acaciabay::core::consensus::{
    AppendRequest, DiskId, EntryPayload, HardState, LogEntry, LogIndex, MemberRow, MemberSet, MessageBody, ReplicaId,
    ReplicaMessage, ReplicaSnapshot, Term,
};

use crate::error::WireError;
use crate::generated::replica::{self, log_entry, replica_message::Body};
use crate::table_row::all;

/// Encodes a message between replicas.
pub fn message_to_wire(message: &ReplicaMessage) -> replica::ReplicaMessage {
    let body = match &message.body {
        MessageBody::VoteRequest {
            pre_vote,
            last_index,
            last_term,
        } => Body::VoteRequest(replica::VoteRequest {
            pre_vote: *pre_vote,
            last_index: last_index.0,
            last_term: last_term.0,
        }),
        MessageBody::VoteReply { pre_vote, granted } => Body::VoteReply(replica::VoteReply {
            pre_vote: *pre_vote,
            granted: *granted,
        }),
        MessageBody::AppendRequest(request) => Body::AppendRequest(append_to_wire(request)),
        MessageBody::AppendReply { accepted, index, round } => Body::AppendReply(replica::AppendReply {
            accepted: *accepted,
            index: index.0,
            round: *round,
        }),
        MessageBody::SnapshotRequest { snapshot, round } => {
            let snapshot = Some(snapshot_to_wire(snapshot));
            Body::SnapshotRequest(replica::SnapshotRequest {
                snapshot,
                round: *round,
            })
        }
    };
    replica::ReplicaMessage {
        from: message.from.0,
        to: message.to.0,
        term: message.term.0,
        body: Some(body),
    }
}

/// Decodes a message between replicas.
///
/// # Errors
///
/// Fails when a field is missing or impossible.
pub fn message_from_wire(message: replica::ReplicaMessage) -> Result<ReplicaMessage, WireError> {
    let body = match message.body.ok_or(WireError::missing("body"))? {
        Body::VoteRequest(request) => MessageBody::VoteRequest {
            pre_vote: request.pre_vote,
            last_index: LogIndex(request.last_index),
            last_term: Term(request.last_term),
        },
        Body::VoteReply(reply) => MessageBody::VoteReply {
            pre_vote: reply.pre_vote,
            granted: reply.granted,
        },
        Body::AppendRequest(request) => MessageBody::AppendRequest(append_from_wire(request)?),
        Body::AppendReply(reply) => MessageBody::AppendReply {
            accepted: reply.accepted,
            index: LogIndex(reply.index),
            round: reply.round,
        },
        Body::SnapshotRequest(request) => MessageBody::SnapshotRequest {
            snapshot: snapshot_from_wire(request.snapshot.ok_or(WireError::missing("snapshot"))?),
            round: request.round,
        },
    };
    let (from, to) = (ReplicaId(message.from), ReplicaId(message.to));
    Ok(ReplicaMessage {
        from,
        to,
        term: Term(message.term),
        body,
    })
}

fn append_to_wire(request: &AppendRequest) -> replica::AppendRequest {
    replica::AppendRequest {
        previous_index: request.previous_index.0,
        previous_term: request.previous_term.0,
        commit: request.commit.0,
        round: request.round,
        entries: request.entries.iter().map(entry_to_wire).collect(),
    }
}

fn append_from_wire(request: replica::AppendRequest) -> Result<AppendRequest, WireError> {
    let entries = all(request.entries, entry_from_wire)?;
    let previous = LogIndex(request.previous_index);
    let in_order = entries
        .iter()
        .zip(1..)
        .all(|(entry, offset)| entry.index.0 == previous.0 + offset);
    if !in_order {
        return Err(WireError::invalid("entries"));
    }
    Ok(AppendRequest {
        previous_index: previous,
        previous_term: Term(request.previous_term),
        commit: LogIndex(request.commit),
        round: request.round,
        entries,
    })
}

/// Encodes an entry of the log.
pub fn entry_to_wire(entry: &LogEntry) -> replica::LogEntry {
    let payload = match &entry.payload {
        EntryPayload::Empty => None,
        EntryPayload::Command(bytes) => Some(log_entry::Payload::Command(bytes.clone())),
        EntryPayload::Members(members) => Some(log_entry::Payload::Members(members_to_wire(members))),
    };
    replica::LogEntry {
        index: entry.index.0,
        term: entry.term.0,
        payload,
    }
}

/// Decodes an entry of the log.
///
/// # Errors
///
/// Fails when the entry has no place.
pub fn entry_from_wire(message: replica::LogEntry) -> Result<LogEntry, WireError> {
    if message.index == 0 {
        return Err(WireError::missing("index"));
    }
    let payload = match message.payload {
        None => EntryPayload::Empty,
        Some(log_entry::Payload::Command(bytes)) => EntryPayload::Command(bytes),
        Some(log_entry::Payload::Members(members)) => EntryPayload::Members(members_from_wire(members)),
    };
    Ok(LogEntry {
        index: LogIndex(message.index),
        term: Term(message.term),
        payload,
    })
}

/// Encodes a snapshot.
pub fn snapshot_to_wire(snapshot: &ReplicaSnapshot) -> replica::Snapshot {
    replica::Snapshot {
        index: snapshot.index.0,
        term: snapshot.term.0,
        members: Some(members_to_wire(&snapshot.members)),
        state: snapshot.state.clone(),
    }
}

/// Decodes a snapshot.
pub fn snapshot_from_wire(message: replica::Snapshot) -> ReplicaSnapshot {
    ReplicaSnapshot {
        index: LogIndex(message.index),
        term: Term(message.term),
        members: message.members.map(members_from_wire).unwrap_or_default(),
        state: message.state,
    }
}

/// Encodes term, vote and leader.
pub fn hard_state_to_wire(hard_state: &HardState) -> replica::HardState {
    replica::HardState {
        term: hard_state.term.0,
        vote: hard_state.vote.map_or(0, |vote| vote.0),
        leader: hard_state.leader.map_or(0, |leader| leader.0),
    }
}

/// Decodes term, vote and leader.
pub fn hard_state_from_wire(message: &replica::HardState) -> HardState {
    let vote = (message.vote != 0).then_some(ReplicaId(message.vote));
    HardState {
        term: Term(message.term),
        vote,
        leader: (message.leader != 0).then_some(ReplicaId(message.leader)),
    }
}

fn members_to_wire(members: &MemberSet) -> replica::MemberSet {
    let rows = members.rows().map(|(id, row)| replica::Member {
        replica: id.0,
        host: row.host.to_string(),
        address: row.address.clone(),
        disk: row.disk.map_or(0, |disk| disk.0),
        voter: row.voter,
    });
    replica::MemberSet {
        members: rows.collect(),
        last_replica: members.last().0,
    }
}

fn members_from_wire(message: replica::MemberSet) -> MemberSet {
    let rows = message.members.into_iter().map(|member| {
        let disk = (member.disk != 0).then_some(DiskId(member.disk));
        let row = MemberRow {
            host: member.host.as_str().into(),
            address: member.address,
            disk,
            voter: member.voter,
        };
        (ReplicaId(member.replica), row)
    });
    MemberSet::new(rows, ReplicaId(message.last_replica))
}
