//! State that the tasks of a control process share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_settings::ServingControlSettings;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{
    EndpointNews, EndpointReports, EndpointRow, RestingEngine, RestingEngines, ServingFrame,
};
use acacia_wire::generated::state;
use acacia_wire::{ALLOWANCES_REVISION, EncodedFrame, LIMITS_REVISION, endpoint_to_wire, suspects_to_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{DomainName, EndpointName, HostName, ServiceName};
use acaciabay::core::serving::cached_parts::KeptLog;
use acaciabay::core::serving::config::{ConfigNumber, ServingConfig};
use acaciabay::core::serving::config_transfer::ConfigDocument;
use acaciabay::core::serving::endpoint_handles::{EndpointHandle, HandleTable, ReceivedHandles};
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointRegistry, ReportEffect, ServingEndpoint,
};
use acaciabay::core::serving::limit_ledger::LimitLedger;
use acaciabay::core::serving::relay_choice::{RelayOffer, select_relays};
use acaciabay::core::serving::shared_suspicion::shared_suspicions;
use acaciabay::core::serving::start_counts::GatheredRow;
use acaciabay::core::serving::work_sums::WorkSums;
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use slog::Logger;
use tokio::sync::broadcast;

use super::allowances::LeaderAllowances;
use super::codec::{ControlCodec, PlatformCodec};
use super::config_cache::ConfigCache;
use crate::group::GroupHandle;
use crate::suspect_calls::SuspectRecorder;

/// Maximum number of updates that a session may lag behind. Beyond it, the session sends all endpoints again.
const MAX_QUEUED_UPDATES: usize = 1_024;
/// Shortest interval at which the frames with all endpoints are made anew.
const FRAMES_INTERVAL: Duration = Duration::from_millis(100);
/// Endpoints in one of these frames. A connection buffers one frame at a time.
const ROWS_PER_FRAME: usize = 64;
/// Time from the creation of [`ControlShared`] until the registry counts as complete. Endpoints report about once a
/// second, and send their first report up to two seconds after the group has begun to answer. If the group begins to
/// answer only after that creation, the delay falls within this value too.
const REGISTRY_FILL_TIME: Duration = Duration::from_millis(3_800);
/// Time without a renewal after which an entry no longer counts as serving. Its serving lease has ended long before.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a renewal after which an entry no longer counts as a relay: four renewals.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that an entry sent with its last renewal.
#[derive(Clone, Debug)]
pub(super) struct EntryState {
    /// Time at which this replica received the renewal.
    pub(super) heard_at: BootTime,
    /// Failure domain of the entry.
    pub(super) domain: DomainName,
    /// Outstanding work of the entry at each endpoint.
    pub(super) work: Vec<(EndpointName, EndpointWork)>,
    /// Endpoints that the entry has found silent.
    pub(super) silent: Vec<EndpointName>,
    /// Prefill time per token in milliseconds, as measured by the entry. A renewal names only services with calls since
    /// the last one, so the values of the others are kept from earlier renewals.
    pub(super) paces: BTreeMap<ServiceName, f64>,
    /// The entry's offer to relay connections of other entries, while it makes one.
    pub(super) relay: Option<RelayOffer>,
}

/// Demand for a service over all entries since the pool of the service was last planned on this replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceTraffic {
    pub(super) unread_tokens: u64,
    pub(super) output_tokens: u64,
    /// Longest wait for prefill that an entry has expected, in microseconds.
    pub(super) wait_us: u64,
}

