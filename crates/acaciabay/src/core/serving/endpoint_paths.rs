//! What an entry knows of its own paths to the endpoints.
//!
//! An endpoint that does not answer may have failed, or the network between it and this entry. Only a third host can tell
//! the two apart: if another entry reaches the endpoint while this one does not, the path of this one is at fault. Calls then
//! take the path over the other entry, and the endpoint is not blamed. `docs/design/relays.md` describes the whole.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::broken_attempt::PortState;
use crate::core::clock::BootTime;

/// Interval at which the direct path to one endpoint is tried again at first. It doubles up to [`MAX_TRIAL_INTERVAL`].
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval at which the direct path to one endpoint is tried again.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(4);
/// Interval at which any direct path is tried while the entry is cut off from all endpoints.
const CUT_TRIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the break of an open connection shows that others to the same endpoint are broken too.
const BREAK_MEMORY: Duration = Duration::from_secs(1);
/// Time after which a lost path is forgotten that was not tried again, since nobody uses it.
const LOST_RETENTION: Duration = Duration::from_secs(10);
/// Number of endpoints that others reach, and this entry does not, from which on it counts as cut off from all.
const MIN_LOST_ENDPOINTS: usize = 2;
/// Time without a sign of life of any endpoint after which this entry may be cut off from all. A call that still waits is
/// then a reason to check the paths.
const SILENCE_LIMIT: Duration = Duration::from_millis(250);
/// Shortest interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of endpoints that are checked or tried at once.
const MAX_CHECKED: usize = 3;

/// Order in which the paths to an endpoint are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathOrder {
    /// The direct path, and another entry if it does not lead to the endpoint soon.
    DirectFirst,
    /// Another entry.
    RelayFirst,
}

/// How the direct path to an endpoint failed while another entry reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Nothing answered. Open connections are lost too.
    Silent,
    /// The connection was refused or reset. Open connections may live on.
    Refused,
}

/// What other entries found at a port that refused a connection of this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortWitnesses {
    /// Number of those that were connected.
    pub opened: usize,
    /// Number of those that were refused as well.
    pub refused: usize,
    /// Number of those that got no answer.
    pub silent: usize,
}

impl PortWitnesses {
    /// Returns what a refused connection says of the endpoint's port.
    ///
    /// A network that is cut may refuse connections, so that a refusal that nobody confirms says nothing where this entry has
    /// lost paths. What another entry confirms holds whatever is lost, since only one that has lost no path does so: an entry that
    /// waited for the endpoint's silence instead would tell of its calls long after the others, and a verdict would be found
    /// without them.
    #[must_use]
    pub const fn judge_refusal(&self, lost_paths: usize) -> PortState {
        if self.opened > 0 || self.silent > 0 || (lost_paths > 0 && self.refused == 0) {
            PortState::Silent
        } else {
            PortState::Refused
        }
    }
}

/// Change of what the entry reaches as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// From now on it counts as cut off from all endpoints.
    Cut,
    /// It was cut off, and reaches an endpoint again, or has needed none for long.
    Restored {
        /// Time for which it was cut off.
        lasted: Duration,
    },
}

/// An endpoint that this entry does not reach by itself.
#[derive(Clone, Copy, Debug)]
struct LostPath {
    fault: PathFault,
    lost_since: BootTime,
    /// Time at which another entry last reached the endpoint while this one did not.
    found_at: BootTime,
    /// Time at which a call last needed the endpoint.
    needed_at: BootTime,
    /// Time from which the direct path is tried again.
    trial_at: BootTime,
    trial_interval: Duration,
}

impl LostPath {
    fn new(now: BootTime, fault: PathFault) -> Self {
        Self {
            fault,
            lost_since: now,
            found_at: now,
            needed_at: now,
            trial_at: now + MIN_TRIAL_INTERVAL,
            trial_interval: MIN_TRIAL_INTERVAL,
        }
    }
}

/// Call that waits for the answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitNumber(u64);

