//! The HTTP interface for operators, with JSON bodies and a bearer token. Its main client is the `acacia` command, with
//! which `docs/OPERATING.md` shows it.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{BodyIntake, BodyRefusal, ResponseBody, json_response};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::endpoint::EndpointState;
use acaciabay::core::entry_config::ConfigVersion;
use acaciabay::core::key::{KeyId, KeyRow};
use acaciabay::core::name::{EndpointName, HostName};
use acaciabay::core::order::{OrderRefusal, OrderTarget};
use acaciabay::util::digest::ContentDigest;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::daemon::Control;
use crate::group::NotLeading;
use crate::operator_members::{add_member, list_members, members_json, remove_member, replace_member};
use crate::operator_quarantine::operate_quarantine;
use crate::operator_tables::{TableName, read_table, write_table};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Memory for the bodies of all requests together. One that is alone is always read.
const REQUEST_MEMORY_BYTES: usize = 32 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handler of operators' requests.
#[derive(Clone, Debug)]
pub(crate) struct OperatorApi {
    control: Arc<Control>,
    token: ContentDigest,
    intake: Arc<BodyIntake>,
}

/// A refused request. Operators' tools rely on the HTTP status and the code.
#[derive(Debug)]
pub(crate) struct OperatorRefusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) detail: Value,
}

impl OperatorRefusal {
    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            detail: Value::Null,
        }
    }

    pub(crate) fn with_detail(self, detail: Value) -> Self {
        Self { detail, ..self }
    }

    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let error = json!({"message": self.message, "code": self.code, "detail": self.detail});
        json_response(self.status, &json!({"error": error}))
    }
}

impl From<NotLeading> for OperatorRefusal {
    fn from(other: NotLeading) -> Self {
        let detail = json!({"leader": other.leader_address});
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_leader",
            "this replica does not lead",
        )
        .with_detail(detail)
    }
}

pub(crate) type OperatorResult = Result<Value, OperatorRefusal>;

/// An authorized request with its complete body.
#[derive(Debug)]
pub(crate) struct OperatorRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) body: Bytes,
}

impl OperatorRequest {
    /// Returns the value of a query parameter, without percent-decoding.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the value of a numeric query parameter.
    ///
    /// # Errors
    ///
    /// Fails if the parameter is missing or is not a number.
    pub(crate) fn number(&self, name: &str) -> Result<u64, OperatorRefusal> {
        let value = self.parameter(name).and_then(|value| value.parse().ok());
        value.ok_or_else(|| {
            let message = format!("query parameter `{name}` must be a number");
            OperatorRefusal::new(StatusCode::BAD_REQUEST, "bad_parameter", message)
        })
    }

    pub(crate) fn json(&self) -> Result<Value, OperatorRefusal> {
        serde_json::from_slice(&self.body).map_err(|error| {
            OperatorRefusal::new(
                StatusCode::BAD_REQUEST,
                "bad_json",
                format!("body is not JSON: {error}"),
            )
        })
    }
}

impl OperatorApi {
    pub(crate) fn new(control: Arc<Control>, token: ContentDigest) -> Self {
        Self {
            control,
            token,
            intake: BodyIntake::new(REQUEST_MEMORY_BYTES, boot_now),
        }
    }

    /// Returns the account of the operators' request bodies.
    pub(crate) fn intake(&self) -> Arc<BodyIntake> {
        Arc::clone(&self.intake)
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match self.try_answer(request).await {
            Ok(value) => json_response(StatusCode::OK, &value),
            Err(refusal) => {
                slog::info!(self.control.log, "operator's request refused"; "event" => event::OPERATOR_REFUSED,
                    "code" => refusal.code, "message" => &refusal.message);
                refusal.into_response()
            }
        }
    }