/// Soft state, which is not replicated. After each start it is rebuilt from the reports of endpoints and the renewals
/// of entries.
#[derive(Debug, Default)]
pub(super) struct SoftState {
    pub(super) registry: EndpointRegistry,
    pub(super) handles: HandleTable,
    entries: BTreeMap<HostName, EntryState>,
    work_sums: WorkSums,
    /// Counts of started calls that entries have reported and that are not committed yet.
    pub(super) uncommitted_counts: Vec<GatheredRow>,
    pub(super) traffic: BTreeMap<ServiceName, ServiceTraffic>,
    /// Calls of each service since its stages were last planned on this replica.
    pub(super) calls: BTreeMap<ServiceName, u64>,
    /// Allowances of customers, since this replica leads.
    pub(super) allowances: LeaderAllowances,
    /// Limits of endpoints in the term in which this replica led last.
    pub(super) limits: Option<LimitLedger>,
    /// Prompt parts that engines have cached, as announced by entries.
    pub(super) cached_parts: KeptLog,
    /// Configuration that was parsed last. It is reused while its number is the newest.
    config: Option<Arc<ServingConfig>>,
}

impl SoftState {
    /// Removes the entries whose last renewal is at least [`ENTRY_TIMEOUT`] ago, and returns the number of the
    /// remaining entries.
    pub(super) fn live_entries(&mut self, now: BootTime) -> usize {
        let sums = &mut self.work_sums;
        self.entries.retain(|_, row| {
            let is_live = now.since(row.heard_at) < ENTRY_TIMEOUT;
            if !is_live {
                sums.replace(&row.work, &[]);
            }
            is_live
        });
        self.entries.len()
    }

    /// Returns the state that an entry sent with its last renewal.
    pub(super) fn entry(&self, host: &HostName) -> Option<&EntryState> {
        self.entries.get(host)
    }

    /// Replaces the state of an entry.
    pub(super) fn set_entry(&mut self, host: &HostName, state: EntryState) {
        let old = self.entries.get(host).map_or(&[][..], |old| &old.work);
        self.work_sums.replace(old, &state.work);
        self.entries.insert(host.clone(), state);
    }

    /// Returns the prefill time per token of a service in milliseconds: the median over the entries, or 0 before the
    /// first measurement.
    pub(super) fn prefill_ms_per_token(&self, service: &ServiceName) -> f64 {
        let known = self.entries.values().filter_map(|row| row.paces.get(service));
        let mut paces: Vec<f64> = known.copied().collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied().unwrap_or(0.0)
    }

    /// Removes timed-out entries as [`Self::live_entries`] does, and returns the longest time since the last renewal of
    /// a remaining entry, or zero if none remains.
    pub(super) fn longest_silence(&mut self, now: BootTime) -> Duration {
        self.live_entries(now);
        let silences = self.entries.values().map(|row| now.since(row.heard_at));
        silences.max().unwrap_or_default()
    }

    /// Removes endpoints that have not reported for a long time.
    pub(super) fn forget_silent(&mut self, now: BootTime) {
        let Self { registry, handles, .. } = self;
        registry.remove_expired(now);
        handles.retain_registered(registry);
    }

    /// Returns true if any entry has a running call at an endpoint.
    pub(super) fn has_calls(&self) -> bool {
        self.entries.values().any(|row| !row.work.is_empty())
    }

    /// Returns the endpoints that all entries should avoid, since entries in several failure domains find them silent.
    pub(super) fn silent_endpoints(&self) -> BTreeSet<&EndpointName> {
        let rows = self.entries.values();
        shared_suspicions(rows.flat_map(|row| row.silent.iter().map(|endpoint| (&row.domain, endpoint))))
    }

    /// Returns the relays that an entry is told.
    pub(super) fn relays_for(&self, now: BootTime, host: &HostName, domain: &DomainName) -> Vec<&RelayOffer> {
        let live = self
            .entries
            .values()
            .filter(|row| now.since(row.heard_at) < RELAY_TIMEOUT);
        select_relays(host, domain, live.filter_map(|row| row.relay.as_ref()))
    }

    /// Returns the work that all entries except `host` have at each endpoint.
    pub(super) fn work_except(&self, host: &HostName) -> BTreeMap<EndpointName, EndpointWork> {
        let own = self.entries.get(host).map_or(&[][..], |row| &row.work);
        self.work_sums.without(own)
    }

    /// Returns the work that all entries have at each endpoint.
    pub(super) const fn work(&self) -> &BTreeMap<EndpointName, EndpointWork> {
        self.work_sums.all()
    }
}

