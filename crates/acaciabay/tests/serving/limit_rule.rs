//! The users' rule of limits, and what the tests of limits have in common.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_limit::RateLimit;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;

/// In any such window at most one and a half times what the limit allows, and these requests.
pub(crate) const RULE_WINDOW: Duration = Duration::from_secs(4);
pub(crate) const RULE_SLACK: f64 = 5.0;
pub(crate) const INCARNATION: EndpointIncarnation = EndpointIncarnation(7);

/// Returns how many requests the rule lets arrive in a window.
pub(crate) fn permitted(limit: f64) -> f64 {
    1.5 * RULE_WINDOW.as_secs_f64() * limit + RULE_SLACK
}

pub(crate) fn at(seconds: f64) -> BootTime {
    BootTime::from_boot(Duration::from_secs_f64(seconds))
}

pub(crate) fn endpoint_name() -> EndpointName {
    EndpointName::new("engine")
}

pub(crate) fn limit_of(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).expect("it is a rate")
}
