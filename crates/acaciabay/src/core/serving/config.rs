//! The configuration that operators replace as a whole: routes by host and path, services, customers and their keys.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::allowance::UsageAllowance;
use crate::core::name::{CustomerName, DomainName, ServiceName};
use crate::util::digest::ContentDigest;

/// Version number of a configuration. The highest number that was accepted is in force.
///
/// Operators may begin with any number, 0 included. So the absence of a configuration is `None`, which is lower than every
/// number, and never a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigNumber(pub u64);

/// Kind of a call, which determines whether it may be retried while its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Answers with a stream of events. Only a resumable stream may continue at another endpoint.
    Stream {
        /// True if another endpoint can continue after a given event.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns true if a call may be sent again although an endpoint may already have started to run it.
    pub const fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns true if the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Share of a route's calls that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// Service that receives these calls.
    pub service: ServiceName,
    /// Weight of this share relative to the other shares of the route.
    pub weight: u64,
}

/// Rule that sends calls for one host and path prefix to services, with their time limits and number of attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRoute {
    /// Name of the route.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the path. It begins and ends with a slash.
    pub prefix: String,
    /// Kind of the calls, which determines whether they may be retried.
    pub kind: CallKind,
    /// Longest time that a caller may wait for the end of the answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, counts as on time.
    pub target_latency: Duration,
    /// Longest pause between events that counts as on time.
    pub target_gap: Option<Duration>,
    /// Priority of the calls; 0 is the most urgent.
    pub priority: u8,
    /// Services that the calls are divided among. At least one has a weight above 0.
    pub shares: Vec<RouteShare>,
    /// Maximum number of endpoints that one call may be sent to.
    pub max_attempts: u32,
    /// True if calls need no key.
    pub public: bool,
}

impl CallRoute {
    /// Returns how long a caller is assumed to wait for the first or next event before it abandons the stream.
    ///
    /// This is the longest of three times: a fixed minimum, a multiple of the target latency, and a multiple of the
    /// target gap. An engine that is silent must be replaced before that, because answering a caller that has left is
    /// wasted work.
    pub fn event_timeout(&self) -> Duration {
        const MIN_TIMEOUT: Duration = Duration::from_secs(2);
        const LATENCY_FACTOR: u32 = 4;
        const GAP_FACTOR: u32 = 8;
        let gaps = self.target_gap.unwrap_or_default() * GAP_FACTOR;
        MIN_TIMEOUT.max(self.target_latency * LATENCY_FACTOR).max(gaps)
    }

    /// Selects the service for a call according to the weights, or returns `None` if the weights add up to 0.
    ///
    /// `random` must be uniformly distributed over all values of `u64`.
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let weights = || self.shares.iter().map(|share| u128::from(share.weight));
        let mut remainder = u128::from(random).checked_rem(weights().sum())?;
        for (share, weight) in self.shares.iter().zip(weights()) {
            if remainder < weight {
                return Some(&share.service);
            }
            remainder -= weight;
        }
        None
    }
}

/// Capacity and timing of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that one engine runs at once.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub memory_tokens: u64,
    /// Time for which an engine keeps the KV cache of a prompt that it has prefilled, so that another engine can copy
    /// it.
    pub retention: Duration,
    /// Time for which an engine is unavailable while it switches between prefilling and decoding. See
    /// [`EngineStage`](super::endpoint_registry::EngineStage).
    pub stage_switch_time: Duration,
    /// Link over which engines copy KV cache to each other, if they can.
    pub link: Option<KvCacheLink>,
}

/// Network link over which engines copy KV cache to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KvCacheLink {
    /// Size of one token in the KV cache, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of one engine in either direction, in bits per second.
    pub bits_per_second: f64,
}

impl KvCacheLink {
    /// Returns how many milliseconds it takes to copy the KV cache of `tokens` tokens within a failure domain.
    pub fn copy_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_bytes as f64 * 8.0 * 1_000.0 / self.bits_per_second
    }
}

