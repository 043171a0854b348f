//! Speeds of endpoints at the leader, from the observations of all entries.
//!
//! With hundreds of entries, each one measures few of the engines. The leader merges the reports into one estimate for each
//! incarnation, and keeps a log of what has changed, from which each connection is told what is new to it.

use std::collections::{BTreeMap, HashMap};

use super::cached_parts::LogPlace;
use super::endpoint_registry::EndpointIncarnation;
use super::endpoint_speed::{EndpointSpeed, PaceReport, SpeedEstimate, SpeedRow};
use crate::core::clock::BootTime;
use crate::core::name::{EndpointName, ServiceName};

/// Smallest relative change that entries are told. Smaller ones are noise of the estimate.
const MIN_TOLD_CHANGE: f64 = 0.05;
/// Smallest relative change of a lasting factor that is returned for the log. Operators look for slow endpoints, not for each
/// step of an estimate.
const MIN_LOGGED_CHANGE: f64 = 0.25;
/// Number of endpoints at the usual speed that are assumed beside the measured ones of a service. A few measured endpoints would
/// otherwise define what is usual by themselves.
const ASSUMED_USUAL_ENDPOINTS: f64 = 4.0;
/// Maximum number of rows in one answer. The lease for which an entry that starts is waiting arrives behind them.
const MAX_ROWS_PER_ANSWER: usize = 512;

/// A lasting factor that has changed much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// The factor that was returned for the log before.
    pub before: f64,
    /// The factor now.
    pub lasting: f64,
}

/// Sum of the logarithms of the lasting factors that were measured in a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceMean {
    sum: f64,
    endpoints: f64,
}

impl ServiceMean {
    fn get(self) -> f64 {
        self.sum / (self.endpoints + ASSUMED_USUAL_ENDPOINTS)
    }
}

#[derive(Clone, Debug)]
struct LedgerRow {
    service: ServiceName,
    birth: EndpointIncarnation,
    estimate: SpeedEstimate,
    is_measured: bool,
    /// The speed at the row's position in the log.
    told: EndpointSpeed,
    place: Option<u64>,
    logged: f64,
}

/// Speeds of all endpoints of which entries have reported something.
#[derive(Clone, Debug, Default)]
pub struct SpeedLedger {
    rows: HashMap<EndpointName, LedgerRow>,
    means: HashMap<ServiceName, ServiceMean>,
    /// Each endpoint at the position of its last change.
    log: BTreeMap<u64, EndpointName>,
    next: u64,
}

impl SpeedLedger {
    /// Merges what an entry has observed. Returns the change of the lasting factor if operators should see it.
    pub fn merge(&mut self, now: BootTime, service: &ServiceName, report: &PaceReport) -> Option<SpeedChange> {
        let before = self.rows.get(&report.endpoint).map(|row| row.birth);
        if before.is_some_and(|birth| birth > report.birth) {
            return None;
        }
        if before != Some(report.birth) {
            self.remove(&report.endpoint);
            self.rows
                .insert(report.endpoint.clone(), LedgerRow::new(service, report.birth));
        }
        let row = self.rows.get_mut(&report.endpoint)?;
        if let Some(stated) = report.stated {
            row.estimate.record_stated(stated);
        }
        let mean = self.means.entry(row.service.clone()).or_default();
        let lasting_before = row.estimate.speed().lasting;
        if row.estimate.record_prefills(now, &report.sums) {
            mean.sum += row.estimate.speed().lasting - lasting_before;
            mean.endpoints += if row.is_measured { 0.0 } else { 1.0 };
            row.is_measured = true;
        }
        let speed = row.speed(*mean);
        if row.is_news(now, &speed) {
            row.told = speed;
            if let Some(place) = row.place.replace(self.next) {
                self.log.remove(&place);
            }
            self.log.insert(self.next, report.endpoint.clone());
            self.next += 1;
        }
        row.take_logged_change(&speed)
    }

    /// Returns the rows that have changed from `place` on, at most as many as fit into one answer, and the position after them.
    pub fn since(&self, place: LogPlace) -> (impl Iterator<Item = SpeedRow>, LogPlace) {
        let rows = self.log.range(place.0..).take(MAX_ROWS_PER_ANSWER);
        let next = rows.clone().last().map_or(place.0, |(last, _)| last + 1);
        let told = rows.filter_map(|(_, name)| {
            let row = self.rows.get(name)?;
            let mean = self.means.get(&row.service).copied().unwrap_or_default();
            Some(SpeedRow {
                endpoint: name.clone(),
                birth: row.birth,
                speed: row.speed(mean),
            })
        });
        (told, LogPlace(next))
    }

    /// Returns the lasting slowdown of an endpoint.
    pub fn lasting_slowdown(&self, now: BootTime, name: &EndpointName) -> f64 {
        self.rows.get(name).map_or(1.0, |row| {
            let mean = self.means.get(&row.service).copied().unwrap_or_default();
            let speed = EndpointSpeed {
                stated: None,
                ..row.speed(mean)
            };
            speed.slowdown(now, 1.0)
        })
    }

    /// Drops endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        let unknown: Vec<EndpointName> = self.rows.keys().filter(|name| !is_known(name)).cloned().collect();
        for name in unknown {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &EndpointName) {
        let Some(row) = self.rows.remove(name) else { return };
        if let Some(place) = row.place {
            self.log.remove(&place);
        }
        if row.is_measured
            && let Some(mean) = self.means.get_mut(&row.service)
        {
            mean.sum -= row.estimate.speed().lasting;
            mean.endpoints -= 1.0;
        }
    }
}

impl LedgerRow {
    fn new(service: &ServiceName, birth: EndpointIncarnation) -> Self {
        Self {
            service: service.clone(),
            birth,
            estimate: SpeedEstimate::default(),
            is_measured: false,
            told: EndpointSpeed::default(),
            place: None,
            logged: 0.0,
        }
    }

    /// Returns the speed relative to the mean of the service. Without this relation, the models of the entries and the factors
    /// could drift together in opposite directions, because only their product is measured.
    fn speed(&self, mean: ServiceMean) -> EndpointSpeed {
        let speed = self.estimate.speed();
        if !self.is_measured {
            return speed;
        }
        EndpointSpeed {
            lasting: speed.lasting - mean.get(),
            beyond_stated: speed.beyond_stated - mean.get(),
            stated: speed.stated,
        }
    }

    /// Returns true if entries that know what was told last would reckon with another speed.
    fn is_news(&self, now: BootTime, speed: &EndpointSpeed) -> bool {
        let differs = |one: f64, other: f64| (one - other).abs() > MIN_TOLD_CHANGE.ln_1p();
        differs(self.told.lasting, speed.lasting)
            || differs(self.told.beyond_stated, speed.beyond_stated)
            || differs(self.told.slowdown(now, 1.0).ln(), speed.slowdown(now, 1.0).ln())
    }

    fn take_logged_change(&mut self, speed: &EndpointSpeed) -> Option<SpeedChange> {
        let before = self.logged;
        let has_changed = (speed.lasting - before).abs() > MIN_LOGGED_CHANGE.ln_1p();
        has_changed.then(|| {
            self.logged = speed.lasting;
            SpeedChange {
                before: before.exp(),
                lasting: speed.lasting.exp(),
            }
        })
    }
}
