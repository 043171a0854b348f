//! Interfaces between a control process and the outside: the traits that an adapter implements to translate HTTP calls.

use std::fmt;

use acaciabay::core::name::{DomainName, EndpointName, ServiceName};
use acaciabay::core::serving::config::{ConfigFinding, ServingConfig};
use acaciabay::core::serving::duty::FenceNumber;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EngineStage, ServingEndpoint};
use acaciabay::core::serving::start_counts::{CustomerCounts, WindowNumber};
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, Response};

use acacia_http::ResponseBody;

/// A call from an operator or an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// An operator submits a configuration.
    PutConfig,
    /// An operator reads the configuration in force.
    ReadConfig,
    /// An endpoint reports its state.
    Report {
        /// The name of the endpoint.
        name: EndpointName,
        /// Its state.
        endpoint: ServingEndpoint,
    },
    /// An endpoint deregisters.
    Leave {
        /// The name of the endpoint.
        name: EndpointName,
        /// The incarnation that leaves, if the call names one.
        birth: Option<EndpointIncarnation>,
    },
    /// A report or a deregistration that cannot be parsed, with the reason. It changes no endpoint.
    BadReport(String),
    /// A call with an unknown method or path.
    Unknown,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The call succeeded.
    Done,
    /// The configuration in force, as the operator sent it.
    Document(Bytes),
    /// The call is invalid, for this reason.
    Invalid(String),
    /// There is no such call.
    NotFound,
    /// The leader has to be asked, at this address.
    Elsewhere(std::net::SocketAddr),
    /// This replica cannot carry out the call now, for this reason.
    Unavailable(&'static str),
}

/// Translation of the calls from operators and endpoints, and of their answers.
pub trait ControlCodec: fmt::Debug + Send + Sync + 'static {
    /// Parses a call.
    fn read_call(&self, parts: &Parts, body: &[u8]) -> ControlCall;
    /// Builds the response to a call that was sent to `path`.
    fn write_answer(&self, path: &str, answer: ControlAnswer) -> Response<ResponseBody>;
    /// Parses a configuration document.
    ///
    /// # Errors
    ///
    /// Returns all findings that prevent the document from being parsed.
    fn read_config(&self, document: &[u8]) -> Result<ServingConfig, Vec<ConfigFinding>>;
}

/// The duty holder and its fencing number. Usage reports and orders carry both, so that the receiver can reject those
/// of an earlier holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStamp {
    /// The host that holds the duties.
    pub holder: String,
    /// Its fencing number.
    pub fence: FenceNumber,
}

/// A call to the platform or to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundCall {
    /// The HTTP method.
    pub method: Method,
    /// The path of the request target.
    pub path: String,
    /// Headers in addition to those that every call has.
    pub headers: Vec<(&'static str, String)>,
    /// The body as JSON, or empty.
    pub body: Bytes,
}

/// The state that an engine reports on request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders that it has accepted since it started.
    pub accepted_orders: u64,
    /// True while it is carrying out an order.
    pub busy: bool,
    /// The stage of inference that it runs.
    pub stage: Option<EngineStage>,
}

/// An order to the platform that sets the number of endpoints of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    /// The service that the endpoints belong to.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// The total number of endpoints of this kind that the platform should provide.
    pub desired: u32,
    /// True for endpoints that the platform may reclaim, false for on-demand ones.
    pub reclaimable: bool,
}

/// Translation of the calls to the platform and to engines, and of their answers.
pub trait PlatformCodec: fmt::Debug + Send + Sync + 'static {
    /// Builds the call that reports the usage of a window: the number of calls that each customer began in it.
    fn usage_call(&self, stamp: &DutyStamp, window: WindowNumber, counts: &CustomerCounts) -> OutboundCall;
    /// Builds the call that orders endpoints of one kind in one failure domain.
    fn pool_call(&self, stamp: &DutyStamp, order: &PoolOrder) -> OutboundCall;
    /// Builds the call that asks an engine for its state.
    fn report_call(&self) -> OutboundCall;
    /// Parses the answer to [`report_call`](Self::report_call), or returns `None` if it is malformed.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Builds the call that orders an engine to change its stage. The engine carries it out only if it has accepted
    /// `expected` orders before.
    fn stage_call(&self, stamp: &DutyStamp, endpoint: &EndpointName, stage: EngineStage, expected: u64)
    -> OutboundCall;
}
