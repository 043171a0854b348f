//! Retries that the leader grants from the slack of the retry limits, with its answers to renewals.

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::{self, RetryGrant, ServingHello};
use acacia_wire::retry_demand_from_wire;
use acaciabay::core::name::{HostName, ServiceName};
use acaciabay::core::serving::retry_ledger::{RetryDemand, RetryLedger};
use serde_json::json;

use super::shared::ControlShared;
use crate::operator_api::OperatorResult;

/// Grants an entry the retries that it asks for, as far as the limits allow. Grants nothing if this replica no longer leads.
pub(super) fn grant_retries(
    shared: &ControlShared,
    hello: &ServingHello,
    demands: &[serving::RetryDemand],
) -> Vec<RetryGrant> {
    let entry: HostName = hello.host.as_str().into();
    let grants = demands.iter().filter_map(|message| {
        let demand = retry_demand_from_wire(message);
        let demand = demand.inspect_err(|error| {
            slog::warn!(shared.log, "malformed demand for retries received"; "event" => event::MESSAGE_REFUSED,
                "entry" => &hello.host, "error" => %error);
        });
        let (service, demand) = demand.ok()?;
        grant(shared, &entry, &service, &demand)
    });
    grants.collect()
}

fn grant(shared: &ControlShared, entry: &HostName, service: &ServiceName, demand: &RetryDemand) -> Option<RetryGrant> {
    let now = boot_now();
    let started = ledger_start(shared)?;
    let term = started.term();
    let granted = {
        let mut soft = shared.soft_state();
        // The ledger of an earlier term does not know what other leaders have granted since.
        soft.retries.take_if(|ledger| ledger.term() != started.term());
        let ledger = soft.retries.get_or_insert(started);
        ledger.grant(now, entry, service, demand)
    };
    slog::info!(shared.log, "retries granted"; "event" => event::RETRIES_GRANTED, "entry" => entry.as_str(),
        "service" => service.as_str(), "wanted" => demand.wanted, "granted" => granted, "term" => term);
    metrics::counter!("acacia_retries_granted_total", "service" => service.to_string()).increment(granted);
    Some(RetryGrant {
        service: service.to_string(),
        wanted: demand.wanted,
        granted,
    })
}

/// Returns the ledger with which this replica has begun to lead, or `None` if it does not.
fn ledger_start(shared: &ControlShared) -> Option<RetryLedger> {
    let status = shared.group.status();
    let status = status.borrow();
    let since = status.leading_since?;
    Some(if status.is_first_leader {
        RetryLedger::first(since, status.term.0)
    } else {
        RetryLedger::new(since, status.term.0)
    })
}

/// Returns how much of the slack of each service is used, and by whom, for operators.
///
/// # Errors
///
/// Fails if this replica does not lead, or cannot be sure of it.
pub(super) async fn list_retries(shared: &ControlShared) -> OperatorResult {
    shared.group.confirm_leadership().await?;
    let now = boot_now();
    let views = shared.soft_state().retries.as_ref().map(|ledger| ledger.views(now));
    let rows = views.unwrap_or_default().into_iter().map(|view| {
        let granted = view
            .granted
            .iter()
            .map(|(entry, count)| (entry.to_string(), json!(count)));
        json!({
            "service": view.service.as_str(),
            "slack": view.slack,
            "available": view.available,
            "wanted": view.wanted,
            "granted": granted.collect::<serde_json::Map<_, _>>(),
        })
    });
    Ok(json!({ "retries": rows.collect::<Vec<_>>() }))
}
