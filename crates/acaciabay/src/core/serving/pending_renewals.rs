//! Lease renewals that an entry has requested on one session, and the time of the next request.
//!
//! A replica answers requests in order, and a large configuration can occupy the connection for longer than an entry
//! should wait before the next request. A lease starts at the time of its request, so the later the answers come, the
//! more a new request is worth. Answers to older requests still count, each from the time of its own request. An entry
//! that dropped them would also drop the configurations that they contain, and on a slow link every answer belongs to
//! an older request. See `docs/design/machines.md`.

use std::collections::VecDeque;

use crate::core::clock::BootTime;
use crate::core::serving::replica_tracker::LEADER_TIMEOUT;

/// Maximum number of unanswered renewals. At this number an entry sends no more requests and only waits for answers.
const MAX_PENDING: usize = 32;

/// Renewal that was requested. `H` is the type of the state that the entry held at that time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRenewal<H> {
    /// Number that identifies the renewal on its session.
    pub number: u64,
    /// Time of the request.
    pub requested_at: BootTime,
    /// State that the entry held at the time of the request. An answer without content confirms it.
    pub held: H,
}

/// Unanswered renewals of one session, oldest first.
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
    /// Records a request for a renewal and returns its number.
    pub fn record_request(&mut self, now: BootTime, held: H) -> u64 {
        self.last += 1;
        self.pending.push_back(PendingRenewal {
            number: self.last,
            requested_at: now,
            held,
        });
        self.last
    }

    /// Removes and returns the renewal that an answer belongs to. Older renewals are removed too, because they will not
    /// be answered any more.
    pub fn complete(&mut self, number: u64) -> Option<PendingRenewal<H>> {
        let at = self.pending.iter().position(|renewal| renewal.number == number)?;
        self.pending.drain(..at);
        self.pending.pop_front()
    }

    /// Returns true if another renewal may be requested: none is pending, or the last request has been pending for
    /// [`LEADER_TIMEOUT`] and fewer than `MAX_PENDING` are.
    pub fn can_request(&self, now: BootTime) -> bool {
        let last = self.pending.back();
        last.is_none_or(|last| now.since(last.requested_at) >= LEADER_TIMEOUT && self.pending.len() < MAX_PENDING)
    }

    /// Returns the last renewal if it has been pending for at least [`LEADER_TIMEOUT`].
    pub fn overdue(&self, now: BootTime) -> Option<&PendingRenewal<H>> {
        let last = self.pending.back();
        last.filter(|last| now.since(last.requested_at) >= LEADER_TIMEOUT)
    }
}