/// The paths of one entry to all endpoints.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    lost: HashMap<SocketAddr, LostPath>,
    /// Times at which open direct connections last broke.
    broken: HashMap<SocketAddr, BootTime>,
    /// Time of the last sign of life that came directly from any endpoint.
    heard_at: BootTime,
    cut_since: Option<BootTime>,
    next_cut_trial: BootTime,
    waits: HashMap<WaitNumber, (SocketAddr, BootTime)>,
    next_wait: u64,
    next_check: BootTime,
}

impl PathTable {
    /// Returns the order in which the paths to an endpoint are tried for a call that needs it. A lost path that calls need is
    /// remembered, so that it is tried again.
    pub fn order(&mut self, now: BootTime, address: SocketAddr) -> PathOrder {
        if !self.is_lost(address) {
            return PathOrder::DirectFirst;
        }
        // While the entry is cut off, this may be an endpoint whose own path has not been tried.
        let path = self
            .lost
            .entry(address)
            .or_insert_with(|| LostPath::new(now, PathFault::Refused));
        path.needed_at = now;
        PathOrder::RelayFirst
    }

    /// Returns the endpoints to which the direct path has to be tried now, so that its return is noticed and no call waits for
    /// it.
    pub fn due_trials(&mut self, now: BootTime) -> Vec<SocketAddr> {
        if self.cut_since.is_some() {
            if now < self.next_cut_trial {
                return Vec::new();
            }
            self.next_cut_trial = now + CUT_TRIAL_INTERVAL;
        }
        let is_due = |path: &LostPath| now >= path.trial_at;
        let due = self.lost.iter_mut().filter(|(_, path)| is_due(path)).take(MAX_CHECKED);
        let tried = due.map(|(address, path)| {
            path.trial_interval = (path.trial_interval * 2).min(MAX_TRIAL_INTERVAL);
            path.trial_at = now + path.trial_interval;
            *address
        });
        tried.collect()
    }

    /// Forgets lost paths that no call has needed for a while. An entry for which none is left counts as cut off no longer,
    /// since nothing would tell it that it reaches endpoints again.
    pub fn remove_expired(&mut self, now: BootTime) -> Option<PathChange> {
        let waited_for: HashSet<SocketAddr> = self.waits.values().map(|(address, _)| *address).collect();
        self.lost
            .retain(|address, path| now.since(path.needed_at) < LOST_RETENTION || waited_for.contains(address));
        self.broken
            .retain(|_, broken_at| now.since(*broken_at) < LOST_RETENTION);
        if self.lost.is_empty() { self.end_cut(now) } else { None }
    }

    /// Records that another entry has reached an endpoint while the direct path failed.
    pub fn record_lost(&mut self, now: BootTime, address: SocketAddr, fault: PathFault) -> Option<PathChange> {
        let path = self.lost.entry(address).or_insert_with(|| LostPath::new(now, fault));
        (path.fault, path.found_at, path.needed_at) = (fault, now, now);
        let has_broken = self.broken.get(&address);
        if has_broken.is_some_and(|broken_at| now.since(*broken_at) < BREAK_MEMORY) {
            path.fault = PathFault::Silent;
        }
        let lost_since_heard = self.lost.values().filter(|path| path.found_at > self.heard_at);
        let is_cut = lost_since_heard.count() >= MIN_LOST_ENDPOINTS && !self.has_heard_lately(now);
        if self.cut_since.is_some() || !is_cut {
            return None;
        }
        self.cut_since = Some(now);
        Some(PathChange::Cut)
    }

    /// Records that an open direct connection to an endpoint has broken. If the path is lost, the other open ones are too.
    pub fn record_broken(&mut self, now: BootTime, address: SocketAddr) {
        self.broken.insert(address, now);
        if let Some(path) = self.lost.get_mut(&address) {
            path.fault = PathFault::Silent;
        }
    }

    /// Records that a direct connection to an endpoint was made.
    pub fn record_reached(&mut self, now: BootTime, address: SocketAddr) -> Option<PathChange> {
        self.lost.remove(&address);
        self.record_heard(now)
    }