    async fn read_request(&self, request: Request<Incoming>) -> Result<OperatorRequest, OperatorRefusal> {
        let (parts, body) = request.into_parts();
        let read = self.intake.read(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
        Ok(OperatorRequest {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            body: read.map_err(body_refusal)?,
        })
    }

    async fn try_answer(&self, request: Request<Incoming>) -> OperatorResult {
        self.authorize(&request)?;
        let request = self.read_request(request).await?;
        let segments: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        if let Some(result) = operate_quarantine(&self.control.suspects, &request.method, &segments).await {
            return result;
        }
        match (&request.method, segments.as_slice()) {
            (&Method::GET, ["v1", "tables", name]) => read_table(&self.control, TableName::parse(name)?).await,
            (&Method::PUT, ["v1", "tables", name]) => {
                write_table(&self.control, TableName::parse(name)?, &request).await
            }
            (&Method::GET, ["v1", "keys"]) => self.list_keys().await,
            (&Method::POST, ["v1", "keys"]) => self.issue_key(&request).await,
            (&Method::DELETE, ["v1", "keys", id]) => self.withdraw_key(id).await,
            (&Method::GET, ["v1", "status"]) => self.status().await,
            (&Method::GET, ["v1", "usage"]) => self.usage().await,
            (&Method::GET, ["v1", "in-force"]) => self.in_force(&request).await,
            (&Method::DELETE, ["v1", "entries", host]) => self.remove_entry(host).await,
            (&Method::POST, ["v1", "endpoints", name, "drain"]) => self.order(name, OrderTarget::Drain).await,
            (&Method::POST, ["v1", "endpoints", name, "serve"]) => self.order(name, OrderTarget::Serve).await,
            (&Method::GET, ["v1", "members"]) => list_members(&self.control).await,
            (&Method::POST, ["v1", "members"]) => add_member(&self.control, &request).await,
            (&Method::DELETE, ["v1", "members", host]) => remove_member(&self.control, host).await,
            (&Method::POST, ["v1", "members", host, "replace"]) => replace_member(&self.control, host).await,
            _ => Err(OperatorRefusal::new(
                StatusCode::NOT_FOUND,
                "no_such_path",
                "no such path",
            )),
        }
    }

    fn authorize(&self, request: &Request<Incoming>) -> Result<(), OperatorRefusal> {
        let header = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let token = header.and_then(|header| header.strip_prefix("Bearer "));
        if token.is_some_and(|token| ContentDigest::of(token).matches(&self.token)) {
            return Ok(());
        }
        Err(OperatorRefusal::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "operator token is missing or wrong",
        ))
    }

    async fn list_keys(&self) -> OperatorResult {
        self.control.group.confirm_leadership().await?;
        let state = self.control.group.read();
        let keys = state
            .config
            .keys
            .rows()
            .map(|(id, row)| json!({"key": id.as_str(), "customer": row.customer.as_str()}));
        Ok(json!({"keys": keys.collect::<Vec<_>>()}))
    }

    async fn issue_key(&self, request: &OperatorRequest) -> OperatorResult {
        let body = request.json()?;
        let customer = body["customer"].as_str().filter(|customer| !customer.is_empty());
        let digest = body["sha256"].as_str().and_then(ContentDigest::from_hex);
        let (Some(customer), Some(digest)) = (customer, digest) else {
            let message = "expected `customer` and `sha256` (64 hexadecimal digits)";
            return Err(OperatorRefusal::new(StatusCode::BAD_REQUEST, "bad_key", message));
        };
        let row = KeyRow {
            digest,
            customer: customer.into(),
        };
        self.change_key(ControlCommand::IssueKey(row), &KeyId::of(&digest))
            .await
    }

    async fn withdraw_key(&self, id: &str) -> OperatorResult {
        let id = KeyId::new(id);
        self.change_key(ControlCommand::WithdrawKey(id.clone()), &id).await
    }

    async fn change_key(&self, command: ControlCommand, id: &KeyId) -> OperatorResult {
        match self.control.group.propose(command).await? {
            CommandOutcome::Key { changed, version } => {
                slog::info!(self.control.log, "key changed"; "event" => event::CHANGE_ACCEPTED,
                    "key" => id.as_str(), "changed" => changed, "version" => version.0);
                Ok(json!({"key": id.as_str(), "changed": changed, "version": version.0}))
            }
            other => Err(unexpected_outcome(&other)),
        }
    }

    async fn remove_entry(&self, host: &str) -> OperatorResult {
        self.control
            .group
            .propose(ControlCommand::RemoveEntry(HostName::new(host)))
            .await?;
        Ok(json!({"removed": host}))
    }

