//! Records what entries report about calls under which endpoints have ended, commits it, and has these calls judged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::ControlCommand;
use acaciabay::core::name::{CustomerName, HostName};
use acaciabay::core::serving::call_fingerprint::{CallFingerprint, FingerprintKey};
use acaciabay::core::serving::part_table::PartQuarantine;
use acaciabay::core::serving::prompt::{PartId, list_parts};
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::start_counts::EntryStart;
use acaciabay::core::serving::suspect_table::{
    EndingEvidence, EndpointEnding, SuspectCall, SuspectTable, SuspectUpdate,
};
use acaciabay::core::serving::suspect_view::{SuspectAnswer, SuspectReport};
use acaciabay::core::serving::trial_table::TrialTable;
use acaciabay::util::number::whole_millis;
use parking_lot::Mutex;
use serde_json::{Value, json};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::group::{GroupHandle, NotLeading};

/// Interval at which the leader commits new evidence.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of parts that a log line names.
const MAX_LOGGED_PARTS: usize = 16;

/// Evidence of one start of an entry that has been received, by its numbers.
#[derive(Clone, Copy, Debug)]
struct EvidenceProgress {
    start: EntryStart,
    received: u64,
    committed: u64,
}

/// What entries have told the leader about suspect calls and is not committed yet.
#[derive(Debug, Default)]
struct PendingReports {
    evidence: Vec<EndingEvidence>,
    /// Time at which the first of this evidence was received.
    received_at: Option<BootTime>,
    answered: Vec<CallFingerprint>,
    sound_parts: BTreeSet<PartId>,
    progress: BTreeMap<HostName, EvidenceProgress>,
    trials: TrialTable,
}

impl PendingReports {
    fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.answered.is_empty() && self.sound_parts.is_empty()
    }

    /// Adds a report. Returns the answer to it without the table.
    fn add(&mut self, now: BootTime, host: &HostName, start: EntryStart, report: SuspectReport) -> SuspectAnswer {
        let known = self.progress.get(host).copied().filter(|known| known.start == start);
        let mut progress = known.unwrap_or(EvidenceProgress {
            start,
            received: 0,
            committed: 0,
        });
        for fingerprint in report.ended_trials {
            self.trials.release(host, fingerprint);
        }
        for (number, evidence) in (report.first_ending..).zip(report.evidence) {
            if number > progress.received {
                self.trials.record_ending(now, evidence.call.fingerprint);
                self.evidence.push(evidence);
                self.received_at.get_or_insert(now);
                progress.received = number;
            }
        }
        self.answered.extend(report.answered);
        self.sound_parts.extend(report.sound_parts);
        self.progress.insert(host.clone(), progress);
        let mut trials = report.wanted_trials;
        trials.retain(|fingerprint| self.trials.allow(now, host, *fingerprint));
        SuspectAnswer {
            table: None,
            committed_endings: progress.committed,
            trials,
        }
    }

    /// Records that everything up to this progress is committed.
    fn confirm(&mut self, taken: &BTreeMap<HostName, EvidenceProgress>) {
        for (host, taken) in taken {
            if let Some(known) = self.progress.get_mut(host).filter(|known| known.start == taken.start) {
                known.committed = known.committed.max(taken.received);
            }
        }
    }
}

/// Recorder of the reports that entries send to this replica.
#[derive(Debug)]
pub(crate) struct SuspectRecorder {
    group: GroupHandle,
    log: Logger,
    pending: Mutex<PendingReports>,
}

/// An update that is about to be committed, with the progress that its commit means.
type PendingUpdate = (SuspectUpdate, BTreeMap<HostName, EvidenceProgress>);

