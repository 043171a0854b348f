//! Record of the calls under which endpoints have ended, and the quarantine of those that end them.
//!
//! An endpoint that ends takes all its calls with it, so most calls in the table are innocent. A call is quarantined once
//! [`QUARANTINE_ENDINGS`] endpoints have ended one after the other while they ran it, unless another quarantined call
//! explains those endings. Endings that happened at once count as one: if many endpoints are lost, a call that many callers
//! send at the same time runs on several of them. A call that is answered whole is removed. A quarantine lapses after an
//! hour, and the next ending brings it back.
//!
//! The table is part of the replicated state, so that neither a new leader nor a restart of all hosts forgets it. Entries
//! apply the same rules to the table that the leader sent them and to what they have seen since.
//!
//! `docs/design/machines.md` weighs the choices.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::broken_attempt::CallIdentity;
use super::call_fingerprint::{CallFingerprint, FingerprintKey};
use super::endpoint_registry::EndpointIncarnation;
use super::part_table::PartTable;
use super::prompt::PartId;
use crate::core::name::{CustomerName, EndpointName};

/// Number of endpoints that must have ended one after the other while they ran a call before the call is quarantined.
pub const QUARANTINE_ENDINGS: usize = 3;
/// Number of endings one after the other from which a call is tried by one entry at a time.
const TRIAL_ENDINGS: usize = 2;
/// Number of endings from which entries are told of a call. Most calls that an ending hits are hit only once.
const PUBLISHED_ENDINGS: usize = 2;
/// Time after the commit of an ending during which other entries may still report the calls that they had at the same endpoint, in
/// milliseconds. Only then it is known which call explains the ending.
pub(super) const SETTLING_MS: u64 = 150;
/// Time for which entries are told that an incarnation has ended, in milliseconds: longer than they examine a break.
const TOLD_ENDING_MS: u64 = 10_000;
/// Maximum number of endings that entries are told.
const MAX_TOLD_ENDINGS: usize = 64;
/// Maximum number of endings that are kept for a call.
const MAX_ENDINGS: usize = 16;
/// Maximum number of calls of one customer in the table: more than the customer has at one endpoint.
const MAX_CALLS_PER_CUSTOMER: usize = 64;
/// Maximum number of calls in the table.
const MAX_CALLS: usize = 2_048;
/// Time after its last ending for which a call or a group of parts stays in quarantine, in milliseconds. If endpoints ended under every call,
/// as after a faulty release, they have been mended by then.
pub(super) const QUARANTINE_MS: u64 = 3_600_000;
/// Time after its last ending for which a call is kept, and for which an ending of prompts is, in milliseconds.
pub(super) const SUSPICION_MS: u64 = 24 * 3_600_000;

/// An incarnation of an endpoint that ended while it ran a call. Times are in milliseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEnding {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Incarnation that ended.
    pub incarnation: EndpointIncarnation,
    /// Time at which the call was sent to it.
    pub sent_ms: u64,
    /// Time at which it ended.
    pub ended_ms: u64,
    /// Time of the leader when the ending was committed; 0 if it is not.
    pub recorded_ms: u64,
}

impl EndpointEnding {
    /// Returns true if both are of one incarnation.
    pub fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.incarnation == other.incarnation
    }

    const fn age_ms(&self) -> u64 {
        self.ended_ms.saturating_sub(self.sent_ms)
    }
}

/// A call and an ending of an endpoint that ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndingEvidence {
    /// The call.
    pub call: CallIdentity,
    /// The ending.
    pub ending: EndpointEnding,
    /// Parts that the prompt of the call shares with others, in prompt order.
    pub parts: Vec<PartId>,
}

/// A call under which endpoints have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectCall {
    /// The call.
    pub identity: CallIdentity,
    /// The endings, in the order in which they were recorded.
    pub endings: Vec<EndpointEnding>,
    /// Time at which the call was quarantined in milliseconds since 1970, or `None` if it is not.
    pub quarantined_ms: Option<u64>,
}