    /// Commits an order to an endpoint. The leader's tasks send it afterwards.
    async fn order(&self, name: &str, target: OrderTarget) -> OperatorResult {
        let endpoint = EndpointName::new(name);
        self.control.group.confirm_leadership().await?;
        let known = self
            .control
            .soft_state()
            .endpoints
            .table()
            .get(&endpoint)
            .map(|row| row.incarnation);
        let incarnation = known.ok_or_else(|| {
            let message = format!("no endpoint called `{name}` has reported");
            OperatorRefusal::new(StatusCode::NOT_FOUND, "no_such_endpoint", message)
        })?;
        match self
            .control
            .group
            .propose(ControlCommand::IntendOrder {
                endpoint,
                incarnation,
                target,
            })
            .await?
        {
            CommandOutcome::Order(Ok(number)) => Ok(json!({"endpoint": name, "number": number.0})),
            CommandOutcome::Order(Err(OrderRefusal::Unsettled(number))) => {
                let message = format!("order {} to `{name}` is not settled yet", number.0);
                Err(OperatorRefusal::new(StatusCode::CONFLICT, "order_unsettled", message))
            }
            other => Err(unexpected_outcome(&other)),
        }
    }

    async fn usage(&self) -> OperatorResult {
        self.control.group.confirm_leadership().await?;
        let state = self.control.group.read();
        let rows = state.usage.totals().map(|(customer, figures)| {
            json!({
                "customer": customer.as_str(),
                "prompt_tokens": figures.prompt_tokens,
                "output_tokens": figures.output_tokens,
                "calls": figures.calls,
            })
        });
        Ok(json!({"usage": rows.collect::<Vec<_>>(), "last_window": state.usage.last_window()}))
    }

    async fn in_force(&self, request: &OperatorRequest) -> OperatorResult {
        let version = ConfigVersion(request.number("version")?);
        self.control.group.confirm_leadership().await?;
        let state = self.control.group.read();
        let behind = self
            .control
            .soft_state()
            .presence
            .lagging_hosts(version, boot_now(), &state.entries);
        let hosts: Vec<_> = behind.iter().map(HostName::as_str).collect();
        Ok(json!({"in_force": hosts.is_empty() && state.version() >= version, "behind": hosts}))
    }

    async fn status(&self) -> OperatorResult {
        self.control.group.confirm_leadership().await?;
        let state = self.control.group.read();
        let now = boot_now();
        let soft = self.control.soft_state();
        let entries = state.entries.rows().map(|(host, row)| {
            json!({
                "host": host.as_str(),
                "failure_domain": row.domain.as_str(),
                "incarnation": row.incarnation.0,
                "version": soft.presence.get(host).map(|present| present.version.0),
                "may_serve": soft.presence.may_serve(host, now),
            })
        });
        let endpoints = soft.endpoints.table().rows().map(|(name, row)| {
            let state = match row.state {
                EndpointState::Ready if !row.takes_work(now) => "silent",
                EndpointState::Ready => "ready",
                EndpointState::Draining => "draining",
            };
            json!({
                "endpoint": name.as_str(),
                "failure_domain": row.domain.as_str(),
                "state": state,
                "running": row.running,
                "slots": row.slots,
            })
        });
        let orders = state.orders.rows().filter(|(_, row)| !row.settled);
        Ok(json!({
            "members": members_json(&self.control),
            "version": state.version().0,
            "routes": state.config.routes.number().0,
            "pools": state.config.pools.number().0,
            "entries": entries.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
            "unsettled_orders": orders.map(|(name, row)| json!({"endpoint": name.as_str(), "number": row.number.0})).collect::<Vec<_>>(),
        }))
    }
}

pub(crate) fn unexpected_outcome(outcome: &CommandOutcome) -> OperatorRefusal {
    let message = format!("command came to an unexpected outcome: {outcome:?}");
    OperatorRefusal::new(StatusCode::INTERNAL_SERVER_ERROR, "unexpected", message)
}

fn body_refusal(refusal: BodyRefusal) -> OperatorRefusal {
    let (status, code, message) = match refusal {
        BodyRefusal::NoRoom => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_memory",
            "other requests use the memory for bodies",
        ),
        BodyRefusal::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too_large", "body is too large"),
        BodyRefusal::TimedOut | BodyRefusal::Broken => (
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "body did not arrive in time",
        ),
    };
    OperatorRefusal::new(status, code, message)
}
