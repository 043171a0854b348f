//! The slack of the retry limits, as the leader divides it among the entries.
//!
//! The slack of a service is a bucket that flows in evenly. A new leader begins with an empty one: its predecessor may have
//! granted all that there was just before. What leaders grant one after the other is then bounded like what one leader
//! grants, so that nothing has to be replicated. `docs/design/retries.md` has the sum.

use std::collections::BTreeMap;

use super::retry_limiter::{GRANT_LIFETIME, RetryLimit};
use crate::core::clock::BootTime;
use crate::core::name::{HostName, ServiceName};
use crate::util::number::round_up;

/// Fraction of the slack that may be saved up.
const SAVED_FRACTION: f64 = 1.0 / 3.0;
/// Part of what is in the bucket that one entry is granted at once, so that there is something for the others.
const GRANTED_FRACTION: f64 = 0.5;

/// Retries that an entry asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDemand {
    /// Number of calls that it could not retry since its last report.
    pub wanted: u64,
    /// Limit in the settings of the entry.
    pub limit: RetryLimit,
}

/// The slack of one service, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryView {
    /// The service.
    pub service: ServiceName,
    /// Slack of its limit.
    pub slack: f64,
    /// Retries that may be granted at once.
    pub available: u64,
    /// Retries granted to each entry in the term of the leader.
    pub granted: BTreeMap<HostName, u64>,
    /// Retries that entries have asked for in the term.
    pub wanted: u64,
}

#[derive(Clone, Debug)]
struct SlackBucket {
    limit: RetryLimit,
    level: f64,
    refilled_at: BootTime,
    granted: BTreeMap<HostName, u64>,
    wanted: u64,
}

impl SlackBucket {
    fn new(start: LedgerStart, limit: RetryLimit) -> Self {
        let (level, refilled_at) = match start {
            LedgerStart::Empty { at } => (0.0, at),
            LedgerStart::Full { at } => (SAVED_FRACTION * limit.slack, at),
        };
        Self {
            limit,
            level,
            refilled_at,
            granted: BTreeMap::new(),
            wanted: 0,
        }
    }

    /// Returns the number of retries that may be saved up.
    fn capacity(&self) -> f64 {
        SAVED_FRACTION * self.limit.slack
    }

    /// Returns the retries a second that flow in. A window sees what was granted up to a lifetime of a grant before it, and
    /// what a leader that does not know of its successor grants as long.
    fn rate(&self) -> f64 {
        let time = self.limit.window + 2 * GRANT_LIFETIME;
        (self.limit.slack - self.capacity()) / time.as_secs_f64()
    }

    fn refill(&mut self, now: BootTime) {
        let added = self.rate() * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + added).min(self.capacity());
        self.refilled_at = now;
    }

    /// Keeps the strictest limit that entries have in their settings.
    fn tighten(&mut self, limit: &RetryLimit) {
        self.limit.slack = self.limit.slack.min(limit.slack);
        self.limit.window = self.limit.window.max(limit.window);
    }

    fn grant(&mut self, now: BootTime, entry: &HostName, demand: &RetryDemand) -> u64 {
        self.tighten(&demand.limit);
        self.refill(now);
        let part = round_up(self.level * GRANTED_FRACTION);
        let granted = demand.wanted.min(part).min(round_up(self.level.floor()));
        self.level -= granted as f64;
        self.wanted += demand.wanted;
        *self.granted.entry(entry.clone()).or_default() += granted;
        granted
    }
}

/// When a leader has begun, and what its buckets held then.
#[derive(Clone, Copy, Debug)]
enum LedgerStart {
    Empty { at: BootTime },
    Full { at: BootTime },
}

/// The slack of all services whose calls were to be retried. A replica that becomes leader begins with a new ledger.
#[derive(Clone, Debug)]
pub struct RetryLedger {
    term: u64,
    start: LedgerStart,
    buckets: BTreeMap<ServiceName, SlackBucket>,
}

impl RetryLedger {
    /// Creates the ledger of the leader of a term that has begun at `began_at`.
    pub const fn new(began_at: BootTime, term: u64) -> Self {
        Self::starting(LedgerStart::Empty { at: began_at }, term)
    }

    /// Creates the ledger of the first leader of a group. Nobody has granted anything before it.
    pub const fn first(began_at: BootTime, term: u64) -> Self {
        Self::starting(LedgerStart::Full { at: began_at }, term)
    }

    const fn starting(start: LedgerStart, term: u64) -> Self {
        Self {
            term,
            start,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns the term of the leader.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Grants an entry retries of a service, and returns how many.
    pub fn grant(&mut self, now: BootTime, entry: &HostName, service: &ServiceName, demand: &RetryDemand) -> u64 {
        let start = self.start;
        let bucket = self
            .buckets
            .entry(service.clone())
            .or_insert_with(|| SlackBucket::new(start, demand.limit));
        bucket.grant(now, entry, demand)
    }

    /// Returns the slack of all services whose calls were to be retried in the term.
    pub fn views(&self, now: BootTime) -> Vec<RetryView> {
        let views = self.buckets.iter().map(|(service, bucket)| {
            let mut bucket = bucket.clone();
            bucket.refill(now);
            RetryView {
                service: service.clone(),
                slack: bucket.limit.slack,
                available: round_up(bucket.level.floor()),
                granted: bucket.granted,
                wanted: bucket.wanted,
            }
        });
        views.collect()
    }
}
