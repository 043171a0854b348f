//! State that all calls and sessions of an entry share.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acacia_http::{BodyIntake, ClientOptions, EndpointClient, WriteGuard};
use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_settings::ServingEntrySettings;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{CustomerName, DomainName, EndpointName, ServiceName};
use acaciabay::core::serving::allowance_gate::AllowanceGate;
use acaciabay::core::serving::answer_pace::AnswerLatency;
use acaciabay::core::serving::cached_parts::{CachedPartOutbox, KeptPart};
use acaciabay::core::serving::config::EngineSpec;
use acaciabay::core::serving::config_freshness::ConfigFreshness;
use acaciabay::core::serving::config_index::ConfigIndex;
use acaciabay::core::serving::config_transfer::ConfigDocument;
use acaciabay::core::serving::endpoint_load::{EndpointWork, LoadTable};
use acaciabay::core::serving::endpoint_registry::{EndpointRegistry, EngineStage};
use acaciabay::core::serving::group_clock::GroupClock;
use acaciabay::core::serving::lease_recovery::LeaseOutage;
use acaciabay::core::serving::limit_gate::LimitGate;
use acaciabay::core::serving::load_slice::LoadSlice;
use acaciabay::core::serving::prefill_pace::{PrefillPace, PrefillTime};
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::retry_limiter::{RetryLimit, RetryLimiter};
use acaciabay::core::serving::start_counts::{CallCounts, WindowNumber};
use acaciabay::core::serving::stop_state::StopState;
use acaciabay::util::number::whole_millis;
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use super::answer_buffer::AnswerBuffers;
use super::codec::CallCodec;
use super::endpoint_paths::{EndpointPaths, PathConnector};
use super::endpoint_speeds::SpeedObservations;
use super::engine_lines::EngineLines;
use super::prompt_queue::PromptQueue;
use super::stream_origins::OriginExchange;
use crate::suspect_calls::SuspectTracker;

/// Length of the lease as a fraction of the time within which a withdrawn key must stop working. The rest covers calls
/// that are on their way to an endpoint when the lease ends.
const LEASE_FRACTION: f64 = 0.75;
/// Time for which an idle connection is kept if the endpoint does not announce a time of its own. An entry that spreads
/// a few calls per second over a hundred endpoints reuses each connection within this time. A new connection costs both
/// sides.
const IDLE_TIMEOUT: Duration = Duration::from_secs(45);
/// How many windows of counts are repeated to the leader: those that may still be open.
const REPORTED_WINDOWS: u64 = 4;
/// Number of streams at a time whose event may be larger than usual, so that such events cannot fill the memory.
const MAX_LARGE_EVENTS: usize = 8;

/// Demand for a service since the last report to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DemandCount {
    pub(super) calls: u64,
    pub(super) unread_tokens: u64,
    pub(super) output_tokens: u64,
    pub(super) wait_us: u64,
}

/// Mutable state of the entry: the configuration, the endpoints, and the counters for the next report.
#[derive(Debug, Default)]
pub(super) struct EntryState {
    pub(super) index: Option<Arc<ConfigIndex>>,
    /// Configuration from which `index` was built.
    pub(super) config: ConfigDocument,
    pub(super) freshness: ConfigFreshness,
    pub(super) registry: EndpointRegistry,
    /// True once a replica has sent all endpoints that it knows.
    pub(super) has_endpoints: bool,
    pub(super) loads: LoadTable,
    pub(super) entry_count: u32,
    /// Slices of the services with uneven load, as the leader told them last.
    pub(super) slices: BTreeMap<ServiceName, LoadSlice>,
    /// The endpoints of these services as they lie on their lines.
    pub(super) lines: EngineLines,
    pub(super) allowances: AllowanceGate,
    pub(super) limits: LimitGate,
    pub(super) start_counts: CallCounts,
    pub(super) group_clock: GroupClock,
    /// Announcements of the prompt parts that engines have cached.
    pub(super) kept_news: CachedPartOutbox,
    pub(super) demands: BTreeMap<ServiceName, DemandCount>,
    prefill_paces: BTreeMap<ServiceName, PrefillPace>,
    /// What this entry has observed of endpoints' speeds and not yet reported.
    pub(super) speeds: SpeedObservations,
    answer_paces: BTreeMap<ServiceName, AnswerLatency>,
    pub(super) retry_limiters: HashMap<ServiceName, RetryLimiter>,
    /// Time at which engines of a service and stage were last asked whether they are silent.
    asked_at: HashMap<(ServiceName, EngineStage), BootTime>,
}

