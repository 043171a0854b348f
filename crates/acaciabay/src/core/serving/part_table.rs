//! Record of the prompts under which endpoints have ended, and the quarantine of the parts that end them.
//!
//! A part of a prompt can end every endpoint that writes an answer on it, in calls no two of which are alike. All parts of all
//! calls that an ending broke are candidates. A whole answer clears every part of its prompt, whoever sent it; of the
//! candidates that remain, [`find_cause`] selects the one that explains the endings best.
//!
//! Parts that always stand together in the evidence cannot be told apart. They are quarantined together: a call is held
//! back if its prompt has all of them. A call with only some of them is sent, and its end tells which of them is the cause.
//!
//! The table is part of [`SuspectTable`](super::suspect_table::SuspectTable). `docs/design/poison-parts.md` weighs the choices.

use std::collections::{BTreeMap, BTreeSet};

use super::call_fingerprint::CallFingerprint;
use super::part_cause::{PartVerdict, find_verdict};
use super::prompt::{PartId, PromptPart};
use super::suspect_table::{EndingEvidence, EndpointEnding, QUARANTINE_MS, SETTLING_MS, SUSPICION_MS};
use crate::core::name::CustomerName;

/// Maximum number of endings in the table.
const MAX_ENDINGS: usize = 128;
/// Maximum number of endings that are kept with a quarantine, for operators.
const MAX_QUARANTINE_ENDINGS: usize = 16;
/// Maximum number of quarantines. Each has cost several endpoints.
const MAX_QUARANTINES: usize = 64;
/// Maximum number of prompts of one ending: more than an endpoint runs and holds in its queue.
const MAX_PROMPTS: usize = 256;
/// Maximum number of prompts of one customer at one ending. A customer may have most of the calls at an endpoint, and each that is not
/// recorded may be the only one with the cause.
const MAX_PROMPTS_PER_CUSTOMER: usize = 128;
/// Maximum number of parts in all prompts of the table.
const MAX_PARTS: usize = 16_384;
/// Longest time after the commit of an ending for which a verdict waits for more of its prompts, in milliseconds.
const MAX_SETTLING_MS: u64 = 600;
/// Number of explained endings at which a part must stand to be watched on. Fewer never make it a cause.
const WATCHED_ENDINGS: usize = 2;

/// Prompt of a call that was broken when its endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPrompt {
    /// Fingerprint of the call.
    pub fingerprint: CallFingerprint,
    /// Customer of the call.
    pub customer: Option<CustomerName>,
    /// Name of the route.
    pub route: String,
    /// Time at which the call was sent to the endpoint, in milliseconds since 1970.
    pub sent_ms: u64,
    /// Shared parts of the prompt that were not cleared since.
    pub parts: Vec<PartId>,
}

impl BrokenPrompt {
    /// Returns true if it has all of these parts.
    pub(super) fn has_all(&self, parts: &BTreeSet<PartId>) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }
}

/// An ending of an endpoint, with the prompts that it broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedEndpoint {
    /// The ending as it was first recorded.
    pub ending: EndpointEnding,
    /// The prompts, in the order in which they were recorded. Those of explained endings go first where there are too many.
    pub prompts: Vec<BrokenPrompt>,
    /// True if a quarantined group was in one of the prompts.
    pub is_explained: bool,
    /// Time of the leader when the latest prompt was committed, in milliseconds since 1970.
    pub completed_ms: u64,
}

impl EndedEndpoint {
    /// Returns the time from which the ending is judged, in milliseconds since 1970. Entries that hear of it from the group tell
    /// of their calls one after the other.
    pub(super) fn settled_ms(&self) -> u64 {
        let completed_ms = self.completed_ms.max(self.ending.recorded_ms);
        (completed_ms + SETTLING_MS).min(self.ending.recorded_ms + MAX_SETTLING_MS)
    }

    /// Returns the prompts that were sent before the endpoint ended. Its port may accept others for a while, whose connections break
    /// when it closes.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &BrokenPrompt> {
        self.prompts
            .iter()
            .filter(|prompt| prompt.sent_ms <= self.ending.ended_ms)
    }

    /// Returns true if one prompt that was sent before has all of these parts.
    pub(super) fn has_all(&self, parts: &BTreeSet<PartId>) -> bool {
        self.candidates().any(|prompt| prompt.has_all(parts))
    }
}

