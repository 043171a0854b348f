//! Use and allowances of customers, to and from the library's types.

use std::time::Duration;

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::allowance::{AllowanceRow, CustomerUse, OfferedCost, UsageReport, UsageRow};
use acaciabay::util::number::{round_up, rounded, whole_millis};

use crate::generated::serving;

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
        offered: row.total.offered.0.to_vec(),
        taken: row.total.taken,
        unconfirmed_offered: row.unconfirmed.offered.0.to_vec(),
        unconfirmed_taken: row.unconfirmed.taken,
        debt: row.debt,
    }
}

fn usage_row_from_wire(message: &serving::UsageRow) -> UsageRow {
    UsageRow {
        customer: CustomerName::new(&message.customer),
        total: CustomerUse {
            offered: offered_from_wire(&message.offered),
            taken: message.taken,
        },
        unconfirmed: CustomerUse {
            offered: offered_from_wire(&message.unconfirmed_offered),
            taken: message.unconfirmed_taken,
        },
        debt: message.debt,
    }
}

/// Decodes costs by class; what is missing was not offered.
fn offered_from_wire(costs: &[u64]) -> OfferedCost {
    OfferedCost(std::array::from_fn(|class| costs.get(class).copied().unwrap_or(0)))
}

/// Encodes a row of the allowance table.
pub fn allowance_row_to_wire(row: &AllowanceRow) -> serving::AllowanceRow {
    serving::AllowanceRow {
        customer: row.customer.to_string(),
        cost_scale_milli: if row.is_limited() {
            round_up(row.cost_scale * PERMILLE).max(1)
        } else {
            0
        },
        level: rounded(row.level),
        headroom_permille: round_up(row.headroom * PERMILLE),
    }
}

/// Decodes a row of the allowance table.
pub fn allowance_row_from_wire(message: &serving::AllowanceRow) -> AllowanceRow {
    AllowanceRow {
        customer: CustomerName::new(&message.customer),
        cost_scale: match message.cost_scale_milli {
            0 => f64::INFINITY,
            milli => milli as f64 / PERMILLE,
        },
        level: message.level as f64,
        headroom: message.headroom_permille as f64 / PERMILLE,
    }
}
