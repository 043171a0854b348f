//! What endpoints say of themselves, put in order.
//!
//! Reports travel by several ways and arrive late, twice and out of order. Each carries when its sender started and a
//! number that rises; a report with a lower pair than the one held is old. Without that order, a late `ready` would
//! undo a `draining`, and calls would be sent to an endpoint that is about to leave.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName, ServiceName};

/// When an endpoint started, in milliseconds since 1970 by its own clock. A later start is another incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointBirth(pub u64);

/// Whether an endpoint takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointPhase {
    /// It does.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// What an engine does with a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineStage {
    /// It reads prompts for others.
    Prefill,
    /// It makes tokens.
    Decode,
}

/// The latest that is known of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingEndpoint {
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes calls.
    pub phase: EndpointPhase,
    /// What it does with prompts, where it runs models.
    pub stage: Option<EngineStage>,
    /// Whether the platform may take it away at short notice.
    pub reclaimable: bool,
    /// When it started.
    pub birth: EndpointBirth,
    /// The number of its report.
    pub sequence: u64,
}

#[derive(Clone, Debug)]
struct RegistryRow {
    endpoint: ServingEndpoint,
    heard_at: BootTime,
}

/// All endpoints that reports have named.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    rows: BTreeMap<EndpointName, RegistryRow>,
}

/// How long an endpoint may be silent before nothing is sent to it while others are heard.
///
/// Endpoints report about once a second; three missed reports are no accident. Silence alone does not prove that an
/// endpoint is gone, since the path of its reports may be cut while the path to it is not.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// How long a row outlives the last report: as long as a late report of a left endpoint may still arrive.
const ROW_LIFETIME: Duration = Duration::from_secs(60);

impl EndpointRegistry {
    /// Takes a report and tells whether it changed anything but the report's number.
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
            // An endpoint that has said that it leaves does not come back within the same start.
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

    /// Takes what another process tells of an endpoint. That a start has left counts also with an old number, since leaving
    /// carries none of its own; it says nothing about a later start.
    pub fn hear(&mut self, now: BootTime, name: &EndpointName, endpoint: ServingEndpoint) -> ReportEffect {
        let (phase, birth) = (endpoint.phase, endpoint.birth);
        match self.report(now, name, endpoint) {
            ReportEffect::Old if phase == EndpointPhase::Gone => self.leave(name, Some(birth)),
            effect => effect,
        }
    }

    /// Notes that an endpoint has left; a birth below the one held names an earlier start, one above it a start whose
    /// reports have not come here.
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

    /// Returns an endpoint.
    pub fn get(&self, name: &EndpointName) -> Option<&ServingEndpoint> {
        self.rows.get(name).map(|row| &row.endpoint)
    }

    /// Returns all endpoints.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &ServingEndpoint)> {
        self.rows.iter().map(|(name, row)| (name, &row.endpoint))
    }

    /// Returns the endpoints of a service that take calls.
    ///
    /// Where two rows have one address, the one that started later has it: the other's report was late.
    pub fn ready<'registry>(
        &'registry self,
        now: BootTime,
        service: &'registry ServiceName,
    ) -> Vec<(&'registry EndpointName, &'registry ServingEndpoint)> {
        self.heard(now, service, |phase| phase == EndpointPhase::Ready)
    }

    /// Returns the endpoints of a service that answer, those included that leave and take no new calls.
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
            // When all are silent, the path of the reports is cut, which says nothing about the endpoints.
            .filter(|(_, row)| !any_heard || heard(row))
            .map(|(name, row)| (name, &row.endpoint))
            .collect()
    }

    /// Forgets rows that nothing was heard of for long.
    pub fn forget_silent(&mut self, now: BootTime) {
        self.rows.retain(|_, row| now.since(row.heard_at) < ROW_LIFETIME);
    }

    /// Returns the latest birth at each address.
    fn youngest_by_address(&self) -> HashMap<SocketAddr, EndpointBirth> {
        let mut youngest = HashMap::with_capacity(self.rows.len());
        for RegistryRow { endpoint, .. } in self.rows.values() {
            let birth = youngest.entry(endpoint.address).or_insert(endpoint.birth);
            *birth = endpoint.birth.max(*birth);
        }
        youngest
    }
}

/// What a report came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// It says something new.
    Changed,
    /// It says that the endpoint is as before.
    Heard,
    /// It is older than what is held, or of an endpoint that is not known.
    Old,
}