/// Parts that end endpoints and that nothing has told apart so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartQuarantine {
    /// The parts. A call is held back if its prompt has all of them.
    pub parts: BTreeSet<PartId>,
    /// Name of the route of a call under which an endpoint has ended.
    pub route: String,
    /// The latest endings.
    pub endings: Vec<EndpointEnding>,
    /// Time at which the parts were quarantined, in milliseconds since 1970.
    pub quarantined_ms: u64,
    /// False once the quarantine has lapsed. The next ending brings it back.
    pub is_held: bool,
}

impl PartQuarantine {
    fn last_ended_ms(&self) -> u64 {
        self.endings.iter().map(|ending| ending.ended_ms).max().unwrap_or(0)
    }

    fn is_over(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_ended_ms()) >= QUARANTINE_MS
    }

    fn add_ending(&mut self, ending: &EndpointEnding) {
        if self.endings.len() >= MAX_QUARANTINE_ENDINGS {
            self.endings.remove(0);
        }
        self.endings.push(ending.clone());
    }
}

/// The prompts under which endpoints have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartTable {
    endings: Vec<EndedEndpoint>,
    quarantines: Vec<PartQuarantine>,
    /// Parts of which entries report whole answers.
    watched: BTreeSet<PartId>,
    /// Time at which the evidence was last judged, in milliseconds since 1970.
    judged_ms: u64,
}

impl PartTable {
    /// Restores a table from its evidence, or from what entries are told.
    pub fn restore(
        endings: Vec<EndedEndpoint>,
        quarantines: Vec<PartQuarantine>,
        watched: impl IntoIterator<Item = PartId>,
        judged_ms: u64,
    ) -> Self {
        let mut table = Self {
            endings,
            quarantines,
            watched: watched.into_iter().collect(),
            judged_ms,
        };
        let suspected = table.suspected();
        table.watched.extend(suspected);
        table
    }

    /// Returns what entries have to know: the quarantines and the parts to watch.
    #[must_use]
    pub fn published(&self) -> Self {
        let quarantines = self.quarantines.iter().map(|quarantine| PartQuarantine {
            endings: Vec::new(),
            ..quarantine.clone()
        });
        Self {
            endings: Vec::new(),
            quarantines: quarantines.collect(),
            watched: self.watched.clone(),
            judged_ms: 0,
        }
    }

    /// Returns the endings, oldest first.
    pub fn endings(&self) -> &[EndedEndpoint] {
        &self.endings
    }

    /// Returns the quarantined groups of parts, those that have lapsed included.
    pub fn quarantines(&self) -> &[PartQuarantine] {
        &self.quarantines
    }

    /// Returns the parts of which entries report whole answers.
    pub const fn watched(&self) -> &BTreeSet<PartId> {
        &self.watched
    }

    /// Returns the time at which the evidence was last judged, in milliseconds since 1970.
    pub const fn judged_ms(&self) -> u64 {
        self.judged_ms
    }

    /// Returns the groups of parts that are held back.
    pub fn held(&self) -> impl Iterator<Item = &PartQuarantine> {
        self.quarantines.iter().filter(|quarantine| quarantine.is_held)
    }

    /// Returns true if a call with these parts is not sent to any endpoint.
    pub fn holds_back(&self, parts: &[PromptPart]) -> bool {
        self.held().any(|quarantine| {
            let mut group = quarantine.parts.iter();
            group.all(|id| parts.iter().any(|part| part.id == *id))
        })
    }

    /// Records one piece of evidence. Evidence that is recorded twice counts once.
    pub(super) fn record(&mut self, evidence: &EndingEvidence, recorded_ms: u64) {
        if evidence.parts.is_empty() {
            return;
        }
        let known = self
            .endings
            .iter()
            .position(|ended| ended.ending.is_same(&evidence.ending));
        let index = known.unwrap_or_else(|| {
            self.endings.push(EndedEndpoint {
                ending: EndpointEnding {
                    recorded_ms,
                    ..evidence.ending.clone()
                },
                prompts: Vec::new(),
                is_explained: false,
                completed_ms: recorded_ms,
            });
            self.endings.len() - 1
        });
        let ended = &mut self.endings[index];
        ended.ending.ended_ms = ended.ending.ended_ms.min(evidence.ending.ended_ms);
        if add_prompt(&mut ended.prompts, evidence) {
            ended.completed_ms = recorded_ms;
            self.explain(index);
        }
    }

    /// Lets a quarantined group explain an ending that none explains, if all of its parts were in one prompt.
    fn explain(&mut self, index: usize) {
        let ended = &mut self.endings[index];
        if ended.is_explained {
            return;
        }
        let mut quarantines = self.quarantines.iter_mut();
        if let Some(quarantine) = quarantines.find(|quarantine| ended.has_all(&quarantine.parts)) {
            quarantine.add_ending(&ended.ending);
            quarantine.is_held = true;
            ended.is_explained = true;
        }
    }

