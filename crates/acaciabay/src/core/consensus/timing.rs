//! Timeouts of elections and leases, and limits of replication.

use std::ops::Range;
use std::time::Duration;

/// Interval between the leader's heartbeat rounds. Eight rounds fit into one lease, so it survives a few lost rounds.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time during which a replica that has confirmed a heartbeat round grants no vote, counted from when it received the
/// round.
pub const LEADER_LEASE: Duration = Duration::from_millis(800);

/// Time by which the leader's own lease, counted from when it sent the round, is shorter than [`LEADER_LEASE`].
///
/// Clocks of two hosts run at slightly different rates. With 20 ms of 800, two leases cannot overlap unless the rates
/// differ by more than 1.2 in 100, which is a hundred times what a working clock does.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(20);

/// Time without contact from a leader after which a follower starts an election.
///
/// The lower bound exceeds [`LEADER_LEASE`], so that no election starts while a lease may be valid. The random part
/// keeps two followers from starting at the same moment.
pub const ELECTION_TIMEOUT: Range<Duration> = Duration::from_millis(900)..Duration::from_millis(1_300);

/// Time after which a replica repeats an election attempt that was the first since it last knew a leader.
///
/// Candidates that start at the same moment split the votes. With three of five replicas left, a single vote decides,
/// and waiting a full election timeout would only prolong the time without a leader. Later attempts wait the full
/// timeout: otherwise replicas with slow disks would never have time to reply.
pub(super) const FIRST_RETRY_TIMEOUT: Range<Duration> = Duration::from_millis(120)..Duration::from_millis(420);

/// Election timeout of a restarted replica that led its last known term, for the first attempt and for repeated ones.
///
/// It gives replicas that restarted at the same time long enough to listen, and is short compared to [`LEADER_LEASE`].
pub(super) const RETURNING_LEADER_TIMEOUT: Range<Duration> = Duration::from_millis(60)..Duration::from_millis(140);

/// Time after a restart during which [`RETURNING_LEADER_TIMEOUT`] applies. Hosts that lost power together are back
/// within about a second.
pub(super) const RETURNING_LEADER_PERIOD: Duration = Duration::from_millis(1_500);

/// Time that a leader keeps trying to renew an expired lease before it steps down.
pub(super) const LEASE_RENEWAL_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of entries in one message.
pub(super) const MAX_ENTRIES_PER_MESSAGE: usize = 1_024;

/// Maximum size of the entries in one message, in bytes. A larger single entry is sent alone.
pub(super) const MAX_ENTRY_BYTES_PER_MESSAGE: usize = 1024 * 1024;

/// Number of unacknowledged entries sent to one follower above which the leader sends no further ones.
pub(super) const MAX_IN_FLIGHT_ENTRIES: u64 = 16 * 1_024;

/// Maximum number of entries by which a learner may trail the commit index when it becomes a voter.
pub(super) const MAX_PROMOTION_LAG: u64 = 64;

/// Number of heartbeat rounds after which an unacknowledged snapshot is sent again. It takes seconds to send and sync.
pub(super) const SNAPSHOT_RETRY_ROUNDS: u64 = 50;
