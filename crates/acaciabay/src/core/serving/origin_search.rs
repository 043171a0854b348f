//! Search for the version that has begun a stream, over the answers of the replicas.
//!
//! Each replica knows some of the streams, since every stream is told to [`ORIGIN_COPIES`] of them. A stream that is searched by
//! its attempt has a record of its own, so the first answer that has it settles the search. Many streams share the record of
//! their content: an answer may know one of them, and another answer a stream of another version. Such a search is settled only
//! by so many answers that together they know every stream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::stream_origin::{ORIGIN_COPIES, OriginFinding, OriginKey};

/// How many answers settle a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginRule {
    /// The first that has a record: nobody else has begun the stream.
    FirstRecord,
    /// So many that none of the streams with this record is unknown to all of them.
    EveryRecord,
}

/// Where the version of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This entry has begun the stream.
    Own,
    /// A replica has told it.
    Replica(SocketAddr),
    /// Nowhere, after so many replicas were asked.
    Nowhere {
        /// Number of replicas.
        asked: usize,
    },
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundOrigin {
    /// What is known of the version.
    pub finding: OriginFinding,
    /// The stream that was found, among those that were searched.
    pub key: Option<OriginKey>,
    /// Where it was found.
    pub source: OriginSource,
    /// How long the source has known it.
    pub age: Duration,
    /// True if as many replicas have answered as the rule asks for.
    pub is_settled: bool,
}

impl FoundOrigin {
    /// Returns the result of a search that has found nothing.
    pub const fn nowhere(asked: usize, is_settled: bool) -> Self {
        Self {
            finding: OriginFinding::Unknown,
            key: None,
            source: OriginSource::Nowhere { asked },
            age: Duration::ZERO,
            is_settled,
        }
    }

    /// Returns this result as one whose records name several versions.
    #[must_use]
    pub fn conflicting(self) -> Self {
        Self {
            finding: OriginFinding::Conflicting,
            is_settled: true,
            ..self
        }
    }
}

/// A question to the replicas that is not settled.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    rule: OriginRule,
    /// Replicas that have not answered.
    awaited: BTreeSet<SocketAddr>,
    asked: usize,
    answered: usize,
    /// Number of answers of which one knows every stream: each was told to so many replicas that no more than the others can
    /// lack it.
    needed: usize,
    found: Option<FoundOrigin>,
}

impl OriginSearch {
    /// Begins a search at the replicas `asked`, in a group of `voters`.
    pub fn begin(rule: OriginRule, asked: BTreeSet<SocketAddr>, voters: usize) -> Self {
        Self {
            rule,
            asked: asked.len(),
            answered: 0,
            needed: (voters.max(asked.len()) + 1).saturating_sub(ORIGIN_COPIES).max(1),
            found: None,
            awaited: asked,
        }
    }

    /// Records the answer of a replica. Returns the result once the search is settled or nobody is left to answer.
    pub fn record_answer(&mut self, replica: SocketAddr, found: Option<FoundOrigin>) -> Option<FoundOrigin> {
        if !self.awaited.remove(&replica) {
            return None;
        }
        self.answered += 1;
        self.found = match (self.found.take(), found) {
            (Some(known), Some(other)) if (&known.finding, known.key) != (&other.finding, other.key) => {
                return Some(known.conflicting());
            }
            (known, other) => known.or(other),
        };
        (self.is_settled() || self.awaited.is_empty()).then(|| self.result())
    }

    /// Records that a replica will not answer. Returns the result if nobody is left to answer.
    pub fn record_lost(&mut self, replica: SocketAddr) -> Option<FoundOrigin> {
        let was_awaited = self.awaited.remove(&replica);
        (was_awaited && self.awaited.is_empty()).then(|| self.result())
    }

    /// Returns what is known so far: nothing before the search is settled, since a stream of another version may be missing.
    pub fn result(&self) -> FoundOrigin {
        let is_settled = self.is_settled();
        let found = self.found.clone().filter(|_| is_settled);
        found.unwrap_or(FoundOrigin::nowhere(self.asked, is_settled))
    }

    const fn is_settled(&self) -> bool {
        match self.rule {
            OriginRule::FirstRecord => self.found.is_some(),
            OriginRule::EveryRecord => self.answered >= self.needed,
        }
    }
}

/// Joins what this entry has begun itself with what the replicas have told. `None` if nothing is known for certain, and the
/// replicas should be asked again.
pub fn join_findings(rule: OriginRule, own: Option<&FoundOrigin>, told: &FoundOrigin) -> Option<FoundOrigin> {
    let is_known = told.finding != OriginFinding::Unknown;
    match own {
        // Another entry may have begun a stream under the same identifier, or with the same content.
        Some(own) if is_known && told.finding != own.finding => Some(own.clone().conflicting()),
        // An entry that is cut off from the replicas knows of none that other entries have begun with the same content.
        Some(_) if rule == OriginRule::EveryRecord && !told.is_settled => None,
        Some(own) => Some(own.clone()),
        None => is_known.then(|| told.clone()),
    }
}
