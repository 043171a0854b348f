//! Replication of one log over the hosts of the control group, in the manner of Raft.
//!
//! [`Replica`] is a state machine without I/O: its inputs are ticks, messages and proposals, each with the present time,
//! and [`Replica::take_output`] returns what its caller has to sync, send and apply, in that order. The same code thus
//! runs under the daemon and under the tests, which explore kills, loss, reordering, repetition, pauses and lost disks
//! against one plain list (`tests/consensus.rs`). The reasons are in `docs/design/consensus.md`.
//!
//! * [`log`](ReplicaLog) holds the entries after the latest snapshot.
//! * [`members`](MemberSet) says who votes and who only learns.
//! * `election`, `replication` and `membership` are the three parts of [`Replica`].

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
pub use membership::{FollowerState, MemberChange, MemberRefusal};
pub use message::{AppendRequest, MessageBody, ReplicaMessage};
pub use replica::{LogAppend, NotLeader, QuorumPolicy, Replica, ReplicaOutput, ReplicaRole, RestoredReplica};
pub use timing::{CLOCK_DRIFT, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, LEADER_LEASE};