impl EntryState {
    /// Returns the specification of a service's engines, if the configuration has one.
    pub(super) fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        let spec = self.index.as_ref()?.config().services.get(service)?;
        spec.engine
    }

    /// Returns the time of the group in milliseconds since 1970, or that of this host if too few replicas have told
    /// theirs.
    pub(super) fn wall_millis(&self, now: BootTime) -> u64 {
        self.group_clock
            .wall_millis(now)
            .unwrap_or_else(|| wall_nanos() / 1_000_000)
    }

    /// Returns what endpoints are chosen by. Only limits change with a choice.
    pub(super) const fn choice_parts(&mut self) -> (&EndpointRegistry, &LoadTable, &mut LimitGate) {
        (&self.registry, &self.loads, &mut self.limits)
    }

    /// Returns the limiter of a service's retries.
    pub(super) fn retry_limiter(&mut self, service: &ServiceName) -> &mut RetryLimiter {
        self.retry_limiters.entry(service.clone()).or_default()
    }

    /// Returns true if engines of a service and stage may be asked whether they are silent, which they are at most once in an
    /// interval.
    pub(super) fn may_ask(&mut self, now: BootTime, asking: (ServiceName, EngineStage), interval: Duration) -> bool {
        let asked_at = self.asked_at.get(&asking);
        let is_due = asked_at.is_none_or(|asked_at| now.since(*asked_at) >= interval);
        if is_due {
            self.asked_at.insert(asking, now);
        }
        is_due
    }

    /// Removes endpoints that have not reported for a long time, with what they have cached and their limits.
    pub(super) fn forget_silent(&mut self, now: BootTime) {
        let Self {
            registry,
            kept_news,
            limits,
            loads,
            speeds,
            ..
        } = self;
        registry.remove_expired(now);
        limits.retain(|endpoint| registry.get(endpoint).is_some());
        kept_news.retain(|engine| registry.get(engine).is_some());
        loads.speeds.retain(|endpoint| registry.get(endpoint).is_some());
        loads.rests.retain(now, |endpoint| registry.get(endpoint).is_some());
        speeds.retain(|endpoint| registry.get(endpoint).is_some());
    }

    /// Records that an engine has cached a part that it prefilled for another entry.
    pub(super) fn record_cached_part(&mut self, kept: &KeptPart) {
        let Some(endpoint) = self.registry.get(&kept.engine) else {
            return;
        };
        let service = endpoint.service.clone();
        let memory = self.engine_spec(&service).map_or(0, |engine| engine.memory_tokens);
        self.kept_news.record_announced(kept);
        self.loads.record_prefill(&kept.engine, &[kept.part], memory);
    }

    /// Records how long an engine took to prefill a prompt.
    pub(super) fn record_prefill_time(&mut self, service: &ServiceName, engine: &EndpointName, reading: PrefillTime) {
        let usual = self.prefill_pace(service);
        self.loads.record_prefill_time(engine, reading, usual);
        self.prefill_paces.entry(service.clone()).or_default().record(reading);
    }

    /// Records how long a decode engine took to begin its answer.
    pub(super) fn record_first_answer(&mut self, service: &ServiceName, took: Duration) {
        self.answer_paces.entry(service.clone()).or_default().record(took);
    }

    /// Returns the time without an answer after which a decode engine of a service is suspected, if it is known.
    pub(super) fn suspicion_timeout(&self, service: &ServiceName) -> Option<Duration> {
        self.answer_paces.get(service)?.suspicion_timeout()
    }

    /// Returns the prefill time per prompt token of a service's engines in milliseconds, without time in the queue, or
    /// `None` before the first measurement.
    pub(super) fn prefill_pace(&self, service: &ServiceName) -> Option<f64> {
        self.prefill_paces.get(service).and_then(|pace| pace.get())
    }
}

