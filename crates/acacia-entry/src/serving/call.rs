//! Checks that every call has to pass before it is sent to an endpoint: the lease, its head, its route and key, and its
//! body.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{BodyRefusal, ResponseBody};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{CustomerName, EndpointName, ServiceName};
use acaciabay::core::serving::call_fingerprint::CallContent;
use acaciabay::core::serving::config::CallRoute;
use acaciabay::core::serving::config_index::{AccessRefusal, AdmittedCall};
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::serving::stream_origin::{OriginKey, OriginKeys};
use acaciabay::core::serving::suspect_view::CallStanding;
use acaciabay::util::number::whole_millis;
use acaciabay::util::rendezvous;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use parking_lot::Mutex;

use super::allowance_charge::{AllowanceCharge, charge_call};
use super::codec::{CallHead, HeadError};
use super::endpoint_choice::ChosenEndpoint;
use super::refusal::{CallRefusal, JUDGEMENT_RETRY_DELAY, SHORT_RETRY_DELAY, not_run};
use super::shared::EntryShared;
use super::stream_origins::ToldStream;
use super::taken_stream::select_target;
use super::{plain_call, stream_call};
use crate::suspect_calls::{CallTrial, LazyFingerprint, SentAttempt, TrackedCall};

/// Time by which the endpoint's deadline is earlier than the caller's, so that the answer can travel back.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Call that has passed all checks and may be sent to an endpoint.
#[derive(Debug)]
pub(super) struct AcceptedCall {
    pub(super) shared: Arc<EntryShared>,
    pub(super) parts: Parts,
    pub(super) head: CallHead,
    pub(super) body: Bytes,
    pub(super) admitted: AdmittedCall,
    pub(super) service: ServiceName,
    pub(super) received_at: BootTime,
    /// Time by which the caller must have received the answer.
    pub(super) deadline: BootTime,
    /// Hash of the request identifier, by which calls are spread over services and endpoints.
    pub(super) request_hash: u64,
    fingerprint: LazyFingerprint,
    /// Permission of the leader, if the call was suspect when it came.
    trial: Option<CallTrial>,
    /// Version that has begun the stream, once that is decided.
    begun_by: Mutex<StreamVersion>,
    /// Cost of the call, if its customer has an allowance.
    pub(super) charge: Option<AllowanceCharge>,
}

impl AcceptedCall {
    pub(super) fn route(&self) -> &CallRoute {
        &self.admitted.route
    }

    pub(super) fn customer(&self) -> Option<&CustomerName> {
        self.admitted.customer.as_ref().map(|customer| &customer.name)
    }

    /// Returns the version that has to write the rest of the stream.
    pub(super) fn stream_version(&self) -> StreamVersion {
        self.begun_by.lock().clone()
    }

    /// Records which version has begun the stream, unless that is decided.
    pub(super) fn fix_stream_version(&self, version: StreamVersion) {
        let mut begun_by = self.begun_by.lock();
        if *begun_by == StreamVersion::Any {
            *begun_by = version;
        }
    }

    /// Records that the version which has begun the stream is not certain after all.
    pub(super) fn doubt_stream_version(&self) {
        *self.begun_by.lock() = StreamVersion::Unknown;
    }

    /// Records which version has begun the stream at an endpoint, for other entries at which its caller may take it up.
    pub(super) fn record_begun_stream(&self, endpoint: &EndpointName) {
        if !self.route().kind.may_repeat() {
            return;
        }
        let keys = OriginKeys {
            attempt: OriginKey::of_attempt(self.customer(), &self.service, &self.head.request),
            content: OriginKey::of_content(&self.service, &self.content()),
        };
        let now = boot_now();
        let told = ToldStream {
            keys,
            endpoint: endpoint.clone(),
            version: self.stream_version().known().cloned(),
            begun_at: now,
        };
        self.shared.origins.record_begun(now, told);
    }