/// A message to all sessions, encoded once.
#[derive(Debug)]
pub(super) struct SessionUpdate {
    pub(super) frame: EncodedFrame,
    /// Revision of the messages that a session must understand.
    pub(super) revision: u32,
    /// Endpoints that the message is about, if it stands for their rows.
    pub(super) reported: Vec<EndpointHandle>,
}

impl SessionUpdate {
    fn new(body: Body) -> Self {
        let (revision, reported) = match &body {
            Body::Reported(reports) => {
                let handles = reports.handles.iter().copied().map(EndpointHandle);
                (ALLOWANCES_REVISION, handles.collect())
            }
            Body::Allowances(_) => (ALLOWANCES_REVISION, Vec::new()),
            Body::Limits(_) => (LIMITS_REVISION, Vec::new()),
            _ => (0, Vec::new()),
        };
        Self {
            frame: encoded_frame(body),
            revision,
            reported,
        }
    }
}

/// Frames with all endpoints, and the time at which they were made.
#[derive(Debug, Default)]
struct EndpointFrames {
    made_at: BootTime,
    frames: Vec<EncodedFrame>,
}

/// Returns frames with the rows; an empty one if there are none.
fn news_frames(rows: &[EndpointRow]) -> Vec<EncodedFrame> {
    let mut frames = Vec::new();
    let mut rest = rows;
    loop {
        let (chunk, after) = rest.split_at(rest.len().min(ROWS_PER_FRAME));
        rest = after;
        frames.push(encoded_frame(Body::News(EndpointNews {
            rows: chunk.to_vec(),
            more: !rest.is_empty(),
        })));
        if rest.is_empty() {
            return frames;
        }
    }
}

pub(super) fn encoded_frame(body: Body) -> EncodedFrame {
    EncodedFrame::new(Frame::Serving(ServingFrame { body: Some(body) }))
}

/// Settings, handles and soft state that the tasks of a control process share.
#[derive(Debug)]
pub(super) struct ControlShared {
    pub(super) settings: ServingControlSettings,
    pub(super) group: GroupHandle,
    pub(super) suspects: Arc<SuspectRecorder>,
    /// By which entries know each other while this replica leads.
    pub(super) relay_token: u64,
    pub(super) codec: Arc<dyn ControlCodec>,
    pub(super) platform: Arc<dyn PlatformCodec>,
    pub(super) log: Logger,
    started_at: BootTime,
    updates: broadcast::Sender<Arc<SessionUpdate>>,
    soft_state: Mutex<SoftState>,
    endpoint_frames: Mutex<EndpointFrames>,
    config_cache: Mutex<ConfigCache>,
}

impl ControlShared {
    pub(super) fn new(
        settings: ServingControlSettings,
        group: GroupHandle,
        codec: Arc<dyn ControlCodec>,
        platform: Arc<dyn PlatformCodec>,
        log: Logger,
    ) -> Self {
        let suspects = SuspectRecorder::new(group.clone(), log.clone());
        Self {
            settings,
            group,
            suspects,
            relay_token: rand::rng().random_range(1..=u64::MAX),
            codec,
            platform,
            log,
            started_at: boot_now(),
            updates: broadcast::Sender::new(MAX_QUEUED_UPDATES),
            soft_state: Mutex::default(),
            endpoint_frames: Mutex::default(),
            config_cache: Mutex::default(),
        }
    }

    /// Returns true once [`REGISTRY_FILL_TIME`] has passed, so that every endpoint has had time to report. Orders that
    /// are based on an incomplete registry would be wrong.
    pub(super) fn is_registry_complete(&self, now: BootTime) -> bool {
        now.since(self.started_at) >= REGISTRY_FILL_TIME
    }

