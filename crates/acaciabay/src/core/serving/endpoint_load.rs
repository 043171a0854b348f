//! Outstanding work and health of each endpoint, as seen by one entry.
//!
//! The entry knows its own outstanding work exactly. The control group tells it the work of the other entries a few
//! times a second. The endpoints' own reports would arrive later than both.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::endpoint_activity::EndpointActivity;
use super::endpoint_registry::{EndpointIncarnation, EngineStage, ServingEndpoint};
use super::endpoint_speed::EndpointSpeeds;
use super::prefill_pace::PrefillTime;
use super::prompt::PromptPart;
use super::prompt_cache::PromptCacheEstimate;
use crate::core::clock::BootTime;
use crate::core::endpoint_rest::RestTable;
use crate::core::name::EndpointName;

/// Outstanding work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointWork {
    /// Prompt tokens that are still to be prefilled.
    pub unread_tokens: u64,
    /// Calls that are running or queued.
    pub calls: u64,
    /// Prompt and output tokens that running calls hold in KV memory.
    pub held_tokens: u64,
}

impl EndpointWork {
    /// Returns the sum of `self` and `other`.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            unread_tokens: self.unread_tokens + other.unread_tokens,
            calls: self.calls + other.calls,
            held_tokens: self.held_tokens + other.held_tokens,
        }
    }

    /// Returns the difference of `self` and `other`, in which nothing is negative.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
            calls: self.calls.saturating_sub(other.calls),
            held_tokens: self.held_tokens.saturating_sub(other.held_tokens),
        }
    }
}

/// Time for which an endpoint is suspected after its first failure. Each further failure doubles it, up to
/// [`MAX_SUSPICION`]. A suspected endpoint is used only if there is no other.
const INITIAL_SUSPICION: Duration = Duration::from_millis(300);
/// Minimum time for which a silent endpoint is suspected: long enough for other entries to hear of it.
const MIN_SILENCE_SUSPICION: Duration = Duration::from_secs(1);
/// Maximum time for which this entry suspects an endpoint after a failure. The endpoint may then be tried again, so
/// that its recovery is noticed.
const MAX_SUSPICION: Duration = Duration::from_secs(3);
/// Assumed prefill time per token, in milliseconds, of an engine without measurements. The value is typical of
/// current engines.
const DEFAULT_PACE: f64 = 0.02;
/// Weight of a new measurement in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.1;
/// Weight of newly received work of the other entries in its moving average, which then covers the last few seconds.
const PEER_WORK_WEIGHT: f64 = 0.1;

/// A change of stage that an engine has been ordered to make and has not yet completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageSwitch {
    /// The incarnation of the engine that received the order.
    pub birth: EndpointIncarnation,
    /// The stage that the engine reports once the change is complete.
    pub stage: EngineStage,
    /// Time after which the change counts as complete even without a report.
    pub until: BootTime,
}

#[derive(Clone, Debug, Default)]
struct LoadRow {
    own: EndpointWork,
    peers: EndpointWork,
    /// Moving average of the peers' unread tokens.
    usual_peer_tokens: f64,
    cache: PromptCacheEstimate,
    failures: u32,
    suspected_until: BootTime,
    /// End of the period in which this entry reports the endpoint as silent, because it did not answer or could not be
    /// reached.
    silent_until: BootTime,
    /// Set while the control group reports that other entries find the endpoint silent.
    is_silent_to_peers: bool,
    stage_switch: Option<StageSwitch>,
    pace: Option<f64>,
    activity: Arc<EndpointActivity>,
}

/// Load and health of all endpoints that this entry has used or been told of.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<EndpointName, LoadRow>,
    /// Time at which the work of the other entries was last replaced.
    peer_work_at: BootTime,
    /// Speeds of the endpoints of services with uneven load, and of those that state their pace.
    pub speeds: EndpointSpeeds,
    /// Rest that endpoints have asked this entry for, and their departures.
    pub rests: RestTable<EndpointIncarnation>,
}

impl LoadTable {
    /// Returns the outstanding work of all entries at an endpoint.
    pub fn work(&self, name: &EndpointName) -> EndpointWork {
        self.rows
            .get(name)
            .map(|row| row.own.plus(row.peers))
            .unwrap_or_default()
    }

    /// Returns the outstanding work of this entry and of the other entries at an endpoint.
    pub fn work_by_origin(&self, name: &EndpointName) -> (EndpointWork, EndpointWork) {
        self.rows.get(name).map(|row| (row.own, row.peers)).unwrap_or_default()
    }

