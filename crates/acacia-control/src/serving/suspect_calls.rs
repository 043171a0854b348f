//! Commits what entries report about calls under which endpoints have ended, and judges these calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::wall_nanos;
use acacia_runtime::event;
use acacia_wire::generated::serving::RenewServing;
use acacia_wire::{WireError, evidence_from_wire, fingerprint_from_wire};
use acaciabay::core::control_state::ControlCommand;
use acaciabay::core::name::{CustomerName, HostName};
use acaciabay::core::serving::call_fingerprint::{CallFingerprint, FingerprintKey};
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::start_counts::EntryStart;
use acaciabay::core::serving::suspect_table::{EndingEvidence, SuspectTable, SuspectUpdate};
use tokio_util::sync::CancellationToken;

use super::shared::ControlShared;

/// Interval at which the leader commits new evidence.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Evidence of one start of an entry that has been received, by its numbers.
#[derive(Clone, Copy, Debug)]
struct EvidenceProgress {
    start: EntryStart,
    received: u64,
    committed: u64,
}

/// What entries have told the leader about suspect calls and is not committed yet.
#[derive(Debug, Default)]
pub(super) struct SuspectReports {
    evidence: Vec<EndingEvidence>,
    answered: Vec<CallFingerprint>,
    progress: BTreeMap<HostName, EvidenceProgress>,
}

impl SuspectReports {
    /// Adds what a renewal tells. Returns the number up to which the evidence of the entry is committed.
    pub(super) fn record(
        &mut self,
        host: &HostName,
        start: EntryStart,
        request: &RenewServing,
    ) -> Result<u64, WireError> {
        let known = self.progress.get(host).copied().filter(|known| known.start == start);
        let mut progress = known.unwrap_or(EvidenceProgress {
            start,
            received: 0,
            committed: 0,
        });
        for (number, message) in (request.first_ending..).zip(&request.endings) {
            if number > progress.received {
                self.evidence.push(evidence_from_wire(message.clone())?);
                progress.received = number;
            }
        }
        for fingerprint in &request.answered {
            self.answered.push(fingerprint_from_wire(fingerprint)?);
        }
        let committed = progress.committed;
        self.progress.insert(host.clone(), progress);
        Ok(committed)
    }

    const fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.answered.is_empty()
    }

    /// Removes everything that waits, and returns it with the progress that its commit means.
    fn take(&mut self, now_ms: u64) -> (SuspectUpdate, BTreeMap<HostName, EvidenceProgress>) {
        let update = SuspectUpdate {
            now_ms,
            key: None,
            evidence: std::mem::take(&mut self.evidence),
            answered: std::mem::take(&mut self.answered),
            lifted: Vec::new(),
        };
        (update, self.progress.clone())
    }

    /// Records that everything up to this progress is committed.
    fn confirm(&mut self, taken: &BTreeMap<HostName, EvidenceProgress>) {
        for (host, taken) in taken {
            if let Some(known) = self.progress.get_mut(host).filter(|known| known.start == taken.start) {
                known.committed = known.committed.max(taken.received);
            }
        }
    }

    /// Forgets what was received from entries, so that they tell it again.
    fn reset(&mut self) {
        *self = Self::default();
    }
}

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
        let Some((update, taken)) = next_update(&shared) else {
            continue;
        };
        let command = ControlCommand::Serving(ServingCommand::UpdateSuspects(update));
        let before = quarantined(&shared.group.read().serving.suspects);
        let is_committed = shared.group.propose(command).await.is_ok();
        if is_committed {
            shared.soft_state().suspect_reports.confirm(&taken);
            log_changes(&shared, &before);
        } else {
            // Entries tell the next leader again, or this one if it still leads.
            shared.soft_state().suspect_reports.reset();
        }
    }
}

/// Commits that an operator has lifted a quarantine. Returns false if this replica does not lead.
pub(super) async fn commit_lift(shared: &ControlShared, fingerprint: CallFingerprint) -> bool {
    let before = quarantined(&shared.group.read().serving.suspects);
    let update = SuspectUpdate {
        now_ms: wall_nanos() / 1_000_000,
        lifted: vec![fingerprint],
        ..SuspectUpdate::default()
    };
    let command = ControlCommand::Serving(ServingCommand::UpdateSuspects(update));
    let is_committed = shared.group.propose(command).await.is_ok();
    if is_committed {
        log_changes(shared, &before);
    }
    is_committed
}

type PendingUpdate = (SuspectUpdate, BTreeMap<HostName, EvidenceProgress>);

fn next_update(shared: &ControlShared) -> Option<PendingUpdate> {
    let now_ms = wall_nanos() / 1_000_000;
    let (has_key, can_judge) = {
        let suspects = &shared.group.read().serving.suspects;
        (suspects.key.is_some(), suspects.can_judge(now_ms))
    };
    let mut soft = shared.soft_state();
    if has_key && !can_judge && soft.suspect_reports.is_empty() {
        return None;
    }
    let (update, taken) = soft.suspect_reports.take(now_ms);
    let key = if has_key { None } else { random_key() };
    Some((SuspectUpdate { key, ..update }, taken))
}

/// Returns a random key, or `None` if there are no random bytes. The next update then tries again.
fn random_key() -> Option<FingerprintKey> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).ok()?;
    FingerprintKey::from_bytes(&bytes)
}

fn quarantined(suspects: &SuspectTable) -> Vec<CallFingerprint> {
    let calls = suspects.quarantined();
    calls.map(|call| call.identity.fingerprint).collect()
}

/// Logs which calls were quarantined or released since `before`.
fn log_changes(shared: &ControlShared, before: &[CallFingerprint]) {
    let state = shared.group.read();
    let suspects = &state.serving.suspects;
    metrics::gauge!("acacia_calls_quarantined").set(quarantined(suspects).len() as f64);
    metrics::gauge!("acacia_calls_suspected").set(suspects.calls().count() as f64);
    for call in suspects
        .quarantined()
        .filter(|call| !before.contains(&call.identity.fingerprint))
    {
        let engines: Vec<_> = call.endings.iter().map(|ending| ending.endpoint.as_str()).collect();
        let ended_ms: Vec<_> = call.endings.iter().map(|ending| ending.ended_ms).collect();
        slog::warn!(shared.log, "call quarantined"; "event" => event::CALL_QUARANTINED,
            "fingerprint" => %call.identity.fingerprint, "route" => &call.identity.route,
            "customer" => call.identity.customer.as_ref().map(CustomerName::as_str),
            "endings" => call.endings.len(), "endpoints" => engines.join(","), "ended_ms" => ?ended_ms);
    }
    for fingerprint in before.iter().filter(|fingerprint| suspects.get(fingerprint).is_none()) {
        slog::info!(shared.log, "quarantine ended"; "event" => event::QUARANTINE_ENDED,
            "fingerprint" => %fingerprint);
    }
}
