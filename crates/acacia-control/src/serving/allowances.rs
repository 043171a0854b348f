//! Allowances of customers over all entries. The leader charges the use that entries report with their renewals, and
//! broadcasts which customers are near their allowances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{self, AllowanceTable, ServingHello};
use acacia_wire::{allowance_row_to_wire, usage_report_from_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::allowance::{AllowanceRow, UsageAllowance};
use acaciabay::core::serving::allowance_ledger::{AllowanceLedger, AllowanceTolerance};
use acaciabay::core::serving::config::{ConfigNumber, ServingConfig};
use acaciabay::core::serving::start_counts::EntryStart;
use tokio_util::sync::CancellationToken;

use super::shared::ControlShared;

/// Interval at which the leader computes the rows.
const ROWS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which it sends rows that limit nobody.
const CALM_INTERVAL: Duration = Duration::from_secs(1);

/// The ledger of this term, and the allowances in force.
#[derive(Debug, Default)]
pub(super) struct LeaderAllowances {
    /// Start of the leadership that the ledger belongs to.
    leading_since: Option<BootTime>,
    ledger: Option<AllowanceLedger>,
    number: ConfigNumber,
    in_force: HashMap<CustomerName, UsageAllowance>,
}

impl LeaderAllowances {
    fn update(
        &mut self,
        now: BootTime,
        leading_since: Option<BootTime>,
        config: &ServingConfig,
        tolerance: AllowanceTolerance,
    ) {
        if self.leading_since != leading_since || self.ledger.is_none() {
            self.leading_since = leading_since;
            self.ledger = Some(AllowanceLedger::new(now, tolerance));
        }
        if self.number != config.number {
            self.number = config.number;
            let customers = config.customers.iter();
            self.in_force = customers
                .filter_map(|customer| Some((customer.name.clone(), customer.allowance?)))
                .collect();
        }
    }
}

/// Charges the use that an entry has reported.
pub(super) fn record_usage(shared: &ControlShared, hello: &ServingHello, report: Option<&serving::UsageReport>) {
    let (Some(report), Some(config)) = (report, shared.config()) else {
        return;
    };
    let now = boot_now();
    let leading_since = shared.group.status().borrow().leading_since;
    let mut soft = shared.soft_state();
    soft.allowances
        .update(now, leading_since, &config, tolerance_of(shared));
    let LeaderAllowances { ledger, in_force, .. } = &mut soft.allowances;
    if let Some(ledger) = ledger {
        let report = usage_report_from_wire(report);
        ledger.record(now, EntryStart(hello.start), &report, |customer| {
            in_force.get(customer).copied()
        });
    }
}

/// Broadcasts the rows while this process leads, until `stop` is cancelled.
pub(super) async fn broadcast_allowances(shared: Arc<ControlShared>, stop: CancellationToken) {
    let mut broadcast = BroadcastState::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(ROWS_INTERVAL) => {}
        }
        let now = boot_now();
        let leading_since = shared.group.status().borrow().leading_since;
        if leading_since.is_none() || !shared.group.may_act(now) {
            continue;
        }
        let Some(rows) = current_rows(&shared, now, leading_since) else {
            continue;
        };
        if broadcast.is_due(now, &rows) {
            let rows = rows.iter().map(allowance_row_to_wire).collect();
            shared.broadcast(Body::Allowances(AllowanceTable { rows }));
        }
    }
}

fn current_rows(shared: &ControlShared, now: BootTime, leading_since: Option<BootTime>) -> Option<Vec<AllowanceRow>> {
    let config = shared.config()?;
    let mut soft = shared.soft_state();
    soft.allowances
        .update(now, leading_since, &config, tolerance_of(shared));
    let LeaderAllowances { ledger, in_force, .. } = &mut soft.allowances;
    Some(ledger.as_mut()?.rows(now, |customer| in_force.get(customer).copied()))
}

fn tolerance_of(shared: &ControlShared) -> AllowanceTolerance {
    let settings = shared.settings.allowance_tolerance;
    settings.map_or_else(AllowanceTolerance::default, |settings| AllowanceTolerance {
        window: settings.window,
        ratio: settings.ratio,
        slack: settings.slack,
    })
}

/// What was broadcast last.
#[derive(Debug, Default)]
struct BroadcastState {
    sent_at: BootTime,
    had_limits: bool,
    had_rows: bool,
}

impl BroadcastState {
    /// Returns true if the rows are to be sent now, and assumes that they are.
    fn is_due(&mut self, now: BootTime, rows: &[AllowanceRow]) -> bool {
        let has_limits = rows.iter().any(AllowanceRow::is_limited);
        let has_rows = !rows.is_empty();
        let is_calm_due = now.since(self.sent_at) >= CALM_INTERVAL && (has_rows || self.had_rows);
        if !has_limits && !self.had_limits && !is_calm_due {
            return false;
        }
        *self = Self {
            sent_at: now,
            had_limits: has_limits,
            had_rows: has_rows,
        };
        true
    }
}
