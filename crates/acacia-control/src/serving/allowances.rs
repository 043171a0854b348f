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
/// Interval at which it sends the rows while they limit nobody, and also while there are none: an entry may hold rows of an
/// earlier leader, or have missed the message that lifted a limit.
const CALM_INTERVAL: Duration = Duration::from_secs(1);

/// The ledger of this term, and the allowances in force.
#[derive(Debug, Default)]
pub(super) struct LeaderAllowances {
    /// The ledger, with the start of the leadership that it belongs to.
    ledger: Option<(Option<BootTime>, AllowanceLedger)>,
    number: Option<ConfigNumber>,
    in_force: HashMap<CustomerName, UsageAllowance>,
}

impl LeaderAllowances {
    fn apply_config(&mut self, config: &ServingConfig) {
        if self.number.replace(config.number) == Some(config.number) {
            return;
        }
        let customers = config.customer_rows().iter();
        self.in_force = customers
            .filter_map(|customer| Some((customer.name.clone(), customer.allowance?)))
            .collect();
    }
}

/// Passes the ledger of the present term and the allowances in force to `act`. Returns `None` if there are no allowances.
fn with_ledger<T>(
    shared: &ControlShared,
    now: BootTime,
    act: impl FnOnce(&mut AllowanceLedger, &HashMap<CustomerName, UsageAllowance>) -> T,
) -> Option<T> {
    let config = shared.config()?;
    let leading_since = shared.group.status().borrow().leading_since;
    let mut soft = shared.soft_state();
    let allowances = &mut soft.allowances;
    allowances.apply_config(&config);
    if allowances.in_force.is_empty() {
        return None;
    }
    // The ledger of an earlier term does not know what other leaders have charged since.
    allowances.ledger.take_if(|(term, _)| *term != leading_since);
    let (_, ledger) = allowances
        .ledger
        .get_or_insert_with(|| (leading_since, AllowanceLedger::new(now, tolerance_of(shared))));
    Some(act(ledger, &allowances.in_force))
}

/// Charges the use that an entry has reported.
pub(super) fn record_usage(shared: &ControlShared, hello: &ServingHello, report: Option<&serving::UsageReport>) {
    let Some(report) = report.map(usage_report_from_wire) else {
        return;
    };
    let now = boot_now();
    // Without allowances there is nothing to charge.
    let _charged = with_ledger(shared, now, |ledger, in_force| {
        let allowance_of = |customer: &CustomerName| in_force.get(customer).copied();
        ledger.record(now, EntryStart(hello.start), &report, allowance_of);
    });
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
        if !shared.group.may_act(now) {
            continue;
        }
        let rows = with_ledger(&shared, now, |ledger, in_force| {
            ledger.rows(now, |customer| in_force.get(customer).copied())
        });
        let Some(rows) = rows else { continue };
        if broadcast.is_due(now, &rows) {
            let rows = rows.iter().map(allowance_row_to_wire).collect();
            shared.broadcast(Body::Allowances(AllowanceTable { rows }));
        }
    }
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
}

impl BroadcastState {
    /// Returns true if the rows are to be sent now, and assumes that they are.
    fn is_due(&mut self, now: BootTime, rows: &[AllowanceRow]) -> bool {
        let has_limits = rows.iter().any(AllowanceRow::is_limited);
        let is_calm_due = now.since(self.sent_at) >= CALM_INTERVAL;
        if !has_limits && !self.had_limits && !is_calm_due {
            return false;
        }
        *self = Self {
            sent_at: now,
            had_limits: has_limits,
        };
        true
    }
}
