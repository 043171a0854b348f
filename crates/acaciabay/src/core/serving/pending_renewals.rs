//! Lease renewals that an entry has requested on one session, and whether it may request another one.
//!
//! A replica answers requests in order, and a large configuration can occupy the connection for longer than an entry
//! should wait before the next request. A lease starts at the time of its request, so a late answer yields a lease that
//! has partly passed. The entry therefore sends another request when the newest one has been unanswered for a while.
//!
//! Answers to the requests before the newest one still count, each from the time of its own request. An entry that
//! dropped them would also drop the configurations that they contain, and on a slow link no answer belongs to the
//! newest request. See `docs/design/machines.md`.

use std::collections::VecDeque;

use crate::core::clock::BootTime;
use crate::core::serving::replica_tracker::LEADER_TIMEOUT;

/// Maximum number of unanswered renewals. At this number an entry sends no more requests on the session and only waits
/// for answers.
const MAX_PENDING: usize = 32;

/// Renewal that was requested. `H` is the type of the state that the entry held at that time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRenewal<H> {
    /// Number that identifies the renewal on its session.
    pub number: u64,
    /// Time of the request.
    pub requested_at: BootTime,
    /// State that the entry held at the time of the request. An answer that brings no newer state confirms it, unless
    /// the session has delivered another state since.
    pub held: H,
}

/// Unanswered renewals of one session, oldest first.
#[derive(Clone, Debug)]
pub struct PendingRenewals<H> {
    last_number: u64,
    pending: VecDeque<PendingRenewal<H>>,
}

impl<H> Default for PendingRenewals<H> {
    fn default() -> Self {
        Self {
            last_number: 0,
            pending: VecDeque::new(),
        }
    }
}

impl<H> PendingRenewals<H> {
    /// Records a request for a renewal and returns its number.
    pub fn record_request(&mut self, now: BootTime, held: H) -> u64 {
        self.last_number += 1;
        self.pending.push_back(PendingRenewal {
            number: self.last_number,
            requested_at: now,
            held,
        });
        self.last_number
    }

    /// Removes and returns the renewal with this number, which was answered. Returns `None` if no such renewal is
    /// pending.
    ///
    /// Also removes the renewals that were requested before it. Answers come in the order of the requests, so these
    /// will not be answered any more.
    pub fn complete(&mut self, number: u64) -> Option<PendingRenewal<H>> {
        let at = self.pending.iter().position(|renewal| renewal.number == number)?;
        self.pending.drain(..at);
        self.pending.pop_front()
    }

    /// Returns true if another renewal may be requested: none is pending, or fewer than `MAX_PENDING` are and the
    /// newest has been pending for [`LEADER_TIMEOUT`].
    ///
    /// After the same time without a confirmed lease, an entry asks all replicas.
    pub fn can_request(&self, now: BootTime) -> bool {
        let newest = self.pending.back();
        newest.is_none_or(|newest| now.since(newest.requested_at) >= LEADER_TIMEOUT && self.pending.len() < MAX_PENDING)
    }

    /// Returns the newest renewal if it has been pending for at least [`LEADER_TIMEOUT`].
    ///
    /// The older ones have then been pending for longer. Each new request gives the replica another [`LEADER_TIMEOUT`]
    /// to answer any of them.
    pub fn overdue(&self, now: BootTime) -> Option<&PendingRenewal<H>> {
        let newest = self.pending.back();
        newest.filter(|newest| now.since(newest.requested_at) >= LEADER_TIMEOUT)
    }
}
