//! The configuration that operators replace as a whole: routes by host and path, services, customers and their keys.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::core::name::{CustomerName, DomainName, ServiceName};
use crate::util::digest::ContentDigest;

/// Numbers configurations; the highest number that was accepted is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigNumber(pub u64);

/// What may be done with a call whose outcome is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
    /// Its answer is a stream of events. Only a resumable one may go on at another endpoint.
    Stream {
        /// Whether another endpoint can continue after a given event.
        resumable: bool,
    },
}

impl CallKind {
    /// Tells whether a call may be sent again although an endpoint may have begun to run it.
    pub const fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// Where these calls go.
    pub service: ServiceName,
    /// Their part relative to the weights of the other shares.
    pub weight: u64,
}

/// Which calls go where, and what they may cost in time and sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRoute {
    /// The route's name.
    pub name: String,
    /// The host that callers address.
    pub host: String,
    /// The start of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest that a caller may be kept waiting for the end of the answer.
    pub timeout: Duration,
    /// Within which time an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// The longest pause between events that is still on time.
    pub target_gap: Option<Duration>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services, at least one with a weight above 0.
    pub shares: Vec<RouteShare>,
    /// Most endpoints that one call may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

impl CallRoute {
    /// Returns how long a caller waits for the first event, or for the next one, before it gives up by itself.
    ///
    /// Callers leave a stream after the longest of three pauses; work for one that has left is done in vain.
    pub fn event_timeout(&self) -> Duration {
        const MIN_TIMEOUT: Duration = Duration::from_secs(2);
        const LATENCY_FACTOR: u32 = 4;
        const GAP_FACTOR: u32 = 8;
        let gaps = self.target_gap.unwrap_or_default() * GAP_FACTOR;
        MIN_TIMEOUT.max(self.target_latency * LATENCY_FACTOR).max(gaps)
    }

    /// Picks the service for a call by a number that is drawn evenly from all numbers.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        None
    }
}

/// What model engines of a service can hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// How long an engine keeps a prompt that it has read for another engine to take.
    pub retention: Duration,
    /// How long an engine is away when it changes its stage.
    pub stage_switch_time: Duration,
    /// How engines copy what they have read to each other, where they can.
    pub link: Option<MemoryLink>,
}

/// How fast the memory of prompts moves from one engine to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLink {
    /// What one token takes in memory.
    pub token_bytes: u64,
    /// What an engine sends or receives in a second.
    pub bits_per_second: f64,
}

impl MemoryLink {
    /// Returns how many milliseconds the memory of so many tokens is on its way within a failure domain.
    pub fn copy_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_bytes as f64 * 8.0 * 1_000.0 / self.bits_per_second
    }
}

/// How many endpoints of a service may be ordered, and at which price.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// The least number in each failure domain.
    pub min: u32,
    /// The largest number in each failure domain.
    pub max: u32,
    /// How long a new endpoint takes until it serves.
    pub boot_time: Duration,
    /// The price of a reclaimable endpoint as a part of the price of another.
    pub reclaimable_price: Option<f64>,
    /// The price of a second of one endpoint by failure domain.
    pub domain_prices: BTreeMap<DomainName, f64>,
}

/// What is known of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one of its endpoints takes from all callers together.
    pub max_connections: u32,
    /// Its engines, where it runs models.
    pub engine: Option<EngineSpec>,
    /// What may be ordered, where the platform lets endpoints be ordered.
    pub pool: Option<PoolSpec>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a request.
    pub head_timeout: Duration,
    /// How long a connection may stay unused.
    pub idle_timeout: Duration,
}

/// A customer with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRow {
    /// The customer.
    pub name: CustomerName,
    /// The digests of its keys.
    pub keys: Vec<ContentDigest>,
    /// The rank of its calls, which goes before the route's.
    pub priority: Option<u8>,
}

/// One whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// Its number.
    pub number: ConfigNumber,
    /// The routes.
    pub routes: Vec<CallRoute>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// What callers may send.
    pub limits: RequestLimits,
    /// The customers. Where there are none, no call needs a key.
    pub customers: Vec<CustomerRow>,
}

/// What makes a configuration unusable, with its place in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    /// The route, customer or field concerned.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

impl ServingConfig {
    /// Returns everything that makes this configuration unusable.
    ///
    /// All of it is reported at once, so that an operator does not have to find the mistakes one by one.
    pub fn findings(&self) -> Vec<ConfigFinding> {
        let mut findings = Vec::new();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route, &mut findings);
            if !places.insert((&route.host, &route.prefix)) {
                findings.push(finding(&route.name, "another route has the same host and prefix"));
            }
        }
        let mut owners = BTreeMap::new();
        for customer in &self.customers {
            for key in &customer.keys {
                let owner = owners.insert(*key, &customer.name);
                if owner.is_some_and(|owner| *owner != customer.name) {
                    findings.push(finding(customer.name.as_str(), "another customer has the same key"));
                }
            }
        }
        findings
    }

    fn check_route(&self, route: &CallRoute, findings: &mut Vec<ConfigFinding>) {
        for share in &route.shares {
            if !self.services.contains_key(&share.service) {
                let text = format!("service `{}` is unknown", share.service);
                findings.push(finding(&route.name, text));
            }
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            findings.push(finding(&route.name, "the weights add up to 0"));
        }
        if route.timeout.is_zero() {
            findings.push(finding(&route.name, "the timeout is 0"));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            findings.push(finding(&route.name, "the prefix does not begin and end with a slash"));
        }
    }
}

fn finding(place: &str, message: impl Into<String>) -> ConfigFinding {
    ConfigFinding {
        place: place.to_owned(),
        message: message.into(),
    }
}
