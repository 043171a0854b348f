//! Endpoints as known from their reports.
//!
//! The table is soft state and not part of the replicated log, because it is rebuilt from the reports of the endpoints
//! within one report interval after any process restarts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName, ModelName, ServiceName};
use crate::core::serving::broken_attempt::{BrokenAttempt, EndpointSighting};
use crate::core::serving::software_version::SoftwareVersion;

/// Time without a report after which an endpoint gets no new work.
///
/// Endpoints report twice a second, so a crash without notice is detected within a few seconds.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a report after which an endpoint is removed from the table. Until then, status requests show it.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of one start of an endpoint's process. Nothing sent for an earlier start is valid for a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIncarnation(pub u64);

/// The kind of requests that an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointWork {
    /// Completions of these models.
    Models(Vec<ModelName>),
    /// Calls of this plain service.
    Service(ServiceName),
}

/// The readiness that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// The endpoint accepts new work.
    Ready,
    /// The endpoint finishes its running requests and accepts no new ones.
    Draining,
}

/// The latest report of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRow {
    /// The incarnation of the process that sent the report.
    pub incarnation: EndpointIncarnation,
    /// The number of the report, assigned by the endpoint and increasing within an incarnation.
    pub sequence: u64,
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// The failure domain that the endpoint is in.
    pub domain: DomainName,
    /// The kind of requests that the endpoint serves.
    pub work: EndpointWork,
    /// The readiness of the endpoint.
    pub state: EndpointState,
    /// The number of requests that were running at the time of the report.
    pub running: u32,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The number of memory pieces in use at the time of the report. A service counts one piece for each call.
    pub pieces_used: u32,
    /// The total number of memory pieces.
    pub pieces: u32,
    /// The version of its software, if it reports one.
    pub version: Option<SoftwareVersion>,
    /// The time at which this process learned of the report.
    pub heard_at: BootTime,
}

impl EndpointRow {
    /// Returns true if the endpoint may be given new work at `now`.
    pub fn takes_work(&self, now: BootTime) -> bool {
        self.state == EndpointState::Ready && now.since(self.heard_at) < REPORT_TIMEOUT
    }

    fn report_version(&self) -> (EndpointIncarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// The table of all endpoints that have reported recently.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointTable {
    rows: BTreeMap<EndpointName, EndpointRow>,
}

impl EndpointTable {
    /// Stores a report unless a later one is known, and returns true if it was stored.
    ///
    /// Reports reach an entry both directly and through the leader, so they can arrive out of order. A report of an
    /// earlier incarnation, or with a lower number, would restore a state that the endpoint has left, for example ready
    /// after draining.
    pub fn report(&mut self, name: &EndpointName, row: EndpointRow) -> bool {
        if self
            .rows
            .get(name)
            .is_some_and(|known| known.report_version() >= row.report_version())
        {
            return false;
        }
        self.rows.insert(name.clone(), row);
        true
    }

    /// Removes endpoints that have not reported for [`FORGET_TIMEOUT`].
    pub fn forget_silent(&mut self, now: BootTime) {
        self.rows.retain(|_, row| now.since(row.heard_at) < FORGET_TIMEOUT);
    }

    /// Returns the endpoint with this name.
    pub fn get(&self, name: &EndpointName) -> Option<&EndpointRow> {
        self.rows.get(name)
    }

    /// Returns what is known of the endpoint of a broken attempt.
    pub fn sighting(&self, broken: &BrokenAttempt) -> EndpointSighting {
        let incarnation = EndpointIncarnation(broken.incarnation.0);
        let row = self.rows.get(&broken.endpoint);
        let has_left = row.is_some_and(|row| row.incarnation == incarnation && row.state != EndpointState::Ready);
        let mut at_address = self.rows.values().filter(|row| row.address == broken.address);
        EndpointSighting {
            has_left,
            has_ended: at_address.any(|row| row.incarnation > incarnation),
            reported_at: row.map(|row| row.heard_at),
            any_reported: self.rows.values().any(|row| row.heard_at > broken.broken_at),
        }
    }

    /// Returns all endpoints in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &EndpointRow)> {
        self.rows.iter()
    }
}
