//! HTTP interface for operators, who write and read the configuration, and for endpoints, which report their state.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{BodyRefusal, ResponseBody, json_response};
use acacia_runtime::event;
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EndpointPhase, ServingEndpoint};
use acaciabay::core::serving::serving_state::{ServingCommand, ServingOutcome};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::codec::{ControlAnswer, ControlCall};
use super::endpoint_limits::list_limits;
use super::service_retries::list_retries;
use super::shared::{ControlShared, ReportOutcome};
use super::software_versions::list_versions;
use crate::operator_api::OperatorRefusal;
use crate::operator_quarantine::operate_quarantine;

/// Maximum size of a body in bytes. It allows for a configuration with thousands of routes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one call.
pub(super) async fn answer(shared: Arc<ControlShared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let segments: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
    let operated = match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["v1", "limits"]) => Some(list_limits(&shared).await),
        (&Method::GET, ["v1", "retries"]) => Some(list_retries(&shared).await),
        (&Method::GET, ["v1", "versions"]) => Some(Ok(list_versions(&shared))),
        _ => operate_quarantine(&shared.suspects, &parts.method, &segments).await,
    };
    if let Some(result) = operated {
        return result.map_or_else(OperatorRefusal::into_response, |value| {
            json_response(StatusCode::OK, &value)
        });
    }
    let answer = match shared.intake.read(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => match shared.codec.read_call(&parts, &body) {
            ControlCall::PutConfig => put_config(&shared, body).await,
            ControlCall::ReadConfig => read_config(&shared).await,
            ControlCall::Report { name, endpoint } => handle_report(&shared, &name, endpoint),
            ControlCall::Leave { name, birth } => handle_leave(&shared, &name, birth),
            ControlCall::BadReport(reason) => {
                slog::warn!(shared.log, "malformed endpoint report refused"; "event" => event::REPORT_REFUSED,
                    "path" => parts.uri.path(), "reason" => &reason);
                ControlAnswer::Invalid(reason)
            }
            ControlCall::Unknown => ControlAnswer::NotFound,
        },
        Err(BodyRefusal::NoRoom) => ControlAnswer::Unavailable("no memory for the body"),
        Err(BodyRefusal::TooLarge) => ControlAnswer::Invalid(format!("body exceeds {MAX_BODY_BYTES} bytes")),
        Err(BodyRefusal::TimedOut | BodyRefusal::Broken) => {
            ControlAnswer::Invalid("body did not arrive whole".to_owned())
        }
    };
    shared.codec.write_answer(parts.uri.path(), answer)
}

fn handle_report(shared: &ControlShared, name: &EndpointName, endpoint: ServingEndpoint) -> ControlAnswer {
    if endpoint.phase != EndpointPhase::Ready && is_cut_off(shared) {
        return CUT_OFF_FROM_GROUP;
    }
    match shared.record_report(name, endpoint) {
        ReportOutcome::Recorded | ReportOutcome::KeptAside(EndpointPhase::Ready) => ControlAnswer::Done,
        // Another replica may have told the entries of it already, by a configuration that has not arrived here.
        ReportOutcome::KeptAside(EndpointPhase::Draining | EndpointPhase::Gone) => UNKNOWN_ENDPOINT,
    }
}

fn handle_leave(shared: &ControlShared, name: &EndpointName, birth: Option<EndpointIncarnation>) -> ControlAnswer {
    if is_cut_off(shared) {
        return CUT_OFF_FROM_GROUP;
    }
    shared.soft_state().unnamed.forget(name);
    if !shared.has_endpoint(name) {
        return UNKNOWN_ENDPOINT;
    }
    shared.record_leave(name, birth);
    ControlAnswer::Done
}

/// The answer to an endpoint that deregisters but is not in the registry of this process, which may have started only
/// now, or may be cut off from the replicas that get the endpoint's reports. This process cannot tell the entries. If
/// it acknowledged the call, entries would send calls to the endpoint until it is gone. The endpoint can instead ask a
/// replica that knows it.
const UNKNOWN_ENDPOINT: ControlAnswer = ControlAnswer::Unavailable("this replica does not know the endpoint");

/// The answer to an endpoint that drains or deregisters, if this process is cut off from the group. The entries would
/// not be told, and would send calls to the endpoint until it is gone. It can instead tell another replica.
const CUT_OFF_FROM_GROUP: ControlAnswer = ControlAnswer::Unavailable("this replica knows no leader");

fn is_cut_off(shared: &ControlShared) -> bool {
    shared.group.status().borrow().leader.is_none()
}

/// Puts a configuration in force.
///
/// A configuration whose number is not above the current one is acknowledged but changes nothing. It is a copy of an
/// accepted one or has been superseded, and a refusal would make the operator believe that an accepted change was lost.
async fn put_config(shared: &ControlShared, document: Bytes) -> ControlAnswer {
    let config = match shared.codec.read_config(&document) {
        Ok(config) => config,
        Err(findings) => return refuse_config(shared, None, &findings),
    };
    let findings = config.findings();
    if !findings.is_empty() {
        return refuse_config(shared, Some(config.number), &findings);
    }
    if shared.group.confirm_leadership().await.is_err() {
        return redirect_to_leader(shared);
    }
    let held = shared.group.read().serving.config_number;
    if let Some(held) = held.filter(|held| *held >= config.number) {
        slog::info!(shared.log, "configuration is not newer and was acknowledged without effect";
            "event" => event::SERVING_CONFIG_OLD,
            "number" => config.number.0, "held" => held.0);
        return ControlAnswer::Done;
    }
    let contradictions = config.contradictions();
    if !contradictions.is_empty() {
        return refuse_config(shared, Some(config.number), &contradictions);
    }
    let number = config.number;
    let command = ServingCommand::PutConfig { number, document };
    match shared.group.propose(ControlCommand::Serving(command)).await {
        Ok(CommandOutcome::Serving(ServingOutcome::Config(held))) => {
            slog::info!(shared.log, "configuration accepted"; "event" => event::SERVING_CONFIG_ACCEPTED,
                "number" => number.0, "held" => held.0);
            ControlAnswer::Done
        }
        Ok(outcome) => {
            slog::error!(shared.log, "unexpected outcome of a configuration command"; "event" => event::MESSAGE_REFUSED,
                "outcome" => ?outcome);
            ControlAnswer::Unavailable("outcome is open")
        }
        Err(_not_leading) => ControlAnswer::Unavailable("outcome is open, since this replica no longer leads"),
    }
}

fn refuse_config(
    shared: &ControlShared,
    number: Option<ConfigNumber>,
    findings: &[acaciabay::core::serving::config::ConfigFinding],
) -> ControlAnswer {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    slog::warn!(shared.log, "configuration refused"; "event" => event::SERVING_CONFIG_REFUSED,
        "number" => number.map(|number| number.0), "findings" => lines.join("; "));
    ControlAnswer::Invalid(lines.join("\n"))
}

/// Returns the configuration in force. Only a leader that a quorum has confirmed answers, since any other replica might
/// have an older configuration.
async fn read_config(shared: &ControlShared) -> ControlAnswer {
    if shared.group.confirm_leadership().await.is_err() {
        return redirect_to_leader(shared);
    }
    let state = shared.group.read();
    if state.serving.config_number.is_none() {
        return ControlAnswer::Unavailable("there is no configuration yet");
    }
    ControlAnswer::Document(state.serving.document.clone())
}

fn redirect_to_leader(shared: &ControlShared) -> ControlAnswer {
    match shared.leader_control_address() {
        Some(address) => ControlAnswer::Elsewhere(address),
        None => ControlAnswer::Unavailable("no leader is known"),
    }
}
