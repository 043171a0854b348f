//! Selection of the parts of prompts that explain the endings of endpoints best.
//!
//! A part that ends endpoints is in a prompt at each ending that it causes, in few prompts beside those, and in no whole
//! answer. A part that many calls have is in many prompts at each ending. One that travels along is at few of the endings.
//!
//! `docs/design/poison-parts.md` weighs the rules.

use std::collections::{BTreeMap, BTreeSet};

use super::part_table::{BrokenPrompt, EndedEndpoint, PartQuarantine};
use super::prompt::PartId;
use super::suspect_table::retain_sequential;

/// Number of endings under a part before it is quarantined.
const QUARANTINE_ENDINGS: usize = 4;
/// Number of them that must have followed one another. Otherwise an endpoint may have ended with all others of its rack.
const SEQUENTIAL_ENDINGS: usize = 3;
/// Number of endings that follow one another which suffice whatever else has ended meanwhile.
const PROVING_ENDINGS: usize = 5;
/// Number of prompts at each ending from which a part that most calls have is common.
const COMMON_PROMPTS: usize = 3;
/// Share of all prompts at its endings from which on a part is common: numerator and denominator.
const COMMON_SHARE: (usize, usize) = (9, 10);
/// Number of endings that follow one another from which a common part is quarantined: to hold it back refuses most calls.
const COMMON_ENDINGS: usize = 12;
/// Number of endings under some parts of a quarantined group, without the others, after which it is narrowed.
const NARROWING_ENDINGS: usize = 2;
/// Number of different calls among [`PROVING_ENDINGS`]. A call that is sent again after each ending meets the next ones by chance; at
/// fewer endings, each needs a call of its own.
const PROVING_CALLS: usize = 3;
/// A cause takes the place of a quarantine whose endings it has in common with it, if it explains all endings this many times
/// better: numerator and denominator. At fewer than [`PROVING_ENDINGS`] it must be as much better than any other.
const BETTER_BY: (u128, u128) = (3, 2);
/// The part of a quarantine's endings that the cause must have in common with it: numerator and denominator. Evidence of one
/// ending may be lost.
const IN_COMMON: (usize, usize) = (3, 4);
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

/// What the evidence says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PartVerdict {
    /// These parts explain endings that no quarantined group explains.
    Cause(PartCause),
    /// A quarantined group is not the cause: something else explains its endings better.
    Refuted {
        /// The group.
        group: BTreeSet<PartId>,
        /// What explains its endings, if that is not in quarantine yet.
        cause: Option<PartCause>,
    },
}

/// What speaks against one part, or against parts that stood together.
#[derive(Clone, Debug, Default)]
struct PartEvidence<'table> {
    /// Prompts with the part, by ending.
    prompts: Vec<(&'table EndedEndpoint, &'table BrokenPrompt)>,
    /// Number of endings.
    endings: usize,
    /// Number of all prompts at these endings.
    all_prompts: usize,
}

impl<'table> PartEvidence<'table> {
    fn add(&mut self, ended: &'table EndedEndpoint, prompt: &'table BrokenPrompt) {
        let last = self.prompts.last();
        if last.is_none_or(|(known, _)| !known.ending.is_same(&ended.ending)) {
            self.endings += 1;
            self.all_prompts += ended.candidates().count();
        }
        self.prompts.push((ended, prompt));
    }

    /// Returns the number of different calls.
    fn calls(&self) -> usize {
        let calls: BTreeSet<_> = self.prompts.iter().map(|(_, prompt)| prompt.fingerprint).collect();
        calls.len()
    }

    /// Returns how well it explains its endings, as a fraction.
    ///
    /// A cause is at all endings, each time in a new call, and in few prompts beside those. An ending without a part counts for more
    /// against it than another prompt with it. A part that many calls have is in many prompts, and one whose calls travel from ending
    /// to ending is in few calls.
    fn weight(&self) -> (u128, u128) {
        let endings = self.endings as u128;
        let calls = self.calls() as u128;
        let prompts = self.prompts.len().max(1) as u128;
        (endings.pow(7) * calls.min(endings).pow(3), prompts.pow(2))
    }

