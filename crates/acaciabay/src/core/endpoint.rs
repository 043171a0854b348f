//! Endpoints as an entry knows them: announced, reporting, draining, gone.
//!
//! The table is soft state. It is rebuilt from announcements within one report interval after any process restarts,
//! which is why it is not part of the replicated log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName, ModelName, ServiceName};

/// How long an endpoint may go without a report before it gets no new work.
///
/// Endpoints report twice a second; a silent death is therefore noticed within "a few seconds".
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a silent endpoint stays in the table, so that status can show it.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// One start of an endpoint's process. Nothing sent for an earlier start is valid for a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIncarnation(pub u64);

/// What an endpoint does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointWork {
    /// It runs these models.
    Models(Vec<ModelName>),
    /// It is an instance of this plain service.
    Service(ServiceName),
}

/// What an endpoint says of its own readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// The latest report of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRow {
    /// The start of the process that reported.
    pub incarnation: EndpointIncarnation,
    /// The endpoint's own number for the report, rising within an incarnation.
    pub sequence: u64,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// The failure domain that the endpoint is in.
    pub domain: DomainName,
    /// What the endpoint does.
    pub work: EndpointWork,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Requests that it was running when it reported.
    pub running: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Pieces of its memory in use when it reported; a service counts one for each call.
    pub pieces_used: u32,
    /// Pieces of its memory.
    pub pieces: u32,
    /// When this process learned of the report.
    pub heard_at: BootTime,
}

impl EndpointRow {
    /// Tells whether the endpoint may be given new work at `now`.
    pub fn takes_work(&self, now: BootTime) -> bool {
        self.state == EndpointState::Ready && now.since(self.heard_at) < REPORT_TIMEOUT
    }

    fn order(&self) -> (EndpointIncarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// All endpoints that have reported lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointTable {
    rows: BTreeMap<EndpointName, EndpointRow>,
}

impl EndpointTable {
    /// Takes over a report unless a later one is known, and tells whether it was new.
    ///
    /// Reports reach an entry directly and by way of the leader, so that they cross. One of an earlier incarnation, or
    /// one with a lower number, would bring back a state that the endpoint has left, for example ready after draining.
    pub fn report(&mut self, name: &EndpointName, row: EndpointRow) -> bool {
        if self.rows.get(name).is_some_and(|known| known.order() >= row.order()) {
            return false;
        }
        self.rows.insert(name.clone(), row);
        true
    }

    /// Drops endpoints that have been silent for longer than [`FORGET_TIMEOUT`].
    pub fn forget_silent(&mut self, now: BootTime) {
        self.rows.retain(|_, row| now.since(row.heard_at) < FORGET_TIMEOUT);
    }

    /// Returns the endpoint with this name.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRow> {
        self.rows.get(name)
    }

    /// Returns all endpoints in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &EndpointRow)> {
        self.rows.iter()
    }
}
