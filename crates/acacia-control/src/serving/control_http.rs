//! Answers operators, who change and read the configuration, and endpoints, who report.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{BodyRefusal, ResponseBody, read_body};
use acacia_runtime::event;
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::endpoint_registry::{EndpointBirth, EndpointPhase, ServingEndpoint};
use acaciabay::core::serving::serving_state::{ServingCommand, ServingOutcome};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::codec::{ControlAnswer, ControlCall};
use super::hub::ServingHub;

/// The largest body of a call: a configuration of thousands of routes.
const LARGEST_BODY: usize = 8 * 1024 * 1024;
/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one call.
pub(super) async fn answer(hub: Arc<ServingHub>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let answer = match read_body(body, LARGEST_BODY, BODY_TIMEOUT).await {
        Ok(body) => match hub.codec.read_call(&parts, &body) {
            ControlCall::PutConfig => put_config(&hub, body).await,
            ControlCall::ReadConfig => read_config(&hub).await,
            ControlCall::Report { name, endpoint } => take_report(&hub, &name, endpoint),
            ControlCall::Leave { name, birth } => take_leave(&hub, &name, birth),
            ControlCall::BadReport(reason) => {
                slog::warn!(hub.log, "report of an endpoint cannot be used"; "event" => event::REPORT_REFUSED,
                    "path" => parts.uri.path(), "reason" => &reason);
                ControlAnswer::Invalid(reason)
            }
            ControlCall::Unknown => ControlAnswer::NotFound,
        },
        Err(BodyRefusal::TooLarge) => ControlAnswer::Invalid(format!("body exceeds {LARGEST_BODY} bytes")),
        Err(BodyRefusal::TimedOut | BodyRefusal::Broken) => {
            ControlAnswer::Invalid("body did not arrive whole".to_owned())
        }
    };
    hub.codec.write_answer(parts.uri.path(), answer)
}

fn take_report(hub: &ServingHub, name: &EndpointName, endpoint: ServingEndpoint) -> ControlAnswer {
    if endpoint.phase != EndpointPhase::Ready && is_cut_off(hub) {
        return CUT_OFF;
    }
    hub.take_report(name, endpoint);
    ControlAnswer::Done
}

fn take_leave(hub: &ServingHub, name: &EndpointName, birth: Option<EndpointBirth>) -> ControlAnswer {
    if is_cut_off(hub) {
        return CUT_OFF;
    }
    if !hub.knows(name) {
        return UNKNOWN;
    }
    hub.take_leave(name, birth);
    ControlAnswer::Done
}

/// The answer to an endpoint that leaves and that this process has never heard of, as after its own start or while the
/// endpoint's reports reach another part of the group only. It cannot tell entries of it; acknowledged, the endpoint would
/// go on getting calls until it is gone. Another replica that knows it can be asked.
const UNKNOWN: ControlAnswer = ControlAnswer::Unavailable("this replica does not know the endpoint");

/// The answer to an endpoint that leaves, of a process that is cut off from the group: the entries would not hear of
/// it, and the endpoint would go away under calls that it could still have told another replica about.
const CUT_OFF: ControlAnswer = ControlAnswer::Unavailable("this replica knows no leader");

fn is_cut_off(hub: &ServingHub) -> bool {
    hub.group.status().borrow().leader.is_none()
}

/// Puts a configuration in force.
///
/// One whose number is not higher than the one held is acknowledged and changes nothing: it is a copy of one that was
/// accepted, or was overtaken, and refusing it would make the operator believe that an accepted change was lost.
async fn put_config(hub: &ServingHub, document: Bytes) -> ControlAnswer {
    let config = match hub.codec.read_config(&document) {
        Ok(config) => config,
        Err(findings) => return refuse_config(hub, None, &findings),
    };
    let findings = config.findings();
    if !findings.is_empty() {
        return refuse_config(hub, Some(config.number), &findings);
    }
    if hub.group.confirm_leadership().await.is_err() {
        return elsewhere(hub);
    }
    let held = hub.group.read().serving.config_number;
    if config.number <= held {
        slog::info!(hub.log, "configuration acknowledged again"; "event" => event::SERVING_CONFIG_OLD,
            "number" => config.number.0, "held" => held.0);
        return ControlAnswer::Done;
    }
    let number = config.number;
    let command = ServingCommand::PutConfig { number, document };
    match hub.group.propose(ControlCommand::Serving(command)).await {
        Ok(CommandOutcome::Serving(ServingOutcome::Config(held))) => {
            slog::info!(hub.log, "configuration accepted"; "event" => event::SERVING_CONFIG_ACCEPTED,
                "number" => number.0, "held" => held.0);
            ControlAnswer::Done
        }
        Ok(outcome) => {
            slog::error!(hub.log, "unexpected outcome of a configuration"; "event" => event::MESSAGE_REFUSED,
                "outcome" => ?outcome);
            ControlAnswer::Unavailable("outcome is open")
        }
        Err(_not_leading) => ControlAnswer::Unavailable("outcome is open, since this replica no longer leads"),
    }
}

fn refuse_config(
    hub: &ServingHub,
    number: Option<ConfigNumber>,
    findings: &[acaciabay::core::serving::config::ConfigFinding],
) -> ControlAnswer {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    slog::warn!(hub.log, "configuration refused"; "event" => event::SERVING_CONFIG_REFUSED,
        "number" => number.map(|number| number.0), "findings" => lines.join("; "));
    ControlAnswer::Invalid(lines.join("\n"))
}

/// Reads the configuration in force, from a leader that a quorum has confirmed: any other could show an older one.
async fn read_config(hub: &ServingHub) -> ControlAnswer {
    if hub.group.confirm_leadership().await.is_err() {
        return elsewhere(hub);
    }
    let state = hub.group.read();
    if state.serving.config_number == ConfigNumber(0) {
        return ControlAnswer::Unavailable("there is no configuration yet");
    }
    ControlAnswer::Document(state.serving.document.clone())
}

fn elsewhere(hub: &ServingHub) -> ControlAnswer {
    match hub.leader_control_address() {
        Some(address) => ControlAnswer::Elsewhere(address),
        None => ControlAnswer::Unavailable("no leader is known"),
    }
}
