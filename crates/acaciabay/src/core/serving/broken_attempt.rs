//! Attempts whose connection ended before the answer was complete, and whether the endpoint ended with it.
//!
//! A connection also ends when it is reset, when an endpoint gives up a single call, or when an endpoint leaves as
//! planned. Only an endpoint that ended while it was supposed to serve is evidence against the calls that it ran.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::call_fingerprint::CallFingerprint;
use super::endpoint_registry::EndpointIncarnation;
use super::prompt::PartId;
use crate::core::clock::BootTime;
use crate::core::name::{CustomerName, EndpointName};

/// Time after the break from which a report of the same incarnation proves that the endpoint is alive. Reports before
/// that may have been sent earlier and delayed.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time without a report and without an answer to a connection attempt after which the endpoint counts as ended. It
/// covers two missed reports.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_600);
/// Time after which a break is no longer examined, because a new incarnation has nothing to do with it.
const EXAMINATION_LIMIT: Duration = Duration::from_secs(4);

/// A call as it is recognised when it is sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallIdentity {
    /// Fingerprint of the call.
    pub fingerprint: CallFingerprint,
    /// Customer of the call.
    pub customer: Option<CustomerName>,
    /// Name of the route.
    pub route: String,
    /// Length of the body in bytes.
    pub body_bytes: u64,
}

/// State of an endpoint's port after a break, as seen by a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// No connection was attempted yet.
    Unknown,
    /// The connection was accepted.
    Open,
    /// The connection was refused: no process listens.
    Refused,
    /// Nothing answered.
    Silent,
}

/// An attempt whose connection ended before the answer was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// The call.
    pub call: CallIdentity,
    /// Parts that its prompt shares with others, in prompt order.
    pub parts: Vec<PartId>,
    /// Endpoint to which the attempt was sent.
    pub endpoint: EndpointName,
    /// Incarnation of the endpoint when it was chosen.
    pub incarnation: EndpointIncarnation,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time at which the attempt was sent.
    pub sent_at: BootTime,
    /// Time at which the connection ended.
    pub broken_at: BootTime,
    /// State of the endpoint's port since then.
    pub port: PortState,
}

/// Result of the examination of a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakVerdict {
    /// The endpoint ended.
    Ended,
    /// The endpoint is alive, or has left as planned.
    Innocent,
    /// Not known yet.
    Undecided,
}

/// What the reports of endpoints say about an endpoint after a break.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointSighting {
    /// True if the incarnation has announced that it leaves, or has left.
    pub has_left: bool,
    /// True if a later incarnation has its name or its address, or the group has recorded that it ended.
    pub has_ended: bool,
    /// Time of its latest report, if it is known.
    pub reported_at: Option<BootTime>,
    /// True if any endpoint has reported since the break. Otherwise the path of all reports may be cut.
    pub any_reported: bool,
}

/// Examines whether an endpoint ended together with the connection of an attempt.
pub fn examine_break(now: BootTime, broken: &BrokenAttempt, sighting: &EndpointSighting) -> BreakVerdict {
    if sighting.has_left {
        return BreakVerdict::Innocent;
    }
    if broken.port == PortState::Refused || sighting.has_ended {
        return BreakVerdict::Ended;
    }
    let has_reported = |reported_at| reported_at >= broken.broken_at + REPORT_DELAY;
    if sighting.reported_at.is_some_and(has_reported) {
        return BreakVerdict::Innocent;
    }
    let waited = now.since(broken.broken_at);
    if broken.port == PortState::Silent && waited >= SILENCE_LIMIT && sighting.any_reported {
        return BreakVerdict::Ended;
    }
    if waited >= EXAMINATION_LIMIT {
        return BreakVerdict::Innocent;
    }
    BreakVerdict::Undecided
}

/// Maximum number of breaks that are under examination: more than an entry has calls at a dozen engines.
const MAX_EXAMINED: usize = 1_024;

/// Time from which on a port that did not refuse is asked again. A process that ends may close it after its connections. The time
/// doubles with each answer up to [`MAX_REPEAT`].
const FIRST_REPEAT: Duration = Duration::from_millis(50);
/// Longest time between two attempts, as long as the break is examined.
const MAX_REPEAT: Duration = Duration::from_millis(400);