    /// Returns the outstanding work of this entry, for each endpoint that has any.
    pub fn own_work(&self) -> impl Iterator<Item = (&EndpointName, EndpointWork)> {
        let rows = self.rows.iter().map(|(name, row)| (name, row.own));
        rows.filter(|(_, work)| *work != EndpointWork::default())
    }

    /// Adds work that this entry has sent to an endpoint.
    pub fn begin(&mut self, name: &EndpointName, work: EndpointWork) {
        let row = self.row(name);
        row.own = row.own.plus(work);
    }

    /// Subtracts work that has ended or been abandoned.
    pub fn end(&mut self, name: &EndpointName, work: EndpointWork) {
        let row = self.row(name);
        row.own = row.own.minus(work);
    }

    /// Replaces the outstanding work of the other entries.
    pub fn set_peer_work(&mut self, now: BootTime, works: impl IntoIterator<Item = (EndpointName, EndpointWork)>) {
        self.peer_work_at = now;
        for row in self.rows.values_mut() {
            row.peers = EndpointWork::default();
        }
        for (name, work) in works {
            self.row(&name).peers = work;
        }
        for row in self.rows.values_mut() {
            row.usual_peer_tokens += PEER_WORK_WEIGHT * (row.peers.unread_tokens as f64 - row.usual_peer_tokens);
        }
    }

    /// Returns the prompt tokens that the other entries have queued at an endpoint on average.
    pub fn usual_peer_tokens(&self, name: &EndpointName) -> f64 {
        self.rows.get(name).map_or(0.0, |row| row.usual_peer_tokens)
    }

    /// Returns the time since the other entries' work was last replaced.
    pub fn peer_work_age(&self, now: BootTime) -> Duration {
        now.since(self.peer_work_at)
    }

    /// Returns how long work takes at an endpoint as a multiple of the usual of its service: 1 if nothing is known.
    pub fn slowdown(&self, now: BootTime, name: &EndpointName) -> f64 {
        self.speeds.slowdown(now, name)
    }

    /// Returns the lasting part of [`Self::slowdown`], without what the endpoint has stated for the present.
    pub fn lasting_slowdown(&self, now: BootTime, name: &EndpointName) -> f64 {
        self.speeds.lasting_slowdown(now, name)
    }

    /// Returns the length, in tokens, of the prompt prefix that the endpoint is believed to have cached.
    pub fn cached_prefix_tokens(&self, name: &EndpointName, parts: &[PromptPart]) -> u64 {
        self.rows
            .get(name)
            .map_or(0, |row| row.cache.cached_prefix_tokens(parts))
    }

    /// Records that the endpoint has prefilled these parts. `capacity` is the size of its memory in tokens.
    pub fn record_prefill(&mut self, name: &EndpointName, parts: &[PromptPart], capacity: u64) {
        self.row(name).cache.record_prefill(parts, capacity);
    }

    /// Records how long an endpoint took to prefill a prompt. `usual` is the pace of its service, if known, and is the
    /// starting value of the endpoint's own average.
    pub fn record_prefill_time(&mut self, name: &EndpointName, reading: PrefillTime, usual: Option<f64>) {
        let Some(measured) = reading.pace() else { return };
        let row = self.row(name);
        let before = row.pace.or(usual).unwrap_or(DEFAULT_PACE);
        row.pace = Some(before + PACE_WEIGHT * (measured - before));
    }

    /// Returns the endpoint's prefill time per token, in milliseconds. Falls back to the `usual` pace of its service,
    /// since with hundreds of entries and engines an entry has measured few of the engines itself.
    pub fn pace(&self, name: &EndpointName, usual: Option<f64>) -> f64 {
        let measured = self.rows.get(name).and_then(|row| row.pace);
        measured.or(usual).unwrap_or(DEFAULT_PACE)
    }

    /// Returns the usual pace of a service in milliseconds per token, or a typical one if it is not known.
    pub fn usual_pace(usual: Option<f64>) -> f64 {
        usual.unwrap_or(DEFAULT_PACE)
    }

    /// Returns when the endpoint last wrote something, for calls to record what they read from it.
    pub fn activity(&mut self, name: &EndpointName) -> Arc<EndpointActivity> {
        Arc::clone(&self.row(name).activity)
    }

    /// Records that the endpoint wrote something.
    pub fn record_activity(&mut self, now: BootTime, name: &EndpointName) {
        self.row(name).activity.record(now);
    }