impl SuspectCall {
    /// Returns true if the call is not sent to any endpoint.
    pub const fn is_quarantined(&self) -> bool {
        self.quarantined_ms.is_some()
    }

    fn last_ended_ms(&self) -> u64 {
        self.endings.iter().map(|ending| ending.ended_ms).max().unwrap_or(0)
    }

    /// Returns the time since its last ending.
    fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_ended_ms())
    }

    fn is_lapsed(&self, now_ms: u64) -> bool {
        self.is_quarantined() && self.quiet_ms(now_ms) >= QUARANTINE_MS
    }

    /// Ends a quarantine that has lasted long enough. A single ending more brings it back.
    fn lapse(&mut self, now_ms: u64) {
        if self.is_lapsed(now_ms) {
            self.quarantined_ms = None;
            let chain = sequential_endings(self.endings.iter());
            let surplus = chain.len().saturating_sub(QUARANTINE_ENDINGS - 1);
            let kept = chain.into_iter().skip(surplus).cloned().collect();
            self.endings = kept;
        }
    }

    /// Returns true if the call has ended so many endpoints, at once or one after the other, that it is to be tried by one
    /// entry at a time.
    pub fn needs_trial(&self) -> bool {
        self.endings.len() >= QUARANTINE_ENDINGS || sequential_endings(self.endings.iter()).len() >= TRIAL_ENDINGS
    }
}

/// Returns as many endings as possible of which each attempt was sent after the ending before.
fn sequential_endings<'call>(endings: impl Iterator<Item = &'call EndpointEnding>) -> Vec<&'call EndpointEnding> {
    let mut sorted: Vec<_> = endings.collect();
    sorted.sort_unstable_by_key(|ending| ending.ended_ms);
    retain_sequential(&mut sorted, |ending| (ending.sent_ms, ending.ended_ms));
    sorted
}

/// Retains as many attempts as possible of which each was sent after the end of the one before. They are in the order of their
/// ends; `span` returns when an attempt was sent and when it ended.
pub(super) fn retain_sequential<T>(attempts: &mut Vec<T>, span: impl Fn(&T) -> (u64, u64)) {
    let mut last_ended = 0;
    attempts.retain(|attempt| {
        let (sent_ms, ended_ms) = span(attempt);
        let follows = sent_ms >= last_ended;
        if follows {
            last_ended = ended_ms;
        }
        follows
    });
}

/// The calls under which endpoints have ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectTable {
    /// Number that increases with each change that concerns entries, by which they detect that they hold an old table.
    pub version: u64,
    /// Key of the fingerprints, or `None` until a leader has committed it.
    pub key: Option<FingerprintKey>,
    /// Parts of prompts under which endpoints have ended.
    pub parts: PartTable,
    /// Incarnations that have ended lately, in the order of their commits. An entry that has lost calls there need not find out by
    /// itself, so that it tells of its calls as soon as the others.
    pub ended: Vec<EndpointEnding>,
    calls: BTreeMap<CallFingerprint, SuspectCall>,
}

/// Command that changes the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectUpdate {
    /// Time of the leader in milliseconds since 1970.
    pub now_ms: u64,
    /// Key to use if the table has none.
    pub key: Option<FingerprintKey>,
    /// New evidence.
    pub evidence: Vec<EndingEvidence>,
    /// Calls that were answered whole.
    pub answered: Vec<CallFingerprint>,
    /// Calls whose quarantine an operator has lifted.
    pub lifted: Vec<CallFingerprint>,
    /// Parts of prompts that were answered whole.
    pub sound_parts: Vec<PartId>,
    /// Parts whose quarantine an operator has lifted.
    pub lifted_parts: Vec<PartId>,
}

impl SuspectTable {
    /// Restores a table.
    pub fn restore(version: u64, key: Option<FingerprintKey>, calls: impl IntoIterator<Item = SuspectCall>) -> Self {
        let calls = calls.into_iter().map(|call| (call.identity.fingerprint, call));
        Self {
            version,
            key,
            parts: PartTable::default(),
            ended: Vec::new(),
            calls: calls.collect(),
        }
    }

