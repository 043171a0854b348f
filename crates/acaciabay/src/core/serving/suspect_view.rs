//! What one entry knows about suspect calls: the table that the leader has sent, and what the entry has seen since.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::broken_attempt::CallIdentity;
use super::call_fingerprint::{CallFingerprint, FingerprintKey};
use super::endpoint_registry::EndpointIncarnation;
use super::part_table::PartTable;
use super::prompt::{PartId, PromptPart};
use super::suspect_table::{EndingEvidence, SuspectCall, SuspectTable};
use crate::core::clock::BootTime;
use crate::core::name::{CustomerName, EndpointName};

/// Maximum number of pieces of evidence that wait to be committed.
const MAX_UNCOMMITTED: usize = 512;
/// Time after an ending for which the entry watches whether the calls that it broke are answered whole.
const WATCH_TIME: Duration = Duration::from_secs(60);
/// Time within which an allowed trial has to begin. It is shorter than the leader waits for the end of a trial.
const TRIAL_BEGIN_TIME: Duration = Duration::from_secs(1);
/// Number of own endings from which a call is not sent again within the same request.
const SUSPECT_ENDINGS: usize = 2;
/// Maximum number of watched calls.
const MAX_WATCHED: usize = 256;

/// What an entry tells the leader about suspect calls with a renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectReport {
    /// Version of the table that the entry holds.
    pub version: u64,
    /// Number of the first piece of evidence.
    pub first_ending: u64,
    /// Evidence that the entry does not know to be committed, in the order of its numbers.
    pub evidence: Vec<EndingEvidence>,
    /// Suspect calls that were answered whole.
    pub answered: Vec<CallFingerprint>,
    /// Watched parts of prompts that were answered whole.
    pub sound_parts: Vec<PartId>,
    /// Suspect calls that the entry would like to send.
    pub wanted_trials: Vec<CallFingerprint>,
    /// Suspect calls that the entry was allowed to send and no longer sends.
    pub ended_trials: Vec<CallFingerprint>,
}

/// What the leader answers to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectAnswer {
    /// The calls that entries have to know, if the entry holds another version of them.
    pub table: Option<SuspectTable>,
    /// Number up to which the evidence of the entry is committed.
    pub committed_endings: u64,
    /// Suspect calls that the entry may send once.
    pub trials: Vec<CallFingerprint>,
}

/// Standing of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStanding {
    /// Nothing speaks against the call.
    Unsuspected,
    /// Several endpoints have ended under the call. It is sent only by the one entry that the leader allows to
    /// try it, and not again within the same request.
    Suspected,
    /// This entry has seen an ending that may prove the call to be the cause. Until the leader has judged the call, it is
    /// not sent to any endpoint.
    HeldBack,
    /// The call is not sent to any endpoint.
    Quarantined,
}

#[derive(Clone, Debug)]
struct UncommittedEvidence {
    number: u64,
    evidence: EndingEvidence,
    /// True if the call was answered whole after the ending.
    is_refuted: bool,
}

#[derive(Clone, Debug)]
struct WatchedCall {
    customer: Option<CustomerName>,
    body_bytes: u64,
    until: BootTime,
}

/// What is newly quarantined in a later version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewQuarantines {
    /// Calls.
    pub calls: Vec<CallIdentity>,
    /// Groups of parts of prompts.
    pub parts: Vec<BTreeSet<PartId>>,
}

/// Suspect calls as an entry knows them.
#[derive(Clone, Debug, Default)]
pub struct SuspectView {
    published: SuspectTable,
    uncommitted: VecDeque<UncommittedEvidence>,
    last_number: u64,
    /// Number of the last piece of evidence that a report contained.
    last_reported: u64,
    watched: BTreeMap<CallFingerprint, WatchedCall>,
    answered: BTreeSet<CallFingerprint>,
    /// Watched parts that were answered whole, of which no report has told.
    sound_parts: BTreeSet<PartId>,
    /// Calls that this entry holds back until the leader has committed its evidence and judged them.
    held_back: BTreeSet<CallFingerprint>,
    newly_held_back: Vec<CallFingerprint>,
    wanted_trials: BTreeSet<CallFingerprint>,
    /// Trials that the leader has allowed and that no call of this entry has begun, with the time until which they may begin.
    allowed_trials: BTreeMap<CallFingerprint, BootTime>,
    running_trials: BTreeSet<CallFingerprint>,
    ended_trials: BTreeSet<CallFingerprint>,
}

impl SuspectView {
    /// Returns the key of the fingerprints, or `None` until the leader has sent it.
    pub const fn key(&self) -> Option<FingerprintKey> {
        self.published.key
    }

