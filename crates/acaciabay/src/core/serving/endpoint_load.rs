//! The work that endpoints have before them, as one entry sees it.
//!
//! What the entry has sent itself it knows exactly. What other entries have sent it hears from the control group a few
//! times a second. Reports of the endpoints themselves would come later than both.

use std::collections::HashMap;
use std::time::Duration;

use super::endpoint_registry::{EndpointBirth, EngineStage, ServingEndpoint};
use super::part_memory::PartMemory;
use super::prompt::PromptPart;
use super::reading_pace::ReadingTime;
use crate::core::clock::BootTime;
use crate::core::name::EndpointName;

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointWork {
    /// Tokens of prompts that are still to be read.
    pub unread_tokens: u64,
    /// Calls that run or wait.
    pub calls: u64,
    /// Tokens of prompts and answers that running calls hold in memory.
    pub held_tokens: u64,
}

impl EndpointWork {
    /// Returns both together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            unread_tokens: self.unread_tokens + other.unread_tokens,
            calls: self.calls + other.calls,
            held_tokens: self.held_tokens + other.held_tokens,
        }
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
            calls: self.calls.saturating_sub(other.calls),
            held_tokens: self.held_tokens.saturating_sub(other.held_tokens),
        }
    }
}

/// How long an endpoint that has failed in a way that speaks against it is used only if there is no other, the first
/// time; each further failure doubles it.
const FIRST_SUSPICION: Duration = Duration::from_millis(300);
/// How long an endpoint that was silent is suspected at least: until other entries have heard of it.
const SILENT_SUSPICION: Duration = Duration::from_secs(1);
/// The longest suspicion: an endpoint that is well again is found out within this time.
const LONGEST_SUSPICION: Duration = Duration::from_secs(3);
/// How many milliseconds an engine takes for a token of a prompt until it was measured, the middle of current engines.
const FIRST_PACE: f64 = 0.02;
/// How much one measurement moves the pace.
const PACE_STEP: f64 = 0.1;

/// An order that an engine is carrying out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestingOrder {
    /// Which start of the engine it was given to.
    pub birth: EndpointBirth,
    /// What the engine reports once it is done.
    pub stage: EngineStage,
    /// When it is done at the latest.
    pub until: BootTime,
}

#[derive(Clone, Debug, Default)]
struct LoadRow {
    own: EndpointWork,
    others: EndpointWork,
    memory: PartMemory,
    failures: u32,
    suspected_until: BootTime,
    /// Until when the entry takes the endpoint for dead because it was silent, or could not be reached.
    silent_until: BootTime,
    /// Whether other entries have found it silent.
    is_silent_to_others: bool,
    resting: Option<RestingOrder>,
    pace: Option<f64>,
}

/// The load of all endpoints that this entry has dealt with.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<EndpointName, LoadRow>,
}

impl LoadTable {
    /// Returns the work at an endpoint.
    pub fn work(&self, name: &EndpointName) -> EndpointWork {
        self.rows
            .get(name)
            .map(|row| row.own.plus(row.others))
            .unwrap_or_default()
    }

    /// Returns what this entry itself has at each endpoint.
    pub fn own_work(&self) -> impl Iterator<Item = (&EndpointName, EndpointWork)> {
        let rows = self.rows.iter().map(|(name, row)| (name, row.own));
        rows.filter(|(_, work)| *work != EndpointWork::default())
    }

    /// Adds work that this entry has sent.
    pub fn begin(&mut self, name: &EndpointName, work: EndpointWork) {
        let row = self.row(name);
        row.own = row.own.plus(work);
    }

    /// Takes away work that is done or given up.
    pub fn end(&mut self, name: &EndpointName, work: EndpointWork) {
        let row = self.row(name);
        row.own = row.own.minus(work);
    }

    /// Takes over what the other entries have at the endpoints.
    pub fn hear_others(&mut self, works: impl IntoIterator<Item = (EndpointName, EndpointWork)>) {
        for row in self.rows.values_mut() {
            row.others = EndpointWork::default();
        }
        for (name, work) in works {
            self.row(&name).others = work;
        }
    }

    /// Returns how many tokens at the start of a prompt the endpoint is believed to keep.
    pub fn kept_tokens(&self, name: &EndpointName, parts: &[PromptPart]) -> u64 {
        self.rows.get(name).map_or(0, |row| row.memory.kept_tokens(parts))
    }

