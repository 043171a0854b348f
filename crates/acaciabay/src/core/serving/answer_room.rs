//! Memory that an entry uses for answers whose callers read slowly, and for the request bodies that it holds.
//!
//! Both are taken from one budget. An endpoint aborts an answer that remains unread, so the entry reads ahead of its caller
//! while there is room. `docs/design/slow-readers.md` describes the whole.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;

/// Memory that one answer may take however little of the budget is free, as long as any is.
pub const MIN_ANSWER_BYTES: usize = 64 * 1024;
/// Time without a read of the caller after which an answer may be dropped for others.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of an answer in an [`AnswerRoom`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerNumber(u64);

/// Whether bytes may be held, and what has to be dropped for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoomDecision {
    /// True if the bytes are counted as held from now on.
    pub is_admitted: bool,
    /// Answers that are no longer counted and whose bytes have to be dropped. May contain the one that asks.
    pub dropped: Vec<AnswerNumber>,
}

impl RoomDecision {
    fn admitted(dropped: Vec<AnswerNumber>) -> Self {
        Self {
            is_admitted: true,
            dropped,
        }
    }

    const fn refused() -> Self {
        Self {
            is_admitted: false,
            dropped: Vec::new(),
        }
    }
}

/// Sums of what is held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomUse {
    /// Bytes buffered of answers.
    pub answer_bytes: usize,
    /// Number of answers of which bytes are buffered.
    pub answers: usize,
    /// Bytes of request bodies.
    pub body_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct AnswerUse {
    bytes: usize,
    read_at: BootTime,
    deadline: BootTime,
    /// True once the endpoint has sent all of the answer.
    has_ended: bool,
}

impl AnswerUse {
    fn is_unread(&self, now: BootTime) -> bool {
        now.since(self.read_at) > UNREAD_TIMEOUT
    }

    fn holds_unread(&self, now: BootTime) -> bool {
        self.bytes > 0 && self.is_unread(now)
    }
}

/// Account of the memory for answers and request bodies.
#[derive(Debug)]
pub struct AnswerRoom {
    budget: usize,
    answers: BTreeMap<AnswerNumber, AnswerUse>,
    answer_bytes: usize,
    body_bytes: usize,
    next: u64,
}

impl AnswerRoom {
    /// Creates an empty account with a budget in bytes.
    pub const fn new(budget: usize) -> Self {
        Self {
            budget,
            answers: BTreeMap::new(),
            answer_bytes: 0,
            body_bytes: 0,
            next: 0,
        }
    }

    /// Returns what is held now.
    pub fn current_use(&self) -> RoomUse {
        RoomUse {
            answer_bytes: self.answer_bytes,
            answers: self.answers.values().filter(|answer| answer.bytes > 0).count(),
            body_bytes: self.body_bytes,
        }
    }

    /// Adds an answer that begins, of a call with this deadline.
    pub fn open(&mut self, now: BootTime, deadline: BootTime) -> AnswerNumber {
        let number = AnswerNumber(self.next);
        self.next += 1;
        let answer = AnswerUse {
            bytes: 0,
            read_at: now,
            deadline,
            has_ended: false,
        };
        self.answers.insert(number, answer);
        number
    }

    /// Removes an answer with what is held of it.
    pub fn close(&mut self, number: AnswerNumber) {
        if let Some(answer) = self.answers.remove(&number) {
            self.answer_bytes -= answer.bytes;
        }
    }

    /// Decides whether so many bytes of an answer may be buffered.
    ///
    /// One answer may take as much as remains free beside it, but not less than [`MIN_ANSWER_BYTES`]. A few large answers
    /// therefore leave room for others. An answer at this limit of its own displaces nothing but itself.
    pub fn admit_answer(&mut self, now: BootTime, number: AnswerNumber, bytes: usize) -> RoomDecision {
        let Some(answer) = self.answers.get(&number).copied() else {
            return RoomDecision::refused();
        };
        if answer.bytes + bytes > self.free().max(MIN_ANSWER_BYTES) {
            return self.drop_if_unread(now, number);
        }
        let decision = self.make_room(now, bytes, Some(number));
        if decision.is_admitted
            && let Some(answer) = self.answers.get_mut(&number)
        {
            answer.bytes += bytes;
            self.answer_bytes += bytes;
        }
        decision
    }

