//! Selection of the parts of prompts that explain the endings of endpoints best.
//!
//! A part that ends endpoints is in a prompt at each ending that it causes, in few prompts beside those, and in no whole
//! answer. A part that many calls have is in many prompts at each ending. One that travels along is at few of the endings.
//!
//! `docs/design/poison-parts.md` weighs the rules.

use std::collections::{BTreeMap, BTreeSet};

use super::part_table::{BrokenPrompt, EndedEndpoint, PartQuarantine};
use super::prompt::PartId;
use super::suspect_table::{SETTLING_MS, retain_sequential};

/// Number of endings under a part before it is quarantined.
const QUARANTINE_ENDINGS: usize = 4;
/// Number of them that must have followed one another. Otherwise an endpoint may have ended with all others of its rack.
const SEQUENTIAL_ENDINGS: usize = 3;
/// Number of endings that follow one another which suffice whatever else has ended meanwhile.
const PROVING_ENDINGS: usize = 5;
/// Number of endings under some parts of a quarantined group, without the others, after which it is narrowed.
const NARROWING_ENDINGS: usize = 2;
/// Time within which endings count as one moment, in milliseconds.
const MOMENT_MS: u64 = 100;

/// Parts that explain endings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PartCause {
    /// The parts, which always stood together.
    pub(super) parts: BTreeSet<PartId>,
    /// Name of the route of a call that had them.
    pub(super) route: String,
}

/// What speaks against one part.
#[derive(Clone, Debug, Default)]
struct PartEvidence<'table> {
    /// Prompts with the part, by ending.
    prompts: Vec<(&'table EndedEndpoint, &'table BrokenPrompt)>,
    /// Number of endings.
    endings: usize,
}

impl<'table> PartEvidence<'table> {
    fn add(&mut self, ended: &'table EndedEndpoint, prompt: &'table BrokenPrompt) {
        let last = self.prompts.last();
        if last.is_none_or(|(known, _)| !known.ending.is_same(&ended.ending)) {
            self.endings += 1;
        }
        self.prompts.push((ended, prompt));
    }

    /// Returns true if it explains the endings better than another part: more of them, with fewer prompts.
    fn is_better(&self, other: &Self) -> bool {
        let weight = |evidence: &Self| evidence.endings * evidence.endings;
        weight(self) * other.prompts.len() > weight(other) * self.prompts.len()
    }

    /// Returns the number of endings of which each prompt was sent after the ending before.
    fn sequential_endings(&self) -> usize {
        let mut sent_by_end: BTreeMap<u64, u64> = BTreeMap::new();
        for (ended, prompt) in &self.prompts {
            let sent_ms = sent_by_end.entry(ended.ending.ended_ms).or_default();
            *sent_ms = prompt.sent_ms.max(*sent_ms);
        }
        let mut attempts: Vec<_> = sent_by_end.into_iter().collect();
        retain_sequential(&mut attempts, |(ended_ms, sent_ms)| (*sent_ms, *ended_ms));
        attempts.len()
    }

    /// Returns true if at least half of the moments at which endpoints ended, from its first ending to its last, are its own.
    fn explains_half(&self, moments: &BTreeSet<u64>) -> bool {
        let own: BTreeSet<u64> = self.prompts.iter().map(|(ended, _)| moment(ended)).collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return false;
        };
        2 * own.len() >= moments.range(first..=last).count()
    }

    fn is_cause(&self, moments: &BTreeSet<u64>, is_quarantined: bool) -> bool {
        if is_quarantined {
            return self.endings >= NARROWING_ENDINGS && self.sequential_endings() >= NARROWING_ENDINGS;
        }
        if self.endings < QUARANTINE_ENDINGS {
            return false;
        }
        let sequential = self.sequential_endings();
        sequential >= PROVING_ENDINGS || (sequential >= SEQUENTIAL_ENDINGS && self.explains_half(moments))
    }

    /// Returns the parts that all prompts with this part have.
    fn companions(&self) -> BTreeSet<PartId> {
        let mut prompts = self.prompts.iter().map(|(_, prompt)| &prompt.parts);
        let first = prompts.next().into_iter().flatten().copied().collect();
        prompts.fold(first, |common: BTreeSet<PartId>, parts| {
            common.into_iter().filter(|part| parts.contains(part)).collect()
        })
    }
}

fn moment(ended: &EndedEndpoint) -> u64 {
    ended.ending.ended_ms / MOMENT_MS
}

/// Returns the parts that explain best what no quarantined group explains, or `None` if nothing is proved.
pub(super) fn find_cause(endings: &[EndedEndpoint], quarantines: &[PartQuarantine], now_ms: u64) -> Option<PartCause> {
    let open = endings.iter().filter(|ended| !ended.is_explained);
    let settled: Vec<_> = open
        .filter(|ended| ended.ending.recorded_ms + SETTLING_MS <= now_ms)
        .collect();
    if settled.len() < NARROWING_ENDINGS {
        return None;
    }
    let moments = settled.iter().map(|ended| moment(ended)).collect();
    let mut evidence: BTreeMap<PartId, PartEvidence<'_>> = BTreeMap::new();
    for ended in &settled {
        for prompt in &ended.prompts {
            for part in &prompt.parts {
                evidence.entry(*part).or_default().add(ended, prompt);
            }
        }
    }
    let group_of = |part: &PartId| quarantines.iter().find(|known| known.parts.contains(part));
    let causes = evidence
        .iter()
        .filter(|(part, evidence)| evidence.is_cause(&moments, group_of(part).is_some()));
    let best = causes.reduce(|best, other| if other.1.is_better(best.1) { other } else { best });
    let (part, evidence) = best?;
    let mut parts = evidence.companions();
    if let Some(group) = group_of(part) {
        // What stood with the group at its endings and not at these is cleared, and the other way round.
        parts.retain(|part| group.parts.contains(part));
    }
    Some(PartCause {
        parts,
        route: evidence.prompts.first()?.1.route.clone(),
    })
}
