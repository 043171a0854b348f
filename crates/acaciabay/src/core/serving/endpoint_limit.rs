//! The rate limits that endpoints name in their answers: how many requests a second an endpoint takes from all entries
//! together, for as long as it says so.
//!
//! [`LimitLedger`](super::limit_ledger::LimitLedger) divides each limit among the entries at the leader, in whole
//! permits, and [`LimitGate`](super::limit_gate::LimitGate) lets an entry send under them. They exchange [`LimitReport`]
//! and [`LimitAnswer`]. `docs/design/endpoint-limits.md` compares this with other ways.

use super::endpoint_registry::EndpointIncarnation;
use crate::core::name::EndpointName;

/// Largest rate that counts as a limit, in requests a second. No endpoint is sent as much, and sums of rates stay finite.
const MAX_RATE: f64 = 1e6;

/// Number of requests a second that an endpoint takes from all entries together. It is finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns the limit of this many requests a second, or `None` if that is no rate. What exceeds the largest rate
    /// counts as the largest.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate >= 0.0).then(|| Self(rate.min(MAX_RATE)))
    }

    /// Returns the requests a second.
    pub const fn rate(self) -> f64 {
        self.0
    }
}

/// What an answer of an endpoint says about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The endpoint names no limit.
    #[default]
    Unlimited,
    /// The endpoint names this limit.
    Limited(RateLimit),
    /// The endpoint names a limit that cannot be read. It says neither what the limit is nor that there is none.
    Unreadable,
}

impl LimitNotice {
    /// Reads the limits that an answer names, as decimal numbers. The lowest one counts if there are several; a list with
    /// one that cannot be read is unreadable.
    pub fn read<'text>(values: impl IntoIterator<Item = &'text str>) -> Self {
        let limits = values.into_iter().flat_map(|value| value.split(',')).map(read_limit);
        limits.reduce(Self::stricter).unwrap_or_default()
    }

    fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Limited(one), Self::Limited(other)) if other < one => Self::Limited(other),
            (Self::Limited(one), Self::Limited(_)) => Self::Limited(one),
            _ => Self::Unreadable,
        }
    }
}

fn read_limit(text: &str) -> LimitNotice {
    let text = text.trim();
    // The names of infinity and of what is not a number are parsed too, but are no decimal numbers.
    let is_decimal = text.starts_with(|first: char| first.is_ascii_digit() || matches!(first, '+' | '.'))
        && !text.contains(|letter: char| letter.is_ascii_alphabetic() && !matches!(letter, 'e' | 'E'));
    let rate = is_decimal.then(|| text.parse().ok()).flatten();
    rate.and_then(RateLimit::per_second)
        .map_or(LimitNotice::Unreadable, LimitNotice::Limited)
}

/// Number of a state of an endpoint's limit. The leader numbers them, one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitVersion(pub u64);

/// Limit of an endpoint, as the leader has told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitState {
    /// Newest incarnation that has named a limit. The next one is presumed to have it.
    pub incarnation: EndpointIncarnation,
    /// Number of this state. 0 if no leader has told it.
    pub version: LimitVersion,
    /// The limit in force, or `None` if the endpoint no longer names one.
    pub limit: Option<RateLimit>,
}

/// What an answer that the leader does not know of has said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSighting {
    /// The limit that it named, or `None` if it named none.
    pub limit: Option<RateLimit>,
    /// Version that the entry knew when it sent the request. A higher limit, or none, counts only if it is the newest:
    /// otherwise the answer may be older than the naming.
    pub known: LimitVersion,
}

/// Permits of one entry for one endpoint, counted since the first grant of a leader's term. The counters are absolute,
/// so that a report or an answer may be lost or repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounts {
    /// Permits that the entry has received.
    pub granted: u64,
    /// Permits under which it has sent a request.
    pub spent: u64,
    /// Permits that have expired unspent.
    pub expired: u64,
}

/// What an entry reports of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReportRow {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The newest state that the entry knows.
    pub state: LimitState,
    /// What it has seen since.
    pub sighting: Option<LimitSighting>,
    /// Its permits of the reported term.
    pub permits: PermitCounts,
    /// Requests for which the endpoint was the best choice, since the start of the entry.
    pub asked: u64,
}

/// What an entry reports of all endpoints of which something has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// Term of the leader that granted the permits.
    pub term: u64,
    /// The rows.
    pub rows: Vec<LimitReportRow>,
}

/// What the leader tells an entry about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitRow {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its limit.
    pub state: LimitState,
    /// All permits that the leader has granted to the entry in its term.
    pub granted: u64,
}

/// What the leader answers to a report: the rows of which the entry does not know everything.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitAnswer {
    /// Term of the leader.
    pub term: u64,
    /// The rows.
    pub rows: Vec<LimitRow>,
}
