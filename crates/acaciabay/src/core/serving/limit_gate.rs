//! Sending by one entry under the limits that endpoints name.
//!
//! An endpoint that names no limit is sent to freely. To one that does, the entry sends a request only under a permit of
//! the leader. It stops as soon as it has read a limit itself, and learns from the leader what other entries have read. An
//! endpoint that starts again is presumed to have its last limit until one of its answers says otherwise.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::endpoint_limit::{
    LimitAnswer, LimitNotice, LimitReport, LimitReportRow, LimitRow, LimitSighting, LimitState, LimitVersion,
    PermitCounts, RateLimit,
};
use super::endpoint_registry::EndpointIncarnation;
use crate::core::clock::BootTime;
use crate::core::name::{EndpointName, ServiceName};

/// Time from the renewal that asked for a permit until it expires. A permit outlives the leader that granted it by this
/// time, so the tolerance of the rule has to cover two leaders for as long.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Number of reports that may wait for their answer.
const MAX_UNANSWERED_REPORTS: usize = 16;
/// Time over which refused calls count as waiting for room.
const QUEUE_WINDOW: Duration = Duration::from_secs(2);
/// Shortest and longest delay before a refused call is sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// The retry delays of calls that are refused together differ by up to this fraction.
const RETRY_SPREAD: f64 = 0.5;

/// An incarnation of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct LimitedEndpoint<'call> {
    /// Name of the endpoint.
    pub name: &'call EndpointName,
    /// Its incarnation.
    pub incarnation: EndpointIncarnation,
}

/// An answer of an endpoint, as far as its limit is concerned.
#[derive(Clone, Copy, Debug)]
pub struct LimitObservation {
    /// Version that [`LimitGate::acquire`] returned for the request.
    pub known: LimitVersion,
    /// What the answer says.
    pub notice: LimitNotice,
    /// True if the answer is a success. Others may come without the headers of the endpoint.
    pub is_success: bool,
}

/// Inputs of the refusal of a call that no endpoint may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// Time after which there should be room for the call.
    pub retry_after: Duration,
    /// Requests a second that all endpoints of the service take together.
    pub rate: f64,
    /// Calls refused for the same reason that may come first.
    pub ahead: usize,
}

#[derive(Clone, Copy, Debug)]
struct HeldPermit {
    term: u64,
    until: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct OwnSighting {
    sighting: LimitSighting,
    reported_at: Option<BootTime>,
}

/// What the leader knows of a row, if it has received the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedRow {
    term: u64,
    version: LimitVersion,
    permits: PermitCounts,
    asked: u64,
}

#[derive(Clone, Debug)]
struct GateRow {
    state: LimitState,
    sighting: Option<OwnSighting>,
    permits: VecDeque<HeldPermit>,
    counts: PermitCounts,
    asked: u64,
    confirmed: Option<ReportedRow>,
}

impl GateRow {
    const fn new(state: LimitState) -> Self {
        Self {
            state,
            sighting: None,
            permits: VecDeque::new(),
            counts: PermitCounts {
                granted: 0,
                spent: 0,
                expired: 0,
            },
            asked: 0,
            confirmed: None,
        }
    }

    /// Returns the limit to which the entry keeps: the lower one of what the leader has told and what it has seen since.
    fn limit(&self) -> Option<RateLimit> {
        let seen = self.sighting.and_then(|own| own.sighting.limit);
        match (self.state.limit, seen) {
            (Some(told), Some(seen)) if seen < told => Some(seen),
            (Some(told), _) => Some(told),
            (None, seen) => seen,
        }
    }

    fn expire(&mut self, now: BootTime, term: u64) {
        let before = self.permits.len();
        let (mut expired, mut kept) = (0, VecDeque::with_capacity(before));
        for permit in self.permits.drain(..) {
            if now < permit.until {
                kept.push_back(permit);
            } else if permit.term == term {
                expired += 1;
            }
        }
        self.permits = kept;
        self.counts.expired += expired;
    }

    /// Lets all permits expire: they were granted under a higher limit.
    fn revoke(&mut self, term: u64) {
        let revoked = self.permits.drain(..).filter(|permit| permit.term == term).count();
        self.counts.expired += revoked as u64;
    }

    fn spend(&mut self, now: BootTime, term: u64) -> bool {
        self.expire(now, term);
        let Some(permit) = self.permits.pop_front() else {
            return false;
        };
        self.counts.spent += u64::from(permit.term == term);
        true
    }

    /// Adopts a newer state of the leader.
    fn merge(&mut self, state: LimitState, term: u64) {
        let incarnation = self.state.incarnation.max(state.incarnation);
        if state.version > self.state.version {
            let is_lower = state
                .limit
                .is_some_and(|limit| self.limit().is_none_or(|held| limit < held));
            self.state = state;
            if is_lower {
                self.revoke(term);
            }
        }
        self.state.incarnation = incarnation;
    }

    const fn reported(&self, term: u64) -> ReportedRow {
        ReportedRow {
            term,
            version: self.state.version,
            permits: self.counts,
            asked: self.asked,
        }
    }
}