    /// Records that bytes have arrived directly from an endpoint.
    pub fn record_heard(&mut self, now: BootTime) -> Option<PathChange> {
        self.heard_at = self.heard_at.max(now);
        self.end_cut(now)
    }

    fn end_cut(&mut self, now: BootTime) -> Option<PathChange> {
        let since = self.cut_since.take()?;
        Some(PathChange::Restored {
            lasted: now.since(since),
        })
    }

    /// Returns true if an endpoint has just given a sign of life. What this entry does not reach then is not lost to it because
    /// it is cut off from all.
    pub fn has_heard_lately(&self, now: BootTime) -> bool {
        now.since(self.heard_at) < SILENCE_LIMIT
    }

    /// Returns true while the entry is cut off from all endpoints.
    pub const fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns the number of endpoints that this entry does not reach by itself.
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Returns true if an open direct connection to an endpoint may be used.
    pub fn may_use_open(&self, address: SocketAddr) -> bool {
        let is_silent = |path: &LostPath| path.fault == PathFault::Silent;
        let any_is_silent = self.cut_since.is_some() && self.lost.values().any(is_silent);
        !any_is_silent && !self.lost.get(&address).is_some_and(is_silent)
    }

    /// Returns true if a direct connection to an endpoint that was kept open may carry another call; `kept_since` is when its last
    /// call ended. Whatever cuts the path to one endpoint may cut those to others. A call on a connection that has carried nothing
    /// since would then only hang, while one on a new connection finds another path in time.
    pub fn may_use_kept(&self, address: SocketAddr, kept_since: BootTime) -> bool {
        let mut lost = self.lost.values();
        let is_doubted = lost.any(|path| path.fault == PathFault::Silent && path.lost_since >= kept_since);
        !is_doubted && self.may_use_open(address)
    }

    /// Returns true if the path of a call that was sent then has been lost since. A missing answer says nothing about the
    /// endpoint in that case. A call that was sent later went over a relay.
    pub fn was_lost_after(&self, sent_at: BootTime, address: SocketAddr) -> bool {
        let lost_since = self.lost.get(&address).map(|path| path.lost_since);
        let since = lost_since.into_iter().chain(self.cut_since);
        since.min().is_some_and(|since| since >= sent_at)
    }

    /// Returns true if the direct path to an endpoint is lost.
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        self.cut_since.is_some() || self.lost.contains_key(&address)
    }

    /// Records that a call begins to wait for an endpoint, on a connection that may have been kept open.
    pub fn begin_wait(&mut self, now: BootTime, address: SocketAddr) -> WaitNumber {
        if let Some(path) = self.lost.get_mut(&address) {
            path.needed_at = now;
        }
        let number = WaitNumber(self.next_wait);
        self.next_wait += 1;
        self.waits.insert(number, (address, now));
        number
    }

    /// Records that a call no longer waits.
    pub fn end_wait(&mut self, number: WaitNumber) {
        self.waits.remove(&number);
    }

    /// Returns the endpoints to which the paths have to be checked now: calls wait for them, and no endpoint at all has given
    /// a sign of life for a while, or the paths to others are lost. A cut would otherwise be noticed only by calls that are
    /// lost one by one on connections that were kept open.
    pub fn due_checks(&mut self, now: BootTime) -> BTreeSet<SocketAddr> {
        let is_doubtful = !self.has_heard_lately(now) || !self.lost.is_empty();
        if self.cut_since.is_some() || !is_doubtful || now < self.next_check {
            return BTreeSet::new();
        }
        let overdue = self.waits.values();
        let overdue =
            overdue.filter(|(address, since)| now.since(*since) >= SILENCE_LIMIT && !self.lost.contains_key(address));
        let addresses: BTreeSet<SocketAddr> = overdue.map(|(address, _)| *address).take(MAX_CHECKED).collect();
        if !addresses.is_empty() {
            self.next_check = now + CHECK_INTERVAL;
        }
        addresses
    }
}
