//! What the tasks of a control process share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_settings::ServingControlSettings;
use acacia_wire::endpoint_to_wire;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{EndpointNews, RestingEngine, RestingEngines};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{DomainName, EndpointName, HostName, ServiceName};
use acaciabay::core::serving::config::{ConfigNumber, ServingConfig};
use acaciabay::core::serving::config_transfer::ConfigDocument;
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::endpoint_registry::{EndpointBirth, EndpointRegistry, ReportEffect, ServingEndpoint};
use acaciabay::core::serving::kept_parts::KeptLog;
use acaciabay::core::serving::shared_suspicion::shared_suspicions;
use acaciabay::core::serving::start_counts::GatheredRow;
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;
use tokio::sync::broadcast;

use super::codec::{ControlCodec, PlatformCodec};
use super::config_cache::ConfigCache;
use crate::group::GroupHandle;

/// How many pieces of news a session may be behind before it starts over with all endpoints.
const WAITING_NEWS: usize = 1_024;
/// How long after the start of a process the endpoints that it knows are taken for all: they report about once a
/// second, the first time up to two seconds after a group has begun to answer.
const SETTLING_TIME: Duration = Duration::from_millis(3_800);
/// After which silence an entry no longer counts as serving; its lease has ended long before.
const ENTRY_SILENCE: Duration = Duration::from_secs(10);

/// What an entry has said last.
#[derive(Clone, Debug)]
pub(super) struct EntryPresence {
    pub(super) heard_at: BootTime,
    pub(super) domain: DomainName,
    pub(super) uses: Vec<(EndpointName, EndpointWork)>,
    /// The endpoints that it has found silent.
    pub(super) silent: Vec<EndpointName>,
    /// How many milliseconds engines take for a token of a prompt, as the entry measures it.
    pub(super) paces: BTreeMap<ServiceName, f64>,
}

/// What callers asked of a service, over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceTraffic {
    pub(super) calls: u64,
    pub(super) unread_tokens: u64,
    pub(super) output_tokens: u64,
    /// The longest wait before a prompt is read that an entry has expected since the last look.
    pub(super) wait_us: u64,
}

/// What is learned anew after each start.
#[derive(Debug, Default)]
pub(super) struct ServingSoft {
    pub(super) registry: EndpointRegistry,
    pub(super) entries: BTreeMap<HostName, EntryPresence>,
    /// What entries have counted and is not committed yet.
    pub(super) starts: Vec<GatheredRow>,
    pub(super) traffic: BTreeMap<ServiceName, ServiceTraffic>,
    /// Which engines keep which parts, as entries have told this process.
    pub(super) kept: KeptLog,
    config: Option<Arc<ServingConfig>>,
}

impl ServingSoft {
    /// Returns how many entries serve.
    pub(super) fn live_entries(&mut self, now: BootTime) -> usize {
        self.entries.retain(|_, row| now.since(row.heard_at) < ENTRY_SILENCE);
        self.entries.len()
    }

    /// Returns how many milliseconds the engines of a service take for a token of a prompt: the median over the entries; 0
    /// while none has measured it.
    pub(super) fn pace_ms(&self, service: &ServiceName) -> f64 {
        let known = self.entries.values().filter_map(|row| row.paces.get(service));
        let mut paces: Vec<f64> = known.copied().collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied().unwrap_or(0.0)
    }

    /// Returns for how long the entry that was heard least lately has not reported.
    pub(super) fn longest_silence(&mut self, now: BootTime) -> Duration {
        self.live_entries(now);
        let silences = self.entries.values().map(|row| now.since(row.heard_at));
        silences.max().unwrap_or_default()
    }

    /// Tells whether any entry has a call at an endpoint.
    pub(super) fn has_calls(&self) -> bool {
        self.entries.values().any(|row| !row.uses.is_empty())
    }

    /// Returns the endpoints that all entries are to leave out.
    pub(super) fn silent_endpoints(&self) -> BTreeSet<&EndpointName> {
        let rows = self.entries.values();
        shared_suspicions(rows.flat_map(|row| row.silent.iter().map(|endpoint| (&row.domain, endpoint))))
    }

    /// Returns what all entries but one have at the endpoints.
    pub(super) fn uses_beside(&self, host: Option<&HostName>) -> BTreeMap<EndpointName, EndpointWork> {
        let mut sums: BTreeMap<EndpointName, EndpointWork> = BTreeMap::new();
        for (_, row) in self.entries.iter().filter(|(name, _)| Some(*name) != host) {
            for (endpoint, work) in &row.uses {
                let sum = sums.entry(endpoint.clone()).or_default();
                *sum = sum.plus(*work);
            }
        }
        sums
    }
}

/// What the tasks share.
#[derive(Debug)]
pub(super) struct ServingHub {
    pub(super) settings: ServingControlSettings,
    pub(super) group: GroupHandle,
    pub(super) codec: Arc<dyn ControlCodec>,
    pub(super) platform: Arc<dyn PlatformCodec>,
    pub(super) log: Logger,
    started_at: BootTime,
    news: broadcast::Sender<Arc<Body>>,
    soft: Mutex<ServingSoft>,
    configs: Mutex<ConfigCache>,
}