    /// Returns true if it explains the endings better than another part.
    fn is_better(&self, other: &Self) -> bool {
        self.is_better_by((1, 1), other)
    }

    /// Returns true if it explains the endings more than `factor` times as well as another part.
    fn is_better_by(&self, factor: (u128, u128), other: &Self) -> bool {
        let ((own, own_prompts), (others, others_prompts)) = (self.weight(), other.weight());
        own * others_prompts * factor.1 > others * own_prompts * factor.0
    }

    /// Returns true if it is at this ending.
    fn is_at(&self, ended: &EndedEndpoint) -> bool {
        self.prompts.iter().any(|(own, _)| own.ending.is_same(&ended.ending))
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

    /// Returns true if most of the calls have it, so that it is at every ending whether it is the cause or not.
    fn is_common(&self) -> bool {
        let (prompts, all) = (self.prompts.len(), self.all_prompts);
        let has_many = prompts >= COMMON_PROMPTS * self.endings && 2 * prompts > all;
        has_many || (all > self.endings && COMMON_SHARE.1 * prompts >= COMMON_SHARE.0 * all)
    }

    fn is_cause(&self, moments: &BTreeSet<u64>, is_quarantined: bool) -> bool {
        if is_quarantined && !self.is_common() {
            return self.endings >= NARROWING_ENDINGS && self.sequential_endings() >= NARROWING_ENDINGS;
        }
        let needed_calls = if self.endings < PROVING_ENDINGS {
            QUARANTINE_ENDINGS
        } else {
            PROVING_CALLS
        };
        if self.endings < QUARANTINE_ENDINGS || self.calls() < needed_calls {
            return false;
        }
        let sequential = self.sequential_endings();
        if self.is_common() {
            return sequential >= COMMON_ENDINGS && self.explains_half(moments);
        }
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

type PartEvidences<'table> = BTreeMap<PartId, PartEvidence<'table>>;

fn gather<'table>(endings: &[&'table EndedEndpoint]) -> PartEvidences<'table> {
    let mut evidence = PartEvidences::new();
    for ended in endings {
        for prompt in ended.candidates() {
            for part in &prompt.parts {
                evidence.entry(*part).or_default().add(ended, prompt);
            }
        }
    }
    evidence
}

fn moments(endings: &[&EndedEndpoint]) -> BTreeSet<u64> {
    endings.iter().map(|ended| moment(ended)).collect()
}

/// Returns the best of some parts, and its evidence.
fn best_of<'all, 'table>(
    evidence: impl Iterator<Item = (&'all PartId, &'all PartEvidence<'table>)>,
) -> Option<(&'all PartId, &'all PartEvidence<'table>)>
where
    'table: 'all,
{
    evidence.reduce(|best, other| if other.1.is_better(best.1) { other } else { best })
}

/// Returns the next thing that the evidence proves, or `None` if nothing is.
pub(super) fn find_verdict(
    endings: &[EndedEndpoint],
    quarantines: &[PartQuarantine],
    now_ms: u64,
) -> Option<PartVerdict> {
    let settled: Vec<_> = endings.iter().filter(|ended| ended.settled_ms() <= now_ms).collect();
    let refuted = find_refuted(&settled, quarantines);
    refuted.or_else(|| find_cause(&settled, quarantines).map(PartVerdict::Cause))
}

/// Returns a quarantined group whose endings another cause explains better.
///
/// Nothing that is sent can clear what is held back. What clears it is evidence that came after the verdict: reports of entries
/// that learnt late of an ending, and endings without it.
fn find_refuted(settled: &[&EndedEndpoint], quarantines: &[PartQuarantine]) -> Option<PartVerdict> {
    if quarantines.is_empty() {
        return None;
    }
    let evidence = gather(settled);
    let moments = moments(settled);
    let held: Vec<_> = quarantines.iter().filter(|quarantine| quarantine.is_held).collect();
    held.iter()
        .find_map(|quarantine| {
            let group = &quarantine.parts;
            let proof = proof_of(quarantine, settled);
            if proof.len() < QUARANTINE_ENDINGS {
                return None;
            }
            let mut others = held.iter().map(|other| &other.parts).filter(|parts| *parts != group);
            let is_explained = |ended: &&EndedEndpoint| others.clone().any(|parts| ended.has_all(parts));
            if is_most(proof.iter().copied().filter(is_explained).count(), &proof)
                && !is_needed(&mut others, group, settled)
            {
                return Some((group, None));
            }
            let own = evidence_of(group, settled);
            let better = evidence.iter().filter(|(part, other)| {
                !group.contains(part)
                    && !other.is_common()
                    && is_most(proof.iter().filter(|ended| other.is_at(ended)).count(), &proof)
                    && other.endings >= own.endings
                    && other.is_better_by(BETTER_BY, &own)
                    && other.is_cause(&moments, false)
            });
            Some((group, Some(cause_of(best_of(better)?.1)?)))
        })
        .map(|(group, cause)| PartVerdict::Refuted {
            group: group.clone(),
            cause,
        })
}

/// Returns the endings that a quarantined group explains and whose prompts are known.
fn proof_of<'table>(quarantine: &PartQuarantine, settled: &[&'table EndedEndpoint]) -> Vec<&'table EndedEndpoint> {
    let is_named = |ended: &EndedEndpoint| quarantine.endings.iter().any(|ending| ending.is_same(&ended.ending));
    let known = settled.iter().copied().filter(|ended| !ended.prompts.is_empty());
    known.filter(|ended| is_named(ended)).collect()
}

