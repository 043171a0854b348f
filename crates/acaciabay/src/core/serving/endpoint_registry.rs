//! Registry of endpoints, built from the reports that they send about themselves.
//!
//! Reports travel by several paths and may be delayed, duplicated and reordered. Each report carries the start time of
//! its sender and an increasing sequence number; a report whose pair is not above the stored one is stale. Without this
//! order, a delayed `ready` would undo a `draining`, and calls would be sent to an endpoint that is about to leave.
//!
//! An incarnation keeps its service and address. A report that names others comes from another writer, whatever its
//! sequence number, and is ignored: it would take the endpoint out of use until its own numbers are higher.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::broken_attempt::{BrokenAttempt, EndpointSighting};
use super::software_version::{SoftwareVersion, StreamVersion};
use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName, ServiceName};

/// Incarnation of an endpoint, identified by its start time in milliseconds since the Unix epoch by its own clock. Each
/// restart is a new incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIncarnation(pub u64);

/// Lifecycle phase of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointPhase {
    /// It takes new calls.
    Ready,
    /// It finishes its running calls and takes no new ones.
    Draining,
    /// It has left and answers nothing.
    Gone,
}

/// The stage of inference that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineStage {
    /// It prefills prompts for decode engines.
    Prefill,
    /// It generates tokens.
    Decode,
}

/// The latest known state of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingEndpoint {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Maximum number of calls that it runs concurrently.
    pub slots: u32,
    /// Its lifecycle phase.
    pub phase: EndpointPhase,
    /// Its stage, if it is an engine that runs models.
    pub stage: Option<EngineStage>,
    /// Set if the platform may reclaim it at short notice.
    pub reclaimable: bool,
    /// The version of its software, if it reports one.
    pub version: Option<SoftwareVersion>,
    /// Its incarnation.
    pub incarnation: EndpointIncarnation,
    /// The sequence number of its report within the incarnation.
    pub sequence: u64,
}

#[derive(Clone, Debug)]
struct RegistryRow {
    endpoint: ServingEndpoint,
    reported_at: BootTime,
    /// Time at which the endpoint was first known to drain, if it was known to take calls before.
    draining_since: Option<BootTime>,
}

impl RegistryRow {
    fn is_reporting(&self, now: BootTime) -> bool {
        now.since(self.reported_at) < REPORT_TIMEOUT
    }
}

/// All endpoints that have been reported, by name.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    rows: BTreeMap<EndpointName, RegistryRow>,
}

/// Time without a report after which an endpoint gets no calls, as long as other endpoints of its service still report.
///
/// Endpoints report about once a second, and three missed reports are unlikely to be chance. Silence alone does not
/// prove that an endpoint is gone: the path of its reports may be cut while the endpoint itself is reachable.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a row is kept after its last report: as long as a delayed report of an endpoint that has left may
/// still arrive.
const ROW_RETENTION: Duration = Duration::from_secs(60);

impl EndpointRegistry {
    /// Applies a report and returns its effect. A report that differs only in its sequence number is no change.
    pub fn apply_report(&mut self, now: BootTime, name: &EndpointName, endpoint: ServingEndpoint) -> ReportEffect {
        let Some(row) = self.rows.get_mut(name) else {
            let row = RegistryRow {
                endpoint,
                reported_at: now,
                draining_since: None,
            };
            self.rows.insert(name.clone(), row);
            return ReportEffect::Changed;
        };
        let stored = &row.endpoint;
        if (endpoint.incarnation, endpoint.sequence) <= (stored.incarnation, stored.sequence) {
            return ReportEffect::Ignored;
        }
        if is_other_place(stored, &endpoint) {
            return ReportEffect::Ignored;
        }
        let mut endpoint = endpoint;
        if endpoint.incarnation == stored.incarnation {
            // An endpoint that has announced its departure does not return within the same incarnation.
            endpoint.phase = endpoint.phase.max(stored.phase);
            if endpoint.version.is_none() && endpoint.incarnation != EndpointIncarnation::default() {
                // A process of an earlier release has dropped it. Software does not change within an incarnation.
                endpoint.version.clone_from(&stored.version);
            }
        }
        let is_same = ServingEndpoint {
            sequence: endpoint.sequence,
            ..stored.clone()
        } == endpoint;
        if endpoint.incarnation != row.endpoint.incarnation {
            row.draining_since = None;
        } else if row.endpoint.phase == EndpointPhase::Ready && endpoint.phase == EndpointPhase::Draining {
            row.draining_since = Some(now);
        }
        row.endpoint = endpoint;
        row.reported_at = now;
        if is_same {
            ReportEffect::Unchanged
        } else {
            ReportEffect::Changed
        }
    }

