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
use super::endpoint_registry::EndpointIncarnation;
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
/// Time for which an entry is granted permits in advance: two renewals.
const GRANT_TIME: f64 = 0.5;
/// Time constant with which the demand of an entry that asks for less is forgotten, in seconds.
const DEMAND_DECAY: f64 = 2.0;
/// Shortest and longest time over which demand is measured, in seconds. Entries that seldom ask are granted a permit for
/// each time that they do.
const DEMAND_TIMES: (f64, f64) = (0.1, 1.0);
/// Demand below which an entry is granted nothing, in requests a second.
const MIN_DEMAND: f64 = 0.1;
/// Time without a renewal after which the permits of an entry count as spent. They have expired long before.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);
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

#[derive(Clone, Copy, Debug)]
struct EntryShare {
    heard_at: BootTime,
    /// Granted by the leader; spent and expired as the entry has reported.
    counts: PermitCounts,
    /// Newest state and number of permits that the entry has reported to know.
    known: LimitVersion,
    received: u64,
    asked: u64,
    asked_at: BootTime,
    /// Requests a second that the entry would send.
    demand: f64,
}

impl EntryShare {
    const fn outstanding(&self) -> u64 {
        self.counts
            .granted
            .saturating_sub(self.counts.spent + self.counts.expired)
    }

    fn measure_demand(&mut self, now: BootTime, asked: u64) {
        let time = now.since(self.asked_at).as_secs_f64();
        let measured = asked.saturating_sub(self.asked) as f64 / time.clamp(DEMAND_TIMES.0, DEMAND_TIMES.1);
        self.demand = measured.max(self.demand * (-time / DEMAND_DECAY).exp());
        self.asked = asked;
        self.asked_at = now;
    }
}

#[derive(Clone, Debug)]
struct LimitBucket {
    state: LimitState,
    changed_at: BootTime,
    heard_at: BootTime,
    level: f64,
    refilled_at: BootTime,
    shares: BTreeMap<EntryStart, EntryShare>,
}

impl LimitBucket {
    fn new(now: BootTime, state: LimitState, level: f64) -> Self {
        Self {
            state,
            changed_at: now,
            heard_at: now,
            level,
            refilled_at: now,
            shares: BTreeMap::new(),
        }
    }

    /// Returns how many permits may be in the bucket or unspent with entries.
    fn capacity(&self) -> f64 {
        let rate = self.state.limit.map_or(0.0, RateLimit::rate);
        SAVED_TIME * rate + SAVED_PERMITS
    }

    fn refill(&mut self, now: BootTime) {
        let rate = self.state.limit.map_or(0.0, RateLimit::rate).max(PROBE_RATE);
        let outstanding: u64 = self.shares.values().map(EntryShare::outstanding).sum();
        let room = (self.capacity() - outstanding as f64).max(0.0);
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
        if row.state.version > self.state.version {
            self.set_state(now, row.state);
        }
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
        self.state != before
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
        // Where the entry or this ledger has forgotten what it counted, the permits so far are taken to be spent.
        let all_spent = PermitCounts {
            granted: reported.granted,
            spent: reported.granted,
            expired: 0,
        };
        let share = self.shares.entry(entry).or_insert_with(|| EntryShare {
            heard_at: now,
            counts: all_spent,
            known: row.state.version,
            received: reported.granted,
            asked: row.asked,
            asked_at: now,
            demand: if row.asked > 0 { 1.0 / DEMAND_TIMES.1 } else { 0.0 },
        });
        if reported.granted < share.received {
            share.counts = all_spent;
        }
        share.known = row.state.version;
        share.received = reported.granted;
        let counts = &mut share.counts;
        counts.spent = counts.spent.max(reported.spent);
        let returned = reported
            .expired
            .saturating_sub(counts.expired)
            .min(counts.granted.saturating_sub(counts.spent + counts.expired));
        counts.expired += returned;
        share.measure_demand(now, row.asked);
        self.level += returned as f64;
    }

    /// Takes the permits of entries that do not renew to be spent.
    fn write_off_silent(&mut self, now: BootTime) {
        for share in self.shares.values_mut() {
            if now.since(share.heard_at) >= ENTRY_TIMEOUT {
                share.counts.spent += share.outstanding();
                share.demand = 0.0;
            }
        }
        self.shares
            .retain(|_, share| now.since(share.heard_at) < BUCKET_RETENTION);
    }

    /// Grants an entry its part of the bucket. Returns the row that it has to be told, if any.
    fn grant(&mut self, now: BootTime, name: &EndpointName, entry: EntryStart) -> Option<LimitRow> {
        self.write_off_silent(now);
        self.refill(now);
        let total_demand: f64 = self.shares.values().map(|share| share.demand).sum();
        let level = self.level;
        let Some(share) = self.shares.get_mut(&entry) else {
            // An entry that has not reported the endpoint does not know its limit.
            return self.state.limit.is_some().then(|| self.row(name, 0));
        };
        share.heard_at = now;
        if self.state.limit.is_some() && share.demand >= MIN_DEMAND {
            let wanted = round_up(share.demand * GRANT_TIME).saturating_sub(share.outstanding());
            let fair = round_up(level * share.demand / total_demand);
            let granted = wanted.min(fair).min(rounded_down(level));
            share.counts.granted += granted;
            self.level -= granted as f64;
        }
        let granted = share.counts.granted;
        let is_told = share.known == self.state.version && share.received == granted;
        (!is_told).then(|| self.row(name, granted))
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

fn rounded_down(value: f64) -> u64 {
    round_up(value.floor())
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
            if bucket.state.incarnation != row.state.incarnation {
                continue;
            }
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
    pub fn limit(&self, endpoint: &EndpointName, incarnation: EndpointIncarnation) -> Option<RateLimit> {
        let bucket = self.buckets.get(endpoint)?;
        (bucket.state.incarnation == incarnation)
            .then_some(bucket.state.limit)
            .flatten()
    }

    /// Returns all limits in force.
    pub fn views(&self, now: BootTime) -> Vec<LimitView> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.state.limit.is_some());
        let views = limited.map(|(name, bucket)| LimitView {
            endpoint: name.clone(),
            state: bucket.state,
            age: now.since(bucket.changed_at),
            available: rounded_down(bucket.level),
            outstanding: bucket.shares.values().map(EntryShare::outstanding).sum(),
            demand: bucket.shares.values().map(|share| share.demand).sum(),
            entries: bucket.shares.len(),
        });
        views.collect()
    }

    /// Returns the bucket of an endpoint, which begins anew with a new incarnation.
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
        let bucket = self
            .buckets
            .entry(row.endpoint.clone())
            .or_insert_with(|| LimitBucket::new(now, unknown, level));
        if bucket.state.incarnation < row.state.incarnation {
            *bucket = LimitBucket::new(now, unknown, level);
        }
        bucket
    }
}
