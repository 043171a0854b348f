//! Speeds of endpoints, to and from the library's types. Times are sent as ages, because hosts' clocks differ.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::endpoint_speed::{EndpointSpeed, PaceReport, PrefillSums, SpeedRow, StatedReport};
use acaciabay::core::serving::load_report::StatedPace;
use acaciabay::util::number::{round_up, whole_millis};

use crate::WireError;
use crate::entry_message::micros;
use crate::generated::serving;

/// Encodes what an entry has observed of an endpoint.
pub fn endpoint_pace_to_wire(now: BootTime, report: &PaceReport) -> serving::EndpointPace {
    let (stated_percent, stated_age_ms) = stated_to_wire(now, report.stated);
    serving::EndpointPace {
        endpoint: report.endpoint.to_string(),
        birth: report.birth.0,
        stated_percent,
        stated_age_ms,
        took_us: micros(report.sums.took),
        expected_us: micros(report.sums.expected),
        prefills: report.sums.prefills,
        expected_stated_us: micros(report.sums.expected_stated),
    }
}

/// Decodes what an entry has observed of an endpoint.
///
/// # Errors
///
/// Fails when the stated pace is impossible.
pub fn endpoint_pace_from_wire(now: BootTime, message: &serving::EndpointPace) -> Result<PaceReport, WireError> {
    Ok(PaceReport {
        endpoint: message.endpoint.as_str().into(),
        birth: EndpointIncarnation(message.birth),
        stated: stated_from_wire(now, message.stated_percent, message.stated_age_ms)?,
        sums: PrefillSums {
            prefills: message.prefills,
            took: Duration::from_micros(message.took_us),
            expected: Duration::from_micros(message.expected_us),
            expected_stated: Duration::from_micros(message.expected_stated_us),
        },
    })
}

/// Encodes the speed of an endpoint.
pub fn endpoint_speed_to_wire(now: BootTime, row: &SpeedRow) -> serving::EndpointSpeed {
    let (stated_percent, stated_age_ms) = stated_to_wire(now, row.speed.stated);
    serving::EndpointSpeed {
        endpoint: row.endpoint.to_string(),
        birth: row.birth.0,
        lasting_percent: factor_to_wire(row.speed.lasting),
        stated_percent,
        stated_age_ms,
        beyond_stated_percent: factor_to_wire(row.speed.beyond_stated),
    }
}

/// Decodes the speed of an endpoint.
///
/// # Errors
///
/// Fails when the stated pace is impossible.
pub fn endpoint_speed_from_wire(now: BootTime, message: &serving::EndpointSpeed) -> Result<SpeedRow, WireError> {
    Ok(SpeedRow {
        endpoint: message.endpoint.as_str().into(),
        birth: EndpointIncarnation(message.birth),
        speed: EndpointSpeed {
            lasting: factor_from_wire(message.lasting_percent),
            beyond_stated: factor_from_wire(message.beyond_stated_percent),
            stated: stated_from_wire(now, message.stated_percent, message.stated_age_ms)?,
        },
    })
}

fn stated_to_wire(now: BootTime, stated: Option<StatedReport>) -> (u32, u64) {
    stated.map_or((0, 0), |stated| {
        (stated.pace.percent().into(), whole_millis(now.since(stated.at)))
    })
}

fn stated_from_wire(now: BootTime, percent: u32, age_ms: u64) -> Result<Option<StatedReport>, WireError> {
    if percent == 0 {
        return Ok(None);
    }
    let pace = StatedPace::from_percent(percent).ok_or(WireError::invalid("stated_percent"))?;
    Ok(Some(StatedReport::aged(now, pace, Duration::from_millis(age_ms))))
}

/// Returns the percentage of a factor with this logarithm.
fn factor_to_wire(log: f64) -> u32 {
    u32::try_from(round_up(log.exp() * 100.0 - 0.5).max(1)).unwrap_or(u32::MAX)
}

/// Returns the logarithm of the factor; 0 stands for one that was not measured.
fn factor_from_wire(percent: u32) -> f64 {
    if percent == 0 {
        return 0.0;
    }
    (f64::from(percent) / 100.0).ln()
}