impl ServingHub {
    pub(super) fn new(
        settings: ServingControlSettings,
        group: GroupHandle,
        codec: Arc<dyn ControlCodec>,
        platform: Arc<dyn PlatformCodec>,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            group,
            codec,
            platform,
            log,
            started_at: boot_now(),
            news: broadcast::Sender::new(WAITING_NEWS),
            soft: Mutex::default(),
            configs: Mutex::default(),
        }
    }

    /// Tells whether every endpoint has had the time to report since this process started: by the few that are known
    /// first, the wrong ones would be ordered.
    pub(super) fn knows_endpoints(&self, now: BootTime) -> bool {
        now.since(self.started_at) >= SETTLING_TIME
    }

    pub(super) fn soft(&self) -> MutexGuard<'_, ServingSoft> {
        self.soft.lock()
    }

    /// Follows what endpoints say to this process.
    pub(super) fn news(&self) -> broadcast::Receiver<Arc<Body>> {
        self.news.subscribe()
    }

    /// Takes what an endpoint has said to this process, and passes it on.
    pub(super) fn take_report(&self, name: &EndpointName, endpoint: ServingEndpoint) -> ReportEffect {
        let effect = self.soft().registry.report(boot_now(), name, endpoint);
        self.pass_on(name, effect);
        effect
    }

    /// Tells whether this process has heard of an endpoint.
    pub(super) fn knows(&self, name: &EndpointName) -> bool {
        self.soft().registry.get(name).is_some()
    }

    /// Notes that an endpoint has told this process that it leaves, and passes that on.
    pub(super) fn take_leave(&self, name: &EndpointName, birth: Option<EndpointBirth>) -> ReportEffect {
        let effect = self.soft().registry.leave(name, birth);
        self.pass_on(name, effect);
        effect
    }

    /// Takes what an endpoint has said to another replica.
    pub(super) fn hear_report(&self, name: &EndpointName, endpoint: ServingEndpoint) {
        self.soft().registry.hear(boot_now(), name, endpoint);
    }

    fn pass_on(&self, name: &EndpointName, effect: ReportEffect) {
        let soft = self.soft();
        let Some(endpoint) = soft.registry.get(name) else {
            return;
        };
        match effect {
            ReportEffect::Old => return,
            ReportEffect::Heard => {}
            ReportEffect::Changed => {
                slog::info!(self.log, "endpoint changed"; "event" => event::ENDPOINT_CHANGED,
                    "endpoint" => name.as_str(), "service" => endpoint.service.as_str(),
                    "phase" => ?endpoint.phase, "stage" => ?endpoint.stage, "address" => %endpoint.address,
                    "birth" => endpoint.birth.0, "sequence" => endpoint.sequence);
            }
        }
        let rows = vec![endpoint_to_wire(name, endpoint)];
        // Without a session there is nobody to tell; whoever connects gets all endpoints.
        let _nobody = self.news.send(Arc::new(Body::News(EndpointNews { rows })));
    }

    /// Tells all sessions which engines carry out an order, before it is given: an entry that learned of it from the
    /// engine's next report would send calls there in vain for a second.
    pub(super) fn tell_resting(&self, engines: Vec<RestingEngine>) {
        let _nobody = self.news.send(Arc::new(Body::Resting(RestingEngines { engines })));
    }

    /// Returns all endpoints, for a session that begins.
    pub(super) fn all_endpoints(&self) -> EndpointNews {
        let soft = self.soft();
        let rows = soft
            .registry
            .rows()
            .map(|(name, endpoint)| endpoint_to_wire(name, endpoint));
        EndpointNews { rows: rows.collect() }
    }

    /// Returns the configuration in force, read once for each number.
    pub(super) fn config(&self) -> Option<Arc<ServingConfig>> {
        let ConfigDocument { number, document } = self.newest_config();
        if number == ConfigNumber(0) {
            return None;
        }
        let mut soft = self.soft();
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
                slog::error!(self.log, "configuration in force cannot be read"; "event" => event::CONFIG_UNREADABLE,
                    "number" => number.0, "findings" => ?findings);
                None
            }
        }
    }

    /// Returns the configuration that this process knows as the newest.
    pub(super) fn newest_config(&self) -> ConfigDocument {
        let state = self.group.read();
        ConfigDocument {
            number: state.serving.config_number,
            document: state.serving.document.clone(),
        }
    }

    pub(super) fn configs(&self) -> MutexGuard<'_, ConfigCache> {
        self.configs.lock()
    }

    /// Keeps the configurations that come into force, until the process ends.
    pub(super) async fn keep_recent_configs(&self) {
        let mut numbers = self.group.serving_config_numbers();
        numbers.mark_changed();
        while numbers.changed().await.is_ok() {
            numbers.borrow_and_update();
            let newest = self.newest_config();
            self.configs().recent.record(newest);
        }
    }

    /// Returns the control address of the leader, which has the same ports as this process.
    pub(super) fn leader_control_address(&self) -> Option<SocketAddr> {
        let status = self.group.status();
        let status = status.borrow();
        let leader = status.leader.filter(|leader| Some(*leader) != status.replica)?;
        let peer: SocketAddr = status.members.get(leader)?.address.parse().ok()?;
        Some(SocketAddr::new(peer.ip(), self.settings.control_address.port()))
    }
}