    /// Applies one committed update.
    pub fn apply(&mut self, update: &SuspectUpdate) {
        let before: Vec<SuspectCall> = self.published().cloned().collect();
        let parts_before = self.parts.published();
        let had_key = self.key.is_some();
        self.key = self.key.or(update.key);
        let has_ended = self.record_ended(update);
        for evidence in &update.evidence {
            self.record(evidence, update.now_ms);
        }
        for fingerprint in update.answered.iter().chain(&update.lifted) {
            self.calls.remove(fingerprint);
        }
        self.calls.retain(|_, call| call.quiet_ms(update.now_ms) < SUSPICION_MS);
        for call in self.calls.values_mut() {
            call.lapse(update.now_ms);
        }
        self.judge(update.now_ms);
        self.limit();
        self.apply_parts(update);
        let is_changed = !self.published().eq(&before) || self.parts.published() != parts_before;
        if had_key != self.key.is_some() || is_changed || has_ended {
            self.version += 1;
        }
    }

    /// Records which incarnations have ended. Returns true if entries have to be told of another one.
    fn record_ended(&mut self, update: &SuspectUpdate) -> bool {
        self.ended
            .retain(|ended| update.now_ms.saturating_sub(ended.recorded_ms) < TOLD_ENDING_MS);
        let mut has_ended = false;
        for ending in update.evidence.iter().map(|evidence| &evidence.ending) {
            if let Some(known) = self.ended.iter_mut().find(|known| known.is_same(ending)) {
                known.ended_ms = known.ended_ms.min(ending.ended_ms);
            } else if self.ended.len() < MAX_TOLD_ENDINGS {
                self.ended.push(EndpointEnding {
                    recorded_ms: update.now_ms,
                    ..ending.clone()
                });
                has_ended = true;
            }
        }
        has_ended
    }

    /// Returns true if the group has recorded lately that an incarnation ended.
    pub fn has_ended(&self, endpoint: &EndpointName, incarnation: EndpointIncarnation) -> bool {
        let mut ended = self.ended.iter();
        ended.any(|ended| ended.endpoint == *endpoint && ended.incarnation == incarnation)
    }

    fn apply_parts(&mut self, update: &SuspectUpdate) {
        for evidence in &update.evidence {
            self.parts.record(evidence, update.now_ms);
        }
        for part in &update.sound_parts {
            self.parts.clear(*part);
        }
        for part in &update.lifted_parts {
            self.parts.lift(*part);
        }
        self.parts.update(update.now_ms, !update.evidence.is_empty());
    }

    /// Records one piece of evidence. Evidence that is recorded twice counts once. A call that was sent to a port which accepted it
    /// after the endpoint had ended has ended nothing.
    pub fn record(&mut self, evidence: &EndingEvidence, recorded_ms: u64) {
        let known = self.ended.iter().find(|known| known.is_same(&evidence.ending));
        if known.is_some_and(|known| evidence.ending.sent_ms > known.ended_ms) {
            return;
        }
        let call = self
            .calls
            .entry(evidence.call.fingerprint)
            .or_insert_with(|| SuspectCall {
                identity: evidence.call.clone(),
                endings: Vec::new(),
                quarantined_ms: None,
            });
        let is_known = call.endings.iter().any(|known| known.is_same(&evidence.ending));
        if !is_known && call.endings.len() < MAX_ENDINGS {
            call.endings.push(EndpointEnding {
                recorded_ms,
                ..evidence.ending.clone()
            });
        }
    }

    /// Quarantines the calls that their endings prove to be the cause, the most probable one first.
    ///
    /// Once a call is quarantined, its endings no longer count against the calls that travelled with it.
    pub fn judge(&mut self, now_ms: u64) {
        while let Some(fingerprint) = self.most_probable_cause(now_ms) {
            if let Some(call) = self.calls.get_mut(&fingerprint) {
                call.quarantined_ms = Some(now_ms);
            }
        }
    }

