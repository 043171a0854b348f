//! The limits that endpoints name, as the leader divides them among the entries.
//!
//! Each limit is a bucket of whole permits. What is in the bucket and what entries hold unspent is bounded together, so
//! that the entries' requests in any window are bounded by that and by what flows in, however entries spend, lose or
//! return their permits. Nothing is replicated: a new leader begins with empty buckets and with the limits that entries
//! know, and permits of its predecessor expire soon after it begins.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_limit::{
    LimitAnswer, LimitReport, LimitReportRow, LimitRow, LimitSighting, LimitState, LimitVersion, PermitCounts,
    RateLimit,
};
use super::limit_shares::ShareTable;
use super::start_counts::EntryStart;
use crate::core::clock::BootTime;
use crate::core::name::EndpointName;
use crate::util::number::round_up;

/// Permits a second of an endpoint with a lower limit, so that somebody sees when the limit ends.
const PROBE_RATE: f64 = 0.25;
/// Time over whose inflow permits may be saved up or held unspent by entries, and the permits beyond that.
const SAVED_TIME: f64 = 1.0;
const SAVED_PERMITS: f64 = 2.0;
/// Permits in the bucket of an endpoint that has just named its limit.
const FIRST_PERMITS: f64 = 1.0;
/// Time for which a limit that has ended is kept, so that all entries are told, and any limit without an entry that
/// knows of it.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
const BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// A change of an endpoint's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The limit before.
    pub before: Option<RateLimit>,
    /// The state from now on.
    pub state: LimitState,
}

/// A limit in force, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitView {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its state.
    pub state: LimitState,
    /// Time since the limit was last changed.
    pub age: Duration,
    /// Permits that may be granted at once.
    pub available: u64,
    /// Permits that entries hold unspent, as far as they have reported.
    pub outstanding: u64,
    /// Requests a second that entries would send to the endpoint.
    pub demand: f64,
    /// Entries that know the limit.
    pub entries: usize,
}

#[derive(Clone, Debug)]
struct LimitBucket {
    state: LimitState,
    changed_at: BootTime,
    heard_at: BootTime,
    level: f64,
    refilled_at: BootTime,
    shares: ShareTable,
}

impl LimitBucket {
    fn new(now: BootTime, state: LimitState, level: f64) -> Self {
        Self {
            state,
            changed_at: now,
            heard_at: now,
            level,
            refilled_at: now,
            shares: ShareTable::new(now),
        }
    }

    /// Returns how many permits may be in the bucket or unspent with entries.
    fn capacity(&self) -> f64 {
        let rate = self.state.limit.map_or(0.0, RateLimit::rate);
        SAVED_TIME * rate + SAVED_PERMITS
    }

    fn refill(&mut self, now: BootTime) {
        let rate = self.state.limit.map_or(0.0, RateLimit::rate).max(PROBE_RATE);
        let room = (self.capacity() - self.shares.outstanding() as f64).max(0.0);
        let added = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + added).min(room);
        self.refilled_at = now;
    }

    fn set_state(&mut self, now: BootTime, state: LimitState) {
        self.refill(now);
        self.state = state;
        self.changed_at = now;
        self.level = self.level.min(self.capacity());
    }

    /// Adopts what an entry knows or has seen. Returns true if the state has changed.
    fn adopt(&mut self, now: BootTime, row: &LimitReportRow) -> bool {
        let before = self.state;
        let incarnation = self.state.incarnation.max(row.state.incarnation);
        if row.state.version > self.state.version {
            self.set_state(now, row.state);
        }
        self.state.incarnation = incarnation;
        if let Some(sighting) = row.sighting
            && self.is_news(&sighting)
        {
            let state = LimitState {
                incarnation: self.state.incarnation,
                version: LimitVersion(self.state.version.0 + 1),
                limit: sighting.limit,
            };
            self.set_state(now, state);
        }
        (self.state.version, self.state.limit) != (before.version, before.limit)
    }

    /// Returns true if a sighting changes the limit. A lower one counts at once; a higher one or none only if the request
    /// was sent in knowledge of the state in force.
    fn is_news(&self, sighting: &LimitSighting) -> bool {
        match (sighting.limit, self.state.limit) {
            (Some(_), None) => true,
            (Some(seen), Some(held)) if seen < held => true,
            (seen, held) => seen != held && sighting.known == self.state.version,
        }
    }

    /// Records the permits and the demand that an entry reports. `is_own_term` is false if it counts the permits of an
    /// earlier leader.
    fn record_share(&mut self, now: BootTime, entry: EntryStart, row: &LimitReportRow, is_own_term: bool) {
        let reported = if is_own_term {
            row.permits
        } else {
            PermitCounts::default()
        };
        self.level += self.shares.record(now, entry, row, reported) as f64;
    }

    /// Grants an entry its part of the bucket. Returns the row that it has to be told, if any.
    fn grant(&mut self, now: BootTime, name: &EndpointName, entry: EntryStart) -> Option<LimitRow> {
        self.shares.sweep(now);
        self.refill(now);
        // Without a limit there is nothing to divide.
        let level = if self.state.limit.is_some() { self.level } else { 0.0 };
        let Some(grant) = self.shares.grant(now, entry, level, self.state.version) else {
            // An entry that has not reported the endpoint does not know its limit.
            return self.state.limit.is_some().then(|| self.row(name, 0));
        };
        self.level -= grant.new as f64;
        (!grant.is_known).then(|| self.row(name, grant.total))
    }

    fn row(&self, name: &EndpointName, granted: u64) -> LimitRow {
        LimitRow {
            endpoint: name.clone(),
            state: self.state,
            granted,
        }
    }

    fn is_obsolete(&self, now: BootTime) -> bool {
        let has_ended = self.state.limit.is_none() && now.since(self.changed_at) >= ENDED_RETENTION;
        has_ended || now.since(self.heard_at) >= BUCKET_RETENTION
    }
}

