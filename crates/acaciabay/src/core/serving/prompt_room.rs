//! Admission of prompts from one entry to the engines of one service.
//!
//! An engine prefills prompts in the order in which they arrive, and what has been sent cannot be withdrawn. An entry
//! therefore sends only as much as its slice of the engines can prefill within a short time (its credit) and queues the
//! rest itself: by urgency, fair between customers, and within a customer by target latency. A prompt that cannot be
//! prefilled before its deadline is refused at once. `docs/design/admission-queue.md` describes the whole.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::load_slice::{LINE_PPM, LoadSlice};
use super::prompt_drain::DrainRate;
use super::prompt_lane::{LaneKey, PromptLane, Timeliness};
use crate::core::clock::BootTime;
use crate::core::name::CustomerName;
use crate::util::rendezvous;

/// Prefill time that may be outstanding for each engine of the slice. It covers the way to an engine and back, so that
/// engines do not idle between prompts.
const CREDIT_HORIZON: Duration = Duration::from_millis(150);
/// Number of prompts of the most urgent lane after which a lower one has a turn, so that none is starved.
const MAX_IN_ROW: u32 = 8;
/// Fraction of the estimated wait by which a prompt that waits is judged again. A single slow measurement would otherwise
/// refuse prompts that have nearly reached their turn.
const WAIT_TOLERANCE: f64 = 0.8;
/// Shortest time between two judgements of all waiting prompts.
const JUDGEMENT_INTERVAL: Duration = Duration::from_millis(50);
/// Lowest drain rate that is assumed, in engines: what a slice of a tenth of an engine can do.
const MIN_RATE: f64 = 0.1;
/// Bounds of the time after which callers are asked to retry, before it is spread.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Number of a prompt's pass, which it keeps while it waits and while it is prefilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PassNumber(pub u64);

/// A prompt that asks for a pass.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedPrompt {
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Customer among whose prompts it counts.
    pub customer: CustomerName,
    /// Tokens to prefill, by which customers are treated fairly.
    pub tokens: u64,
    /// Expected prefill time at an engine of usual speed.
    pub prefill: Duration,
    /// Time at which its target latency is missed.
    pub target: BootTime,
    /// Time by which the prompt has to be prefilled.
    pub deadline: BootTime,
    /// Size of the request body.
    pub bytes: usize,
    /// Hash of the request, by which retries are spread.
    pub request_hash: u64,
}

/// Bounds of what may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomBounds {
    /// Number of prompts.
    pub calls: usize,
    /// Sum of their bodies, in bytes.
    pub bytes: usize,
}

/// Why a prompt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomReason {
    /// The prompts before it and its own prefill take longer than its deadline allows.
    TooLate,
    /// As many prompts wait as may, and none of them is less urgent.
    Full,
}

/// Refusal of a prompt, which has not been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRefusal {
    /// Why it is refused.
    pub reason: RoomReason,
    /// Time after which its caller should retry.
    pub retry_after: Duration,
}

/// Prompts that leave the queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoomChanges {
    /// Those that may be sent, in order.
    pub going: Vec<PassNumber>,
    /// Those that are refused.
    pub refused: Vec<(PassNumber, RoomRefusal)>,
}

/// Returns the prefill time that may be outstanding for a slice of engines. `engines` is the sum of the speeds of all
/// engines of the service; one of usual speed counts 1.
pub fn prefill_credit(slice: LoadSlice, engines: f64) -> Duration {
    let length = f64::from(slice.end_ppm.saturating_sub(slice.start_ppm)) / f64::from(LINE_PPM);
    CREDIT_HORIZON.mul_f64(length * engines.max(0.0))
}

#[derive(Clone, Debug)]
struct WaitingPrompt {
    prompt: QueuedPrompt,
    lane: LaneKey,
}

/// Prompts of one service at one entry: those that wait and those that are being prefilled.
#[derive(Clone, Debug, Default)]
pub struct PromptRoom {
    /// `None` while no slice is known: nothing waits then.
    credit: Option<Duration>,
    outstanding: Duration,
    running: HashMap<PassNumber, Duration>,
    /// Waiting prompts in order of arrival.
    waiting: BTreeMap<PassNumber, WaitingPrompt>,
    lanes: BTreeMap<LaneKey, PromptLane>,
    bytes: usize,
    /// Number of prompts that have gone past a lower lane since one of those had a turn.
    in_row: u32,
    turns: u64,
    last_number: u64,
    rate: DrainRate,
    judged_at: BootTime,
}

