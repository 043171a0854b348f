//! Commits what the leader has to record about calls under which endpoints have ended.

use std::sync::Arc;
use std::time::Duration;

use acaciabay::core::control_state::ControlCommand;
use acaciabay::core::serving::call_fingerprint::FingerprintKey;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::suspect_table::SuspectUpdate;
use tokio_util::sync::CancellationToken;

use super::shared::ControlShared;

/// Interval at which the leader commits new evidence.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Commits updates of the suspect calls while this replica leads, until `stop` is cancelled.
pub(super) async fn commit_suspects(shared: Arc<ControlShared>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(COMMIT_INTERVAL) => {}
        }
        if shared.group.status().borrow().leading_since.is_none() {
            continue;
        }
        let Some(update) = next_update(&shared) else { continue };
        let command = ControlCommand::Serving(ServingCommand::UpdateSuspects(update));
        // If this replica no longer leads, the next leader proposes an update of its own.
        let _not_leading = shared.group.propose(command).await;
    }
}

fn next_update(shared: &ControlShared) -> Option<SuspectUpdate> {
    if shared.group.read().serving.suspects.key.is_some() {
        return None;
    }
    let mut bytes = [0; 32];
    // Without random bytes there are no fingerprints yet; the next tick tries again.
    getrandom::fill(&mut bytes).ok()?;
    Some(SuspectUpdate {
        key: FingerprintKey::from_bytes(&bytes),
    })
}