/// The limits of all endpoints that name one, and the permits that entries hold under them. A replica that becomes leader
/// begins with a new ledger.
#[derive(Clone, Debug)]
pub struct LimitLedger {
    term: u64,
    changes: u64,
    buckets: BTreeMap<EndpointName, LimitBucket>,
}

impl LimitLedger {
    /// Creates the ledger of the leader of a term.
    pub const fn new(term: u64) -> Self {
        Self {
            term,
            changes: 0,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns the term of the leader.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns how often limits have changed since the beginning of the ledger.
    pub const fn change_count(&self) -> u64 {
        self.changes
    }

    /// Records what an entry reports. Returns the limits that have changed.
    pub fn record(&mut self, now: BootTime, entry: EntryStart, report: &LimitReport) -> Vec<LimitChange> {
        let is_own_term = report.term == self.term;
        let mut changes = Vec::new();
        for row in &report.rows {
            if row.state.limit.is_none() && row.sighting.is_none() && !self.buckets.contains_key(&row.endpoint) {
                continue;
            }
            let bucket = self.bucket(now, row);
            bucket.heard_at = now;
            let before = bucket.state.limit;
            if bucket.adopt(now, row) {
                changes.push(LimitChange {
                    endpoint: row.endpoint.clone(),
                    before,
                    state: bucket.state,
                });
            }
            bucket.record_share(now, entry, row, is_own_term);
        }
        self.changes += changes.len() as u64;
        changes
    }

    /// Grants permits to an entry that renews its lease, and returns what it has to be told.
    pub fn grant(&mut self, now: BootTime, entry: EntryStart) -> LimitAnswer {
        self.buckets.retain(|_, bucket| !bucket.is_obsolete(now));
        let rows = self
            .buckets
            .iter_mut()
            .filter_map(|(name, bucket)| bucket.grant(now, name, entry));
        LimitAnswer {
            term: self.term,
            rows: rows.collect(),
        }
    }

    /// Returns the limit of an endpoint.
    pub fn limit(&self, endpoint: &EndpointName) -> Option<RateLimit> {
        self.buckets.get(endpoint)?.state.limit
    }

    /// Returns all limits in force.
    pub fn views(&self, now: BootTime) -> Vec<LimitView> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.state.limit.is_some());
        let views = limited.map(|(name, bucket)| LimitView {
            endpoint: name.clone(),
            state: bucket.state,
            age: now.since(bucket.changed_at),
            available: round_up(bucket.level.floor()),
            outstanding: bucket.shares.outstanding(),
            demand: bucket.shares.demand(),
            entries: bucket.shares.len(),
        });
        views.collect()
    }

    /// Returns the bucket of an endpoint.
    fn bucket(&mut self, now: BootTime, row: &LimitReportRow) -> &mut LimitBucket {
        let unknown = LimitState {
            version: LimitVersion::default(),
            limit: None,
            ..row.state
        };
        // What an earlier leader has granted may still be spent.
        let level = if row.state.version == unknown.version {
            FIRST_PERMITS
        } else {
            0.0
        };
        self.buckets
            .entry(row.endpoint.clone())
            .or_insert_with(|| LimitBucket::new(now, unknown, level))
    }
}