#[derive(Clone, Debug)]
struct SentReport {
    sent_at: BootTime,
    rows: Vec<(EndpointName, ReportedRow)>,
}

/// The limits of endpoints that an entry knows, and its permits.
#[derive(Clone, Debug, Default)]
pub struct LimitGate {
    /// Term of the leader that answered last.
    term: u64,
    /// Endpoints that have named a limit. A row outlives its limit: without its counters, all permits that were granted
    /// before would be granted again when the endpoint names one again.
    rows: BTreeMap<EndpointName, GateRow>,
    sent: VecDeque<SentReport>,
    refused: BTreeMap<ServiceName, VecDeque<BootTime>>,
}

impl LimitGate {
    /// Returns the limit of an endpoint that is in force at this entry.
    pub fn limit(&self, endpoint: LimitedEndpoint<'_>) -> Option<RateLimit> {
        self.row(endpoint)?.limit()
    }

    /// Returns true if any endpoint has a limit.
    pub fn has_limits(&self) -> bool {
        self.rows.values().any(|row| row.limit().is_some())
    }

    /// Returns true if a request may be sent to the endpoint now.
    pub fn admits(&self, now: BootTime, endpoint: LimitedEndpoint<'_>) -> bool {
        self.limit(endpoint).is_none() || self.has_permit(now, endpoint)
    }

    /// Returns true if the endpoint has a limit and the entry holds a permit for it. The permit expires soon.
    pub fn has_permit(&self, now: BootTime, endpoint: LimitedEndpoint<'_>) -> bool {
        let limited = self.row(endpoint).filter(|row| row.limit().is_some());
        limited.is_some_and(|row| row.permits.iter().any(|permit| now < permit.until))
    }

    /// Records that an endpoint was the best choice for a request, whether it may be sent or not.
    pub fn record_demand(&mut self, endpoint: LimitedEndpoint<'_>) {
        if let Some(row) = self.row_mut(endpoint) {
            row.asked += 1;
        }
    }

    /// Takes a permit if the endpoint has a limit. Returns the version of the limit that the entry knows, or `None` if the
    /// request must not be sent.
    pub fn acquire(&mut self, now: BootTime, endpoint: LimitedEndpoint<'_>) -> Option<LimitVersion> {
        let term = self.term;
        let Some(row) = self.row_mut(endpoint) else {
            return Some(LimitVersion::default());
        };
        let may_send = row.limit().is_none() || row.spend(now, term);
        may_send.then_some(row.state.version)
    }

    /// Records what an answer says. Returns true if the leader has to be told at once.
    pub fn observe(&mut self, endpoint: LimitedEndpoint<'_>, observation: &LimitObservation) -> bool {
        match observation.notice {
            LimitNotice::Unreadable => false,
            LimitNotice::Unlimited => {
                observation.is_success
                    && self.row_mut(endpoint).is_some_and(|row| {
                        // A process that has ended says nothing about its successor.
                        let is_current = endpoint.incarnation >= row.state.incarnation;
                        is_current && row.state.limit.is_some() && sight_relief(row, None, observation.known)
                    })
            }
            LimitNotice::Limited(limit) => self.observe_limit(endpoint, limit, observation.known),
        }
    }

    fn observe_limit(&mut self, endpoint: LimitedEndpoint<'_>, limit: RateLimit, known: LimitVersion) -> bool {
        let term = self.term;
        let unknown = LimitState {
            incarnation: endpoint.incarnation,
            version: LimitVersion::default(),
            limit: None,
        };
        let row = self
            .rows
            .entry(endpoint.name.clone())
            .or_insert_with(|| GateRow::new(unknown));
        if endpoint.incarnation < row.state.incarnation {
            return false;
        }
        row.state.incarnation = endpoint.incarnation;
        match row.limit() {
            Some(held) if limit > held => sight_relief(row, Some(limit), known),
            Some(held) if limit == held => false,
            Some(_) | None => {
                row.revoke(term);
                row.sighting = Some(OwnSighting {
                    sighting: LimitSighting {
                        limit: Some(limit),
                        known,
                    },
                    reported_at: None,
                });
                true
            }
        }
    }

    /// Returns true if the leader has to be told something that no report has contained yet.
    pub fn has_unreported(&self) -> bool {
        let mut sightings = self.rows.values().filter_map(|row| row.sighting);
        sightings.any(|own| own.reported_at.is_none())
    }

    /// Returns the report to send at `now`: all rows of which the leader does not know everything.
    pub fn report(&mut self, now: BootTime) -> LimitReport {
        let term = self.term;
        let mut rows = Vec::new();
        let mut reported = Vec::new();
        for (name, row) in &mut self.rows {
            row.expire(now, term);
            let state = row.reported(term);
            if row.sighting.is_none() && row.confirmed == Some(state) {
                continue;
            }
            if let Some(own) = &mut row.sighting {
                own.reported_at.get_or_insert(now);
            }
            rows.push(LimitReportRow {
                endpoint: name.clone(),
                state: row.state,
                sighting: row.sighting.map(|own| own.sighting),
                permits: row.counts,
                asked: row.asked,
            });
            reported.push((name.clone(), state));
        }
        if !reported.is_empty() {
            if self.sent.len() == MAX_UNANSWERED_REPORTS {
                self.sent.pop_front();
            }
            self.sent.push_back(SentReport {
                sent_at: now,
                rows: reported,
            });
        }
        LimitReport { term, rows }
    }

