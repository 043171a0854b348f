//! What all calls of an entry look at.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acacia_http::{ClientOptions, EndpointClient, WriteGuard};
use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_settings::ServingEntrySettings;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{CustomerName, DomainName, EndpointName, ServiceName};
use acaciabay::core::serving::answer_pace::AnswerLatency;
use acaciabay::core::serving::config::EngineSpec;
use acaciabay::core::serving::config_freshness::ConfigFreshness;
use acaciabay::core::serving::config_index::ConfigIndex;
use acaciabay::core::serving::config_transfer::ConfigDocument;
use acaciabay::core::serving::endpoint_load::{EndpointWork, LoadTable};
use acaciabay::core::serving::endpoint_registry::EndpointRegistry;
use acaciabay::core::serving::group_clock::GroupClock;
use acaciabay::core::serving::kept_parts::{CachedPartOutbox, KeptPart};
use acaciabay::core::serving::lease_recovery::LeaseOutage;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::reading_pace::{PrefillPace, PrefillTime};
use acaciabay::core::serving::retry_limiter::{RetryLimit, RetryLimiter};
use acaciabay::core::serving::start_counts::{CallCounts, WindowNumber};
use acaciabay::core::serving::stop_state::StopState;
use acaciabay::util::number::whole_millis;
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::codec::CallCodec;

/// Which part of the time within which a withdrawn key must stop working an entry serves without a confirmation. The
/// rest covers a call that is on its way to an endpoint when the lease ends.
const LEASE_PART: f64 = 0.75;
/// How long an unused connection to an endpoint is kept that does not say how long it keeps it. An entry that sends a few
/// calls a second to a hundred endpoints comes back to each within this time; each new connection costs both sides.
const IDLE_TIMEOUT: Duration = Duration::from_secs(45);
/// How long the kernel may go on delivering to an endpoint that does not acknowledge.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a connection attempt to an endpoint may take: in one region it takes milliseconds, and a lost packet is sent
/// again only after a second, which another endpoint does not need.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How many windows of counts are repeated to the leader: those that may still be open.
const KEPT_WINDOWS: u64 = 4;

/// What callers asked of a service since the leader was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DemandCount {
    pub(super) calls: u64,
    pub(super) unread_tokens: u64,
    pub(super) output_tokens: u64,
    pub(super) wait_us: u64,
}

/// What changes.
#[derive(Debug, Default)]
pub(super) struct EntryView {
    pub(super) index: Option<Arc<ConfigIndex>>,
    /// The configuration that `index` was made of.
    pub(super) held: ConfigDocument,
    pub(super) standing: ConfigFreshness,
    pub(super) registry: EndpointRegistry,
    /// Whether a replica has told all endpoints that it knows.
    pub(super) heard_endpoints: bool,
    pub(super) loads: LoadTable,
    pub(super) entries: u32,
    pub(super) starts: CallCounts,
    pub(super) clock: GroupClock,
    /// What engines have read for this entry and for others.
    pub(super) kept_news: CachedPartOutbox,
    pub(super) demands: BTreeMap<ServiceName, DemandCount>,
    paces: BTreeMap<ServiceName, PrefillPace>,
    answer_paces: BTreeMap<ServiceName, AnswerLatency>,
    budgets: HashMap<ServiceName, RetryLimiter>,
}

impl EntryView {
    /// Returns what the engines of a service can hold.
    pub(super) fn engine(&self, service: &ServiceName) -> Option<EngineSpec> {
        let spec = self.index.as_ref()?.config().services.get(service)?;
        spec.engine
    }

    /// Forgets endpoints that nothing was heard of for long, with what they kept.
    pub(super) fn forget_silent(&mut self, now: BootTime) {
        let Self {
            registry, kept_news, ..
        } = self;
        registry.forget_silent(now);
        kept_news.retain(|engine| registry.get(engine).is_some());
    }