    /// Releases bytes of an answer that its caller has taken.
    pub fn release_answer(&mut self, number: AnswerNumber, bytes: usize) {
        if let Some(answer) = self.answers.get_mut(&number) {
            let released = bytes.min(answer.bytes);
            answer.bytes -= released;
            self.answer_bytes -= released;
        }
    }

    /// Records that the caller of an answer has read some of it, or waits for more.
    pub fn record_read(&mut self, now: BootTime, number: AnswerNumber) {
        if let Some(answer) = self.answers.get_mut(&number) {
            answer.read_at = now;
        }
    }

    /// Records that an endpoint has sent all of an answer.
    pub fn record_ended(&mut self, number: AnswerNumber) {
        if let Some(answer) = self.answers.get_mut(&number) {
            answer.has_ended = true;
        }
    }

    /// Decides whether so many bytes of a request body may be held.
    pub fn admit_body(&mut self, now: BootTime, bytes: usize) -> RoomDecision {
        let decision = self.make_room(now, bytes, None);
        if decision.is_admitted {
            self.body_bytes += bytes;
        }
        decision
    }

    /// Releases bytes of a request body.
    pub const fn release_body(&mut self, bytes: usize) {
        self.body_bytes = self.body_bytes.saturating_sub(bytes);
    }

    /// Removes the answers that are not whole when the deadline of their call has passed and that nobody reads, and returns
    /// them. A whole answer is kept: its caller may read on, and it costs its endpoint nothing.
    pub fn take_overdue(&mut self, now: BootTime) -> Vec<AnswerNumber> {
        let is_overdue = |answer: &AnswerUse| !answer.has_ended && now >= answer.deadline && answer.is_unread(now);
        let overdue = self.answers.iter().filter(|(_, answer)| is_overdue(answer));
        let overdue: Vec<_> = overdue.map(|(number, _)| *number).collect();
        for number in &overdue {
            self.close(*number);
        }
        overdue
    }

    const fn free(&self) -> usize {
        self.budget.saturating_sub(self.answer_bytes + self.body_bytes)
    }

    fn drop_if_unread(&mut self, now: BootTime, number: AnswerNumber) -> RoomDecision {
        let holds_unread = self.answers.get(&number).is_some_and(|answer| answer.holds_unread(now));
        if !holds_unread {
            return RoomDecision::refused();
        }
        self.close(number);
        RoomDecision {
            is_admitted: false,
            dropped: vec![number],
        }
    }

    /// Makes room for so many bytes: answers that nobody reads are dropped, those that have not ended at their endpoint first,
    /// and of these the one that was not read for the longest time. Drops nothing if that is not enough, and never the answer
    /// that asks.
    fn make_room(&mut self, now: BootTime, bytes: usize, asking: Option<AnswerNumber>) -> RoomDecision {
        let free = self.free();
        if bytes <= free {
            return RoomDecision::admitted(Vec::new());
        }
        let others = self.answers.iter().filter(|(number, _)| Some(**number) != asking);
        let unread = others.filter(|(_, answer)| answer.holds_unread(now));
        let mut unread: Vec<_> = unread.map(|(number, answer)| (*number, *answer)).collect();
        unread.sort_by_key(|(_, answer)| (answer.has_ended, answer.read_at));
        let mut dropped = Vec::new();
        let mut made = free;
        for (number, answer) in unread {
            if made >= bytes {
                break;
            }
            made += answer.bytes;
            dropped.push(number);
        }
        if made < bytes {
            return RoomDecision::refused();
        }
        for number in &dropped {
            self.close(*number);
        }
        RoomDecision::admitted(dropped)
    }
}