fn evidence_of<'table>(group: &BTreeSet<PartId>, settled: &[&'table EndedEndpoint]) -> PartEvidence<'table> {
    let mut own = PartEvidence::default();
    for ended in settled {
        let prompts = ended.candidates().filter(|prompt| prompt.has_all(group));
        prompts.for_each(|prompt| own.add(ended, prompt));
    }
    own
}

/// Returns true if so many of some endings are most of them.
fn is_most(count: usize, endings: &[&EndedEndpoint]) -> bool {
    count * IN_COMMON.1 >= endings.len() * IN_COMMON.0
}

/// Returns true if one of the other groups explains its endings worse than this one, so that it is the one to doubt.
fn is_needed<'group>(
    others: &mut impl Iterator<Item = &'group BTreeSet<PartId>>,
    group: &BTreeSet<PartId>,
    settled: &[&EndedEndpoint],
) -> bool {
    let own = evidence_of(group, settled);
    others.any(|parts| {
        let other = evidence_of(parts, settled);
        own.is_better(&other) && own.prompts.iter().any(|(ended, _)| ended.has_all(parts))
    })
}

/// Returns the parts that explain best what no quarantined group explains, or `None` if nothing is proved.
fn find_cause(settled: &[&EndedEndpoint], quarantines: &[PartQuarantine]) -> Option<PartCause> {
    let open: Vec<_> = settled.iter().copied().filter(|ended| !ended.is_explained).collect();
    if open.len() < NARROWING_ENDINGS {
        return None;
    }
    let moments = moments(&open);
    let evidence = gather(&open);
    let group_of = |part: &PartId| quarantines.iter().find(|known| known.parts.contains(part));
    let causes = evidence
        .iter()
        .filter(|(part, evidence)| evidence.is_cause(&moments, group_of(part).is_some()));
    let (common, rare): (Vec<_>, Vec<_>) = causes.partition(|(_, evidence)| evidence.is_common());
    let (part, evidence) = best_of(rare.iter().copied()).or_else(|| best_of(common.into_iter()))?;
    let mut cause = cause_of(evidence)?;
    let is_rival = |other: &&(&PartId, &PartEvidence<'_>)| {
        !cause.parts.contains(other.0) && !evidence.is_better_by(BETTER_BY, other.1)
    };
    if evidence.endings < PROVING_ENDINGS && group_of(part).is_none() && rare.iter().any(|other| is_rival(&other)) {
        // The next ending tells them apart.
        return None;
    }
    if let Some(group) = group_of(part) {
        // What stood with the group at its endings and not at these is cleared, and the other way round.
        cause.parts.retain(|part| group.parts.contains(part));
    }
    Some(cause)
}

fn cause_of(evidence: &PartEvidence<'_>) -> Option<PartCause> {
    Some(PartCause {
        parts: evidence.companions(),
        route: evidence.prompts.first()?.1.route.clone(),
    })
}