    /// Replaces the table by a later version. Returns what is newly quarantined.
    pub fn apply_published(&mut self, table: SuspectTable) -> NewQuarantines {
        if table.version <= self.published.version {
            return NewQuarantines::default();
        }
        let before = std::mem::replace(&mut self.published, table);
        self.judge();
        let was_held = |call: &SuspectCall| {
            before
                .get(&call.identity.fingerprint)
                .is_some_and(SuspectCall::is_quarantined)
        };
        let new = self.published.quarantined().filter(|call| !was_held(call));
        let calls = new.map(|call| call.identity.clone()).collect();
        NewQuarantines {
            calls,
            parts: newly_held(&before.parts, &self.published.parts),
        }
    }

    /// Returns true if the group has recorded lately that an incarnation ended.
    pub fn has_ended(&self, endpoint: &EndpointName, incarnation: EndpointIncarnation) -> bool {
        self.published.has_ended(endpoint, incarnation)
    }

    /// Returns true if a call whose prompt shares these parts with others is not sent to any endpoint.
    pub fn holds_back(&self, parts: &[PromptPart]) -> bool {
        self.published.parts.holds_back(parts)
    }

    /// Records that a prompt with these shared parts was answered whole. Returns true if the leader has to be told, because
    /// endpoints have ended under one of them.
    pub fn record_sound_parts(&mut self, parts: &[PromptPart]) -> bool {
        for waiting in &mut self.uncommitted {
            let suspected = &mut waiting.evidence.parts;
            suspected.retain(|known| !parts.iter().any(|part| part.id == *known));
        }
        let watched = self.published.parts.watched();
        let sound = parts.iter().map(|part| part.id).filter(|part| watched.contains(part));
        let count = self.sound_parts.len();
        self.sound_parts.extend(sound);
        self.sound_parts.len() > count
    }

    /// Returns false if a call with this customer and body length certainly has no standing, so that its fingerprint need
    /// not be computed.
    pub fn may_know(&self, customer: Option<&CustomerName>, body_bytes: u64) -> bool {
        let matches = |known: Option<&CustomerName>, known_bytes: u64| known_bytes == body_bytes && known == customer;
        let mut published = self.published.calls().map(|call| &call.identity);
        published.any(|call| matches(call.customer.as_ref(), call.body_bytes))
            || self
                .watched
                .values()
                .any(|call| matches(call.customer.as_ref(), call.body_bytes))
    }

    /// Returns the standing of a call.
    pub fn standing(&self, fingerprint: &CallFingerprint) -> CallStanding {
        let call = self.published.get(fingerprint);
        if call.is_some_and(SuspectCall::is_quarantined) {
            CallStanding::Quarantined
        } else if self.held_back.contains(fingerprint) {
            CallStanding::HeldBack
        } else if call.is_some_and(SuspectCall::needs_trial) || self.own_endings(fingerprint) >= SUSPECT_ENDINGS {
            CallStanding::Suspected
        } else {
            CallStanding::Unsuspected
        }
    }

    /// Begins a trial of a suspect call, if the leader has allowed it. Otherwise asks the leader with the next report, unless
    /// another call of this entry is being tried. Returns true if the call may be sent.
    pub fn begin_trial(&mut self, now: BootTime, fingerprint: CallFingerprint) -> bool {
        if self.running_trials.contains(&fingerprint) {
            return false;
        }
        let is_allowed = self
            .allowed_trials
            .remove(&fingerprint)
            .is_some_and(|until| now < until);
        if is_allowed {
            self.running_trials.insert(fingerprint);
        } else {
            self.wanted_trials.insert(fingerprint);
        }
        is_allowed
    }

    /// Ends a trial.
    pub fn end_trial(&mut self, fingerprint: CallFingerprint) {
        self.running_trials.remove(&fingerprint);
        self.ended_trials.insert(fingerprint);
    }

    /// Returns the number of endings of a call that this entry has seen and that are not known to be committed.
    fn own_endings(&self, fingerprint: &CallFingerprint) -> usize {
        let own = self.uncommitted.iter();
        own.filter(|waiting| waiting.evidence.call.fingerprint == *fingerprint && !waiting.is_refuted)
            .count()
    }

    /// Records that an endpoint ended while it ran a call of this entry; [`judge`](Self::judge) takes it into account. If too
    /// much evidence waits, the oldest is dropped; returns false in that case.
    pub fn record_ending(&mut self, now: BootTime, evidence: EndingEvidence) -> bool {
        self.watch(now, &evidence.call);
        self.last_number += 1;
        self.uncommitted.push_back(UncommittedEvidence {
            number: self.last_number,
            evidence,
            is_refuted: false,
        });
        if self.uncommitted.len() > MAX_UNCOMMITTED {
            self.uncommitted.pop_front();
            return false;
        }
        true
    }