/// A break with the connection attempts to the endpoint since.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ExaminedBreak {
    broken: BrokenAttempt,
    asks: u32,
    asked_at: BootTime,
}

impl ExaminedBreak {
    fn repeat(&self) -> Duration {
        let doublings = self.asks.saturating_sub(1);
        let repeat = 1_u32
            .checked_shl(doublings)
            .and_then(|factor| FIRST_REPEAT.checked_mul(factor));
        repeat.unwrap_or(MAX_REPEAT).min(MAX_REPEAT)
    }

    fn is_port_due(&self, now: BootTime) -> bool {
        match self.broken.port {
            PortState::Unknown => true,
            PortState::Open | PortState::Silent => now >= self.asked_at + self.repeat(),
            PortState::Refused => false,
        }
    }
}

/// The breaks of an entry that are under examination, oldest first.
#[derive(Clone, Debug, Default)]
pub struct BreakExamination {
    breaks: VecDeque<ExaminedBreak>,
}

impl BreakExamination {
    /// Adds a break. If there are too many, the oldest is no longer examined.
    pub fn add(&mut self, broken: BrokenAttempt) {
        if self.breaks.len() >= MAX_EXAMINED {
            self.breaks.pop_front();
        }
        self.breaks.push_back(ExaminedBreak {
            broken,
            asks: 0,
            asked_at: BootTime::default(),
        });
    }

    /// Returns true if no break is under examination.
    pub fn is_empty(&self) -> bool {
        self.breaks.is_empty()
    }

    /// Returns true if a break of this call is under examination.
    pub fn contains(&self, fingerprint: &CallFingerprint) -> bool {
        self.breaks().any(|broken| broken.call.fingerprint == *fingerprint)
    }

    /// Returns false if no break of a call with this customer and body length is under examination.
    pub fn may_contain(&self, customer: Option<&CustomerName>, body_bytes: u64) -> bool {
        let mut calls = self.breaks().map(|broken| &broken.call);
        calls.any(|call| call.body_bytes == body_bytes && call.customer.as_ref() == customer)
    }

    /// Removes the breaks of a call that was answered whole since.
    pub fn forget(&mut self, fingerprint: &CallFingerprint) {
        self.breaks.retain(|row| row.broken.call.fingerprint != *fingerprint);
    }

    /// Returns the addresses at which a connection has to be attempted now.
    pub fn due_ports(&self, now: BootTime) -> BTreeSet<SocketAddr> {
        let due = self.breaks.iter().filter(|row| row.is_port_due(now));
        due.map(|row| row.broken.address).collect()
    }

    /// Records the state of a port, as seen by a connection attempt that began at `attempted_at`.
    pub fn record_port(&mut self, attempted_at: BootTime, address: SocketAddr, port: PortState) {
        let here = self.breaks.iter_mut().filter(|row| row.broken.address == address);
        for row in here.filter(|row| row.is_port_due(attempted_at) && row.broken.broken_at <= attempted_at) {
            row.broken.port = port;
            row.asks += 1;
            row.asked_at = attempted_at;
        }
    }

    /// Returns the breaks under examination.
    pub fn breaks(&self) -> impl Iterator<Item = &BrokenAttempt> {
        self.breaks.iter().map(|row| &row.broken)
    }

    /// Removes and returns the breaks whose examination has a result. `sighting` returns what is known of the endpoint of a
    /// break, or `None` if the break is not to be judged yet.
    pub fn take_decided(
        &mut self,
        now: BootTime,
        sighting: impl Fn(&BrokenAttempt) -> Option<EndpointSighting>,
    ) -> Vec<(BrokenAttempt, BreakVerdict)> {
        let mut decided = Vec::new();
        for row in std::mem::take(&mut self.breaks) {
            let verdict = sighting(&row.broken).map_or(BreakVerdict::Undecided, |sighting| {
                examine_break(now, &row.broken, &sighting)
            });
            match verdict {
                BreakVerdict::Undecided => self.breaks.push_back(row),
                verdict @ (BreakVerdict::Ended | BreakVerdict::Innocent) => decided.push((row.broken, verdict)),
            }
        }
        decided
    }
}
