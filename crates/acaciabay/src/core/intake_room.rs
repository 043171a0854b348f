//! Memory that a process uses for request bodies, and who gives way when it is used up.
//!
//! Clients send bodies at their own pace, and may stop before the end. A body takes memory as it comes, never what it has
//! announced: a client that announces much and sends nothing then takes nothing. When the memory is used up, bodies that have
//! not ended give way, those that have stopped first and then the largest, so that a caller with a small body is served
//! whatever others send. `docs/design/client-crowds.md` weighs the rules.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;

/// Size up to which a body may use the reserve, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Part of the budget that only small bodies use.
const RESERVE_DIVISOR: usize = 8;
/// Time without a byte after which a body has stopped.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of a body in an [`IntakeRoom`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyNumber(u64);

/// Whether a body may take more memory, and which others give way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IntakeDecision {
    /// True if the memory is counted for the body from now on.
    pub is_admitted: bool,
    /// Bodies that are no longer counted and have to be dropped.
    pub dropped: Vec<BodyNumber>,
}

#[derive(Clone, Copy, Debug)]
struct BodyUse {
    bytes: usize,
    progressed_at: BootTime,
    has_ended: bool,
}

/// Account of the memory for request bodies.
#[derive(Debug)]
pub struct IntakeRoom {
    budget: usize,
    bodies: BTreeMap<BodyNumber, BodyUse>,
    held: usize,
    next: u64,
}

impl IntakeRoom {
    /// Creates an empty account with a budget in bytes.
    pub const fn new(budget: usize) -> Self {
        Self {
            budget,
            bodies: BTreeMap::new(),
            held: 0,
            next: 0,
        }
    }

    /// Returns the bytes that are counted.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Adds a body of which nothing has come yet.
    pub fn open(&mut self, now: BootTime) -> BodyNumber {
        let number = BodyNumber(self.next);
        self.next += 1;
        let body = BodyUse {
            bytes: 0,
            progressed_at: now,
            has_ended: false,
        };
        self.bodies.insert(number, body);
        number
    }

    /// Decides whether a body takes `bytes` more of memory. One that is alone always does: a single request is served however
    /// small the budget.
    pub fn grow(&mut self, now: BootTime, number: BodyNumber, bytes: usize) -> IntakeDecision {
        let Some(own) = self.bodies.get(&number).map(|body| body.bytes) else {
            return IntakeDecision::default();
        };
        let grown = own + bytes;
        let limit = if grown <= SMALL_BODY_BYTES {
            self.budget
        } else {
            self.budget - self.budget / RESERVE_DIVISOR
        };
        let surplus = (self.held + bytes).saturating_sub(limit);
        let is_alone = self.held == own;
        let dropped = if surplus == 0 || is_alone {
            Some(Vec::new())
        } else {
            self.choose_dropped(now, number, (grown, surplus))
        };
        let Some(dropped) = dropped else {
            return IntakeDecision::default();
        };
        for number in &dropped {
            self.close(*number);
        }
        if let Some(body) = self.bodies.get_mut(&number) {
            body.bytes = grown;
            body.progressed_at = now;
            self.held += bytes;
        }
        IntakeDecision {
            is_admitted: true,
            dropped,
        }
    }

    /// Returns bodies whose memory covers the surplus, or `None` if there are not enough that give way to a body that is `grown`
    /// bytes large.
    fn choose_dropped(
        &self,
        now: BootTime,
        asking: BodyNumber,
        (grown, surplus): (usize, usize),
    ) -> Option<Vec<BodyNumber>> {
        let unfinished = self
            .bodies
            .iter()
            .filter(|(number, body)| **number != asking && !body.has_ended);
        let mut candidates: Vec<_> = unfinished
            .map(|(number, body)| (now.since(body.progressed_at) >= STALL_TIMEOUT, body.bytes, *number))
            .filter(|(has_stopped, bytes, _)| *bytes > 0 && (*has_stopped || *bytes > grown))
            .collect();
        candidates.sort_unstable_by_key(|(has_stopped, bytes, _)| Reverse((*has_stopped, *bytes)));
        let (mut dropped, mut freed) = (Vec::new(), 0);
        for (_, bytes, number) in candidates {
            if freed >= surplus {
                break;
            }
            freed += bytes;
            dropped.push(number);
        }
        (freed >= surplus).then_some(dropped)
    }

    /// Records that bytes of a body have come for which there was memory.
    pub fn record_progress(&mut self, now: BootTime, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.progressed_at = now;
        }
    }

    /// Records that a body has come whole. From now on it gives way to none.
    pub fn finish(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.has_ended = true;
        }
    }

    /// Removes a body with what is counted for it.
    pub fn close(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.remove(&number) {
            self.held -= body.bytes;
        }
    }
}
