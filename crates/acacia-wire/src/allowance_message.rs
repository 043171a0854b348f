//! Use and allowances of customers, to and from the library's types.

use std::time::Duration;

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::allowance::{AllowanceRow, CustomerUse, UsageReport, UsageRow};
use acaciabay::util::number::{round_up, rounded, whole_millis};

use crate::generated::serving;

/// Parts of a fraction of 1.
const PPM: f64 = 1_000_000.0;
const PERMILLE: f64 = 1_000.0;

/// Encodes the use that an entry reports.
pub fn usage_report_to_wire(report: &UsageReport) -> serving::UsageReport {
    serving::UsageReport {
        unconfirmed_ms: report.unconfirmed_for.map(whole_millis),
        rows: report.rows.iter().map(usage_row_to_wire).collect(),
    }
}

/// Decodes the use that an entry reports.
pub fn usage_report_from_wire(message: &serving::UsageReport) -> UsageReport {
    UsageReport {
        unconfirmed_for: message.unconfirmed_ms.map(Duration::from_millis),
        rows: message.rows.iter().map(usage_row_from_wire).collect(),
    }
}

fn usage_row_to_wire(row: &UsageRow) -> serving::UsageRow {
    serving::UsageRow {
        customer: row.customer.to_string(),
        offered: row.total.offered,
        taken: row.total.taken,
        unconfirmed_offered: row.unconfirmed.offered,
        unconfirmed_taken: row.unconfirmed.taken,
    }
}

fn usage_row_from_wire(message: &serving::UsageRow) -> UsageRow {
    UsageRow {
        customer: CustomerName::new(&message.customer),
        total: CustomerUse {
            offered: message.offered,
            taken: message.taken,
        },
        unconfirmed: CustomerUse {
            offered: message.unconfirmed_offered,
            taken: message.unconfirmed_taken,
        },
    }
}

/// Encodes a row of the allowance table.
pub fn allowance_row_to_wire(row: &AllowanceRow) -> serving::AllowanceRow {
    serving::AllowanceRow {
        customer: row.customer.to_string(),
        admitted_ppm: round_up(row.admitted_fraction * PPM),
        level: rounded(row.level),
        headroom_permille: round_up(row.headroom * PERMILLE),
    }
}

/// Decodes a row of the allowance table.
pub fn allowance_row_from_wire(message: &serving::AllowanceRow) -> AllowanceRow {
    AllowanceRow {
        customer: CustomerName::new(&message.customer),
        admitted_fraction: message.admitted_ppm as f64 / PPM,
        level: message.level as f64,
        headroom: message.headroom_permille as f64 / PERMILLE,
    }
}
