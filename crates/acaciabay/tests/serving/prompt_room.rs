//! Admission of prompts at one entry: order, bounds, refusals, and the loads that the queue is for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::load_slice::LoadSlice;
use acaciabay::core::serving::prompt_room::{
    PassNumber, PromptRoom, QueuedPrompt, RoomBounds, RoomChanges, RoomReason, RoomRefusal, prefill_credit,
};
use proptest::prelude::*;

use crate::fixtures::{at, fixed_cases};
use crate::prompt_room_replay::{BOUNDS, CallType, Outcome, PromptOrder, draw_load, prompt, replay};

const URGENT_LONG: [CallType; 3] = [call(0, 800, 75.0), call(1, 1_500, 58.0), call(2, 3_000, 28.0)];
const URGENT_SHORT: [CallType; 3] = [call(0, 300, 28.0), call(1, 500, 58.0), call(2, 600, 75.0)];
const ENGINES: usize = 4;
/// Prompts of the most urgent lane between two turns of others.
const MAX_IN_ROW: usize = 8;

const fn call(priority: u8, target_ms: u64, prefill_ms: f64) -> CallType {
    CallType {
        priority,
        target_ms,
        prefill_ms,
        rate: 0.0,
    }
}

fn room(engines: f64) -> PromptRoom {
    let mut room = PromptRoom::default();
    let whole = LoadSlice {
        start_ppm: 0,
        end_ppm: 1_000_000,
    };
    room.set_credit(Some(prefill_credit(whole, engines)));
    room
}

/// Call types that together need `load` times what the engines can do, in equal parts of prefill time.
fn loaded(types: [CallType; 3], load: f64) -> [CallType; 3] {
    types.map(|call| CallType {
        rate: load * ENGINES as f64 * 1_000.0 / call.prefill_ms / 3.0,
        ..call
    })
}

/// Earliest target first, without urgency, prompts that miss theirs last: the order that was weighed against the one in
/// use.
#[derive(Debug, Default)]
struct EarliestTarget {
    waiting: BTreeMap<(bool, BootTime, PassNumber), QueuedPrompt>,
    running: BTreeMap<PassNumber, Duration>,
    last: u64,
}

impl PromptOrder for EarliestTarget {
    fn ask(&mut self, now: BootTime, prompt: QueuedPrompt, is_idle: bool) -> (PassNumber, RoomChanges) {
        self.last += 1;
        let number = PassNumber(self.last);
        self.waiting.insert((false, prompt.target, number), prompt);
        if !is_idle {
            return (number, self.advance(now));
        }
        self.go_idle(now, number);
        let going = vec![number];
        let refused = Vec::new();
        (number, RoomChanges { going, refused })
    }

    fn end(&mut self, _now: BootTime, number: PassNumber) {
        self.running.remove(&number);
    }

    fn advance(&mut self, now: BootTime) -> RoomChanges {
        let mut changes = RoomChanges::default();
        let refusal = RoomRefusal {
            reason: RoomReason::TooLate,
            retry_after: Duration::from_secs(1),
        };
        for ((_, target, number), prompt) in std::mem::take(&mut self.waiting) {
            if now + prompt.prefill > prompt.deadline {
                changes.refused.push((number, refusal));
            } else {
                let queued = self.running.values().sum::<Duration>() / 4;
                let is_late = now + queued + prompt.prefill > target;
                self.waiting.insert((is_late, target, number), prompt);
            }
        }
        while self.running.values().sum::<Duration>() < Duration::from_millis(150) * 4 {
            let Some(((_, _, number), prompt)) = self.waiting.pop_first() else {
                break;
            };
            self.running.insert(number, prompt.prefill);
            changes.going.push(number);
        }
        changes
    }

    fn first_waiting(&self) -> Option<PassNumber> {
        self.waiting.keys().next().map(|(_, _, number)| *number)
    }

    fn go_idle(&mut self, _now: BootTime, number: PassNumber) {
        let key = self.waiting.keys().find(|(_, _, other)| *other == number);
        let prompt = key.copied().and_then(|key| self.waiting.remove(&key));
        self.running.insert(number, prompt.expect("it waits").prefill);
    }
}