    fn watch(&mut self, now: BootTime, call: &CallIdentity) {
        if self.watched.len() >= MAX_WATCHED {
            self.watched.retain(|_, call| now < call.until);
        }
        if self.watched.len() < MAX_WATCHED {
            let watched = WatchedCall {
                customer: call.customer.clone(),
                body_bytes: call.body_bytes,
                until: now + WATCH_TIME,
            };
            self.watched.insert(call.fingerprint, watched);
        }
    }

    /// Records that a call was answered whole. Returns true if the leader has to be told, because the call was suspect.
    pub fn record_whole_answer(&mut self, fingerprint: CallFingerprint) -> bool {
        let was_watched = self.watched.remove(&fingerprint).is_some();
        let own = self.uncommitted.iter_mut();
        for waiting in own.filter(|waiting| waiting.evidence.call.fingerprint == fingerprint) {
            waiting.is_refuted = true;
        }
        self.judge();
        let is_suspect = was_watched || self.published.get(&fingerprint).is_some();
        if is_suspect {
            self.answered.insert(fingerprint);
        }
        is_suspect
    }

    /// Returns what the leader has to be told with the next renewal. Whole answers are told only once.
    pub fn take_report(&mut self) -> SuspectReport {
        self.last_reported = self.last_number;
        let evidence = self.uncommitted.iter().map(|waiting| waiting.evidence.clone());
        SuspectReport {
            version: self.published.version,
            first_ending: self.uncommitted.front().map_or(0, |waiting| waiting.number),
            evidence: evidence.collect(),
            answered: std::mem::take(&mut self.answered).into_iter().collect(),
            sound_parts: std::mem::take(&mut self.sound_parts).into_iter().collect(),
            wanted_trials: std::mem::take(&mut self.wanted_trials).into_iter().collect(),
            ended_trials: std::mem::take(&mut self.ended_trials).into_iter().collect(),
        }
    }

    /// Applies the leader's answer to a report. Returns what is newly quarantined.
    pub fn apply_answer(&mut self, now: BootTime, answer: SuspectAnswer) -> NewQuarantines {
        let quarantined = answer.table.map(|table| self.apply_published(table));
        self.acknowledge(answer.committed_endings);
        self.allowed_trials.retain(|_, until| now < *until);
        let until = now + TRIAL_BEGIN_TIME;
        self.allowed_trials
            .extend(answer.trials.into_iter().map(|fingerprint| (fingerprint, until)));
        quarantined.unwrap_or_default()
    }

    /// Returns true if the leader has to be told something that no report has contained yet.
    pub fn has_unreported(&self) -> bool {
        self.last_number > self.last_reported
            || !self.answered.is_empty()
            || !self.sound_parts.is_empty()
            || !self.wanted_trials.is_empty()
            || !self.ended_trials.is_empty()
    }

    /// Removes the evidence up to this number, which is committed.
    fn acknowledge(&mut self, number: u64) {
        if self.uncommitted.front().is_none_or(|waiting| waiting.number > number) {
            return;
        }
        self.uncommitted.retain(|waiting| waiting.number > number);
        self.judge();
    }

    /// Returns the calls that this entry has begun to hold back since the last call of this function.
    pub fn take_newly_held_back(&mut self) -> Vec<CallFingerprint> {
        std::mem::take(&mut self.newly_held_back)
    }

    /// Judges the table and the evidence that is not part of it yet, as the leader will.
    pub fn judge(&mut self) {
        let mut own = self.published.clone();
        for waiting in self.uncommitted.iter().filter(|waiting| !waiting.is_refuted) {
            own.record(&waiting.evidence, 0);
        }
        // The leader waits for what other entries report. Meanwhile the call is held back.
        own.judge(u64::MAX);
        let is_open = |call: &&SuspectCall| {
            let published = self.published.get(&call.identity.fingerprint);
            !published.is_some_and(SuspectCall::is_quarantined)
        };
        let suspects = own.quarantined().filter(is_open);
        let held_back: BTreeSet<_> = suspects.map(|call| call.identity.fingerprint).collect();
        self.newly_held_back.extend(held_back.difference(&self.held_back));
        self.held_back = held_back;
    }
}

/// Returns the groups of parts that are held back now and were not before.
fn newly_held(before: &PartTable, now: &PartTable) -> Vec<BTreeSet<PartId>> {
    let was_held = |parts: &BTreeSet<PartId>| before.held().any(|known| known.parts == *parts);
    let parts = now.held().map(|quarantine| &quarantine.parts);
    parts.filter(|parts| !was_held(parts)).cloned().collect()
}
