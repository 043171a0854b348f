//! Says which bodies were refused for want of memory, in one line a second however many there are.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::BodyIntake;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::event;

const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs and counts the refusals of an intake until `stop` is cancelled. `door` names the address that it serves.
pub async fn watch_intake(intake: Arc<BodyIntake>, door: &'static str, log: Logger, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(LOG_INTERVAL) => {}
        }
        let held = intake.held();
        metrics::gauge!("acacia_request_body_bytes", "door" => door).set(held as f64);
        let refused = intake.take_refused();
        if refused > 0 {
            metrics::counter!("acacia_request_bodies_refused_total", "door" => door).increment(refused);
            slog::warn!(log, "bodies refused for want of memory"; "event" => event::INTAKE_FULL, "door" => door,
                "refused" => refused, "held" => held);
        }
    }
}