impl PromptRoom {
    /// Sets the prefill time that may be outstanding, or none while no slice is known.
    pub const fn set_credit(&mut self, credit: Option<Duration>) {
        self.credit = credit;
    }

    /// Returns the number of waiting prompts.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the size of the waiting prompts' bodies.
    pub const fn waiting_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of prompts that were sent and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the prefill time of the prompts that were sent and have not ended.
    pub const fn outstanding(&self) -> Duration {
        self.outstanding
    }

    /// Returns the waiting prompts, the most urgent first, and within an urgency in order of arrival.
    pub fn waiting_prompts(&self) -> Vec<PassNumber> {
        let mut prompts: Vec<_> = self.waiting.iter().collect();
        prompts.sort_by_key(|(number, waiting)| (waiting.lane, **number));
        prompts.into_iter().map(|(number, _)| *number).collect()
    }

    /// Returns true if a prompt that asks now may go, whatever the state of the engines is.
    pub fn has_room(&self) -> bool {
        self.waiting.is_empty() && self.has_credit()
    }

    /// Takes a prompt in. The changes say whether it goes, or which prompts are refused; otherwise it waits. `is_idle` is
    /// true if the engine that would prefill it is idle, and `bounds` are those of the waiting prompts of this service.
    pub fn ask(
        &mut self,
        now: BootTime,
        prompt: QueuedPrompt,
        is_idle: bool,
        bounds: RoomBounds,
    ) -> (PassNumber, RoomChanges) {
        self.rate.roll(now, !self.waiting.is_empty());
        let number = self.next_number();
        let mut changes = RoomChanges::default();
        if is_idle || self.has_room() {
            self.start(number, self.lane_of(now, &prompt), prompt.prefill);
            changes.going.push(number);
            return (number, changes);
        }
        if self.is_hopeless(now, &prompt) {
            changes
                .refused
                .push((number, self.refusal(RoomReason::TooLate, &prompt)));
            return (number, changes);
        }
        let Some(displaced) = self.find_displaced(&prompt, bounds) else {
            changes.refused.push((number, self.refusal(RoomReason::Full, &prompt)));
            return (number, changes);
        };
        for displaced in displaced {
            self.refuse(displaced, RoomReason::Full, &mut changes);
        }
        self.enqueue(number, self.lane_of(now, &prompt), prompt);
        self.fill_credit(now, &mut changes);
        (number, changes)
    }

    /// Gives a prompt a pass at once: a retry of a call that has waited already.
    pub fn go_first(&mut self, now: BootTime, prompt: &QueuedPrompt) -> PassNumber {
        self.rate.roll(now, !self.waiting.is_empty());
        let number = self.next_number();
        self.start(number, self.lane_of(now, prompt), prompt.prefill);
        number
    }

    /// Lets a waiting prompt go whose engine is idle. Returns false if it does not wait.
    pub fn go_idle(&mut self, now: BootTime, number: PassNumber) -> bool {
        self.rate.roll(now, !self.waiting.is_empty());
        self.send(number)
    }

    /// Returns the prompts that leave the queue now: those for which there is credit, and those that can no longer be
    /// prefilled in time.
    pub fn advance(&mut self, now: BootTime) -> RoomChanges {
        self.rate.roll(now, !self.waiting.is_empty());
        let mut changes = RoomChanges::default();
        self.refuse_hopeless(now, &mut changes);
        self.fill_credit(now, &mut changes);
        changes
    }

    /// Ends a pass: its prompt has been prefilled or given up, or its caller has left. [`advance`](Self::advance) says who
    /// goes next. A pass that has been refused has ended already.
    pub fn end(&mut self, now: BootTime, number: PassNumber) {
        self.rate.roll(now, !self.waiting.is_empty());
        if let Some(prefill) = self.running.remove(&number) {
            self.outstanding = self.outstanding.saturating_sub(prefill);
        } else {
            self.remove_unserved(number);
        }
    }

    fn next_number(&mut self) -> PassNumber {
        self.last_number += 1;
        PassNumber(self.last_number)
    }

    fn has_credit(&self) -> bool {
        self.credit
            .is_none_or(|credit| self.outstanding < credit || self.running.is_empty())
    }