    /// Takes what an engine keeps that it has read for another entry.
    pub(super) fn hear_kept(&mut self, kept: &KeptPart) {
        let Some(endpoint) = self.registry.get(&kept.engine) else {
            return;
        };
        let service = endpoint.service.clone();
        let memory = self.engine(&service).map_or(0, |engine| engine.memory_tokens);
        self.kept_news.record_announced(kept);
        self.loads.record_prefill(&kept.engine, &[kept.part], memory);
    }

    /// Notes how long an engine of a service took for a prompt.
    pub(super) fn note_reading(&mut self, service: &ServiceName, engine: &EndpointName, reading: PrefillTime) {
        let usual = self.own_pace(service);
        self.loads.record_prefill_time(engine, reading, usual);
        self.paces.entry(service.clone()).or_default().record(reading);
    }

    /// Notes how long an engine of a service took until it began to make tokens.
    pub(super) fn note_first_answer(&mut self, service: &ServiceName, took: Duration) {
        self.answer_paces.entry(service.clone()).or_default().record(took);
    }

    /// Returns after which silence an engine of a service that makes tokens is doubted.
    pub(super) fn doubt_after(&self, service: &ServiceName) -> Option<Duration> {
        self.answer_paces.get(service)?.suspicion_timeout()
    }

    /// Returns how many milliseconds a service's engines take for a token of a prompt by themselves, if that was measured.
    pub(super) fn own_pace(&self, service: &ServiceName) -> Option<f64> {
        self.paces.get(service).and_then(|pace| pace.get())
    }
}

/// What the tasks of an entry share.
#[derive(Debug)]
pub(super) struct EntryShared {
    pub(super) settings: ServingEntrySettings,
    pub(super) domain: DomainName,
    pub(super) codec: Arc<dyn CallCodec>,
    pub(super) client: EndpointClient,
    pub(super) log: Logger,
    /// Cancelled once the process is to stop: it takes calls on, but asks callers to go elsewhere.
    pub(super) leaving: CancellationToken,
    started_at: BootTime,
    stop_phase: Mutex<StopState>,
    lease: Arc<LeaseClock>,
    /// Wakes the calls that wait for a lease.
    lease_extended: Notify,
    view: Mutex<EntryView>,
}

/// When the serving lease ends, in microseconds of the boot clock.
#[derive(Debug, Default)]
struct LeaseClock(AtomicU64);

impl LeaseClock {
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

/// Work that an endpoint has before it, until the value is dropped.
#[derive(Debug)]
pub(super) struct LoadGuard {
    shared: Arc<EntryShared>,
    endpoint: EndpointName,
    work: EndpointWork,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.shared.view().loads.end(&self.endpoint, self.work);
    }
}

