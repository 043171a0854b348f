//! State that the tasks of a control process share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::BodyIntake;
use acacia_runtime::clock::{boot_now, wall_nanos};
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
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::config::ServingConfig;
use acaciabay::core::serving::config_transfer::ConfigDocument;
use acaciabay::core::serving::endpoint_handles::{EndpointHandle, ReceivedHandles};
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EndpointPhase, ReportEffect, ServingEndpoint};
use acaciabay::core::serving::group_clock::GroupClock;
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use slog::Logger;
use tokio::sync::broadcast;

use super::codec::{ControlCodec, PlatformCodec};
use super::config_cache::ConfigCache;
use super::soft_state::SoftState;
use super::stream_origins::ToldOrigins;
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

/// What became of a report that an endpoint sent to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportOutcome {
    /// The registry has judged it.
    Recorded,
    /// It names a service that the configuration does not name, and was kept aside with this phase.
    KeptAside(EndpointPhase),
}

/// Settings, handles and soft state that the tasks of a control process share.
#[derive(Debug)]
pub(super) struct ControlShared {
    pub(super) settings: ServingControlSettings,
    pub(super) group: GroupHandle,
    pub(super) suspects: Arc<SuspectRecorder>,
    /// Bodies of the calls of operators and endpoints.
    pub(super) intake: Arc<BodyIntake>,
    /// Which versions have begun streams.
    pub(super) origins: ToldOrigins,
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
    group_clock: Mutex<GroupClock>,
}

impl ControlShared {
    /// Returns true if entries get slices and speeds of a service's endpoints: the settings ask for it, or an endpoint
    /// has stated its pace.
    pub(super) fn is_uneven(&self, service: &ServiceName) -> bool {
        self.is_uneven_in(&self.soft_state(), service)
    }

    /// The same for a caller that holds the soft state.
    pub(super) fn is_uneven_in(&self, soft: &SoftState, service: &ServiceName) -> bool {
        self.settings.balanced_load || soft.paced_services.contains(service)
    }

    pub(super) fn new(
        settings: ServingControlSettings,
        group: GroupHandle,
        codec: Arc<dyn ControlCodec>,
        platform: Arc<dyn PlatformCodec>,
        log: Logger,
    ) -> Self {
        let suspects = SuspectRecorder::new(group.clone(), log.clone());
        Self {
            intake: BodyIntake::new(settings.request_memory, boot_now),
            settings,
            group,
            suspects,
            origins: ToldOrigins::new(log.clone()),
            relay_token: rand::rng().random_range(1..=u64::MAX),
            codec,
            platform,
            log,
            started_at: boot_now(),
            updates: broadcast::Sender::new(MAX_QUEUED_UPDATES),
            soft_state: Mutex::default(),
            endpoint_frames: Mutex::default(),
            config_cache: Mutex::default(),
            group_clock: Mutex::default(),
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
    ///
    /// A report that names a service which no configuration in force names is kept aside, unless the endpoint is known to
    /// belong to that service.
    pub(super) fn record_report(&self, name: &EndpointName, endpoint: ServingEndpoint) -> ReportOutcome {
        let now = boot_now();
        let is_known = {
            let soft = self.soft_state();
            let known = soft.registry.get(name);
            known.is_some_and(|known| known.service == endpoint.service)
        };
        if !is_known && !self.names_service(&endpoint.service) {
            slog::debug!(self.log, "report of an unnamed service kept aside"; "event" => event::REPORT_UNNAMED,
                "endpoint" => name.as_str(), "service" => endpoint.service.as_str(), "address" => %endpoint.address,
                "birth" => endpoint.incarnation.0, "sequence" => endpoint.sequence);
            metrics::counter!("acacia_unnamed_reports_total").increment(1);
            let phase = endpoint.phase;
            self.soft_state().unnamed.keep(now, name, endpoint);
            return ReportOutcome::KeptAside(phase);
        }
        let effect = self.soft_state().registry.apply_report(now, name, endpoint);
        self.broadcast_endpoint(name, effect);
        ReportOutcome::Recorded
    }

    /// Returns true if the configuration in force names a service. One that cannot be parsed may name any.
    fn names_service(&self, service: &ServiceName) -> bool {
        let has_config = self.group.read().serving.config_number.is_some();
        has_config && self.config().is_none_or(|config| config.services.contains_key(service))
    }

    /// Records the reports that were kept aside until the configuration in force named their services.
    fn record_named_reports(&self) {
        // Only a leader needs the parsed configuration otherwise.
        if self.soft_state().unnamed.is_empty() {
            return;
        }
        let Some(config) = self.config() else { return };
        let is_named = |service: &ServiceName| config.services.contains_key(service);
        let reports = self.soft_state().unnamed.take_named(boot_now(), is_named);
        for (name, endpoint) in reports {
            let _recorded = self.record_report(&name, endpoint);
        }
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
        let number = number?;
        let mut soft = self.soft_state();
        if let Some(config) = soft.config.as_ref().filter(|config| config.number == number) {
            return Some(Arc::clone(config));
        }
        match self.codec.read_config(&document) {
            Ok(config) => {
                for contradiction in config.contradictions() {
                    slog::warn!(self.log, "configuration in force contradicts itself";
                        "event" => event::SERVING_CONFIG_CONTRADICTED, "number" => number.0,
                        "finding" => %contradiction);
                }
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

    /// Returns the term in which this replica leads, if it does.
    pub(super) fn leading_term(&self) -> Option<u64> {
        let status = self.group.status();
        let status = status.borrow();
        status.leading_since.is_some().then_some(status.term.0)
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

    /// Records the wall clock of another replica, or that it is no longer known.
    pub(super) fn record_wall_clock(&self, replica: SocketAddr, wall_millis: Option<u64>) {
        let mut clock = self.group_clock.lock();
        match wall_millis {
            Some(wall_millis) => clock.record(boot_now(), replica, wall_millis),
            None => clock.remove(&replica),
        }
    }

    /// Returns the wall time of the group in milliseconds since 1970: the median of the replicas' clocks, or the clock of
    /// this host while too few are known.
    pub(super) fn wall_millis(&self, now: BootTime) -> u64 {
        let own = wall_nanos() / 1_000_000;
        let mut clock = self.group_clock.lock();
        clock.record(now, self.settings.peer_address, own);
        clock.wall_millis(now).unwrap_or(own)
    }

    pub(super) fn config_cache(&self) -> MutexGuard<'_, ConfigCache> {
        self.config_cache.lock()
    }

    /// Adds each configuration that comes into force to the cache, and takes the endpoints into use that it names, until the
    /// process ends.
    pub(super) async fn cache_recent_configs(&self) {
        let mut numbers = self.group.serving_config_numbers();
        numbers.mark_changed();
        while numbers.changed().await.is_ok() {
            numbers.borrow_and_update();
            let newest = self.newest_config();
            self.config_cache().recent.record(newest);
            self.record_named_reports();
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
