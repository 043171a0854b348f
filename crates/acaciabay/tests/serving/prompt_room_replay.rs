//! Replay of loads through the admission queue of one entry, before engines that prefill one prompt after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::prompt_room::{PassNumber, PromptRoom, QueuedPrompt, RoomBounds, RoomChanges};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

pub(crate) const BOUNDS: RoomBounds = RoomBounds {
    calls: 2_000,
    bytes: 64 << 20,
};

/// Interval at which an entry advances its queue.
const ADVANCE_MS: u64 = 20;

/// A kind of calls: urgency, target latency, prefill time of a usual prompt, and prompts a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallType {
    pub(crate) priority: u8,
    pub(crate) target_ms: u64,
    pub(crate) prefill_ms: f64,
    pub(crate) rate: f64,
}

/// The way in which prompts are ordered.
pub(crate) trait PromptOrder {
    fn ask(&mut self, now: BootTime, prompt: QueuedPrompt, is_idle: bool) -> (PassNumber, RoomChanges);
    fn end(&mut self, now: BootTime, number: PassNumber);
    fn advance(&mut self, now: BootTime) -> RoomChanges;
    fn first_waiting(&self) -> Option<PassNumber>;
    fn go_idle(&mut self, now: BootTime, number: PassNumber);
}

impl PromptOrder for PromptRoom {
    fn ask(&mut self, now: BootTime, prompt: QueuedPrompt, is_idle: bool) -> (PassNumber, RoomChanges) {
        Self::ask(self, now, prompt, is_idle, BOUNDS)
    }

    fn end(&mut self, now: BootTime, number: PassNumber) {
        Self::end(self, now, number);
    }

    fn advance(&mut self, now: BootTime) -> RoomChanges {
        Self::advance(self, now)
    }

    fn first_waiting(&self) -> Option<PassNumber> {
        self.waiting_prompts().first().copied()
    }

    fn go_idle(&mut self, now: BootTime, number: PassNumber) {
        assert!(Self::go_idle(self, now, number));
    }
}

/// What became of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) priority: u8,
    pub(crate) prefill: Duration,
    target: BootTime,
    pub(crate) asked_at: BootTime,
    pub(crate) is_timely: bool,
    /// Time at which the prompt was refused, and the time after which its caller is to return.
    pub(crate) refused: Option<(BootTime, Duration)>,
    pub(crate) ended_at: Option<BootTime>,
}

/// Draws the prompts of some seconds: a few are several times as long as the usual one.
pub(crate) fn draw_load(types: &[CallType], customers: u64, seconds: u64, seed: u64) -> Vec<(BootTime, QueuedPrompt)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut load = Vec::new();
    for call in types {
        let mut millis = 0.0;
        loop {
            millis += -1_000.0 / call.rate * random.random_range(f64::EPSILON..1.0).ln();
            if millis >= seconds as f64 * 1_000.0 {
                break;
            }
            let size = 0.4 + 0.6 * -random.random_range(f64::EPSILON..1.0_f64).ln();
            let now = BootTime::default() + Duration::from_secs_f64(millis / 1_000.0);
            let customer = random.random_range(0..customers);
            load.push((
                now,
                prompt(now, *call, call.prefill_ms * size, customer, random.random()),
            ));
        }
    }
    load.sort_by_key(|(at, _)| *at);
    load
}

pub(crate) fn prompt(now: BootTime, call: CallType, prefill_ms: f64, customer: u64, hash: u64) -> QueuedPrompt {
    QueuedPrompt {
        priority: call.priority,
        customer: format!("customer-{customer}").as_str().into(),
        tokens: acaciabay::util::number::round_up(prefill_ms * 50.0),
        prefill: Duration::from_secs_f64(prefill_ms / 1_000.0),
        target: now + Duration::from_millis(call.target_ms),
        deadline: now + Duration::from_secs(5),
        bytes: 1_000,
        request_hash: hash,
    }
}

/// Sends a load through a queue and returns what became of each prompt.
pub(crate) fn replay(
    order: &mut impl PromptOrder,
    engines: usize,
    load: Vec<(BootTime, QueuedPrompt)>,
) -> BTreeMap<PassNumber, Outcome> {
    let mut engines = ReplayedEngines {
        free_at: vec![BootTime::default(); engines],
        ..ReplayedEngines::default()
    };
    let mut load = load.into_iter().peekable();
    for millis in 0.. {
        let now = at(millis);
        while let Some((_, number)) = engines.ends.first().copied().filter(|(ended_at, _)| *ended_at <= now) {
            engines.ends.pop_first();
            order.end(now, number);
            engines.apply(now, order.advance(now));
        }
        while let Some((asked_at, prompt)) = load.next_if(|(asked_at, _)| *asked_at <= now) {
            let outcome = Outcome {
                priority: prompt.priority,
                prefill: prompt.prefill,
                target: prompt.target,
                asked_at,
                is_timely: false,
                refused: None,
                ended_at: None,
            };
            let (number, changes) = order.ask(now, prompt, engines.has_idle(now));
            engines.outcomes.insert(number, outcome);
            engines.apply(now, changes);
        }
        if millis % ADVANCE_MS == 0 {
            engines.apply(now, order.advance(now));
        }
        while let Some(number) = order.first_waiting().filter(|_| engines.has_idle(now)) {
            order.go_idle(now, number);
            engines.send(now, number);
        }
        if load.peek().is_none() && engines.ends.is_empty() && order.first_waiting().is_none() {
            break;
        }
    }
    engines.outcomes
}

/// Engines that prefill one prompt after the other, each at the time that was expected.
#[derive(Debug, Default)]
struct ReplayedEngines {
    free_at: Vec<BootTime>,
    ends: BTreeSet<(BootTime, PassNumber)>,
    outcomes: BTreeMap<PassNumber, Outcome>,
}

impl ReplayedEngines {
    fn has_idle(&self, now: BootTime) -> bool {
        self.free_at.iter().any(|free| *free <= now)
    }

    fn apply(&mut self, now: BootTime, changes: RoomChanges) {
        for number in changes.going {
            self.send(now, number);
        }
        for (number, refusal) in changes.refused {
            let outcome = self.outcomes.get_mut(&number).expect("the prompt has asked");
            outcome.refused = Some((now, refusal.retry_after));
        }
    }

    /// Sends a prompt to the engine that is free first.
    fn send(&mut self, now: BootTime, number: PassNumber) {
        let outcome = self.outcomes.get_mut(&number).expect("the prompt has asked");
        let engine = self.free_at.iter_mut().min().expect("there are engines");
        *engine = now.max(*engine) + outcome.prefill;
        outcome.is_timely = *engine <= outcome.target;
        outcome.ended_at = Some(*engine);
        self.ends.insert((*engine, number));
    }
}
