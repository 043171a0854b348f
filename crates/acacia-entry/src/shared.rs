//! What the tasks of one entry process share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use acacia_http::{BodyIntake, ClientOptions, EndpointClient, rest_request};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_runtime::trace::SpanRecorder;
use acacia_settings::EntrySettings;
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint::{EndpointIncarnation, EndpointRow, EndpointTable};
use acaciabay::core::endpoint_rest::{RestChange, RestRequest, RestTable};
use acaciabay::core::entry_config::EntryConfig;
use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::name::EndpointName;
use acaciabay::core::retry_budget::RetryBudget;
use acaciabay::core::serving_lease::ServingLease;
use acaciabay::ops::place_request::LocalLoads;
use hyper::Response;
use hyper::header::HeaderName;
use parking_lot::{Mutex, RwLock};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::admission::PoolAdmissions;
use crate::control_link::ControlLink;
use crate::suspect_calls::SuspectTracker;
use crate::usage_sender::UsageSender;

/// Name of the header by which an endpoint says in its answers that it leaves.
const DEPARTURE_HEADER: HeaderName = HeaderName::from_static("server-leaving");

/// The shared state of one entry process.
/// Memory for the request bodies of all callers together. One that is alone is always read.
const REQUEST_MEMORY_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) log: Logger,
    pub(crate) spans: SpanRecorder,
    pub(crate) stop: CancellationToken,
    pub(crate) link: ControlLink,
    pub(crate) usage: UsageSender,
    pub(crate) client: EndpointClient,
    pub(crate) config: RwLock<Arc<EntryConfig>>,
    pub(crate) lease: Mutex<ServingLease>,
    pub(crate) endpoints: Mutex<EndpointView>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) admission: PoolAdmissions,
    /// Calls under which endpoints have ended.
    pub(crate) suspects: Arc<SuspectTracker>,
    /// Request bodies of callers.
    pub(crate) intake: Arc<BodyIntake>,
    incarnation: AtomicU64,
    requests: AtomicU64,
}

/// What this entry knows of the endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointView {
    /// Their reports.
    pub(crate) table: EndpointTable,
    /// What this entry has under way at each.
    pub(crate) sends: LocalLoads,
    /// Rest that they have asked this entry for, and departures that their answers tell.
    pub(crate) rests: RestTable<EndpointIncarnation>,
    /// Reports that this entry received itself and has not passed on yet.
    pub(crate) unsent: Vec<EndpointName>,
}

impl Entry {
    pub(crate) fn new(
        settings: EntrySettings,
        log: Logger,
        spans: SpanRecorder,
        stop: CancellationToken,
        link: ControlLink,
        usage: UsageSender,
    ) -> Self {
        let suspects = SuspectTracker::new(log.clone());
        Self {
            settings,
            log,
            spans,
            stop,
            link,
            usage,
            client: EndpointClient::new(ClientOptions::default()),
            config: RwLock::default(),
            lease: Mutex::default(),
            endpoints: Mutex::default(),
            retries: Mutex::default(),
            admission: PoolAdmissions::default(),
            suspects,
            intake: BodyIntake::new(REQUEST_MEMORY_BYTES, boot_now),
            incarnation: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        }
    }

    /// Returns the configuration in force; a request uses the one that it was admitted under to its end.
    pub(crate) fn config(&self) -> Arc<EntryConfig> {
        Arc::clone(&self.config.read())
    }

    pub(crate) fn may_serve(&self, now: BootTime) -> bool {
        self.lease.lock().is_valid(now)
    }

    pub(crate) fn incarnation(&self) -> EntryIncarnation {
        EntryIncarnation(self.incarnation.load(Ordering::Acquire))
    }

    pub(crate) fn set_incarnation(&self, incarnation: EntryIncarnation) {
        self.incarnation.store(incarnation.0, Ordering::Release);
    }

    /// Numbers the requests and attempts of this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns true if a request to an endpoint that was chosen before may still be written.
    pub(crate) fn may_write(&self, now: BootTime, endpoint: &EndpointName, row: &EndpointRow) -> bool {
        let view = self.endpoints.lock();
        view.rests.may_write(now, (endpoint, row.incarnation))
    }

    /// Records what the head of an endpoint's answer asks of this entry.
    pub(crate) fn record_rest_request<T>(
        &self,
        request: &str,
        (endpoint, row): (&EndpointName, &EndpointRow),
        answer: &Response<T>,
    ) {
        let status = answer.status();
        let asked = rest_request(status, answer.headers(), &[DEPARTURE_HEADER]);
        if asked == RestRequest::default() {
            return;
        }
        let key = (endpoint, row.incarnation);
        let change = self
            .endpoints
            .lock()
            .rests
            .record(boot_now(), key, asked, rand::random());
        slog::info!(self.log, "endpoint asked for rest"; "event" => event::REST_ASKED, "request" => request,
            "endpoint" => endpoint.as_str(), "birth" => row.incarnation.0, "status" => status.as_u16(),
            "rest" => ?asked.rest, "departure" => ?asked.departure, "change" => ?change);
        if change == RestChange::Begun {
            metrics::counter!("acacia_endpoint_rests_total").increment(1);
        }
    }

    /// Counts a request as under way at an endpoint until the guard is dropped.
    pub(crate) fn begin_send(self: &Arc<Self>, endpoint: &EndpointName, pieces: u32) -> SendGuard {
        let mut view = self.endpoints.lock();
        let own = view.sends.entry(endpoint.clone()).or_default();
        own.requests += 1;
        own.pieces += pieces;
        SendGuard {
            entry: Arc::clone(self),
            endpoint: endpoint.clone(),
            pieces,
        }
    }
}

impl EndpointView {
    /// Removes endpoints that have not reported for a long time, and rests that are over.
    pub(crate) fn forget_silent(&mut self, now: BootTime) {
        let Self { table, rests, .. } = self;
        table.forget_silent(now);
        rests.retain(now, |endpoint| table.get(endpoint).is_some());
    }

    /// Takes over a report and notes what this entry had under way when it came.
    pub(crate) fn take_report(&mut self, name: &EndpointName, row: EndpointRow) -> bool {
        let is_new = self.table.report(name, row);
        if is_new && let Some(own) = self.sends.get_mut(name) {
            own.reported = own.pieces;
        }
        is_new
    }
}

/// A request under way at an endpoint.
#[derive(Debug)]
pub(crate) struct SendGuard {
    entry: Arc<Entry>,
    endpoint: EndpointName,
    pieces: u32,
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let mut view = self.entry.endpoints.lock();
        if let Some(own) = view.sends.get_mut(&self.endpoint) {
            own.requests -= 1;
            own.pieces -= self.pieces;
            own.reported = own.reported.min(own.pieces);
            if own.requests == 0 {
                view.sends.remove(&self.endpoint);
            }
        }
    }
}