fn of_priority(outcomes: &BTreeMap<PassNumber, Outcome>, priority: u8) -> Vec<Outcome> {
    let of_priority = outcomes.values().filter(|outcome| outcome.priority == priority);
    of_priority.copied().collect()
}

fn share(outcomes: &[Outcome], is_counted: impl Fn(&Outcome) -> bool) -> f64 {
    let counted = outcomes.iter().filter(|outcome| is_counted(outcome)).count();
    counted as f64 / outcomes.len().max(1) as f64
}

fn by_urgency(outcomes: &BTreeMap<PassNumber, Outcome>) -> [f64; 3] {
    [0, 1, 2].map(|priority| share(&of_priority(outcomes, priority), is_timely))
}

const fn is_timely(outcome: &Outcome) -> bool {
    outcome.is_timely
}

/// Returns the prompts of an urgency that are as large as its largest tenth, and those as large as the fifth below it.
fn largest(outcomes: &BTreeMap<PassNumber, Outcome>, priority: u8) -> [Vec<Outcome>; 2] {
    let mut prompts = of_priority(outcomes, priority);
    prompts.sort_by_key(|outcome| outcome.prefill);
    let tenth = prompts.split_off(prompts.len() * 9 / 10);
    let fifth = prompts.split_off(prompts.len() * 7 / 9);
    [tenth, fifth]
}

/// A shortage with three urgencies. Engines would prefill in order of arrival, and urgent prompts would wait behind the
/// others; by targets alone, most of them would be late; and strictly by urgency, the least urgent would never be served.
#[test]
fn urgent_prompts_are_in_time_in_a_shortage_and_none_is_starved() {
    for (name, types) in [("urgent long", URGENT_LONG), ("urgent short", URGENT_SHORT)] {
        for load in [1.2, 1.6, 2.4] {
            let prompts = draw_load(&loaded(types, load), 75, 30, 1);

            let served = replay(&mut room(ENGINES as f64), ENGINES, prompts.clone());
            let earliest = replay(&mut EarliestTarget::default(), ENGINES, prompts);

            let (shares, other) = (by_urgency(&served), by_urgency(&earliest));
            let large = [&served, &earliest].map(|outcomes| largest(outcomes, 0).map(|large| share(&large, is_timely)));
            println!("{name}, load {load}: by urgency {shares:.2?}, by target {other:.2?}, large urgent {large:.2?}");
            assert!(
                shares[0] >= shares[1].max(shares[2]) - 0.05,
                "{name} {load}: {shares:?}"
            );
            assert!(shares[0] >= other[0], "{name} {load}: {shares:?} {other:?}");
            for priority in 0..3 {
                let large = largest(&served, priority).map(|large| share(&large, |outcome| outcome.ended_at.is_some()));
                assert!(
                    large.iter().all(|share| *share > 0.0),
                    "{name} {load}: {priority} {large:?}"
                );
            }
        }
    }
}

/// All calls that were held for the first lease arrive at one moment. Sent at once, they would stand in the engines'
/// queues in any order.
#[test]
fn held_calls_go_by_urgency_and_no_more_than_engines_can_do() {
    let mut room = room(4.0);
    let mut going = Vec::new();
    for number in 0..300 {
        let call = URGENT_LONG[usize::try_from(number % 3).unwrap_or(0)];
        let is_idle = number < 4;
        let (_, changes) = room.ask(
            at(0),
            prompt(at(0), call, call.prefill_ms, number, number),
            is_idle,
            BOUNDS,
        );
        going.extend(changes.going);
    }

    assert!(room.outstanding() < Duration::from_millis(150 * 4 + 75));
    room.set_credit(Some(Duration::from_secs(2)));
    let next = room.advance(at(1)).going;
    let urgent = next.iter().filter(|number| number.0 % 3 == 1).count();
    assert!(
        urgent * (MAX_IN_ROW + 1) >= next.len() * MAX_IN_ROW,
        "{urgent} of {}",
        next.len()
    );
}