    /// Returns true if the endpoint has written something to this entry just now.
    pub fn is_active(&self, now: BootTime, name: &EndpointName) -> bool {
        self.rows.get(name).is_some_and(|row| row.activity.is_active(now))
    }

    /// Returns the time since the endpoint last wrote something to this entry, if it ever has.
    pub fn silence(&self, now: BootTime, name: &EndpointName) -> Option<Duration> {
        self.rows.get(name)?.activity.silence(now)
    }

    /// Records a failure that the endpoint has probably caused.
    pub fn record_failure(&mut self, now: BootTime, name: &EndpointName) {
        let row = self.row(name);
        // The limit keeps the power from overflowing. Eight doublings already exceed `MAX_SUSPICION`.
        let doublings = row.failures.min(8);
        let suspicion = INITIAL_SUSPICION * 2_u32.pow(doublings);
        row.failures += 1;
        row.suspected_until = now + suspicion.min(MAX_SUSPICION);
    }

    /// Records that no connection to an endpoint could be made. The endpoint is suspected for the maximum time at once:
    /// it is unlikely to recover quickly, and each further try costs a call the time of a connection attempt.
    pub fn record_unreachable(&mut self, now: BootTime, name: &EndpointName) {
        let row = self.row(name);
        row.failures += 1;
        row.suspected_until = now + MAX_SUSPICION;
        row.silent_until = row.suspected_until;
    }

    /// Records that an endpoint does not answer, or that its answer was lost. The endpoint is also reported to the
    /// other entries, since their calls may be lost in the same way.
    pub fn record_silence(&mut self, now: BootTime, name: &EndpointName) {
        self.record_failure(now, name);
        let row = self.row(name);
        row.suspected_until = row.suspected_until.max(now + MIN_SILENCE_SUSPICION);
        row.silent_until = row.suspected_until;
    }

    /// Returns the endpoints that this entry itself finds silent, without those that it was told of.
    pub fn silent_endpoints(&self, now: BootTime) -> impl Iterator<Item = &EndpointName> {
        let silent = self.rows.iter().filter(move |(_, row)| now < row.silent_until);
        silent.map(|(name, _)| name)
    }

    /// Replaces the set of endpoints that other entries find silent.
    pub fn set_peer_suspicions(&mut self, endpoints: impl IntoIterator<Item = EndpointName>) {
        for row in self.rows.values_mut() {
            row.is_silent_to_peers = false;
        }
        for name in endpoints {
            self.row(&name).is_silent_to_peers = true;
        }
    }

    /// Records a successful answer. It cancels one failure; when none is left, the entry's own suspicion ends.
    pub fn record_success(&mut self, name: &EndpointName) {
        let row = self.row(name);
        row.failures = row.failures.saturating_sub(1);
        if row.failures == 0 {
            row.suspected_until = BootTime::default();
            row.silent_until = BootTime::default();
        }
    }

    /// Forgets all failures, since the path to the endpoints was at fault.
    pub fn clear_suspicions(&mut self) {
        for row in self.rows.values_mut() {
            row.failures = 0;
            row.suspected_until = BootTime::default();
            row.silent_until = BootTime::default();
        }
    }

    /// Returns `true` if the endpoint has failed recently or other entries find it silent.
    pub fn is_suspected(&self, now: BootTime, name: &EndpointName) -> bool {
        let row = self.rows.get(name);
        row.is_some_and(|row| now < row.suspected_until || row.is_silent_to_peers)
    }

    /// Replaces the set of engines that are changing their stage.
    pub fn set_stage_switches(&mut self, engines: impl IntoIterator<Item = (EndpointName, StageSwitch)>) {
        for row in self.rows.values_mut() {
            row.stage_switch = None;
        }
        for (name, order) in engines {
            self.row(&name).stage_switch = Some(order);
        }
    }

    /// Returns `true` while an engine is changing its stage and takes no calls. The change is complete once the engine
    /// reports the ordered stage.
    pub fn is_switching_stage(&self, now: BootTime, name: &EndpointName, endpoint: &ServingEndpoint) -> bool {
        let stage_switch = self.rows.get(name).and_then(|row| row.stage_switch);
        stage_switch.is_some_and(|order| {
            order.birth == endpoint.incarnation && now < order.until && endpoint.stage != Some(order.stage)
        })
    }

    fn row(&mut self, name: &EndpointName) -> &mut LoadRow {
        self.rows.entry(name.clone()).or_default()
    }
}