    pub(super) fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        self.soft_state.lock()
    }

    /// Subscribes to the updates that are broadcast to all sessions.
    pub(super) fn subscribe(&self) -> broadcast::Receiver<Arc<SessionUpdate>> {
        self.updates.subscribe()
    }

    /// Records a report that an endpoint sent to this process, and broadcasts it to all sessions unless it is stale.
    pub(super) fn record_report(&self, name: &EndpointName, endpoint: ServingEndpoint) -> ReportEffect {
        let effect = self.soft_state().registry.apply_report(boot_now(), name, endpoint);
        self.broadcast_endpoint(name, effect);
        effect
    }

    /// Returns true if the registry has the endpoint.
    pub(super) fn has_endpoint(&self, name: &EndpointName) -> bool {
        self.soft_state().registry.get(name).is_some()
    }

    /// Records that an endpoint has deregistered at this process, and broadcasts it to all sessions unless it is stale.
    pub(super) fn record_leave(&self, name: &EndpointName, birth: Option<EndpointIncarnation>) -> ReportEffect {
        let effect = self.soft_state().registry.mark_gone(name, birth);
        self.broadcast_endpoint(name, effect);
        effect
    }

    /// Records a report that an endpoint sent to another replica. That replica broadcasts it.
    pub(super) fn record_relayed_report(&self, name: &EndpointName, endpoint: ServingEndpoint) {
        self.soft_state()
            .registry
            .apply_relayed_report(boot_now(), name, endpoint);
    }

    /// Records the endpoints that another replica has heard without anything new.
    pub(super) fn record_unchanged(&self, handles: &ReceivedHandles, reports: &EndpointReports) {
        let reported = reports.handles.iter().copied().map(EndpointHandle);
        handles.apply_reports(boot_now(), reported, &mut self.soft_state().registry);
    }

    fn broadcast_endpoint(&self, name: &EndpointName, effect: ReportEffect) {
        let mut soft = self.soft_state();
        let SoftState { registry, handles, .. } = &mut *soft;
        let Some(endpoint) = registry.get(name) else {
            return;
        };
        match effect {
            ReportEffect::Ignored => return,
            ReportEffect::Unchanged => {
                if let Some(handle) = handles.get(name) {
                    handles.record_report(handle);
                    return;
                }
            }
            ReportEffect::Changed => {
                slog::info!(self.log, "endpoint changed"; "event" => event::ENDPOINT_CHANGED,
                    "endpoint" => name.as_str(), "service" => endpoint.service.as_str(),
                    "phase" => ?endpoint.phase, "stage" => ?endpoint.stage, "address" => %endpoint.address,
                    "birth" => endpoint.incarnation.0, "sequence" => endpoint.sequence);
            }
        }
        let rows = vec![EndpointRow {
            handle: handles.assign(name).0,
            ..endpoint_to_wire(name, endpoint)
        }];
        self.broadcast(Body::News(EndpointNews { rows, more: false }));
    }

    /// Broadcasts which endpoints have reported nothing new since the last call.
    pub(super) fn broadcast_reports(&self) {
        let reported = self.soft_state().handles.take_reported();
        if reported.is_empty() {
            return;
        }
        let handles = reported.into_iter().map(|handle| handle.0).collect();
        self.broadcast(Body::Reported(EndpointReports { handles }));
    }

    /// Broadcasts a message to all sessions that understand it.
    pub(super) fn broadcast(&self, body: Body) {
        let update = SessionUpdate::new(body);
        // Sending fails if there is no session. A session that begins later starts with all endpoints.
        let _no_receiver = self.updates.send(Arc::new(update));
    }

    /// Broadcasts to all sessions the engines that take no calls until they have carried out an order. Entries should
    /// learn of an order before the engine does, but nothing here enforces that sequence. An entry that learned of it
    /// only from the engine's next report would send calls to the engine in vain for a second.
    pub(super) fn broadcast_resting(&self, engines: Vec<RestingEngine>) {
        self.broadcast(Body::Resting(RestingEngines { engines }));
    }

    /// Returns the rows of endpoints, for a session that does not understand their handles.
    pub(super) fn rows_of(&self, handles: &[EndpointHandle]) -> Body {
        let soft = self.soft_state();
        let rows = handles.iter().filter_map(|handle| {
            let name = soft.handles.name(*handle)?;
            Some(endpoint_to_wire(name, soft.registry.get(name)?))
        });
        Body::News(EndpointNews {
            rows: rows.collect(),
            more: false,
        })
    }

    /// Returns all endpoints as they are at `asked_at` or later, for the beginning of a session.
    ///
    /// Sessions that begin together share the encoded frames: after the loss of all hosts every entry comes back at
    /// once, and a copy for each would take the memory of the process.
    pub(super) async fn all_endpoints(&self, asked_at: BootTime) -> Vec<EncodedFrame> {
        loop {
            if let Some(frames) = self.endpoint_frames(boot_now(), asked_at) {
                return frames;
            }
            tokio::time::sleep(FRAMES_INTERVAL / 4).await;
        }
    }

    /// Returns the frames with all endpoints, if they were made after `asked_at` or may be made now.
    fn endpoint_frames(&self, now: BootTime, asked_at: BootTime) -> Option<Vec<EncodedFrame>> {
        let mut frames = self.endpoint_frames.lock();
        if frames.made_at > asked_at {
            return Some(frames.frames.clone());
        }
        if now <= asked_at || now.since(frames.made_at) < FRAMES_INTERVAL {
            return None;
        }
        let mut soft = self.soft_state();
        let SoftState { registry, handles, .. } = &mut *soft;
        let rows: Vec<EndpointRow> = registry
            .rows()
            .map(|(name, endpoint)| EndpointRow {
                handle: handles.assign(name).0,
                ..endpoint_to_wire(name, endpoint)
            })
            .collect();
        drop(soft);
        frames.frames = news_frames(&rows);
        frames.made_at = now;
        Some(frames.frames.clone())
    }

    /// Returns the configuration in force, or `None` if there is none or it cannot be parsed. A configuration that was
    /// parsed once is not parsed again.
    pub(super) fn config(&self) -> Option<Arc<ServingConfig>> {
        let ConfigDocument { number, document } = self.newest_config();
        if number == ConfigNumber(0) {
            return None;
        }
        let mut soft = self.soft_state();
        if let Some(config) = soft.config.as_ref().filter(|config| config.number == number) {
            return Some(Arc::clone(config));
        }
        match self.codec.read_config(&document) {
            Ok(config) => {
                let config = Arc::new(config);
                soft.config = Some(Arc::clone(&config));
                Some(config)
            }
            Err(findings) => {
                slog::error!(self.log, "configuration in force cannot be parsed"; "event" => event::CONFIG_UNREADABLE,
                    "number" => number.0, "findings" => ?findings);
                None
            }
        }
    }

    /// Returns the newest configuration that this replica has applied.
    pub(super) fn newest_config(&self) -> ConfigDocument {
        let state = self.group.read();
        ConfigDocument {
            number: state.serving.config_number,
            document: state.serving.document.clone(),
        }
    }

    /// Returns the suspect calls that entries have to know, as this replica has applied them.
    pub(super) fn published_suspects(&self) -> state::SuspectTable {
        suspects_to_wire(&self.group.read().serving.suspects.published_table())
    }

    pub(super) fn config_cache(&self) -> MutexGuard<'_, ConfigCache> {
        self.config_cache.lock()
    }

    /// Adds each configuration that comes into force to the cache, until the process ends.
    pub(super) async fn cache_recent_configs(&self) {
        let mut numbers = self.group.serving_config_numbers();
        numbers.mark_changed();
        while numbers.changed().await.is_ok() {
            numbers.borrow_and_update();
            let newest = self.newest_config();
            self.config_cache().recent.record(newest);
        }
    }

    /// Returns the control address of the leader, or `None` if no leader is known or this replica leads. The port is
    /// that of this process, since all hosts use the same ports.
    pub(super) fn leader_control_address(&self) -> Option<SocketAddr> {
        let status = self.group.status();
        let status = status.borrow();
        let leader = status.leader.filter(|leader| Some(*leader) != status.replica)?;
        let peer: SocketAddr = status.members.get(leader)?.address.parse().ok()?;
        Some(SocketAddr::new(peer.ip(), self.settings.control_address.port()))
    }
}