impl EntryShared {
    pub(super) fn new(
        settings: ServingEntrySettings,
        codec: Arc<dyn CallCodec>,
        leaving: CancellationToken,
        log: Logger,
    ) -> Self {
        let lease = Arc::new(LeaseClock::default());
        let asked = Arc::clone(&lease);
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            user_timeout: USER_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            // A process that was frozen after it had checked the lease must not run a call for a key that was
            // withdrawn meanwhile, so the write itself asks again.
            guard: Some(WriteGuard::new(move || asked.is_valid(boot_now()))),
            ..ClientOptions::default()
        };
        Self {
            domain: settings.failure_domain.as_str().into(),
            settings,
            codec,
            client: EndpointClient::new(options),
            log,
            leaving,
            started_at: boot_now(),
            stop_phase: Mutex::default(),
            lease,
            lease_extended: Notify::new(),
            view: Mutex::default(),
        }
    }

    pub(super) fn view(&self) -> MutexGuard<'_, EntryView> {
        self.view.lock()
    }

    /// Tells whether the entry may serve at `now`.
    pub(super) fn may_serve(&self, now: BootTime) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns since when the entry has no lease.
    pub(super) fn lease_outage(&self) -> LeaseOutage {
        let end = self.lease.end();
        if end == BootTime::default() {
            LeaseOutage::SinceStart(self.started_at)
        } else {
            LeaseOutage::SinceEnd(end)
        }
    }

    /// Waits until the entry holds a lease, at most for `hold`.
    pub(super) async fn await_lease(&self, hold: Duration) {
        let waiting = async {
            loop {
                let extended = self.lease_extended.notified();
                if self.may_serve(boot_now()) {
                    return;
                }
                extended.await;
            }
        };
        // Whoever waited in vain finds that there is still no lease.
        let _in_vain = tokio::time::timeout(hold, waiting).await;
    }

    /// Tells whether a call may be denied by the configuration that is held.
    pub(super) fn may_deny(&self, now: BootTime) -> bool {
        let view = self.view();
        view.standing
            .may_deny(now, view.held.number, self.settings.config_in_force)
    }

    /// Extends the lease by a confirmation that was asked for at `asked_at`.
    pub(super) fn confirm_lease(&self, asked_at: BootTime) {
        self.view().standing.record_confirmed(asked_at);
        self.lease
            .extend(asked_at + self.settings.key_withdrawal.mul_f64(LEASE_PART));
        self.lease_extended.notify_waiters();
    }

    /// Notes that the process was asked to stop.
    pub(super) fn ask_stop(&self, now: BootTime) {
        self.stop_phase.lock().request_stop(now);
    }

    /// Tells whether a new call is taken, as far as the process is not about to end.
    pub(super) fn takes_calls(&self, now: BootTime) -> bool {
        self.stop_phase.lock().accepts_calls(now)
    }

    /// Tells whether callers should be sent here.
    pub(super) fn is_ready(&self, now: BootTime) -> bool {
        let view = self.view();
        let knows_all = view.index.is_some() && view.heard_endpoints;
        knows_all && self.may_serve(now) && !self.leaving.is_cancelled()
    }

    /// Notes a caller's request.
    pub(super) fn note_call(&self, now: BootTime, service: &ServiceName, prompt: Option<&PromptShape>) {
        let bound = self.bound();
        let mut view = self.view();
        view.budgets
            .entry(service.clone())
            .or_default()
            .record_call(now, &bound);
        let demand = view.demands.entry(service.clone()).or_default();
        demand.calls += 1;
        demand.output_tokens += prompt.map_or(0, |prompt| prompt.output_tokens);
    }

    /// Takes a second send from the budget of a service.
    pub(super) fn spend_send(&self, now: BootTime, service: &ServiceName) -> bool {
        let bound = self.bound();
        let mut view = self.view();
        let entries = view.entries;
        let budget = view.budgets.entry(service.clone()).or_default();
        let granted = budget.try_acquire(now, &bound, entries);
        if !granted {
            metrics::counter!("acacia_send_budget_exhausted_total").increment(1);
        }
        granted
    }

    fn bound(&self) -> RetryLimit {
        let bound = self.settings.send_bound;
        RetryLimit {
            ratio: bound.ratio,
            slack: bound.slack,
            window: bound.window,
        }
    }

    /// Counts a call that began to run.
    pub(super) fn count_start(&self, customer: Option<&CustomerName>) {
        let Some(customer) = customer else { return };
        let length = whole_millis(self.settings.usage_window).max(1);
        let mut view = self.view();
        let wall_millis = view
            .clock
            .wall_millis(boot_now())
            .unwrap_or_else(|| wall_nanos() / 1_000_000);
        let window = WindowNumber::at(wall_millis, length);
        view.starts.count(window, customer);
        view.starts
            .remove_before(WindowNumber(window.0.saturating_sub(KEPT_WINDOWS)));
    }

    /// Adds work to an endpoint until the guard is dropped.
    pub(super) fn begin_work(self: &Arc<Self>, endpoint: &EndpointName, work: EndpointWork) -> LoadGuard {
        self.view().loads.begin(endpoint, work);
        LoadGuard {
            shared: Arc::clone(self),
            endpoint: endpoint.clone(),
            work,
        }
    }

    /// Returns how many tokens the memory of a service's engines holds.
    pub(super) fn engine_memory(&self, service: &ServiceName) -> u64 {
        self.view().engine(service).map_or(0, |engine| engine.memory_tokens)
    }
}
