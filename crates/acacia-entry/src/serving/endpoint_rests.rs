//! Rest that endpoints ask for in their answers, and their departures: what answers say, and calls for which all endpoints of
//! their service rest.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::ConnectionPath;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::RelayedRest;
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint_rest::{RestChange, RestRequest};
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EngineStage};
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::util::rendezvous;
use hyper::StatusCode;

use super::call::AcceptedCall;
use super::endpoint_choice::{ChosenEndpoint, rest_key};
use super::endpoint_limits::ChoiceFailure;
use super::refusal::{AT_REST, CallRefusal, NO_MEMORY, SHORT_RETRY_DELAY, not_run};
use super::shared::{EntryShared, EntryState};

/// Calls that are refused for the same rest are told to return over up to this fraction of it.
const CALL_RETURN_SPREAD: f64 = 0.08;
/// Interval at which a stream that waits for the end of a rest looks for another engine.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// What this entry knows of an address to which another entry wants a connection.
#[derive(Clone, Debug)]
pub(super) enum RelayTarget {
    /// No endpoint that is there.
    Unknown,
    /// An endpoint that may be sent requests from this host.
    Awake,
    /// An endpoint that has asked this host for rest, or leaves.
    Resting {
        endpoint: EndpointName,
        incarnation: EndpointIncarnation,
        /// What it still asks for.
        asked: RestRequest,
    },
}

impl EntryState {
    /// Returns what is known of the endpoint to which an address belongs.
    pub(super) fn relay_target(&self, now: BootTime, address: SocketAddr) -> RelayTarget {
        let rests = &self.loads.rests;
        let mut target = RelayTarget::Unknown;
        for row in self.registry.answering_at(address) {
            let (endpoint, incarnation) = rest_key(&row);
            if rests.admits(now, (endpoint, incarnation)) {
                return RelayTarget::Awake;
            }
            target = RelayTarget::Resting {
                endpoint: endpoint.clone(),
                incarnation,
                asked: rests.remaining(now, (endpoint, incarnation)),
            };
        }
        target
    }
}

impl EntryShared {
    /// Returns true if a new call may be sent to the endpoint.
    pub(super) fn may_choose(&self, now: BootTime, chosen: &ChosenEndpoint) -> bool {
        self.state().loads.rests.admits(now, chosen.rest_key())
    }

    /// Returns true if a request to the endpoint that was chosen before may still be written.
    pub(super) fn may_write(&self, now: BootTime, chosen: &ChosenEndpoint) -> bool {
        self.state().loads.rests.may_write(now, chosen.rest_key())
    }

    /// Returns when calls of a service can be served again, if all endpoints of one of its stages rest. Of those that make
    /// answers, only the ones of this version count.
    pub(super) fn rest_end(&self, now: BootTime, service: &ServiceName, version: &StreamVersion) -> Option<BootTime> {
        let state = self.state();
        let rests = &state.loads.rests;
        if rests.is_empty() {
            return None;
        }
        let ready = state.registry.ready(now, service);
        let stages = [Some(EngineStage::Prefill), Some(EngineStage::Decode), None];
        let ends = stages.into_iter().filter_map(|stage| {
            let any_version = stage == Some(EngineStage::Prefill);
            let of_stage = ready.iter().filter(|(_, endpoint)| {
                endpoint.stage == stage && (any_version || version.admits(endpoint.version.as_ref()))
            });
            rests.common_rest(now, of_stage.map(rest_key))
        });
        ends.max()
    }
}