    /// Records that an endpoint has reported nothing new. A report of another incarnation than the stored one is ignored.
    pub fn record_unchanged(&mut self, now: BootTime, name: &EndpointName, incarnation: EndpointIncarnation) {
        if let Some(row) = self.rows.get_mut(name)
            && row.endpoint.incarnation == incarnation
        {
            row.reported_at = now;
        }
    }

    /// Applies a report that another process has relayed. A departure is applied even if its sequence number is stale,
    /// since a departure has no number of its own; it does not affect a later incarnation.
    pub fn apply_relayed_report(
        &mut self,
        now: BootTime,
        name: &EndpointName,
        endpoint: ServingEndpoint,
    ) -> ReportEffect {
        let (phase, incarnation) = (endpoint.phase, endpoint.incarnation);
        match self.apply_report(now, name, endpoint) {
            ReportEffect::Ignored if phase == EndpointPhase::Gone => self.mark_gone(name, Some(incarnation)),
            effect => effect,
        }
    }

    /// Marks an endpoint as gone. An `incarnation` before the stored one is ignored; one after it belongs to a restart
    /// whose reports have not arrived here, and is stored.
    pub fn mark_gone(&mut self, name: &EndpointName, incarnation: Option<EndpointIncarnation>) -> ReportEffect {
        match self.rows.get_mut(name) {
            Some(row) if incarnation.is_none_or(|incarnation| incarnation >= row.endpoint.incarnation) => {
                let changed = row.endpoint.phase != EndpointPhase::Gone;
                row.endpoint.phase = EndpointPhase::Gone;
                if incarnation.is_some_and(|incarnation| incarnation > row.endpoint.incarnation) {
                    // The version was that of the incarnation before.
                    row.endpoint.version = None;
                }
                row.endpoint.incarnation = incarnation.unwrap_or(row.endpoint.incarnation);
                if changed {
                    ReportEffect::Changed
                } else {
                    ReportEffect::Unchanged
                }
            }
            Some(_) | None => ReportEffect::Ignored,
        }
    }

    /// Returns the endpoint with this name, if it is known.
    pub fn get(&self, name: &EndpointName) -> Option<&ServingEndpoint> {
        self.rows.get(name).map(|row| &row.endpoint)
    }

    /// Returns the endpoint to which an address belongs, unless it has left: the latest incarnation that is known there, or
    /// several of which none has told when it started.
    pub fn answering_at(&self, address: SocketAddr) -> impl Iterator<Item = (&EndpointName, &ServingEndpoint)> {
        let at_address = move || self.rows().filter(move |(_, endpoint)| endpoint.address == address);
        let latest = at_address().map(|(_, endpoint)| endpoint.incarnation).max();
        at_address()
            .filter(move |(_, endpoint)| Some(endpoint.incarnation) == latest && endpoint.phase != EndpointPhase::Gone)
    }