    /// Returns true if an update without any news changes the table at `now_ms`: a call is to be quarantined, or time has
    /// passed.
    pub fn is_update_due(&self, now_ms: u64) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.is_lapsed(now_ms) || call.quiet_ms(now_ms) >= SUSPICION_MS)
            || self.most_probable_cause(now_ms).is_some()
            || self.parts.is_update_due(now_ms)
    }

    fn most_probable_cause(&self, now_ms: u64) -> Option<CallFingerprint> {
        let mut open = self.calls.values().filter(|call| !call.is_quarantined());
        if !open.any(|call| call.endings.len() >= QUARANTINE_ENDINGS) {
            return None;
        }
        let explained: BTreeSet<_> = self
            .quarantined()
            .flat_map(|call| &call.endings)
            .map(|ending| (&ending.endpoint, ending.incarnation))
            .collect();
        let open = self.calls.values().filter(|call| !call.is_quarantined());
        let causes = open.filter_map(|call| {
            let endings: Vec<_> = call
                .endings
                .iter()
                .filter(|ending| ending.recorded_ms + SETTLING_MS <= now_ms)
                .filter(|ending| !explained.contains(&(&ending.endpoint, ending.incarnation)))
                .collect();
            let sequential = sequential_endings(endings.iter().copied()).len();
            let is_cause = sequential >= QUARANTINE_ENDINGS;
            // A call that ends endpoints does so at about the same age each time; one that travels with it is of any age.
            let oldest = endings.iter().map(|ending| ending.age_ms()).max().unwrap_or(0);
            is_cause.then_some(((sequential, endings.len(), Reverse(oldest)), call.identity.fingerprint))
        });
        causes
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, fingerprint)| fingerprint)
    }

    /// Removes the calls with the least evidence, the oldest first, until each customer and the whole table are within
    /// their limits. The flood of one customer therefore removes no call of another customer with as much evidence.
    fn limit(&mut self) {
        let mut ranked: Vec<_> = self
            .calls
            .values()
            .map(|call| {
                let weight = (call.is_quarantined(), call.endings.len(), call.last_ended_ms());
                (
                    Reverse(weight),
                    call.identity.fingerprint,
                    call.identity.customer.clone(),
                )
            })
            .collect();
        ranked.sort_unstable();
        let mut counts: BTreeMap<Option<CustomerName>, usize> = BTreeMap::new();
        let mut kept = 0;
        for (_, fingerprint, customer) in ranked {
            let count = counts.entry(customer).or_default();
            if *count >= MAX_CALLS_PER_CUSTOMER || kept >= MAX_CALLS {
                self.calls.remove(&fingerprint);
            } else {
                *count += 1;
                kept += 1;
            }
        }
    }

    /// Returns all calls in the table, in the order of their fingerprints.
    pub fn calls(&self) -> impl Iterator<Item = &SuspectCall> {
        self.calls.values()
    }

    /// Returns the calls that are not sent to any endpoint.
    pub fn quarantined(&self) -> impl Iterator<Item = &SuspectCall> {
        self.calls.values().filter(|call| call.is_quarantined())
    }

    /// Returns the calls that entries have to know.
    pub fn published(&self) -> impl Iterator<Item = &SuspectCall> {
        self.calls
            .values()
            .filter(|call| call.endings.len() >= PUBLISHED_ENDINGS)
    }

    /// Returns the part of the table that entries have to know.
    #[must_use]
    pub fn published_table(&self) -> Self {
        Self {
            parts: self.parts.published(),
            ended: self.ended.clone(),
            ..Self::restore(self.version, self.key, self.published().cloned())
        }
    }

    /// Returns the call with this fingerprint.
    pub fn get(&self, fingerprint: &CallFingerprint) -> Option<&SuspectCall> {
        self.calls.get(fingerprint)
    }
}