    /// Applies the answer to the report that was sent at `reported_at`.
    pub fn apply_answer(&mut self, reported_at: BootTime, answer: &LimitAnswer) {
        if answer.term < self.term {
            return;
        }
        self.begin_term(answer.term);
        self.confirm(reported_at);
        for row in &answer.rows {
            self.merge(row);
            if let Some(known) = self.rows.get_mut(&row.endpoint) {
                let granted = row.granted.saturating_sub(known.counts.granted);
                let permit = HeldPermit {
                    term: answer.term,
                    until: reported_at + PERMIT_LIFETIME,
                };
                known.permits.extend((0..granted).map(|_| permit));
                known.counts.granted += granted;
            }
        }
    }

    /// Applies states that the leader has sent to all entries.
    pub fn apply_states(&mut self, term: u64, rows: &[LimitRow]) {
        if term < self.term {
            return;
        }
        for row in rows {
            self.merge(row);
        }
    }

    /// Removes the limits of endpoints for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(&EndpointName) -> bool) {
        self.rows.retain(|name, _| is_present(name));
    }

    /// Returns true if a call for the service was refused a moment ago.
    pub fn has_queue(&self, now: BootTime, service: &ServiceName) -> bool {
        let last = self.refused.get(service).and_then(VecDeque::back);
        last.is_some_and(|at| now.since(*at) < MIN_RETRY_DELAY)
    }

    /// Refuses a call for which all endpoints of its service have reached their limits, `limits`. `entries` is the number
    /// of entries that serve, and `draw` a random number from 0 to 1.
    pub fn refuse(
        &mut self,
        now: BootTime,
        service: &ServiceName,
        limits: impl IntoIterator<Item = RateLimit>,
        entries: u32,
        draw: f64,
    ) -> LimitRefusal {
        let rate: f64 = limits.into_iter().map(RateLimit::rate).sum();
        let refused = self.refused.entry(service.clone()).or_default();
        while refused.front().is_some_and(|at| now.since(*at) >= QUEUE_WINDOW) {
            refused.pop_front();
        }
        let ahead = refused.len();
        refused.push_back(now);
        let own_rate = rate / f64::from(entries.max(1));
        let seconds = (ahead + 1) as f64 / own_rate.max(f64::MIN_POSITIVE) * (1.0 + RETRY_SPREAD * draw);
        let retry_after = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_DELAY);
        LimitRefusal {
            retry_after: retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
            rate,
            ahead,
        }
    }

    /// Returns the row of an endpoint. An incarnation that has not answered yet is presumed to have the limit of the last one:
    /// otherwise all entries would send to it until each of them has read an answer.
    fn row(&self, endpoint: LimitedEndpoint<'_>) -> Option<&GateRow> {
        self.rows.get(endpoint.name)
    }

    fn row_mut(&mut self, endpoint: LimitedEndpoint<'_>) -> Option<&mut GateRow> {
        self.rows.get_mut(endpoint.name)
    }

    /// Begins to count for another leader. Permits of the last one stay valid until they expire.
    fn begin_term(&mut self, term: u64) {
        if term == self.term {
            return;
        }
        self.term = term;
        for row in self.rows.values_mut() {
            row.counts = PermitCounts::default();
            row.confirmed = None;
        }
    }

    /// Records that the leader has received all reports up to the one that was sent at `reported_at`.
    fn confirm(&mut self, reported_at: BootTime) {
        while self.sent.front().is_some_and(|report| report.sent_at <= reported_at) {
            let Some(report) = self.sent.pop_front() else { break };
            for (name, reported) in report.rows {
                if let Some(row) = self.rows.get_mut(&name) {
                    row.confirmed = Some(reported);
                }
            }
        }
        for row in self.rows.values_mut() {
            let is_answered = |own: &mut OwnSighting| own.reported_at.is_some_and(|at| at <= reported_at);
            row.sighting.take_if(is_answered);
        }
    }

    fn merge(&mut self, told: &LimitRow) {
        if let Some(row) = self.rows.get_mut(&told.endpoint) {
            row.merge(told.state, self.term);
        } else if told.state.limit.is_some() {
            self.rows.insert(told.endpoint.clone(), GateRow::new(told.state));
        }
    }
}

/// Records an answer that names a higher limit or none, if its request was sent when the entry knew the state in force.
/// An answer to an earlier request may be older than the last naming.
fn sight_relief(row: &mut GateRow, limit: Option<RateLimit>, known: LimitVersion) -> bool {
    if row.sighting.is_some() || known != row.state.version {
        return false;
    }
    row.sighting = Some(OwnSighting {
        sighting: LimitSighting { limit, known },
        reported_at: None,
    });
    true
}
