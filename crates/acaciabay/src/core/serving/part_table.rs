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
use super::part_cause::find_cause;
use super::prompt::{PartId, PromptPart};
use super::suspect_table::{EndingEvidence, EndpointEnding, QUARANTINE_MS, SETTLING_MS, SUSPICION_MS};
use crate::core::name::CustomerName;

/// Maximum number of endings in the table.
const MAX_ENDINGS: usize = 128;
/// Maximum number of endings that are kept with a quarantine, for operators.
const MAX_QUARANTINE_ENDINGS: usize = 16;
/// Maximum number of quarantines. Each has cost several endpoints.
const MAX_QUARANTINES: usize = 64;
/// Maximum number of prompts of one ending: more than an endpoint runs at once.
const MAX_PROMPTS: usize = 128;
/// Maximum number of prompts of one customer at one ending.
const MAX_PROMPTS_PER_CUSTOMER: usize = 32;
/// Maximum number of parts in all prompts of the table.
const MAX_PARTS: usize = 16_384;

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

/// An ending of an endpoint, with the prompts that it broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedEndpoint {
    /// The ending as it was first recorded.
    pub ending: EndpointEnding,
    /// The prompts, in the order in which they were recorded. They are empty once a quarantined group explains the ending.
    pub prompts: Vec<BrokenPrompt>,
    /// True if a quarantined group was in one of the prompts.
    pub is_explained: bool,
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
        let suspected: BTreeSet<_> = table.suspected().collect();
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
            });
            self.endings.len() - 1
        });
        let ended = &mut self.endings[index];
        if !ended.is_explained && add_prompt(&mut ended.prompts, evidence) {
            self.explain(index);
        }
    }

    /// Lets a quarantined group explain an ending, if all of its parts were in one prompt.
    fn explain(&mut self, index: usize) {
        let ended = &mut self.endings[index];
        let cause = self.quarantines.iter_mut().find(|quarantine| {
            let mut prompts = ended.prompts.iter();
            prompts.any(|prompt| quarantine.parts.iter().all(|part| prompt.parts.contains(part)))
        });
        if let Some(quarantine) = cause {
            quarantine.add_ending(&ended.ending);
            quarantine.is_held = true;
            ended.is_explained = true;
            ended.prompts.clear();
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
    }

    /// Lifts the quarantines of a part, and forgets what speaks against it.
    pub(super) fn lift(&mut self, part: PartId) {
        self.quarantines.retain(|quarantine| !quarantine.parts.contains(&part));
        self.clear(part);
    }

    /// Judges the evidence that is settled at `now_ms`, and removes what is old or too much.
    pub(super) fn update(&mut self, now_ms: u64) {
        self.endings
            .retain(|ended| now_ms.saturating_sub(ended.ending.ended_ms) < SUSPICION_MS);
        for quarantine in &mut self.quarantines {
            if quarantine.is_over(now_ms) {
                quarantine.is_held = false;
            }
        }
        while let Some(cause) = find_cause(&self.endings, &self.quarantines, now_ms) {
            self.quarantine(cause.parts, cause.route, now_ms);
        }
        self.limit();
        self.watched = self.suspected().collect();
        self.judged_ms = now_ms;
    }

    /// Returns true if an update without any news changes the table at `now_ms`.
    pub(super) fn is_update_due(&self, now_ms: u64) -> bool {
        self.held().any(|quarantine| quarantine.is_over(now_ms))
            || (self.has_settled_since_judged(now_ms) && find_cause(&self.endings, &self.quarantines, now_ms).is_some())
    }

    /// Returns true if an ending has settled that had not when the evidence was last judged. Without one, the verdict would be the
    /// same.
    fn has_settled_since_judged(&self, now_ms: u64) -> bool {
        let open = self.endings.iter().filter(|ended| !ended.is_explained);
        let mut settled_ms = open.map(|ended| ended.ending.recorded_ms + SETTLING_MS);
        settled_ms.any(|settled_ms| self.judged_ms < settled_ms && settled_ms <= now_ms)
    }

    /// Quarantines a group of parts in place of the groups that it is a part of.
    fn quarantine(&mut self, parts: BTreeSet<PartId>, route: String, now_ms: u64) {
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
        for index in 0..self.endings.len() {
            self.explain(index);
        }
    }

    fn suspected(&self) -> impl Iterator<Item = PartId> {
        let prompts = self.endings.iter().flat_map(|ended| &ended.prompts);
        let evidence = prompts.flat_map(|prompt| &prompt.parts);
        evidence
            .chain(self.quarantines.iter().flat_map(|quarantine| &quarantine.parts))
            .copied()
    }

    /// Removes the oldest endings, those that are explained first, and the oldest prompts of the customers with the most
    /// parts. The flood of one customer therefore removes no evidence of another one with less.
    fn limit(&mut self) {
        while self.endings.len() > MAX_ENDINGS {
            let explained = self.endings.iter().position(|ended| ended.is_explained);
            self.endings.remove(explained.unwrap_or(0));
        }
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
