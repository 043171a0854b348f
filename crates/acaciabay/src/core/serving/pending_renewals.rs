//! Which renewals an entry has asked for on one session, and when to ask the next.
//!
//! A replica answers in the order of the questions, and a large configuration can keep the connection busy for longer
//! than an entry should wait before it asks again: its lease counts from the question, so a fresh question is worth more
//! the later the answer comes. Every answer counts nevertheless, for the time at which its own question was asked. An
//! entry that dropped the answers to older questions would drop the configuration in them, and on a slow link every
//! answer is one to an older question. See `docs/design/machines.md`.

use std::collections::VecDeque;

use crate::core::clock::BootTime;
use crate::core::serving::replica_tracker::LEADER_TIMEOUT;

/// Most renewals that may be unanswered; an entry that has asked so often only listens.
const MAX_PENDING: usize = 32;

/// A renewal that was asked for; `H` is what the entry held at that moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRenewal<H> {
    /// Identifies it on its session.
    pub number: u64,
    /// When it was asked for.
    pub requested_at: BootTime,
    /// What the entry held at that moment, which an answer without content confirms.
    pub held: H,
}

/// The renewals of one session that are not answered yet, the oldest first.
#[derive(Clone, Debug)]
pub struct PendingRenewals<H> {
    last: u64,
    pending: VecDeque<PendingRenewal<H>>,
}

impl<H> Default for PendingRenewals<H> {
    fn default() -> Self {
        Self {
            last: 0,
            pending: VecDeque::new(),
        }
    }
}

impl<H> PendingRenewals<H> {
    /// Notes that a renewal is asked for, and returns its number.
    pub fn record_request(&mut self, now: BootTime, held: H) -> u64 {
        self.last += 1;
        self.pending.push_back(PendingRenewal {
            number: self.last,
            requested_at: now,
            held,
        });
        self.last
    }

    /// Takes the renewal that an answer belongs to. Older ones are not answered any more.
    pub fn complete(&mut self, number: u64) -> Option<PendingRenewal<H>> {
        let at = self.pending.iter().position(|renewal| renewal.number == number)?;
        self.pending.drain(..at);
        self.pending.pop_front()
    }

    /// Tells whether another renewal may be asked for: none waits, or the last one has waited for long enough.
    pub fn can_request(&self, now: BootTime) -> bool {
        let last = self.pending.back();
        last.is_none_or(|last| now.since(last.requested_at) >= LEADER_TIMEOUT && self.pending.len() < MAX_PENDING)
    }

    /// Returns the last renewal if it has waited for an answer longer than a leader takes.
    pub fn overdue(&self, now: BootTime) -> Option<&PendingRenewal<H>> {
        let last = self.pending.back();
        last.filter(|last| now.since(last.requested_at) >= LEADER_TIMEOUT)
    }
}
