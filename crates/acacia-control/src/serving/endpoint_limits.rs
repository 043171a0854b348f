//! Rate limits that endpoints name. The leader grants permits with its answers to renewals, and tells all entries at once
//! when a limit changes.

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{self, LimitTable, ServingHello};
use acacia_wire::{limit_answer_to_wire, limit_report_from_wire};
use acaciabay::core::serving::endpoint_limit::{LimitAnswer, LimitReport, LimitRow, RateLimit};
use acaciabay::core::serving::limit_ledger::{LimitChange, LimitLedger};
use acaciabay::core::serving::start_counts::EntryStart;
use acaciabay::util::number::whole_millis;
use serde_json::json;

use super::shared::ControlShared;
use crate::operator_api::OperatorResult;

/// Records what an entry reports of limits, and returns what it has to be told. Returns `None` if this replica no longer
/// leads.
pub(super) fn exchange_limits(
    shared: &ControlShared,
    hello: &ServingHello,
    report: Option<&serving::LimitReport>,
) -> Option<LimitTable> {
    let report = report.map_or_else(|| Ok(LimitReport::default()), limit_report_from_wire);
    let report = report.unwrap_or_else(|error| {
        slog::warn!(shared.log, "malformed report of limits received"; "event" => event::MESSAGE_REFUSED,
            "entry" => &hello.host, "error" => %error);
        LimitReport::default()
    });
    let now = boot_now();
    let entry = EntryStart(hello.start);
    let term = shared.leading_term()?;
    let (changes, answer) = {
        let mut soft = shared.soft_state();
        // The ledger of an earlier term does not know what other leaders have granted since.
        soft.limits.take_if(|ledger| ledger.term() != term);
        let ledger = soft.limits.get_or_insert_with(|| LimitLedger::new(term));
        let changes = ledger.record(now, entry, &report);
        (changes, ledger.grant(now, entry))
    };
    announce(shared, hello, term, changes);
    log_grants(shared, hello, &answer);
    Some(limit_answer_to_wire(&answer))
}

/// Returns the limits in force, for operators.
///
/// # Errors
///
/// Fails if this replica does not lead, or cannot be sure of it.
pub(super) async fn list_limits(shared: &ControlShared) -> OperatorResult {
    shared.group.confirm_leadership().await?;
    let now = boot_now();
    let views = shared.soft_state().limits.as_ref().map(|ledger| ledger.views(now));
    let rows = views.unwrap_or_default().into_iter().map(|view| {
        json!({
            "endpoint": view.endpoint.as_str(),
            "birth": view.state.incarnation.0,
            "version": view.state.version.0,
            "limit": view.state.limit.map(RateLimit::rate),
            "age_ms": whole_millis(view.age),
            "available": view.available,
            "outstanding": view.outstanding,
            "demand": view.demand,
            "entries": view.entries,
        })
    });
    Ok(json!({ "limits": rows.collect::<Vec<_>>() }))
}

/// Tells all entries which limits have changed, and logs it.
fn announce(shared: &ControlShared, hello: &ServingHello, term: u64, changes: Vec<LimitChange>) {
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        slog::info!(shared.log, "endpoint limit recorded"; "event" => event::LIMIT_RECORDED,
            "endpoint" => change.endpoint.as_str(), "birth" => change.state.incarnation.0,
            "version" => change.state.version.0, "before" => change.before.map(RateLimit::rate),
            "limit" => change.state.limit.map(RateLimit::rate), "entry" => &hello.host, "term" => term);
    }
    metrics::counter!("acacia_endpoint_limit_changes_total").increment(changes.len() as u64);
    let rows = changes.into_iter().map(|change| LimitRow {
        endpoint: change.endpoint,
        state: change.state,
        granted: 0,
    });
    let answer = LimitAnswer {
        term,
        rows: rows.collect(),
    };
    shared.broadcast(Body::Limits(limit_answer_to_wire(&answer)));
}

fn log_grants(shared: &ControlShared, hello: &ServingHello, answer: &LimitAnswer) {
    for row in &answer.rows {
        slog::debug!(shared.log, "permits granted"; "event" => event::PERMITS_GRANTED, "entry" => &hello.host,
            "endpoint" => row.endpoint.as_str(), "version" => row.state.version.0, "granted" => row.granted);
    }
}