    fn start(&mut self, number: PassNumber, lane: LaneKey, prefill: Duration) {
        self.rate.record(lane, prefill);
        self.running.insert(number, prefill);
        self.outstanding += prefill;
    }

    fn enqueue(&mut self, number: PassNumber, lane: LaneKey, prompt: QueuedPrompt) {
        self.bytes += prompt.bytes;
        self.lanes.entry(lane).or_default().push(number, &prompt);
        self.waiting.insert(number, WaitingPrompt { prompt, lane });
    }

    /// Moves a waiting prompt to those that are being prefilled.
    fn send(&mut self, number: PassNumber) -> bool {
        let Some(WaitingPrompt { prompt, lane }) = self.waiting.remove(&number) else {
            return false;
        };
        self.bytes -= prompt.bytes;
        if let Some(row) = self.lanes.get_mut(&lane) {
            row.remove_served(number, &prompt);
        }
        self.start(number, lane, prompt.prefill);
        true
    }

    fn remove_unserved(&mut self, number: PassNumber) -> Option<QueuedPrompt> {
        let WaitingPrompt { prompt, lane } = self.waiting.remove(&number)?;
        self.bytes -= prompt.bytes;
        if let Some(row) = self.lanes.get_mut(&lane) {
            row.remove_unserved(number, &prompt);
        }
        Some(prompt)
    }

    fn refuse(&mut self, number: PassNumber, reason: RoomReason, changes: &mut RoomChanges) {
        if let Some(prompt) = self.remove_unserved(number) {
            changes.refused.push((number, self.refusal(reason, &prompt)));
        }
    }

    fn fill_credit(&mut self, now: BootTime, changes: &mut RoomChanges) {
        self.move_late(now);
        while self.has_credit() {
            let Some(number) = self.take_turn() else { return };
            self.send(number);
            changes.going.push(number);
        }
    }

    /// Returns the prompt whose turn it is: one of the most urgent lane, but after some of them one of a lower lane, of
    /// those the one that has had no turn for longest.
    fn take_turn(&mut self) -> Option<PassNumber> {
        let mut lanes = self.lanes.iter_mut().filter(|(_, lane)| !lane.is_empty());
        let (_, first) = lanes.next()?;
        let lower = lanes.min_by_key(|(key, lane)| (lane.last_turn, **key));
        let lane = match lower {
            Some((_, lower)) if self.in_row >= MAX_IN_ROW => {
                self.in_row = 0;
                lower
            }
            Some(_) => {
                self.in_row += 1;
                first
            }
            None => {
                self.in_row = 0;
                first
            }
        };
        self.turns += 1;
        lane.last_turn = self.turns;
        lane.next()
    }

    /// Returns the lane of a prompt that would be sent now, behind what is outstanding.
    fn lane_of(&self, now: BootTime, prompt: &QueuedPrompt) -> LaneKey {
        let queued = self.outstanding.div_f64(self.nominal_rate());
        let timeliness = if now + queued + prompt.prefill > prompt.target {
            Timeliness::Late
        } else {
            Timeliness::Timely
        };
        LaneKey {
            priority: prompt.priority,
            timeliness,
        }
    }