    fn content(&self) -> CallContent<'_> {
        call_content(&self.parts, &self.head, self.customer(), &self.body)
    }

    /// Returns the call as it is recognised when it is sent again.
    fn tracked(&self) -> TrackedCall<'_> {
        TrackedCall {
            content: self.content(),
            route: &self.route().name,
            fingerprint: &self.fingerprint,
            parts: self.head.prompt.as_ref().map_or(&[], PromptShape::shared_parts),
        }
    }

    /// Returns the standing of the call among those under which endpoints have ended.
    pub(super) fn standing(&self) -> CallStanding {
        self.shared.suspects.standing(&self.tracked())
    }

    /// Records that an endpoint has answered the call whole.
    pub(super) fn record_whole_answer(&self) {
        self.shared.suspects.record_whole_answer(&self.tracked());
    }

    /// Records that an endpoint has answered the call whole and with success.
    pub(super) fn record_sound_parts(&self) {
        self.shared.suspects.record_sound_parts(&self.tracked());
    }

    /// Records that the connection of an attempt ended before the answer was complete.
    pub(super) fn record_break(&self, chosen: &ChosenEndpoint, sent_at: BootTime) {
        let sent = SentAttempt {
            endpoint: &chosen.name,
            incarnation: chosen.endpoint.incarnation,
            address: chosen.endpoint.address,
            sent_at,
        };
        self.shared.suspects.record_break(&self.tracked(), sent);
    }

    /// Returns the refusal of the call, if it may not be sent to any endpoint.
    pub(super) fn held_back(&self) -> Option<CallRefusal> {
        match self.standing() {
            CallStanding::Unsuspected => None,
            CallStanding::Suspected if self.trial.is_some() => None,
            CallStanding::Suspected | CallStanding::HeldBack => {
                Some(not_run("endings are judged", JUDGEMENT_RETRY_DELAY))
            }
            CallStanding::Quarantined => Some(CallRefusal::Quarantined),
        }
    }

    /// Returns the time that an endpoint has left for the call.
    pub(super) fn time_left(&self, now: BootTime) -> Duration {
        self.deadline.since(now + ANSWER_MARGIN)
    }
}

/// Handles one request of a caller.
pub(super) async fn answer(shared: Arc<EntryShared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let received_at = boot_now();
    let was_stopping = shared.stopping.is_cancelled();
    let mut response = match accept(&shared, request, received_at).await {
        Ok(call) if call.route().kind.is_stream() => stream_call::answer(call).await,
        Ok(call) => plain_call::answer(call).await,
        Err((head, refusal)) => refuse(&shared, head.as_ref(), refusal, received_at),
    };
    if was_stopping || shared.stopping.is_cancelled() {
        // If the caller kept the connection, the stopping entry would close it during a later request.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Logs and counts a refused call, and returns the response to it.
pub(super) fn refuse(
    shared: &EntryShared,
    head: Option<&CallHead>,
    refusal: CallRefusal,
    received_at: BootTime,
) -> Response<ResponseBody> {
    let request = head.map(|head| head.request.as_str());
    let now = boot_now();
    let (number, freshness) = {
        let state = shared.state();
        (state.config.number, state.freshness)
    };
    slog::info!(shared.log, "call refused"; "event" => event::CALL_REFUSED, "request" => request,
        "path" => head.map(|head| head.path.as_str()), "refusal" => ?refusal,
        "config" => number.map(|number| number.0), "told" => freshness.announced().map(|told| told.0),
        "confirmed_ms" => freshness.time_since_confirmed(received_at).map(whole_millis),
        "after_ms" => whole_millis(now.since(received_at)));
    metrics::counter!("acacia_calls_refused_total", "reason" => refusal.reason()).increment(1);
    shared.codec.write_refusal(request, &refusal)
}

/// Waits for the first lease after the start of the entry, if the caller has sent a time limit that allows it.
async fn hold_for_first_lease(shared: &EntryShared, parts: &Parts, received_at: BootTime) {
    let Ok(head) = shared.codec.read_head(parts, usize::MAX) else {
        return;
    };
    let deadline = head.timeout.map(|timeout| received_at + timeout);
    let Some(hold) = deadline.and_then(|deadline| shared.lease_outage().hold_time(received_at, deadline)) else {
        return;
    };
    metrics::counter!("acacia_calls_held_total").increment(1);
    shared.wait_for_lease(hold).await;
    let now = boot_now();
    slog::info!(shared.log, "call held"; "event" => event::CALL_HELD, "request" => &head.request,
        "waited_ms" => whole_millis(now.since(received_at)), "leased" => shared.has_lease(now));
}

fn call_content<'call>(
    parts: &'call Parts,
    head: &'call CallHead,
    customer: Option<&'call CustomerName>,
    body: &'call [u8],
) -> CallContent<'call> {
    CallContent {
        method: parts.method.as_str(),
        host: &head.host,
        target: parts.uri.path_and_query().map_or("", |target| target.as_str()),
        customer,
        body,
    }
}

