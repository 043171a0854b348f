//! Values that several tests of this folder use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::config::{
    CallKind, CallRoute, ConfigNumber, CustomerRow, EngineSpec, KvCacheLink, PoolSpec, RequestLimits, RouteShare,
    ServiceSpec, ServingConfig,
};
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EndpointPhase, EngineStage, ServingEndpoint};
use acaciabay::core::serving::prompt::{PartId, PromptPart, PromptShape};
use acaciabay::util::digest::ContentDigest;
use acaciabay::util::rendezvous;
use proptest::test_runner::{Config, RngSeed};

pub(crate) fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

pub(crate) fn name(text: &str) -> EndpointName {
    EndpointName::new(text)
}

/// Returns noise of mean 0 and this standard deviation, the same for the same number.
pub(crate) fn noise(number: u64, deviation: f64) -> f64 {
    let draw = |salt: u8| rendezvous::fraction(rendezvous::score(&number.to_le_bytes(), &[salt]));
    // The sum of twelve uniform values has a variance of 1.
    let sum: f64 = (0..12).map(draw).sum();
    deviation * (sum - 6.0)
}

pub(crate) fn domains(names: &[&str]) -> Vec<DomainName> {
    names.iter().map(DomainName::new).collect()
}

pub(crate) fn endpoint(domain: &str) -> ServingEndpoint {
    ServingEndpoint {
        service: "llm".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        domain: domain.into(),
        slots: 64,
        phase: EndpointPhase::Ready,
        stage: Some(EngineStage::Prefill),
        reclaimable: false,
        version: None,
        incarnation: EndpointIncarnation(1_000),
        sequence: 1,
    }
}

/// An endpoint with a distinct address.
pub(crate) fn numbered(number: u8, domain: &str, stage: EngineStage) -> ServingEndpoint {
    ServingEndpoint {
        address: SocketAddr::from(([10, 0, 0, number], 8_000)),
        stage: Some(stage),
        ..endpoint(domain)
    }
}

pub(crate) fn engine() -> EngineSpec {
    EngineSpec {
        slots: 64,
        memory_tokens: 400_000,
        retention: Duration::from_secs(5),
        stage_switch_time: Duration::from_secs(3),
        link: Some(link()),
    }
}

/// A link that copies the KV memory of a shared part of 13,000 tokens in 10 ms.
pub(crate) fn link() -> KvCacheLink {
    KvCacheLink {
        token_bytes: 20_000,
        bits_per_second: 208e9,
    }
}

pub(crate) fn pool(most: u32, reclaimable_price: Option<f64>) -> PoolSpec {
    PoolSpec {
        min: 1,
        max: most,
        boot_time: Duration::from_secs(4),
        reclaimable_price,
        domain_prices: BTreeMap::from([("a".into(), 1.0), ("b".into(), 0.8), ("c".into(), 1.25)]),
    }
}

pub(crate) fn route(name: &str, prefix: &str) -> CallRoute {
    CallRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: None,
        priority: 1,
        shares: vec![share("app", 1)],
        max_attempts: 2,
        public: false,
    }
}

pub(crate) fn share(service: &str, weight: u64) -> RouteShare {
    RouteShare {
        service: service.into(),
        weight,
    }
}

pub(crate) fn customer(name: &str, keys: &[&str]) -> CustomerRow {
    CustomerRow {
        name: name.into(),
        keys: keys.iter().map(ContentDigest::of).collect(),
        priority: None,
        allowance: None,
    }
}

pub(crate) fn config(routes: Vec<CallRoute>, customers: Vec<CustomerRow>) -> ServingConfig {
    let service = ServiceSpec {
        max_connections: 100,
        engine: None,
        pool: None,
    };
    ServingConfig {
        number: ConfigNumber(1),
        routes,
        services: BTreeMap::from([("app".into(), service.clone()), ("other".into(), service)]),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        customers: Some(customers),
    }
}

/// A configuration that does not speak of customers.
pub(crate) fn open_config(routes: Vec<CallRoute>) -> ServingConfig {
    ServingConfig {
        customers: None,
        ..config(routes, Vec::new())
    }
}

pub(crate) fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id: PartId(id), tokens }
}

/// A prompt with one shared part and one unshared part.
pub(crate) fn prompt(shared: u64, own: u64) -> PromptShape {
    PromptShape {
        model: "m".to_owned(),
        prompt_tokens: 13_000 + 3_000,
        output_tokens: 10,
        parts: vec![part(shared, 13_000), part(own, 3_000)],
    }
}

/// A proptest configuration with a fixed seed, so that every run has the same cases and the same result.
pub(crate) fn fixed_cases() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::with_cases(512)
    }
}

/// Engines with their names.
pub(crate) type EngineRows = Vec<(EndpointName, ServingEndpoint)>;

/// Engines of one stage, assigned to the failure domains a, b and c in turn.
pub(crate) fn rows(count: u8, stage: EngineStage) -> EngineRows {
    let domains = ["a", "b", "c"];
    let row = |number: u8| {
        let domain = domains[usize::from(number) % domains.len()];
        (name(&format!("e{number}")), numbered(number, domain, stage))
    };
    (0..count).map(row).collect()
}

pub(crate) fn candidates(rows: &[(EndpointName, ServingEndpoint)]) -> Vec<(&EndpointName, &ServingEndpoint)> {
    rows.iter().map(|(name, endpoint)| (name, endpoint)).collect()
}

/// Outstanding work of `tokens` prompt tokens that are still to be prefilled.
pub(crate) fn unread(tokens: u64) -> EndpointWork {
    EndpointWork {
        unread_tokens: tokens,
        ..EndpointWork::default()
    }
}