/// Records what an answer asks of this entry. `request` names the request that was answered.
pub(super) fn record_rest_request(
    shared: &EntryShared,
    chosen: &ChosenEndpoint,
    request: &str,
    (status, asked): (StatusCode, RestRequest),
    path: ConnectionPath,
) {
    // The answer of another endpoint at this address says nothing about this one.
    if status == StatusCode::MISDIRECTED_REQUEST || asked == RestRequest::default() {
        return;
    }
    let change = record_rest(shared, chosen.rest_key(), asked);
    slog::info!(shared.log, "endpoint asked for rest"; "event" => event::REST_ASKED, "request" => request,
        "endpoint" => chosen.name.as_str(), "birth" => chosen.endpoint.incarnation.0, "status" => status.as_u16(),
        "rest" => ?asked.rest, "departure" => ?asked.departure, "relayed" => path != ConnectionPath::Direct,
        "change" => ?change);
    let rest = shared.paths.relayed_rest(chosen.rest_key(), asked);
    match path {
        ConnectionPath::Relayed { relay, .. } => shared.paths.tell_rest(relay, rest),
        ConnectionPath::Direct if change == RestChange::Nothing => {}
        ConnectionPath::Direct => shared.paths.tell_carried(chosen.endpoint.address, &rest, None),
    }
}

/// Records what an endpoint has asked of the host of a relay: of this one, in an answer to another entry, or of the one over
/// which this entry sends. A relay tells the other entries that send over it.
pub(super) fn record_relayed_rest(shared: &EntryShared, rest: &RelayedRest) {
    let change = record_rest(shared, (&rest.endpoint, rest.incarnation), rest.asked);
    slog::info!(shared.log, "endpoint asked for rest"; "event" => event::REST_ASKED, "entry" => &rest.host,
        "endpoint" => rest.endpoint.as_str(), "birth" => rest.incarnation.0, "rest" => ?rest.asked.rest,
        "departure" => ?rest.asked.departure, "relayed" => true, "by_relay" => rest.by_relay, "change" => ?change);
    let known = shared.state().registry.get(&rest.endpoint).map(|known| known.address);
    if let Some(address) = known
        && !rest.by_relay
        && change != RestChange::Nothing
    {
        let told = shared
            .paths
            .relayed_rest((&rest.endpoint, rest.incarnation), rest.asked);
        shared.paths.tell_carried(address, &told, Some(&rest.host));
    }
}

fn record_rest(shared: &EntryShared, endpoint: (&EndpointName, EndpointIncarnation), asked: RestRequest) -> RestChange {
    let mut state = shared.state();
    let change = state.loads.rests.record(boot_now(), endpoint, asked, rand::random());
    drop(state);
    if change == RestChange::Begun {
        metrics::counter!("acacia_endpoint_rests_total").increment(1);
    }
    change
}

/// Returns the delay after which a refused call should return: `usual`, or later if its service rests.
pub(super) fn return_delay(call: &AcceptedCall, usual: Duration) -> Duration {
    let now = boot_now();
    let until = call.shared.rest_end(now, &call.service, &call.stream_version());
    until.map_or(usual, |until| delay_until(call, now, until))
}

fn delay_until(call: &AcceptedCall, now: BootTime, until: BootTime) -> Duration {
    let draw = rendezvous::fraction(call.request_hash);
    until.since(now).mul_f64(1.0 + CALL_RETURN_SPREAD * draw)
}

/// Chooses for a call whose service rests until `until`. A stream of which the caller has a part waits for that, since it can
/// go on nowhere else; any other call is refused at once.
pub(super) async fn choose_after_rest<T>(
    call: &AcceptedCall,
    version: &StreamVersion,
    until: BootTime,
    choose: impl Fn(BootTime) -> Result<T, ChoiceFailure>,
) -> Result<T, CallRefusal> {
    let mut until = until;
    loop {
        let now = boot_now();
        if *version == StreamVersion::Any || until >= call.deadline {
            return Err(not_run(AT_REST, delay_until(call, now, until)));
        }
        tokio::time::sleep(until.since(now).min(SEARCH_INTERVAL)).await;
        let now = boot_now();
        match choose(now) {
            Ok(chosen) => return Ok(chosen),
            Err(ChoiceFailure::NoMemory) => return Err(not_run(NO_MEMORY, SHORT_RETRY_DELAY)),
            Err(ChoiceFailure::NoEndpoint) => {}
        }
        match call.shared.rest_end(now, &call.service, version) {
            Some(end) => until = end,
            None => return Err(not_run(AT_REST, SHORT_RETRY_DELAY)),
        }
    }
}