/// State shared by the tasks of an entry.
#[derive(Debug)]
pub(super) struct EntryShared {
    pub(super) settings: ServingEntrySettings,
    pub(super) domain: DomainName,
    pub(super) codec: Arc<dyn CallCodec>,
    pub(super) client: EndpointClient,
    /// Paths to the endpoints.
    pub(super) paths: Arc<EndpointPaths>,
    /// Calls under which endpoints have ended.
    pub(super) suspects: Arc<SuspectTracker>,
    /// Prompts that wait until engines can prefill them.
    pub(super) prompt_queue: PromptQueue,
    /// Which versions have begun streams.
    pub(super) origins: OriginExchange,
    pub(super) log: Logger,
    /// Cancelled when the process is asked to stop. The entry still accepts calls, but answers with
    /// `Connection: close`, so that callers go to other entries.
    pub(super) stopping: CancellationToken,
    started_at: BootTime,
    stop_phase: Mutex<StopState>,
    lease: Arc<LeaseEnd>,
    /// Notifies the calls that wait for a lease.
    lease_extended: Notify,
    /// Counter of the times at which the leader was to be told of a limit, or asked for permits or retries, at once.
    pub(super) reports_due: watch::Sender<u64>,
    /// Notifies the calls that wait for permits.
    pub(super) limit_news: Notify,
    /// Notifies the calls that wait for retries.
    pub(super) retries_granted: Notify,
    /// Permits to hold events of more than the usual size.
    pub(super) large_events: Arc<Semaphore>,
    /// Memory for answers that callers read slowly and for request bodies, if it is bounded.
    pub(super) answer_buffers: Option<Arc<AnswerBuffers>>,
    /// Bodies of the calls.
    pub(super) intake: Arc<BodyIntake>,
    state: Mutex<EntryState>,
}

/// End of the serving lease, in microseconds of the boot clock. It only moves forward.
#[derive(Debug, Default)]
struct LeaseEnd(AtomicU64);

impl LeaseEnd {
    fn is_valid(&self, now: BootTime) -> bool {
        now.since_boot() < Duration::from_micros(self.0.load(Ordering::Acquire))
    }

    fn end(&self) -> BootTime {
        BootTime::from_boot(Duration::from_micros(self.0.load(Ordering::Acquire)))
    }

    fn extend(&self, until: BootTime) {
        let micros = u64::try_from(until.since_boot().as_micros()).unwrap_or(u64::MAX);
        self.0.fetch_max(micros, Ordering::AcqRel);
    }
}

/// Work that is counted as outstanding at an endpoint until the guard is dropped.
#[derive(Debug)]
pub(super) struct LoadGuard {
    shared: Arc<EntryShared>,
    endpoint: EndpointName,
    work: EndpointWork,
    began_at: BootTime,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.loads.end(&self.endpoint, self.work);
        state.record_work_time(boot_now(), self.began_at, &self.endpoint);
    }
}

