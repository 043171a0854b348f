//! Claims: replicated records that prevent a second run of a call that must run at most once.
//!
//! An entry commits a claim before it sends the call to an endpoint. A claim covers a single attempt and is never
//! transferred. If its holder dies, the outcome stays unknown, because it is impossible to determine whether the
//! endpoint ran the call (`docs/design/at-most-once.md`).
//!
//! A resend is the same call, sent again by its caller with the same idempotency key.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::core::clock::WallTime;
use crate::core::member::EntryIncarnation;
use crate::core::name::{CustomerName, IdempotencyKey};
use crate::util::digest::ContentDigest;

/// Retention of the state and the answer of a claim, in seconds from when the claim was taken. When it ends, the claim
/// becomes [`ClaimState::Expired`]. `docs/CALLERS.md` documents this limit for callers.
pub const CLAIM_RETENTION_SECS: u64 = 24 * 60 * 60;

/// Retention of a claim in the state [`ClaimState::Expired`], in seconds from the end of [`CLAIM_RETENTION_SECS`]. When
/// it ends, the claim is removed.
///
/// During this time a late resend of the call is refused instead of being run again.
pub const EXPIRED_CLAIM_RETENTION_SECS: u64 = 7 * 24 * 60 * 60;

/// Maximum number of claims kept at once.
///
/// When it is reached, new claims are refused. Removing a claim before the end of its retention would let a resend of
/// its call run a second time.
pub const MAX_CLAIMS: usize = 1_000_000;

/// Maximum size of a stored answer body, in bytes. A call with a larger answer is recorded as finished, without the
/// body.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// The key of a claim: the caller's idempotency key, within the namespace of its customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The customer that sent the call.
    pub customer: CustomerName,
    /// The idempotency key of the call.
    pub key: IdempotencyKey,
}

/// The holder of a claim: one attempt of one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimHolder {
    /// The entry process that holds the claim.
    pub incarnation: EntryIncarnation,
    /// The number of the attempt, assigned by the entry.
    pub attempt: u64,
}

/// A complete answer of a service that does not stream, stored to answer resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The content type, or an empty string if the service sent none.
    pub content_type: String,
    /// The body, or `None` if it was larger than [`MAX_STORED_ANSWER_BYTES`].
    pub body: Option<Bytes>,
}

/// The state of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may have sent the call to an endpoint, and the outcome is not recorded yet.
    Running,
    /// The endpoint answered.
    Finished(StoredAnswer),
    /// The holder may have sent the call, and its outcome was never recorded.
    Unknown,
    /// [`CLAIM_RETENTION_SECS`] have passed. The answer is removed, and only the fact that the call was claimed is
    /// kept.
    Expired,
}

/// A claim and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// The attempt that the claim covers.
    pub holder: ClaimHolder,
    /// The digest of the call, by which a different call with the same key is recognized and refused.
    pub digest: ContentDigest,
    /// The state of the call.
    pub state: ClaimState,
    /// The time at which the claim was taken. If the clock is behind the time of the previous claim, that time is used
    /// instead, so that claims stay in order of time.
    pub claimed_at: WallTime,
}

/// The outcome of a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The holder may send the call, once.
    Granted,
    /// The call has run and had this answer.
    Answered(StoredAnswer),
    /// Another attempt is in progress.
    Running,
    /// An earlier attempt may or may not have run the call.
    Unknown,
    /// The key was used for another call before.
    Mismatch,
    /// The key was used before, and [`CLAIM_RETENTION_SECS`] have passed since.
    Expired,
    /// The table already holds [`MAX_CLAIMS`] claims.
    Full,
}

/// The table of all claims.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    rows: BTreeMap<ClaimKey, ClaimRow>,
    /// The keys of all claims, oldest first.
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

    /// Takes a claim for one attempt, or returns the state of the existing claim for the key.
    ///
    /// A holder that asks again because the reply was lost is granted the claim again. This is safe: the holder writes
    /// the call only after it has received the reply.
    pub fn take(&mut self, now: WallTime, key: &ClaimKey, holder: ClaimHolder, digest: ContentDigest) -> ClaimOutcome {
        self.expire(now);
        if let Some(row) = self.rows.get(key) {
            return outcome_of(row, holder, digest);
        }
        if self.rows.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        // Never earlier than the previous claim: `expire` relies on the claims being in order of time.
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

    /// Records that the holder sent the call but does not know its outcome.
    pub fn mark_unknown(&mut self, key: &ClaimKey, holder: ClaimHolder) {
        if let Some(row) = self.running_row(key, holder) {
            row.state = ClaimState::Unknown;
        }
    }

    /// Removes a claim whose call was never sent, so that a resend may run.
    pub fn release(&mut self, key: &ClaimKey, holder: ClaimHolder) {
        if self.running_row(key, holder).is_some() {
            self.rows.remove(key);
            self.by_age.retain(|(_, claimed)| claimed != key);
        }
    }

    /// Marks all running claims of a terminated entry process as unknown.
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

    /// Removes claims at the end of their whole retention, and marks those older than [`CLAIM_RETENTION_SECS`] as
    /// expired.
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