    /// Returns all known endpoints, in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &ServingEndpoint)> {
        self.rows.iter().map(|(name, row)| (name, &row.endpoint))
    }

    /// Returns true if the endpoint has reported lately.
    pub fn is_reporting(&self, now: BootTime, name: &EndpointName) -> bool {
        self.rows.get(name).is_some_and(|row| row.is_reporting(now))
    }

    /// Returns the endpoints of a service that take new calls.
    ///
    /// If several rows have the same address, it belongs to the latest incarnation; the other reports were delayed.
    pub fn ready<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        self.select(now, service, |phase| phase == EndpointPhase::Ready)
    }

    /// Returns the endpoints of a service that still answer, including those that are draining.
    pub fn answering<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        self.select(now, service, |phase| phase != EndpointPhase::Gone)
    }

    /// Returns the endpoints of a service that may write the rest of a stream, those that drain included if it has been known
    /// for less than `drain_window`.
    ///
    /// A row without recent reports is not believed, even if all are silent: the endpoint may have started again at another
    /// version.
    pub fn resumable<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
        version: &StreamVersion,
        drain_window: Duration,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        let mut rows = self.answering(now, service);
        rows.retain(|(name, endpoint)| {
            version.admits(endpoint.version.as_ref()) && self.is_resumable(now, name, drain_window)
        });
        rows
    }

    fn is_resumable(&self, now: BootTime, name: &EndpointName, drain_window: Duration) -> bool {
        let Some(row) = self.rows.get(name) else { return false };
        let drains_lately = || row.draining_since.is_some_and(|since| now.since(since) < drain_window);
        row.is_reporting(now) && (row.endpoint.phase == EndpointPhase::Ready || drains_lately())
    }

    /// Returns the version of what the endpoint `name` writes, which was chosen when its row was `chosen`. If it has started
    /// again meanwhile, it is not known which incarnation writes.
    pub fn written_version(&self, name: &EndpointName, chosen: &ServingEndpoint) -> StreamVersion {
        match self.get(name) {
            Some(row) if row.incarnation != chosen.incarnation && row.version != chosen.version => {
                StreamVersion::Unknown
            }
            _ => StreamVersion::begun_by(chosen.version.as_ref()),
        }
    }

    /// Returns the endpoints of a service in a wanted phase, except for silent ones and those whose address a later
    /// incarnation has.
    fn select<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
        is_wanted: impl Fn(EndpointPhase) -> bool,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        let latest = self.latest_incarnations();
        let wanted: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| row.endpoint.service == *service && is_wanted(row.endpoint.phase))
            .filter(|(_, row)| latest.get(&row.endpoint.address) == Some(&row.endpoint.incarnation))
            .collect();
        let any_reporting = wanted.iter().any(|(_, row)| row.is_reporting(now));
        wanted
            .into_iter()
            // If all are silent, the path of the reports is probably cut, which says nothing about the endpoints.
            .filter(|(_, row)| !any_reporting || row.is_reporting(now))
            .map(|(name, row)| (name, &row.endpoint))
            .collect()
    }

    /// Returns what is known of the endpoint of a broken attempt.
    pub fn sighting(&self, broken: &BrokenAttempt) -> EndpointSighting {
        let row = self.rows.get(&broken.endpoint);
        let has_left = row.is_some_and(|RegistryRow { endpoint, .. }| {
            endpoint.incarnation == broken.incarnation && endpoint.phase != EndpointPhase::Ready
        });
        let endpoints = self.rows.values().map(|row| &row.endpoint);
        let mut at_address = endpoints.filter(|endpoint| endpoint.address == broken.address);
        EndpointSighting {
            has_left,
            has_ended: at_address.any(|endpoint| endpoint.incarnation > broken.incarnation),
            reported_at: row.map(|row| row.reported_at),
            any_reported: self.rows.values().any(|row| row.reported_at > broken.broken_at),
        }
    }

    /// Removes the rows of endpoints that have not reported for a minute.
    pub fn remove_expired(&mut self, now: BootTime) {
        self.rows.retain(|_, row| now.since(row.reported_at) < ROW_RETENTION);
    }

    /// Returns the start time of the latest incarnation at each address.
    fn latest_incarnations(&self) -> HashMap<SocketAddr, EndpointIncarnation> {
        let mut latest = HashMap::with_capacity(self.rows.len());
        for RegistryRow { endpoint, .. } in self.rows.values() {
            let incarnation = latest.entry(endpoint.address).or_insert(endpoint.incarnation);
            *incarnation = endpoint.incarnation.max(*incarnation);
        }
        latest
    }
}

/// Returns true if a report of the stored incarnation names another service or address. Endpoints that do not tell when they
/// have started may have started again.
fn is_other_place(stored: &ServingEndpoint, reported: &ServingEndpoint) -> bool {
    stored.incarnation == reported.incarnation
        && stored.incarnation != EndpointIncarnation::default()
        && (&stored.service, stored.address) != (&reported.service, reported.address)
}

/// Effect of a report on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The stored state has changed.
    Changed,
    /// The report was current but the endpoint's state is unchanged.
    Unchanged,
    /// The report was ignored: it is older than the stored state, announces the departure of an unknown endpoint, or names
    /// another service or address than the same incarnation has.
    Ignored,
}
