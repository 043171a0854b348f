//! Retries that entries ask the leader for, to and from the library's types.

use std::time::Duration;

use acaciabay::core::name::ServiceName;
use acaciabay::core::serving::retry_ledger::RetryDemand;
use acaciabay::core::serving::retry_limiter::RetryLimit;
use acaciabay::util::number::whole_millis;

use crate::WireError;
use crate::generated::serving;

/// Encodes what an entry asks for.
pub fn retry_demand_to_wire(service: &ServiceName, demand: &RetryDemand) -> serving::RetryDemand {
    serving::RetryDemand {
        service: service.to_string(),
        wanted: demand.wanted,
        ratio: demand.limit.ratio,
        slack: demand.limit.slack,
        window_ms: whole_millis(demand.limit.window),
    }
}

/// Decodes what an entry asks for.
///
/// # Errors
///
/// Fails when the limit has a value that no settings can have.
pub fn retry_demand_from_wire(message: &serving::RetryDemand) -> Result<(ServiceName, RetryDemand), WireError> {
    let is_number = |value: f64| value.is_finite() && value >= 0.0;
    if !is_number(message.ratio) {
        return Err(WireError::invalid("ratio"));
    }
    if !is_number(message.slack) {
        return Err(WireError::invalid("slack"));
    }
    if message.window_ms == 0 {
        return Err(WireError::invalid("window_ms"));
    }
    let demand = RetryDemand {
        wanted: message.wanted,
        limit: RetryLimit {
            ratio: message.ratio,
            slack: message.slack,
            window: Duration::from_millis(message.window_ms),
        },
    };
    Ok((message.service.as_str().into(), demand))
}