    fn explain_all(&mut self) {
        for index in 0..self.endings.len() {
            self.explain(index);
        }
    }

    /// Opens the endings again that no quarantined group explains any more.
    fn reopen(&mut self) {
        for ended in self.endings.iter_mut().filter(|ended| ended.is_explained) {
            let mut quarantines = self.quarantines.iter();
            ended.is_explained =
                ended.prompts.is_empty() || quarantines.any(|quarantine| ended.has_all(&quarantine.parts));
        }
    }

    /// Records that a prompt with this part was answered whole: the part does not end endpoints.
    pub(super) fn clear(&mut self, part: PartId) {
        if !self.watched.contains(&part) {
            return;
        }
        for ended in &mut self.endings {
            for prompt in &mut ended.prompts {
                prompt.parts.retain(|known| *known != part);
            }
            ended.prompts.retain(|prompt| !prompt.parts.is_empty());
        }
        for quarantine in &mut self.quarantines {
            quarantine.parts.remove(&part);
        }
        self.quarantines.retain(|quarantine| !quarantine.parts.is_empty());
        self.reopen();
    }

    /// Lifts the quarantines of a part, and forgets what speaks against it and the endings that they explain, which the operator
    /// knows the cause of.
    pub(super) fn lift(&mut self, part: PartId) {
        for lifted in self
            .quarantines
            .extract_if(.., |quarantine| quarantine.parts.contains(&part))
        {
            self.endings.retain(|ended| !ended.has_all(&lifted.parts));
        }
        self.clear(part);
    }

    /// Judges the evidence that is settled at `now_ms` if there is something new, and removes what is old or too much.
    ///
    /// A whole answer alone leads to no verdict: where it clears what was quarantined, the same evidence would blame the next best.
    pub(super) fn update(&mut self, now_ms: u64, has_evidence: bool) {
        let is_judged = has_evidence || self.has_settled_since_judged(now_ms);
        self.endings
            .retain(|ended| now_ms.saturating_sub(ended.ending.ended_ms) < SUSPICION_MS);
        for quarantine in &mut self.quarantines {
            if quarantine.is_over(now_ms) {
                quarantine.is_held = false;
            }
        }
        if is_judged {
            self.judge(now_ms);
        }
        self.limit();
        self.watched = self.suspected();
        self.judged_ms = now_ms;
    }

    /// Quarantines what the evidence proves, and withdraws what it refutes. Each verdict explains endings or replaces a worse one, so
    /// that there are few; the bound keeps a fault from stopping all replicas.
    fn judge(&mut self, now_ms: u64) {
        for _verdict in 0..MAX_QUARANTINES {
            let Some(verdict) = find_verdict(&self.endings, &self.quarantines, now_ms) else {
                return;
            };
            let cause = match verdict {
                PartVerdict::Cause(cause) => Some(cause),
                PartVerdict::Refuted { group, cause } => {
                    self.quarantines.retain(|quarantine| quarantine.parts != group);
                    self.reopen();
                    cause
                }
            };
            if let Some(cause) = cause {
                self.quarantine(cause.parts, cause.route, now_ms);
            }
        }
    }

    /// Returns true if an update without any news changes the table at `now_ms`.
    pub(super) fn is_update_due(&self, now_ms: u64) -> bool {
        self.held().any(|quarantine| quarantine.is_over(now_ms))
            || (self.has_settled_since_judged(now_ms)
                && find_verdict(&self.endings, &self.quarantines, now_ms).is_some())
    }

    /// Returns true if an ending has settled that had not when the evidence was last judged. Without one, the verdict would be the
    /// same.
    fn has_settled_since_judged(&self, now_ms: u64) -> bool {
        let mut settled_ms = self.endings.iter().map(EndedEndpoint::settled_ms);
        settled_ms.any(|settled_ms| self.judged_ms < settled_ms && settled_ms <= now_ms)
    }

    /// Quarantines a group of parts in place of the groups that it is a part of, unless one that is held covers it.
    fn quarantine(&mut self, parts: BTreeSet<PartId>, route: String, now_ms: u64) {
        if self.held().any(|known| known.parts.is_subset(&parts)) {
            self.explain_all();
            return;
        }
        let replaced = self.quarantines.extract_if(.., |known| parts.is_subset(&known.parts));
        let endings = replaced.flat_map(|known| known.endings).collect();
        if self.quarantines.len() >= MAX_QUARANTINES {
            self.quarantines.remove(0);
        }
        self.quarantines.push(PartQuarantine {
            parts,
            route,
            endings,
            quarantined_ms: now_ms,
            is_held: true,
        });
        self.explain_all();
    }

