//! The announcements and load reports of a stand-in.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use acacia_http::{FetchRequest, fetch_json};
use acacia_settings::StandinKind;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::standin::Standin;

/// How often a stand-in reports, to one entry after the other.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

pub(crate) async fn report_load(standin: Arc<Standin>, stop: CancellationToken) {
    let entries = standin.settings.entry_addresses.clone();
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    let mut sequence = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if entries.is_empty() || standin.lock().faults.stop_reports {
            continue;
        }
        sequence += 1;
        let report = report_of(&standin, sequence);
        let entry = entries[usize::try_from(sequence).unwrap_or(0) % entries.len()];
        // A lost report is made good by the next one.
        let request = FetchRequest::post("/v1/endpoints/report", &report);
        let _lost = fetch_json(entry, request, REPORT_TIMEOUT).await;
    }
}

fn report_of(standin: &Standin, sequence: u64) -> Value {
    let settings = &standin.settings;
    let mut report = json!({
        "endpoint": settings.endpoint,
        "incarnation": standin.incarnation,
        "sequence": sequence,
        "address": standin.address.to_string(),
        "failure_domain": settings.failure_domain,
        "state": if standin.lock().draining { "draining" } else { "ready" },
        "running": standin.running.load(Ordering::Acquire),
        "slots": settings.slots,
    });
    match &settings.kind {
        StandinKind::Engine { models } => report["models"] = json!(models),
        StandinKind::Service { service } => report["service"] = json!(service),
        StandinKind::Platform => {}
    }
    report
}
