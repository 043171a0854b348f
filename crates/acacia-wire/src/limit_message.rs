//! Rate limits that endpoints name, to and from the library's types.

use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_limit::{
    LimitAnswer, LimitReport, LimitReportRow, LimitRow, LimitSighting, LimitState, LimitVersion, PermitCounts,
    RateLimit,
};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;

use crate::WireError;
use crate::generated::serving;

/// Encodes what an entry reports.
pub fn limit_report_to_wire(report: &LimitReport) -> serving::LimitReport {
    serving::LimitReport {
        term: report.term,
        rows: report.rows.iter().map(report_row_to_wire).collect(),
    }
}

/// Decodes what an entry reports.
///
/// # Errors
///
/// Fails when a row lacks its state or names a rate that is none.
pub fn limit_report_from_wire(message: &serving::LimitReport) -> Result<LimitReport, WireError> {
    let rows: Result<_, _> = message.rows.iter().map(report_row_from_wire).collect();
    Ok(LimitReport {
        term: message.term,
        rows: rows?,
    })
}

/// Encodes what the leader tells an entry.
pub fn limit_answer_to_wire(answer: &LimitAnswer) -> serving::LimitTable {
    serving::LimitTable {
        term: answer.term,
        rows: answer.rows.iter().map(row_to_wire).collect(),
    }
}

/// Decodes what the leader tells an entry.
///
/// # Errors
///
/// Fails when a row lacks its state or names a rate that is none.
pub fn limit_answer_from_wire(message: &serving::LimitTable) -> Result<LimitAnswer, WireError> {
    let rows: Result<_, _> = message.rows.iter().map(row_from_wire).collect();
    Ok(LimitAnswer {
        term: message.term,
        rows: rows?,
    })
}

fn report_row_to_wire(row: &LimitReportRow) -> serving::LimitReportRow {
    serving::LimitReportRow {
        endpoint: row.endpoint.to_string(),
        state: Some(state_to_wire(row.state)),
        sighting: row.sighting.map(|sighting| serving::LimitSighting {
            rate: sighting.limit.map(RateLimit::rate),
            known: sighting.known.0,
        }),
        granted: row.permits.granted,
        spent: row.permits.spent,
        expired: row.permits.expired,
        asked: row.asked,
    }
}

fn report_row_from_wire(message: &serving::LimitReportRow) -> Result<LimitReportRow, WireError> {
    Ok(LimitReportRow {
        endpoint: EndpointName::new(&message.endpoint),
        state: state_from_wire(message.state)?,
        sighting: message.sighting.map(sighting_from_wire).transpose()?,
        permits: PermitCounts {
            granted: message.granted,
            spent: message.spent,
            expired: message.expired,
        },
        asked: message.asked,
    })
}

fn sighting_from_wire(message: serving::LimitSighting) -> Result<LimitSighting, WireError> {
    Ok(LimitSighting {
        limit: limit_from_wire(message.rate)?,
        known: LimitVersion(message.known),
    })
}

fn row_to_wire(row: &LimitRow) -> serving::LimitRow {
    serving::LimitRow {
        endpoint: row.endpoint.to_string(),
        state: Some(state_to_wire(row.state)),
        granted: row.granted,
    }
}

fn row_from_wire(message: &serving::LimitRow) -> Result<LimitRow, WireError> {
    Ok(LimitRow {
        endpoint: EndpointName::new(&message.endpoint),
        state: state_from_wire(message.state)?,
        granted: message.granted,
    })
}

fn state_to_wire(state: LimitState) -> serving::LimitState {
    serving::LimitState {
        birth: state.incarnation.0,
        version: state.version.0,
        rate: state.limit.map(RateLimit::rate),
    }
}

fn state_from_wire(message: Option<serving::LimitState>) -> Result<LimitState, WireError> {
    let message = message.ok_or(WireError::missing("state"))?;
    Ok(LimitState {
        incarnation: EndpointIncarnation(message.birth),
        version: LimitVersion(message.version),
        limit: limit_from_wire(message.rate)?,
    })
}

fn limit_from_wire(rate: Option<f64>) -> Result<Option<RateLimit>, WireError> {
    let read = |rate| RateLimit::per_second(rate).ok_or(WireError::invalid("rate"));
    rate.map(read).transpose()
}