impl SuspectRecorder {
    pub(crate) fn new(group: GroupHandle, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            group,
            log,
            pending: Mutex::default(),
        })
    }

    /// Records the report of an entry and answers it. `suspects` is the table that this replica has applied since it
    /// confirmed that it leads: an entry with an older one must not get a lease, because it would serve what the others
    /// hold back.
    pub(crate) fn answer(
        &self,
        suspects: &SuspectTable,
        host: &HostName,
        start: EntryStart,
        report: SuspectReport,
    ) -> SuspectAnswer {
        let table = (report.version != suspects.version).then(|| suspects.published_table());
        self.log_received(host, &report);
        let answer = self.pending.lock().add(boot_now(), host, start, report);
        SuspectAnswer { table, ..answer }
    }

    fn log_received(&self, host: &HostName, report: &SuspectReport) {
        if !report.sound_parts.is_empty() {
            slog::info!(self.log, "sound parts received"; "event" => event::SOUND_PARTS_RECEIVED,
                "entry" => host.as_str(), "count" => report.sound_parts.len(),
                "parts" => list_parts(report.sound_parts.iter().take(MAX_LOGGED_PARTS)));
        }
        let Some(newest) = report.evidence.last() else { return };
        let now_ms = wall_nanos() / 1_000_000;
        slog::info!(self.log, "evidence received"; "event" => event::EVIDENCE_RECEIVED, "entry" => host.as_str(),
            "first" => report.first_ending, "last" => report.first_ending + report.evidence.len() as u64 - 1,
            "ended_ms" => now_ms.saturating_sub(newest.ending.ended_ms));
    }

    /// Commits updates while this replica leads, until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(COMMIT_INTERVAL) => {}
            }
            if self.group.status().borrow().leading_since.is_none() {
                continue;
            }
            let Some((update, taken)) = self.next_update() else {
                continue;
            };
            let endings = update.evidence.len();
            self.log_late(&update);
            let received_at = self.pending.lock().received_at.take();
            if self.commit(update).await.is_ok() {
                self.pending.lock().confirm(&taken);
                if let Some(received_at) = received_at {
                    slog::info!(self.log, "evidence committed"; "event" => event::EVIDENCE_COMMITTED,
                        "endings" => endings, "waited_ms" => whole_millis(boot_now().since(received_at)));
                }
            } else {
                // Entries tell the next leader again, or this one if it still leads.
                *self.pending.lock() = PendingReports::default();
            }
        }
    }

    fn next_update(&self) -> Option<PendingUpdate> {
        let now_ms = wall_nanos() / 1_000_000;
        let (has_key, is_due) = {
            let suspects = &self.group.read().serving.suspects;
            (suspects.key.is_some(), suspects.is_update_due(now_ms))
        };
        let mut pending = self.pending.lock();
        if has_key && !is_due && pending.is_empty() {
            return None;
        }
        let update = SuspectUpdate {
            now_ms,
            key: if has_key { None } else { random_key() },
            evidence: std::mem::take(&mut pending.evidence),
            answered: std::mem::take(&mut pending.answered),
            sound_parts: std::mem::take(&mut pending.sound_parts).into_iter().collect(),
            ..SuspectUpdate::default()
        };
        Some((update, pending.progress.clone()))
    }

    /// Logs the evidence of endings that a quarantine has explained.
    fn log_late(&self, update: &SuspectUpdate) {
        let state = self.group.read();
        let endings = state.serving.suspects.parts.endings();
        for ended in endings.iter().filter(|ended| ended.is_explained) {
            let same = |evidence: &&EndingEvidence| evidence.ending.is_same(&ended.ending);
            let prompts = update.evidence.iter().filter(same).count();
            if prompts > 0 {
                slog::info!(self.log, "late evidence received"; "event" => event::EVIDENCE_LATE,
                    "endpoint" => ended.ending.endpoint.as_str(), "birth" => ended.ending.incarnation.0,
                    "prompts" => prompts, "late_ms" => update.now_ms.saturating_sub(ended.ending.recorded_ms));
            }
        }
    }

    /// Lifts a quarantine. Returns false if no such call is suspect.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or no longer does. The quarantine may be lifted nevertheless.
    pub(crate) async fn lift(&self, fingerprint: CallFingerprint) -> Result<bool, NotLeading> {
        self.group.confirm_leadership().await?;
        if self.group.read().serving.suspects.get(&fingerprint).is_none() {
            return Ok(false);
        }
        let update = SuspectUpdate {
            now_ms: wall_nanos() / 1_000_000,
            lifted: vec![fingerprint],
            ..SuspectUpdate::default()
        };
        self.commit(update).await?;
        Ok(true)
    }

    /// Lifts the quarantines of a part of prompts. Returns false if there is none and nothing speaks against the part.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or no longer does. The quarantine may be lifted nevertheless.
    pub(crate) async fn lift_part(&self, part: PartId) -> Result<bool, NotLeading> {
        self.group.confirm_leadership().await?;
        if !self.group.read().serving.suspects.parts.watched().contains(&part) {
            return Ok(false);
        }
        let update = SuspectUpdate {
            now_ms: wall_nanos() / 1_000_000,
            lifted_parts: vec![part],
            ..SuspectUpdate::default()
        };
        self.commit(update).await?;
        Ok(true)
    }

    /// Returns all suspect calls for operators.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead.
    pub(crate) async fn list(&self) -> Result<Value, NotLeading> {
        self.group.confirm_leadership().await?;
        let state = self.group.read();
        let calls: Vec<Value> = state.serving.suspects.calls().map(call_json).collect();
        let quarantines = state.serving.suspects.parts.quarantines();
        let parts: Vec<Value> = quarantines.iter().map(quarantine_json).collect();
        Ok(json!({"calls": calls, "parts": parts}))
    }

    async fn commit(&self, update: SuspectUpdate) -> Result<(), NotLeading> {
        let (before, held_before) = {
            let suspects = &self.group.read().serving.suspects;
            (quarantined(suspects), held_parts(suspects))
        };
        let command = ControlCommand::Serving(ServingCommand::UpdateSuspects(update));
        self.group.propose(command).await?;
        self.log_changes(&before);
        self.log_part_changes(&held_before);
        Ok(())
    }

    /// Logs which calls were quarantined or released since `before`.
    fn log_changes(&self, before: &[CallFingerprint]) {
        let state = self.group.read();
        let suspects = &state.serving.suspects;
        metrics::gauge!("acacia_calls_quarantined").set(suspects.quarantined().count() as f64);
        metrics::gauge!("acacia_calls_suspected").set(suspects.calls().count() as f64);
        for call in suspects.quarantined() {
            if !before.contains(&call.identity.fingerprint) {
                self.log_quarantined(call);
            }
        }
        for fingerprint in before.iter().filter(|fingerprint| suspects.get(fingerprint).is_none()) {
            slog::info!(self.log, "quarantine ended"; "event" => event::QUARANTINE_ENDED,
                "fingerprint" => %fingerprint);
        }
    }

    /// Logs which groups of parts were quarantined or released since `before`.
    fn log_part_changes(&self, before: &[BTreeSet<PartId>]) {
        let state = self.group.read();
        let suspects = &state.serving.suspects;
        let held = held_parts(suspects);
        metrics::gauge!("acacia_prompt_parts_quarantined").set(held.len() as f64);
        metrics::gauge!("acacia_prompt_parts_suspected").set(suspects.parts.watched().len() as f64);
        for quarantine in suspects.parts.held() {
            if !before.contains(&quarantine.parts) {
                self.log_quarantined_parts(quarantine, suspects.parts.watched().len());
            }
        }
        for parts in before.iter().filter(|parts| !held.contains(parts)) {
            slog::info!(self.log, "quarantine of prompt parts ended"; "event" => event::PART_QUARANTINE_ENDED,
                "parts" => list_parts(parts));
        }
    }

    fn log_quarantined_parts(&self, quarantine: &PartQuarantine, suspected: usize) {
        let endpoints: Vec<_> = quarantine
            .endings
            .iter()
            .map(|ending| ending.endpoint.as_str())
            .collect();
        let ended_ms: Vec<_> = quarantine.endings.iter().map(|ending| ending.ended_ms).collect();
        let oldest_ms = ended_ms.iter().min().copied().unwrap_or(quarantine.quarantined_ms);
        slog::warn!(self.log, "prompt parts quarantined"; "event" => event::PARTS_QUARANTINED,
            "parts" => list_parts(&quarantine.parts), "route" => &quarantine.route, "endings" => ended_ms.len(),
            "endpoints" => endpoints.join(","), "ended_ms" => ?ended_ms,
            "age_ms" => quarantine.quarantined_ms.saturating_sub(oldest_ms), "suspected" => suspected);
    }

    fn log_quarantined(&self, call: &SuspectCall) {
        let endpoints: Vec<_> = call.endings.iter().map(|ending| ending.endpoint.as_str()).collect();
        let ended_ms: Vec<_> = call.endings.iter().map(|ending| ending.ended_ms).collect();
        slog::warn!(self.log, "call quarantined"; "event" => event::CALL_QUARANTINED,
            "fingerprint" => %call.identity.fingerprint, "route" => &call.identity.route,
            "customer" => call.identity.customer.as_ref().map(CustomerName::as_str),
            "endings" => call.endings.len(), "endpoints" => endpoints.join(","), "ended_ms" => ?ended_ms);
    }
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