/// One customer sends ten times what the engines can do. The others' calls would wait behind it.
#[test]
fn flood_of_one_customer_does_not_delay_the_others() {
    let usual = CallType {
        rate: 15.0,
        ..URGENT_LONG[0]
    };
    let flood = CallType { rate: 500.0, ..usual };
    let mut load = draw_load(&[usual], 20, 20, 2);
    let flood = draw_load(&[flood], 1, 20, 3);
    load.extend(flood.into_iter().map(|(at, prompt)| {
        let customer = "flood".into();
        (at, QueuedPrompt { customer, ..prompt })
    }));
    load.sort_by_key(|(at, _)| *at);
    let numbered = (1..).map(PassNumber).zip(&load);
    let others = numbered.filter(|(_, (_, prompt))| prompt.customer != "flood".into());
    let others: Vec<_> = others.map(|(number, _)| number).collect();

    let outcomes = replay(&mut room(ENGINES as f64), ENGINES, load);

    let timely = others.iter().filter(|number| outcomes[number].is_timely).count();
    assert!(
        timely as f64 >= 0.95 * others.len() as f64,
        "{timely} of {}",
        others.len()
    );
}

/// The queue cannot drain in time. Calls would be held until their deadlines and refused then, and all callers would
/// return together.
#[test]
fn hopeless_calls_are_refused_soon_and_return_spread() {
    let load = draw_load(&loaded(URGENT_LONG, 4.0), 75, 30, 4);

    let outcomes = replay(&mut room(ENGINES as f64), ENGINES, load);

    let refused = outcomes
        .values()
        .filter_map(|outcome| Some((outcome.asked_at, outcome.refused?)));
    let refused: Vec<_> = refused.collect();
    let held: Vec<_> = refused.iter().map(|(asked, (at, _))| at.since(*asked)).collect();
    let at_once = held.iter().filter(|time| time.as_millis() <= 20).count();
    let mut returns: BTreeMap<u128, usize> = BTreeMap::new();
    for (_, (at, after)) in &refused {
        let tenth = (*at + *after).since_boot().as_millis() / 100;
        *returns.entry(tenth).or_default() += 1;
    }
    let (longest, most) = (held.iter().max(), returns.values().max().copied().unwrap_or_default());
    println!(
        "{at_once} of {} at once, the others after {longest:?}; {most} return in 100 ms",
        held.len()
    );
    assert!(at_once as f64 >= 0.8 * held.len() as f64);
    assert!(longest < Some(&Duration::from_millis(3_500)));
    assert!(most * returns.len() <= 3 * refused.len());
}

/// More calls or bytes wait than the memory of the host allows, or an urgent call is refused for others that are not.
#[test]
fn at_the_limit_the_last_of_the_least_urgent_is_refused() {
    let bounds = RoomBounds { calls: 3, bytes: 5_000 };
    let mut room = room(0.5);
    let mut ask = |priority, bytes| {
        let call = call(priority, 1_000, 50.0);
        let asked = QueuedPrompt {
            bytes,
            ..prompt(at(0), call, 50.0, u64::from(priority), 0)
        };
        let (number, changes) = room.ask(at(0), asked, false, bounds);
        let refused: Vec<_> = changes
            .refused
            .iter()
            .map(|(number, refusal)| (number.0, refusal.reason))
            .collect();
        (number.0, refused)
    };

    let first: Vec<_> = [0, 0, 1, 2, 2].map(|priority| ask(priority, 1_000)).into();
    let least = ask(2, 1_000);
    let urgent = ask(0, 1_000);
    let large = ask(0, 2_500);
    let too_large = ask(0, 6_000);

    assert!(first.iter().all(|(_, refused)| refused.is_empty()), "{first:?}");
    assert_eq!(least.1, [(least.0, RoomReason::Full)]);
    assert_eq!(urgent.1, [(5, RoomReason::Full)]);
    assert_eq!(large.1, [(4, RoomReason::Full)]);
    assert_eq!(too_large.1, [(too_large.0, RoomReason::Full)]);
}