    /// Returns the parts that may become a cause: those of endings that nothing explains, those in quarantine, and those that stand
    /// at several of the explained endings.
    fn suspected(&self) -> BTreeSet<PartId> {
        let mut suspected: BTreeSet<PartId> = BTreeSet::new();
        let mut explained: BTreeMap<PartId, usize> = BTreeMap::new();
        for ended in &self.endings {
            let parts = ended.prompts.iter().flat_map(|prompt| &prompt.parts).copied();
            if ended.is_explained {
                let parts: BTreeSet<PartId> = parts.collect();
                for part in parts {
                    *explained.entry(part).or_default() += 1;
                }
            } else {
                suspected.extend(parts);
            }
        }
        let often = explained.into_iter().filter(|(_, endings)| *endings >= WATCHED_ENDINGS);
        suspected.extend(often.map(|(part, _)| part));
        suspected.extend(self.quarantines.iter().flat_map(|quarantine| &quarantine.parts));
        suspected
    }

    /// Removes the oldest endings, those that are explained first, and the oldest prompts of the customers with the most
    /// parts. The flood of one customer therefore removes no evidence of another one with less.
    fn limit(&mut self) {
        while self.endings.len() > MAX_ENDINGS {
            let explained = self.endings.iter().position(|ended| ended.is_explained);
            self.endings.remove(explained.unwrap_or(0));
        }
        self.limit_explained();
        let mut counts: BTreeMap<Option<CustomerName>, usize> = BTreeMap::new();
        for prompt in self.endings.iter().flat_map(|ended| &ended.prompts) {
            *counts.entry(prompt.customer.clone()).or_default() += prompt.parts.len();
        }
        while counts.values().sum::<usize>() > MAX_PARTS {
            let Some((customer, count)) = counts.iter_mut().max_by_key(|(_, count)| **count) else {
                return;
            };
            *count -= self.remove_oldest_prompt(customer.as_ref());
        }
    }

    /// Removes the prompts of explained endings that no quarantine names, and of the oldest others while there are too many parts.
    fn limit_explained(&mut self) {
        let named = |ended: &EndedEndpoint| {
            let mut endings = self.quarantines.iter().flat_map(|quarantine| &quarantine.endings);
            endings.any(|ending| ending.is_same(&ended.ending))
        };
        for ended in self.endings.iter_mut().filter(|ended| ended.is_explained) {
            if !named(ended) {
                ended.prompts.clear();
            }
        }
        let parts = |ended: &EndedEndpoint| ended.prompts.iter().map(|prompt| prompt.parts.len()).sum::<usize>();
        let mut surplus = self.endings.iter().map(parts).sum::<usize>().saturating_sub(MAX_PARTS);
        for ended in self.endings.iter_mut().filter(|ended| ended.is_explained) {
            if surplus == 0 {
                return;
            }
            surplus = surplus.saturating_sub(parts(ended));
            ended.prompts.clear();
        }
    }

    /// Returns the number of parts that were removed with the prompt.
    fn remove_oldest_prompt(&mut self, customer: Option<&CustomerName>) -> usize {
        for ended in &mut self.endings {
            let oldest = ended
                .prompts
                .iter()
                .position(|prompt| prompt.customer.as_ref() == customer);
            if let Some(index) = oldest {
                return ended.prompts.remove(index).parts.len();
            }
        }
        0
    }
}

/// Adds the prompt of a call, unless it is known or there are too many. Returns true if it was added.
fn add_prompt(prompts: &mut Vec<BrokenPrompt>, evidence: &EndingEvidence) -> bool {
    let call = &evidence.call;
    let is_known = prompts.iter().any(|known| known.fingerprint == call.fingerprint);
    let of_customer = prompts.iter().filter(|known| known.customer == call.customer).count();
    if is_known || prompts.len() >= MAX_PROMPTS || of_customer >= MAX_PROMPTS_PER_CUSTOMER {
        return false;
    }
    prompts.push(BrokenPrompt {
        fingerprint: call.fingerprint,
        customer: call.customer.clone(),
        route: call.route.clone(),
        sent_ms: evidence.ending.sent_ms,
        parts: evidence.parts.clone(),
    });
    true
}