/// Returns the groups of parts that are held back.
fn held_parts(suspects: &SuspectTable) -> Vec<BTreeSet<PartId>> {
    let held = suspects.parts.held();
    held.map(|quarantine| quarantine.parts.clone()).collect()
}

fn ending_json(ending: &EndpointEnding) -> Value {
    json!({
        "endpoint": ending.endpoint.as_str(),
        "birth": ending.incarnation.0,
        "sent_ms": ending.sent_ms,
        "ended_ms": ending.ended_ms,
    })
}

fn quarantine_json(quarantine: &PartQuarantine) -> Value {
    json!({
        "parts": quarantine.parts.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "route": quarantine.route,
        "quarantined_ms": quarantine.is_held.then_some(quarantine.quarantined_ms),
        "endings": quarantine.endings.iter().map(ending_json).collect::<Vec<_>>(),
    })
}

fn call_json(call: &SuspectCall) -> Value {
    let endings = call.endings.iter().map(ending_json);
    json!({
        "fingerprint": call.identity.fingerprint.to_string(),
        "route": call.identity.route,
        "customer": call.identity.customer.as_ref().map(CustomerName::as_str),
        "body_bytes": call.identity.body_bytes,
        "quarantined_ms": call.quarantined_ms,
        "endings": endings.collect::<Vec<_>>(),
    })
}