/// Reads the body of a request, whose size is counted until the last copy of it is dropped if the memory for bodies is bounded.
async fn read_request_body(
    shared: &EntryShared,
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyRefusal> {
    let body = shared.intake.read(body, limit, timeout).await?;
    let Some(buffers) = &shared.answer_buffers else {
        return Ok(body);
    };
    let mut share = buffers.begin_body();
    if share.grow(body.len()) {
        Ok(share.hold(body))
    } else {
        Err(BodyRefusal::NoRoom)
    }
}

type RefusedCall = (Option<CallHead>, CallRefusal);

async fn accept(
    shared: &Arc<EntryShared>,
    request: Request<Incoming>,
    received_at: BootTime,
) -> Result<AcceptedCall, RefusedCall> {
    let (parts, body) = request.into_parts();
    if !shared.has_lease(received_at) {
        hold_for_first_lease(shared, &parts, received_at).await;
    }
    let now = boot_now();
    let index = shared.state().index.clone();
    let max_head_bytes = index
        .as_ref()
        .map_or(usize::MAX, |index| index.config().limits.head_bytes);
    let head = shared.codec.read_head(&parts, max_head_bytes);
    let Some(index) = index.filter(|_| shared.has_lease(now)) else {
        let wait = shared.lease_outage().retry_after(now);
        return Err((head.ok(), not_run("no lease", wait)));
    };
    let head = head.map_err(|error| match error {
        HeadError::Malformed(reason) => (None, CallRefusal::BadHead(reason)),
        HeadError::TooLarge => (None, CallRefusal::HeadTooLarge),
    })?;
    if !shared.accepts_calls(now) {
        return Err((Some(head), not_run("entry is stopping", SHORT_RETRY_DELAY)));
    }
    let bounds = index.config().limits;
    let admitted = match index.admit(&head.host, &head.path, head.key.as_deref()) {
        Ok(admitted) => admitted,
        Err(_refusal) if !shared.may_deny(now) => {
            return Err((Some(head), not_run("configuration is not confirmed", SHORT_RETRY_DELAY)));
        }
        Err(AccessRefusal::NoRoute) => return Err((Some(head), CallRefusal::NoRoute)),
        Err(AccessRefusal::UnknownKey) => return Err((Some(head), CallRefusal::UnknownKey)),
    };
    let timeout = head
        .timeout
        .unwrap_or(admitted.route.timeout)
        .min(admitted.route.timeout);
    let body = match read_request_body(shared, body, bounds.body_bytes, timeout).await {
        Ok(body) => body,
        Err(BodyRefusal::NoRoom) => return Err((Some(head), not_run("no memory for the body", SHORT_RETRY_DELAY))),
        Err(BodyRefusal::TooLarge) => return Err((Some(head), CallRefusal::BodyTooLarge)),
        Err(BodyRefusal::TimedOut | BodyRefusal::Broken) => return Err((Some(head), CallRefusal::BodyLate)),
    };
    let request_hash = rendezvous::hash(head.request.as_bytes());
    let customer = admitted.customer.as_ref().map(|customer| &customer.name);
    let content = call_content(&parts, &head, customer, &body);
    let target = match select_target(shared, &head, &admitted.route, &content, request_hash).await {
        Ok(target) => target,
        Err(refusal) => return Err((Some(head), refusal)),
    };
    let call = AcceptedCall {
        shared: Arc::clone(shared),
        parts,
        head,
        body,
        admitted,
        service: target.service,
        received_at,
        deadline: received_at + timeout,
        request_hash,
        fingerprint: LazyFingerprint::default(),
        trial: None,
        begun_by: Mutex::new(target.version),
        charge: None,
    };
    let trial = shared.suspects.request_trial(&call.tracked()).await;
    let call = AcceptedCall { trial, ..call };
    if let Some(refusal) = call.held_back() {
        return Err((Some(call.head), refusal));
    }
    let charge = match charge_call(boot_now(), shared, &call.head, &call.admitted) {
        Ok(charge) => charge,
        Err(refusal) => return Err((Some(call.head), refusal)),
    };
    let call = AcceptedCall { charge, ..call };
    shared.record_call(received_at, &call.service, call.head.prompt.as_ref());
    Ok(call)
}
