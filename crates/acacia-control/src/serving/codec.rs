//! What the outside of a control process looks like, as traits that an adapter implements.

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

/// A call of an operator or an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// An operator puts a configuration in force.
    PutConfig,
    /// An operator reads the configuration in force.
    ReadConfig,
    /// An endpoint reports.
    Report {
        /// The endpoint.
        name: EndpointName,
        /// What it says of itself.
        endpoint: ServingEndpoint,
    },
    /// An endpoint leaves.
    Leave {
        /// The endpoint.
        name: EndpointName,
        /// Which start of it, if it says so.
        birth: Option<EndpointIncarnation>,
    },
    /// A report that cannot be used; it concerns no endpoint.
    BadReport(String),
    /// No such call.
    Unknown,
}

/// How a call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAnswer {
    /// It was done.
    Done,
    /// The configuration in force, as it was sent.
    Document(Bytes),
    /// It cannot be done at all.
    Invalid(String),
    /// There is nothing of this kind.
    NotFound,
    /// Another replica has to be asked, at this address.
    Elsewhere(std::net::SocketAddr),
    /// It cannot be done now.
    Unavailable(&'static str),
}

/// Translates calls of operators and endpoints.
pub trait ControlCodec: fmt::Debug + Send + Sync + 'static {
    /// Reads a call.
    fn read_call(&self, parts: &Parts, body: &[u8]) -> ControlCall;
    /// Writes an answer to a call that came to this path.
    fn write_answer(&self, path: &str, answer: ControlAnswer) -> Response<ResponseBody>;
    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails with everything that keeps it from being read.
    fn read_config(&self, document: &[u8]) -> Result<ServingConfig, Vec<ConfigFinding>>;
}

/// Who acts, for those who check it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStamp {
    /// The host that acts.
    pub holder: String,
    /// Its number.
    pub fence: FenceNumber,
}

/// A call to the platform or to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Headers beside those that every call has.
    pub headers: Vec<(&'static str, String)>,
    /// The body, in JSON.
    pub body: Bytes,
}

/// What an engine says of itself when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// How many orders it has accepted since it started.
    pub accepted_orders: u64,
    /// Whether it is carrying one out.
    pub busy: bool,
    /// What it does with prompts.
    pub stage: Option<EngineStage>,
}

/// How many endpoints of one kind there are to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    /// The service.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// How many.
    pub desired: u32,
    /// Whether the order is for those that the platform may take away.
    pub reclaimable: bool,
}

/// Translates calls to the platform and to engines.
pub trait PlatformCodec: fmt::Debug + Send + Sync + 'static {
    /// Reports the calls that began in a window.
    fn usage_call(&self, stamp: &DutyStamp, window: WindowNumber, counts: &CustomerCounts) -> OutboundCall;
    /// Orders endpoints of one kind in one failure domain.
    fn pool_call(&self, stamp: &DutyStamp, order: &PoolOrder) -> OutboundCall;
    /// Asks an engine for a report of itself.
    fn report_call(&self) -> OutboundCall;
    /// Reads that report.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Orders an engine to change its stage, provided that it has accepted that many orders before.
    fn stage_call(&self, stamp: &DutyStamp, endpoint: &EndpointName, stage: EngineStage, expected: u64)
    -> OutboundCall;
}
