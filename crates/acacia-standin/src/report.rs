//! The announcements and load reports of a stand-in.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use acacia_http::{FetchRequest, fetch_json};
use acacia_settings::StandinKind;
use serde_json::{Value, json};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::standin::Standin;

/// How often a stand-in reports, to one entry after the other.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// What a report says of the load at one moment.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    taken_at: Instant,
    running: u32,
    pieces_used: u32,
}

pub(crate) async fn report_load(standin: Arc<Standin>, stop: CancellationToken) {
    let entries = standin.settings.entry_addresses.clone();
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    let mut samples = VecDeque::new();
    let mut sequence = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        samples.push_back(sample_load(&standin));
        while samples.len() > 1 && samples[1].taken_at.elapsed() >= standin.settings.report_lag {
            samples.pop_front();
        }
        if entries.is_empty() || standin.lock().faults.stop_reports {
            continue;
        }
        sequence += 1;
        let report = report_of(&standin, sequence, samples[0]);
        let entry = entries[usize::try_from(sequence).unwrap_or(0) % entries.len()];
        // A lost report is made good by the next one.
        let request = FetchRequest::post("/v1/endpoints/report", &report);
        let _lost = fetch_json(entry, request, REPORT_TIMEOUT).await;
    }
}

fn sample_load(standin: &Standin) -> LoadSample {
    let free = u32::try_from(standin.memory.available_permits()).unwrap_or(u32::MAX);
    LoadSample {
        taken_at: Instant::now(),
        running: standin.running.load(Ordering::Acquire),
        pieces_used: standin.settings.pieces.saturating_sub(free),
    }
}

fn report_of(standin: &Standin, sequence: u64, load: LoadSample) -> Value {
    let settings = &standin.settings;
    let mut report = json!({
        "endpoint": settings.endpoint,
        "incarnation": standin.incarnation,
        "sequence": sequence,
        "address": standin.address.to_string(),
        "failure_domain": settings.failure_domain,
        "state": if standin.lock().draining { "draining" } else { "ready" },
        "running": load.running,
        "slots": settings.slots,
        "version": settings.version,
    });
    match &settings.kind {
        StandinKind::Engine { models } => {
            report["models"] = json!(models);
            report["pieces"] = json!(settings.pieces);
            report["pieces_used"] = json!(load.pieces_used);
        }
        StandinKind::Service { service } => report["service"] = json!(service),
        StandinKind::Platform => {}
    }
    report
}