    /// Moves prompts that can no longer meet their target behind those of their urgency that can. Otherwise a queue longer
    /// than the target would make all of them late.
    fn move_late(&mut self, now: BootTime) {
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.lane.timeliness == Timeliness::Timely)
            .filter(|(_, waiting)| self.lane_of(now, &waiting.prompt).timeliness == Timeliness::Late)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            if let Some(prompt) = self.remove_unserved(number) {
                self.enqueue(number, self.lane_of(now, &prompt), prompt);
            }
        }
    }

    /// Returns the prompts that make room for another one: the least urgent, and of these the last to arrive. Returns
    /// `None` if too few are less urgent.
    fn find_displaced(&self, prompt: &QueuedPrompt, bounds: RoomBounds) -> Option<Vec<PassNumber>> {
        let (mut calls, mut bytes) = (self.waiting.len() + 1, self.bytes + prompt.bytes);
        let is_over = |calls, bytes| calls > bounds.calls || bytes > bounds.bytes;
        if !is_over(calls, bytes) {
            return Some(Vec::new());
        }
        let less_urgent = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.prompt.priority > prompt.priority);
        let mut less_urgent: Vec<_> = less_urgent.collect();
        less_urgent.sort_by_key(|(number, waiting)| (waiting.prompt.priority, **number));
        let mut displaced = Vec::new();
        while is_over(calls, bytes) {
            let (number, waiting) = less_urgent.pop()?;
            calls -= 1;
            bytes -= waiting.prompt.bytes;
            displaced.push(*number);
        }
        Some(displaced)
    }

    /// Returns true if a prompt that arrives now would be prefilled neither before its target nor, behind the others that
    /// are late, before its deadline.
    fn is_hopeless(&self, now: BootTime, prompt: &QueuedPrompt) -> bool {
        let end = |timeliness| {
            let lane = LaneKey {
                priority: prompt.priority,
                timeliness,
            };
            let row = self.lanes.get(&lane);
            let earlier = row.map_or(Duration::ZERO, |row| row.customer_prefill(&prompt.customer));
            now + self.wait(lane, earlier, prompt) + prompt.prefill
        };
        end(Timeliness::Timely) > prompt.target && end(Timeliness::Late) > prompt.deadline
    }

    fn refuse_hopeless(&mut self, now: BootTime, changes: &mut RoomChanges) {
        if now.since(self.judged_at) < JUDGEMENT_INTERVAL {
            return;
        }
        self.judged_at = now;
        self.move_late(now);
        let mut earlier: HashMap<(LaneKey, &CustomerName), Duration> = HashMap::new();
        let mut hopeless = Vec::new();
        for (number, waiting) in &self.waiting {
            let prompt = &waiting.prompt;
            let before = earlier.entry((waiting.lane, &prompt.customer)).or_default();
            let wait = match waiting.lane.timeliness {
                // It may go at any moment before it is late.
                Timeliness::Timely => Duration::ZERO,
                Timeliness::Late => self.wait(waiting.lane, *before, prompt),
            };
            if now + wait.mul_f64(WAIT_TOLERANCE) + prompt.prefill > prompt.deadline {
                hopeless.push(*number);
            } else {
                *before += prompt.prefill;
            }
        }
        for number in hopeless {
            self.refuse(number, RoomReason::TooLate, changes);
        }
    }

    /// Returns the time until a prompt goes that waits in a lane behind `earlier` prefill time of its customer.
    fn wait(&self, lane: LaneKey, earlier: Duration, prompt: &QueuedPrompt) -> Duration {
        let before: Duration = self.lanes.range(..lane).map(|(_, row)| row.prefill()).sum();
        let row = self.lanes.get(&lane);
        let beside = row.map_or(Duration::ZERO, |row| {
            row.prefill_before(&prompt.customer, earlier, prompt.prefill)
        });
        let work = self.outstanding + before + beside;
        work.div_f64(self.lane_rate(lane))
    }

    /// Returns the rate at which a lane and those after it drain, in engines: what the lanes before it leave, and at least
    /// its turns.
    fn lane_rate(&self, lane: LaneKey) -> f64 {
        let (all, before) = self.rate.measured(lane).unwrap_or_else(|| (self.nominal_rate(), 0.0));
        let lower = self.lanes.iter().filter(|(key, row)| **key > lane && !row.is_empty());
        let turns = all / f64::from(MAX_IN_ROW + 1) / (lower.count() + 1) as f64;
        (all - before).max(turns).max(MIN_RATE / f64::from(MAX_IN_ROW + 1))
    }

    /// Returns the rate of the engines in the slice.
    fn nominal_rate(&self) -> f64 {
        let credit = self.credit.unwrap_or(CREDIT_HORIZON);
        (credit.as_secs_f64() / CREDIT_HORIZON.as_secs_f64()).max(MIN_RATE)
    }

    /// Returns a refusal with the time in which what goes before the prompt drains, up to doubled by its hash: callers that
    /// were refused together would otherwise return together.
    fn refusal(&self, reason: RoomReason, prompt: &QueuedPrompt) -> RoomRefusal {
        let lane = LaneKey {
            priority: prompt.priority,
            timeliness: Timeliness::Timely,
        };
        let last = LaneKey {
            timeliness: Timeliness::Late,
            ..lane
        };
        let queued: Duration = self.lanes.range(..=last).map(|(_, row)| row.prefill()).sum();
        let drain = (self.outstanding + queued).div_f64(self.lane_rate(lane));
        let spread = 1.0 + rendezvous::fraction(prompt.request_hash);
        RoomRefusal {
            reason,
            retry_after: drain.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY).mul_f64(spread),
        }
    }
}
