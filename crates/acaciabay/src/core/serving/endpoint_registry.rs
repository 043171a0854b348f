//! Registry of endpoints, built from the reports that they send about themselves.
//!
//! Reports travel by several paths and may be delayed, duplicated and reordered. Each report carries the start time of
//! its sender and an increasing sequence number; a report whose pair is not above the stored one is stale. Without this
//! order, a delayed `ready` would undo a `draining`, and calls would be sent to an endpoint that is about to leave.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName, ServiceName};

/// Start time of an endpoint, in milliseconds since the Unix epoch by its own clock. It identifies the incarnation: a
/// later start is another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointBirth(pub u64);

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
    /// Its start time, which identifies the incarnation.
    pub birth: EndpointBirth,
    /// The sequence number of its report within the incarnation.
    pub sequence: u64,
}

#[derive(Clone, Debug)]
struct RegistryRow {
    endpoint: ServingEndpoint,
    heard_at: BootTime,
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
pub const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Time for which a row is kept after its last report: as long as a delayed report of an endpoint that has left may
/// still arrive.
const ROW_LIFETIME: Duration = Duration::from_secs(60);

impl EndpointRegistry {
    /// Applies a report and returns its effect. A report that differs only in its sequence number is no change.
    pub fn report(&mut self, now: BootTime, name: &EndpointName, endpoint: ServingEndpoint) -> ReportEffect {
        let Some(row) = self.rows.get_mut(name) else {
            let row = RegistryRow {
                endpoint,
                heard_at: now,
            };
            self.rows.insert(name.clone(), row);
            return ReportEffect::Changed;
        };
        let held = &row.endpoint;
        if (endpoint.birth, endpoint.sequence) <= (held.birth, held.sequence) {
            return ReportEffect::Old;
        }
        let mut endpoint = endpoint;
        if endpoint.birth == held.birth {
            // An endpoint that has announced its departure does not return within the same incarnation.
            endpoint.phase = endpoint.phase.max(held.phase);
        }
        let is_same = ServingEndpoint {
            sequence: endpoint.sequence,
            ..held.clone()
        } == endpoint;
        row.endpoint = endpoint;
        row.heard_at = now;
        if is_same {
            ReportEffect::Heard
        } else {
            ReportEffect::Changed
        }
    }

    /// Applies a report that another process has relayed. A departure is applied even if its sequence number is stale,
    /// since a departure has no number of its own; it does not affect a later incarnation.
    pub fn hear(&mut self, now: BootTime, name: &EndpointName, endpoint: ServingEndpoint) -> ReportEffect {
        let (phase, birth) = (endpoint.phase, endpoint.birth);
        match self.report(now, name, endpoint) {
            ReportEffect::Old if phase == EndpointPhase::Gone => self.leave(name, Some(birth)),
            effect => effect,
        }
    }

    /// Marks an endpoint as gone. A `birth` below the stored one belongs to an earlier incarnation and is ignored; one
    /// above it belongs to an incarnation whose reports have not arrived here, and is stored.
    pub fn leave(&mut self, name: &EndpointName, birth: Option<EndpointBirth>) -> ReportEffect {
        match self.rows.get_mut(name) {
            Some(row) if birth.is_none_or(|birth| birth >= row.endpoint.birth) => {
                let changed = row.endpoint.phase != EndpointPhase::Gone;
                row.endpoint.phase = EndpointPhase::Gone;
                row.endpoint.birth = birth.unwrap_or(row.endpoint.birth);
                if changed {
                    ReportEffect::Changed
                } else {
                    ReportEffect::Heard
                }
            }
            Some(_) | None => ReportEffect::Old,
        }
    }

    /// Returns the endpoint with this name, if it is known.
    pub fn get(&self, name: &EndpointName) -> Option<&ServingEndpoint> {
        self.rows.get(name).map(|row| &row.endpoint)
    }

    /// Returns all known endpoints, in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &ServingEndpoint)> {
        self.rows.iter().map(|(name, row)| (name, &row.endpoint))
    }

    /// Returns the endpoints of a service that take new calls.
    ///
    /// If several rows have the same address, it belongs to the latest incarnation; the other reports were delayed.
    pub fn ready<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        self.heard(now, service, |phase| phase == EndpointPhase::Ready)
    }

    /// Returns the endpoints of a service that still answer, including those that are draining.
    pub fn answering<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        self.heard(now, service, |phase| phase != EndpointPhase::Gone)
    }

    fn heard<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
        is_wanted: impl Fn(EndpointPhase) -> bool,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        let youngest = self.youngest_by_address();
        let wanted: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| row.endpoint.service == *service && is_wanted(row.endpoint.phase))
            .filter(|(_, row)| youngest.get(&row.endpoint.address) == Some(&row.endpoint.birth))
            .collect();
        let heard = |row: &RegistryRow| now.since(row.heard_at) < SILENCE_LIMIT;
        let any_heard = wanted.iter().any(|(_, row)| heard(row));
        wanted
            .into_iter()
            // If all are silent, the path of the reports is probably cut, which says nothing about the endpoints.
            .filter(|(_, row)| !any_heard || heard(row))
            .map(|(name, row)| (name, &row.endpoint))
            .collect()
    }

    /// Removes the rows of endpoints that have not reported for a minute.
    pub fn forget_silent(&mut self, now: BootTime) {
        self.rows.retain(|_, row| now.since(row.heard_at) < ROW_LIFETIME);
    }

    /// Returns the start time of the latest incarnation at each address.
    fn youngest_by_address(&self) -> HashMap<SocketAddr, EndpointBirth> {
        let mut youngest = HashMap::with_capacity(self.rows.len());
        for RegistryRow { endpoint, .. } in self.rows.values() {
            let birth = youngest.entry(endpoint.address).or_insert(endpoint.birth);
            *birth = endpoint.birth.max(*birth);
        }
        youngest
    }
}

/// Effect of a report on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The stored state has changed.
    Changed,
    /// The report was current but the endpoint's state is unchanged.
    Heard,
    /// The report was ignored: it is older than the stored state, or announces the departure of an unknown endpoint.
    Old,
}
