//! Claims: the record that lets a call that may not be repeated run at most once.
//!
//! An entry commits a claim before it writes to the endpoint. A claim covers one attempt and is never handed on: when
//! its holder dies, the outcome is unknown for good, because nobody can tell whether the endpoint ran the call
//! (`docs/design/at-most-once.md`).

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::core::clock::WallTime;
use crate::core::member::EntryIncarnation;
use crate::core::name::{CustomerName, IdempotencyKey};
use crate::util::digest::ContentDigest;

/// How long a finished claim and its answer are kept. Callers are told this bound in `docs/CALLERS.md`.
pub const CLAIM_RETENTION_SECS: u64 = 24 * 60 * 60;

/// How long after the answer was dropped its key is still remembered, so that a late resend is refused, not run anew.
pub const EXPIRED_CLAIM_RETENTION_SECS: u64 = 7 * 24 * 60 * 60;

/// The most claims that are remembered at once. A new claim beyond it is refused rather than an old one forgotten,
/// since forgetting a young claim would let its resend run a second time.
pub const MAX_CLAIMS: usize = 1_000_000;

/// The largest answer that is stored; a larger one is remembered as finished without its body.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Identifies a claim: the caller's key within its customer's own name space.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The customer that sent the call.
    pub customer: CustomerName,
    /// The idempotency key that came with it.
    pub key: IdempotencyKey,
}

/// One attempt of one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimHolder {
    /// The entry process that holds the claim.
    pub incarnation: EntryIncarnation,
    /// The entry's own number for the attempt.
    pub attempt: u64,
}

/// A whole answer of a plain service, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty when the service sent none.
    pub content_type: String,
    /// The body, or nothing when it was larger than [`MAX_STORED_ANSWER_BYTES`].
    pub body: Option<Bytes>,
}

/// How far the claimed call has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may have written the call to an endpoint.
    Running,
    /// The endpoint answered.
    Finished(StoredAnswer),
    /// The holder lost sight of the call after it had written it.
    Unknown,
    /// The answer has passed its age bound; only the fact that the call was claimed is left.
    Expired,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// The attempt that the claim covers.
    pub holder: ClaimHolder,
    /// The digest of the call, so that the same key with another body is refused.
    pub digest: ContentDigest,
    /// How far the call has come.
    pub state: ClaimState,
    /// When the claim was taken.
    pub claimed_at: WallTime,
}

/// What a request for a claim gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The holder may write the call, once.
    Granted,
    /// The call has run; this is its answer.
    Answered(StoredAnswer),
    /// Another attempt is under way.
    Running,
    /// An earlier attempt may or may not have run the call.
    Unknown,
    /// The key came before with another call.
    Mismatch,
    /// The key is older than the retention of answers.
    Expired,
    /// No more claims can be remembered at present.
    Full,
}

/// All claims that are remembered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    rows: BTreeMap<ClaimKey, ClaimRow>,
    by_age: VecDeque<(WallTime, ClaimKey)>,
}

impl ClaimTable {
    /// Rebuilds the table from a snapshot.
    pub fn restore(rows: impl IntoIterator<Item = (ClaimKey, ClaimRow)>) -> Self {
        let rows: BTreeMap<ClaimKey, ClaimRow> = rows.into_iter().collect();
        let mut by_age: Vec<_> = rows.iter().map(|(key, row)| (row.claimed_at, key.clone())).collect();
        by_age.sort();
        Self {
            rows,
            by_age: by_age.into(),
        }
    }

    /// Returns all claims in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&ClaimKey, &ClaimRow)> {
        self.rows.iter()
    }

    /// Takes a claim for one attempt, or tells what became of the earlier one.
    ///
    /// The same holder asking again after a lost answer is granted again: it has not written the call yet, because it
    /// writes only after the answer.
    pub fn take(&mut self, now: WallTime, key: &ClaimKey, holder: ClaimHolder, digest: ContentDigest) -> ClaimOutcome {
        self.expire(now);
        if let Some(row) = self.rows.get(key) {
            return outcome_of(row, holder, digest);
        }
        if self.rows.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        let claimed_at = self.by_age.back().map_or(now, |(latest, _)| now.max(*latest));
        self.by_age.push_back((claimed_at, key.clone()));
        self.rows.insert(
            key.clone(),
            ClaimRow {
                holder,
                digest,
                state: ClaimState::Running,
                claimed_at,
            },
        );
        ClaimOutcome::Granted
    }

    /// Stores the answer of the call that the holder claimed.
    pub fn finish(&mut self, key: &ClaimKey, holder: ClaimHolder, answer: StoredAnswer) {
        if let Some(row) = self.running_row(key, holder) {
            row.state = ClaimState::Finished(answer);
        }
    }

    /// Records that the holder wrote the call and lost sight of it.
    pub fn mark_unknown(&mut self, key: &ClaimKey, holder: ClaimHolder) {
        if let Some(row) = self.running_row(key, holder) {
            row.state = ClaimState::Unknown;
        }
    }

    /// Gives back a claim whose call was never written, so that a resend may run.
    pub fn release(&mut self, key: &ClaimKey, holder: ClaimHolder) {
        if self.running_row(key, holder).is_some() {
            self.rows.remove(key);
            self.by_age.retain(|(_, claimed)| claimed != key);
        }
    }

    /// Turns the running claims of an entry process that is gone into ones of unknown outcome.
    pub fn mark_holder_unknown(&mut self, incarnation: EntryIncarnation) {
        let running = self.rows.values_mut().filter(|row| row.state == ClaimState::Running);
        for row in running.filter(|row| row.holder.incarnation == incarnation) {
            row.state = ClaimState::Unknown;
        }
    }

    fn running_row(&mut self, key: &ClaimKey, holder: ClaimHolder) -> Option<&mut ClaimRow> {
        let row = self.rows.get_mut(key)?;
        (row.holder == holder && row.state == ClaimState::Running).then_some(row)
    }

    fn expire(&mut self, now: WallTime) {
        let total_retention = CLAIM_RETENTION_SECS + EXPIRED_CLAIM_RETENTION_SECS;
        while let Some((claimed_at, key)) = self.by_age.front() {
            if claimed_at.as_secs() + total_retention > now.as_secs() {
                break;
            }
            self.rows.remove(key);
            self.by_age.pop_front();
        }
        for (claimed_at, key) in &self.by_age {
            if claimed_at.as_secs() + CLAIM_RETENTION_SECS > now.as_secs() {
                break;
            }
            if let Some(row) = self.rows.get_mut(key) {
                row.state = ClaimState::Expired;
            }
        }
    }
}

fn outcome_of(row: &ClaimRow, holder: ClaimHolder, digest: ContentDigest) -> ClaimOutcome {
    if row.digest != digest {
        return ClaimOutcome::Mismatch;
    }
    match &row.state {
        ClaimState::Running if row.holder == holder => ClaimOutcome::Granted,
        ClaimState::Running => ClaimOutcome::Running,
        ClaimState::Finished(answer) => ClaimOutcome::Answered(answer.clone()),
        ClaimState::Unknown => ClaimOutcome::Unknown,
        ClaimState::Expired => ClaimOutcome::Expired,
    }
}