/// Limits and prices of the endpoints that may be ordered for a service.
///
/// `min` may be above `max` in a configuration that an earlier release has accepted. `max` then holds: an operator who has
/// mixed up the two should not pay for more endpoints than either allows.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// Minimum number of endpoints in each failure domain.
    pub min: u32,
    /// Maximum number of endpoints in each failure domain.
    pub max: u32,
    /// Time that a new endpoint takes until it serves calls.
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint as a fraction of the price of a regular one.
    pub reclaimable_price: Option<f64>,
    /// Price of one endpoint per second, by failure domain.
    pub domain_prices: BTreeMap<DomainName, f64>,
}

impl PoolSpec {
    /// Returns the number of endpoints nearest to `count` that the limits allow in a failure domain.
    pub fn bounded(&self, count: u32) -> u32 {
        count.max(self.min).min(self.max)
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Engine parameters, if the service runs models.
    pub engine: Option<EngineSpec>,
    /// Ordering limits, if the platform allows endpoints of this service to be ordered.
    pub pool: Option<PoolSpec>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a request.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Customer with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRow {
    /// Name of the customer.
    pub name: CustomerName,
    /// Digests of the access keys that identify calls of this customer.
    pub keys: Vec<ContentDigest>,
    /// Priority of the customer's calls. It overrides the priority of the route.
    pub priority: Option<u8>,
    /// Limit on the use of the customer over all entries, if it has one.
    pub allowance: Option<UsageAllowance>,
}

/// Complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// Version number.
    pub number: ConfigNumber,
    /// Routes that calls are matched against.
    pub routes: Vec<CallRoute>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
    /// Customers, or `None` if the configuration does not speak of customers: only then does no call need a key.
    ///
    /// An empty list is the one that the last customer has left. It closes all routes that are not public.
    pub customers: Option<Vec<CustomerRow>>,
}

/// Error that makes a configuration unusable, with its place in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    /// Route, customer or field that the error concerns.
    pub place: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

impl ServingConfig {
    /// Returns all errors that make this configuration unusable.
    ///
    /// All of them are reported at once, so that an operator does not have to find them one by one.
    pub fn findings(&self) -> Vec<ConfigFinding> {
        let mut findings = Vec::new();
        let mut host_prefixes = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route, &mut findings);
            if !host_prefixes.insert((&route.host, &route.prefix)) {
                findings.push(finding(&route.name, "another route has the same host and prefix"));
            }
        }
        let mut owners = BTreeMap::new();
        for customer in self.customer_rows() {
            for key in &customer.keys {
                let owner = owners.insert(*key, &customer.name);
                if owner.is_some_and(|owner| *owner != customer.name) {
                    findings.push(finding(customer.name.as_str(), "another customer has the same key"));
                }
            }
            check_allowance(customer, &mut findings);
        }
        findings
    }

    /// Returns the customers, of which there are none if the configuration does not speak of customers.
    pub fn customer_rows(&self) -> &[CustomerRow] {
        self.customers.as_deref().unwrap_or_default()
    }

    /// Returns true if calls need a key on routes that are not public.
    pub const fn requires_keys(&self) -> bool {
        self.customers.is_some()
    }

    /// Returns the contradictions in this configuration, for which a new one is refused.
    ///
    /// A configuration with contradictions can be served. One that was accepted before they were looked for stays in force,
    /// and is acknowledged when it is sent again.
    pub fn contradictions(&self) -> Vec<ConfigFinding> {
        let pools = self
            .services
            .iter()
            .filter_map(|(service, spec)| Some((service, spec.pool.as_ref()?)));
        let crossed = pools.filter(|(_, pool)| pool.min > pool.max);
        crossed
            .map(|(service, pool)| {
                let text = format!("the pool's min {} is above its max {}", pool.min, pool.max);
                finding(service.as_str(), text)
            })
            .collect()
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

fn check_allowance(customer: &CustomerRow, findings: &mut Vec<ConfigFinding>) {
    let Some(allowance) = &customer.allowance else {
        return;
    };
    let name = customer.name.as_str();
    if !(allowance.rate > 0.0 && allowance.rate.is_finite()) {
        findings.push(finding(name, "the rate of the allowance is not a positive number"));
    }
    if !(allowance.burst >= 0.0 && allowance.burst.is_finite()) {
        findings.push(finding(name, "the burst of the allowance is negative or not a number"));
    }
}

fn finding(place: &str, message: impl Into<String>) -> ConfigFinding {
    ConfigFinding {
        place: place.to_owned(),
        message: message.into(),
    }
}
