//! Raft consensus: replicates one log across the hosts of the control group.
//!
//! [`Replica`] is a state machine without I/O. Its inputs are ticks, messages and proposals, each with the present
//! time, and [`Replica::take_output`] returns what the caller has to sync, send and apply, in that order. The daemon
//! and the tests therefore run the same code. The tests in `tests/consensus` simulate crashes, pauses, lost disks, and
//! lost, reordered and duplicated messages, and compare the entries that the replicas apply with one reference list.
//! The reasons for the design are in `docs/design/consensus.md`.
//!
//! * [`log`](ReplicaLog) holds the entries after the latest snapshot.
//! * [`members`](MemberSet) lists the voters and the learners of the group.
//! * `election`, `replication` and `membership` implement the three parts of [`Replica`].

mod election;
mod entry;
mod log;
mod members;
mod membership;
mod message;
mod progress;
mod replica;
mod replication;
mod timing;

pub use entry::{EntryPayload, HardState, LogEntry, LogIndex, ReplicaSnapshot, Term};
pub use log::ReplicaLog;
pub use members::{DiskId, MemberRow, MemberSet, ReplicaId};
pub use membership::{FollowerState, MemberChange, MemberChangeError};
pub use message::{AppendRequest, MessageBody, ReplicaMessage};
pub use replica::{LogAppend, NotLeader, QuorumPolicy, Replica, ReplicaOutput, ReplicaRole, RestoredReplica};
pub use timing::{CLOCK_DRIFT_MARGIN, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, LEADER_LEASE};