    /// Notes that the endpoint has read these parts.
    pub fn note_read(&mut self, name: &EndpointName, parts: &[PromptPart], capacity: u64) {
        self.row(name).memory.note_read(parts, capacity);
    }

    /// Notes how long an endpoint took for a prompt. `usual` is the pace of its service, if that is known.
    pub fn note_reading(&mut self, name: &EndpointName, reading: ReadingTime, usual: Option<f64>) {
        let Some(measured) = reading.pace() else { return };
        let row = self.row(name);
        let before = row.pace.or(usual).unwrap_or(FIRST_PACE);
        row.pace = Some(before + PACE_STEP * (measured - before));
    }

    /// Returns how many milliseconds the endpoint takes for a token of a prompt. One that was not measured takes as long
    /// as is `usual` in its service: among hundreds of entries and engines, hardly any pair meets twice.
    pub fn pace(&self, name: &EndpointName, usual: Option<f64>) -> f64 {
        let measured = self.rows.get(name).and_then(|row| row.pace);
        measured.or(usual).unwrap_or(FIRST_PACE)
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn note_failure(&mut self, now: BootTime, name: &EndpointName) {
        let row = self.row(name);
        let doublings = row.failures.min(8);
        let suspicion = FIRST_SUSPICION * 2_u32.pow(doublings);
        row.failures += 1;
        row.suspected_until = now + suspicion.min(LONGEST_SUSPICION);
    }

    /// Notes that an endpoint could not be reached at all. One that does not even take a connection is not well again
    /// a moment later, and each further try costs a call the time of a connection attempt.
    pub fn note_unreachable(&mut self, now: BootTime, name: &EndpointName) {
        let row = self.row(name);
        row.failures += 1;
        row.suspected_until = now + LONGEST_SUSPICION;
        row.silent_until = row.suspected_until;
    }

    /// Notes that an endpoint does not answer, or that its answer was lost: what other entries send it may go the same way.
    pub fn note_silent(&mut self, now: BootTime, name: &EndpointName) {
        self.note_failure(now, name);
        let row = self.row(name);
        row.suspected_until = row.suspected_until.max(now + SILENT_SUSPICION);
        row.silent_until = row.suspected_until;
    }

    /// Returns the endpoints that this entry itself has found silent.
    pub fn silent_endpoints(&self, now: BootTime) -> impl Iterator<Item = &EndpointName> {
        let silent = self.rows.iter().filter(move |(_, row)| now < row.silent_until);
        silent.map(|(name, _)| name)
    }

    /// Takes over which endpoints other entries have found silent.
    pub fn hear_silent(&mut self, endpoints: impl IntoIterator<Item = EndpointName>) {
        for row in self.rows.values_mut() {
            row.is_silent_to_others = false;
        }
        for name in endpoints {
            self.row(&name).is_silent_to_others = true;
        }
    }

    /// Notes an answer that speaks for the endpoint.
    pub fn note_success(&mut self, name: &EndpointName) {
        let row = self.row(name);
        row.failures = row.failures.saturating_sub(1);
        if row.failures == 0 {
            row.suspected_until = BootTime::default();
            row.silent_until = BootTime::default();
        }
    }

    /// Tells whether the endpoint has failed lately.
    pub fn is_suspected(&self, now: BootTime, name: &EndpointName) -> bool {
        let row = self.rows.get(name);
        row.is_some_and(|row| now < row.suspected_until || row.is_silent_to_others)
    }

    /// Takes over which engines carry out an order.
    pub fn hear_resting(&mut self, engines: impl IntoIterator<Item = (EndpointName, RestingOrder)>) {
        for row in self.rows.values_mut() {
            row.resting = None;
        }
        for (name, order) in engines {
            self.row(&name).resting = Some(order);
        }
    }

    /// Tells whether an engine carries out an order and takes no calls meanwhile. It has carried it out once it reports
    /// the stage that was ordered.
    pub fn is_resting(&self, now: BootTime, name: &EndpointName, endpoint: &ServingEndpoint) -> bool {
        let resting = self.rows.get(name).and_then(|row| row.resting);
        resting.is_some_and(|order| {
            order.birth == endpoint.birth && now < order.until && endpoint.stage != Some(order.stage)
        })
    }

    fn row(&mut self, name: &EndpointName) -> &mut LoadRow {
        self.rows.entry(name.clone()).or_default()
    }
}