/// Where no slice is known, and for a retry of a call that has waited, nothing may wait.
#[test]
fn nothing_waits_without_a_slice_or_twice() {
    let asked = prompt(at(0), URGENT_LONG[0], 500.0, 1, 1);
    let mut room = room(1.0);
    let sent = room.ask(at(0), asked.clone(), false, BOUNDS);
    let waits = room.ask(at(0), asked.clone(), false, BOUNDS);

    let retry = room.go_first(at(1), &asked);
    room.set_credit(None);

    assert_eq!((sent.1.going, waits.1.going), (vec![sent.0], vec![]));
    assert_eq!(room.running(), 2);
    assert_eq!(room.advance(at(2)).going, [waits.0]);
    for number in [sent.0, waits.0, retry] {
        room.end(at(3), number);
    }
    assert_eq!((room.running(), room.outstanding()), (0, Duration::ZERO));
}

#[derive(Clone, Debug)]
enum Step {
    Ask {
        priority: u8,
        prefill_ms: u64,
        customer: u64,
        is_idle: bool,
    },
    Retry,
    End(prop::sample::Index),
    Idle(prop::sample::Index),
    Advance,
    Credit(Option<u64>),
}

fn steps() -> impl Strategy<Value = Step> {
    let ask = (0..3_u8, 1..900_u64, 0..4_u64, prop::bool::weighted(0.1));
    prop_oneof![
        6 => ask.prop_map(|(priority, prefill_ms, customer, is_idle)| Step::Ask { priority, prefill_ms, customer, is_idle }),
        1 => Just(Step::Retry),
        4 => any::<prop::sample::Index>().prop_map(Step::End),
        1 => any::<prop::sample::Index>().prop_map(Step::Idle),
        2 => Just(Step::Advance),
        1 => prop::option::weighted(0.9, 0..900_u64).prop_map(Step::Credit),
    ]
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// A pass that is never given back lowers the credit for good; a call that is in no list waits without an answer.
    #[test]
    fn every_pass_ends_and_every_call_is_answered(steps in prop::collection::vec((steps(), 0..120_u64), 1..80)) {
        let bounds = RoomBounds { calls: 12, bytes: 9_000 };
        let mut room = room(1.0);
        let (mut waiting, mut running) = (BTreeSet::new(), BTreeSet::new());
        let mut millis = 0;
        for (step, pause) in steps {
            millis += pause;
            let now = at(millis);
            let changes = match step {
                Step::Ask { priority, prefill_ms, customer, is_idle } => {
                    let asked = prompt(now, call(priority, 500, 0.0), prefill_ms as f64, customer, millis);
                    let (number, changes) = room.ask(now, asked, is_idle, bounds);
                    waiting.insert(number);
                    changes
                }
                Step::Retry => {
                    running.insert(room.go_first(now, &prompt(now, URGENT_LONG[0], 75.0, 0, 0)));
                    RoomChanges::default()
                }
                Step::End(index) => {
                    let all: Vec<_> = waiting.union(&running).copied().collect();
                    if !all.is_empty() {
                        let number = *index.get(&all);
                        room.end(now, number);
                        waiting.remove(&number);
                        running.remove(&number);
                    }
                    room.advance(now)
                }
                Step::Idle(index) => {
                    let all = room.waiting_prompts();
                    let number = (!all.is_empty()).then(|| *index.get(&all));
                    let going = number.filter(|number| room.go_idle(now, *number));
                    RoomChanges { going: going.into_iter().collect(), refused: Vec::new() }
                }
                Step::Advance => room.advance(now),
                Step::Credit(millis) => {
                    room.set_credit(millis.map(Duration::from_millis));
                    room.advance(now)
                }
            };
            for number in changes.going {
                prop_assert!(waiting.remove(&number) && running.insert(number));
            }
            for (number, _) in changes.refused {
                prop_assert!(waiting.remove(&number));
            }
            prop_assert_eq!((room.waiting(), room.running()), (waiting.len(), running.len()));
            prop_assert!(room.waiting() <= bounds.calls && room.waiting_bytes() == 1_000 * room.waiting());
            prop_assert_eq!(room.outstanding().is_zero(), running.is_empty());
        }
        while let Some(number) = running.pop_first() {
            millis += 60;
            room.end(at(millis), number);
            let changes = room.advance(at(millis));
            running.extend(&changes.going);
            for number in changes.going.iter().chain(changes.refused.iter().map(|(number, _)| number)) {
                prop_assert!(waiting.remove(number));
            }
        }
        prop_assert!(waiting.is_empty() && room.outstanding().is_zero());
    }
}