impl EntryShared {
    pub(super) fn new(
        settings: ServingEntrySettings,
        codec: Arc<dyn CallCodec>,
        stopping: CancellationToken,
        log: Logger,
    ) -> Self {
        let lease = Arc::new(LeaseEnd::default());
        let lease_end = Arc::clone(&lease);
        let paths = EndpointPaths::new(
            settings.host.clone(),
            settings.relay_address,
            settings.endpoint_source,
            log.clone(),
        );
        let options = ClientOptions {
            idle_timeout: IDLE_TIMEOUT,
            // The process may be suspended after the check of the lease, and a key withdrawn meanwhile. The lease is
            // therefore checked again with each write.
            guard: Some(WriteGuard::new(move || lease_end.is_valid(boot_now()))),
            ..ClientOptions::default()
        };
        Self {
            domain: settings.failure_domain.as_str().into(),
            answer_buffers: settings
                .answer_buffer
                .map(|budget| AnswerBuffers::new(budget, log.clone())),
            intake: BodyIntake::new(settings.request_memory, boot_now),
            settings,
            codec,
            client: EndpointClient::with_connector(options, Arc::new(PathConnector(Arc::clone(&paths)))),
            paths,
            suspects: SuspectTracker::new(log.clone()),
            prompt_queue: PromptQueue::default(),
            origins: OriginExchange::new(),
            log,
            stopping,
            started_at: boot_now(),
            stop_phase: Mutex::default(),
            lease,
            lease_extended: Notify::new(),
            reports_due: watch::Sender::new(0),
            limit_news: Notify::new(),
            retries_granted: Notify::new(),
            large_events: Arc::new(Semaphore::new(MAX_LARGE_EVENTS)),
            state: Mutex::default(),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock()
    }

    /// Returns true if the entry has a valid lease at `now`.
    pub(super) fn has_lease(&self, now: BootTime) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns the period without a lease. It must be called only while the entry has none.
    pub(super) fn lease_outage(&self) -> LeaseOutage {
        let end = self.lease.end();
        if end == BootTime::default() {
            LeaseOutage::SinceStart(self.started_at)
        } else {
            LeaseOutage::SinceEnd(end)
        }
    }

    /// Waits until the entry has a lease, or `hold` has passed.
    pub(super) async fn wait_for_lease(&self, hold: Duration) {
        let waiting = async {
            loop {
                let extended = self.lease_extended.notified();
                if self.has_lease(boot_now()) {
                    return;
                }
                extended.await;
            }
        };
        // After a timeout, the caller of this function checks the lease and refuses the call.
        let _in_vain = tokio::time::timeout(hold, waiting).await;
    }

    /// Returns true if the held configuration is recent enough to deny a call by it.
    pub(super) fn may_deny(&self, now: BootTime) -> bool {
        let state = self.state();
        state
            .freshness
            .may_deny(now, state.config.number, self.settings.config_in_force)
    }

    /// Extends the lease after the leader has confirmed it in answer to a request sent at `requested_at`.
    pub(super) fn confirm_lease(&self, requested_at: BootTime) {
        self.state().freshness.record_confirmed(requested_at);
        self.lease
            .extend(requested_at + self.settings.key_withdrawal.mul_f64(LEASE_FRACTION));
        self.lease_extended.notify_waiters();
    }

    /// Records that the process was asked to stop.
    pub(super) fn request_stop(&self, now: BootTime) {
        self.stop_phase.lock().request_stop(now);
    }

    /// Returns true unless the process is so close to its end that new calls are refused.
    pub(super) fn accepts_calls(&self, now: BootTime) -> bool {
        self.stop_phase.lock().accepts_calls(now)
    }

    /// Returns true if the balancer should send callers to this entry.
    pub(super) fn is_ready(&self, now: BootTime) -> bool {
        let state = self.state();
        let knows_all = state.index.is_some() && state.has_endpoints;
        knows_all && self.has_lease(now) && !self.stopping.is_cancelled()
    }

    /// Returns true if this entry relays connections of other entries at present.
    pub(super) fn offers_relay(&self, now: BootTime) -> bool {
        self.settings.relay_address.is_some() && self.is_ready(now) && !self.paths.is_cut()
    }

    /// Records a call that was received at `received_at` for the retry limit and the demand of its service.
    pub(super) fn record_call(&self, received_at: BootTime, service: &ServiceName, prompt: Option<&PromptShape>) {
        let limit = self.retry_limit();
        let mut state = self.state();
        state.retry_limiter(service).record_call(received_at, &limit);
        let demand = state.demands.entry(service.clone()).or_default();
        demand.calls += 1;
        demand.output_tokens += prompt.map_or(0, |prompt| prompt.output_tokens);
    }

    /// Returns the limit on retries of the operators.
    pub(super) const fn retry_limit(&self) -> RetryLimit {
        let limit = self.settings.send_bound;
        RetryLimit {
            ratio: limit.ratio,
            slack: limit.slack,
            window: limit.window,
        }
    }

    /// Has the leader told of limits, and asked for permits and retries, without waiting for the next renewal.
    pub(super) fn request_report(&self) {
        self.reports_due.send_modify(|count| *count += 1);
    }

    /// Returns the time for which an endpoint that drains may be sent a stream that no other can continue. Half of the bound is
    /// left for the news of its departure, which this entry gets after the endpoint has been answered.
    pub(super) fn drain_window(&self) -> Duration {
        self.settings.endpoint_drain.unwrap_or_default() / 2
    }

    /// Counts a call that has started for its customer's usage, in the window of the group clock.
    pub(super) fn count_start(&self, customer: Option<&CustomerName>) {
        let Some(customer) = customer else { return };
        let length = whole_millis(self.settings.usage_window).max(1);
        let mut state = self.state();
        let wall_millis = state.wall_millis(boot_now());
        let window = WindowNumber::at(wall_millis, length);
        state.start_counts.count(window, customer);
        state
            .start_counts
            .remove_before(WindowNumber(window.0.saturating_sub(REPORTED_WINDOWS)));
    }

    /// Counts work as outstanding at an endpoint until the returned guard is dropped.
    pub(super) fn add_work(self: &Arc<Self>, endpoint: &EndpointName, work: EndpointWork) -> LoadGuard {
        self.state().loads.begin(endpoint, work);
        LoadGuard {
            shared: Arc::clone(self),
            endpoint: endpoint.clone(),
            work,
            began_at: boot_now(),
        }
    }

    /// Returns the memory size of a service's engines in tokens, or 0 if the configuration has no engines for it.
    pub(super) fn engine_memory(&self, service: &ServiceName) -> u64 {
        self.state()
            .engine_spec(service)
            .map_or(0, |engine| engine.memory_tokens)
    }
}
