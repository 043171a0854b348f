//! The times on which elections and leases rest.

use std::ops::Range;
use std::time::Duration;

/// How often a leader sends a round of heartbeats. Eight rounds fit into one lease, so that a few lost ones do not end it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replica that has confirmed a round keeps from voting, counted from when it received the round.
pub const LEADER_LEASE: Duration = Duration::from_millis(800);

/// How much earlier the leader itself takes its lease for ended, counted from when it sent the round.
///
/// Clocks of two hosts run at slightly different rates. With 20 ms of 800, two leases cannot overlap unless the rates
/// differ by more than 1.2 in 100, which is a hundred times what a working clock does.
pub const CLOCK_DRIFT: Duration = Duration::from_millis(20);

/// How long a follower hears nothing before it stands for election. The lower bound exceeds [`LEADER_LEASE`], so that
/// nobody stands while a lease may run; the random part keeps two followers from standing at the same moment.
pub const ELECTION_TIMEOUT: Range<Duration> = Duration::from_millis(900)..Duration::from_millis(1_300);

/// How long a replica that has stood in vain for the first time waits before it stands again. Two that stood at the same
/// moment split the votes; where three of five replicas are left, one vote more or less decides, and a whole election
/// timeout would be lost. After that it leaves each round the whole election timeout, or replicas with slow disks would
/// never have the time to answer.
pub(super) const RETRY_TIMEOUT: Range<Duration> = Duration::from_millis(120)..Duration::from_millis(420);

/// How long a replica that led before it started again waits before it stands, and between two tries. Long enough for
/// others that started with it to listen, short against [`LEADER_LEASE`].
pub(super) const RETURN_TIMEOUT: Range<Duration> = Duration::from_millis(60)..Duration::from_millis(140);

/// For how long after its start it keeps to that pace: hosts that lost power together are back within about a second.
pub(super) const RETURN_TIME: Duration = Duration::from_millis(1_500);

/// How long a leader without a lease goes on trying to renew it before it steps down.
pub(super) const LEADER_GRACE: Duration = Duration::from_millis(500);

/// Most entries that one message carries.
pub(super) const MOST_ENTRIES: usize = 1_024;

/// Most bytes of entries that one message carries, unless a single entry is larger.
pub(super) const MOST_ENTRY_BYTES: usize = 1024 * 1024;

/// Most entries under way to one follower before the leader waits for its answers.
pub(super) const MOST_IN_FLIGHT: u64 = 16 * 1_024;

/// How far behind the commit a learner may be when it becomes a voter.
pub(super) const PROMOTION_LAG: u64 = 64;

/// After how many rounds without an answer a snapshot is sent again. It takes seconds to travel and to be synced.
pub(super) const SNAPSHOT_ROUNDS: u64 = 50;
