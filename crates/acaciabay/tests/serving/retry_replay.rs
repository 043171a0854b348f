//! Retries of a service by many entries, one leader after another, compared with what the users' rule allows.

use std::collections::VecDeque;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{HostName, ServiceName};
use acaciabay::core::serving::retry_ledger::{RetryDemand, RetryLedger};
use acaciabay::core::serving::retry_limiter::RetryLimiter;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::fixed_cases;
use crate::retry_rule::{LIMIT, RetryRecord};

const TICK: Duration = Duration::from_millis(10);
const RENEWAL_TICKS: u64 = 25;
/// Ticks from a report to the leader until its answer.
const LEADER_TICKS: u64 = 2;
const END: f64 = 30.0;

/// What happens to entries and to the leader, at these seconds.
#[derive(Clone, Debug, Default)]
struct Trouble {
    /// All entries end and begin again, knowing nothing.
    restarts: Vec<f64>,
    /// A part of the entries does, one after the other.
    rolling: Vec<f64>,
    /// The leader ends; the next one leads a moment later.
    elections: Vec<f64>,
    /// From when until when every other entry reaches no leader.
    cut: Option<(f64, f64)>,
    /// From when on all calls fail.
    failing: f64,
    /// Until when there are twice as many entries as later.
    leaving: Option<f64>,
}

#[derive(Debug)]
struct Entry {
    name: HostName,
    limiter: RetryLimiter,
    phase: u64,
    /// What was asked of the leader: when the answer comes, when it was asked, and for how many.
    asked: Option<(u64, BootTime, u64)>,
    /// Retries that wait for a grant, until this tick.
    waiting: VecDeque<u64>,
}

impl Entry {
    fn new(number: usize, phase: u64) -> Self {
        Self {
            name: HostName::new(format!("edge-{number}")),
            limiter: RetryLimiter::default(),
            phase,
            asked: None,
            waiting: VecDeque::new(),
        }
    }

    /// Tries to retry a call, and returns true if it does at once.
    fn retry(&mut self, now: BootTime, tick: u64) -> bool {
        if self.limiter.try_acquire(now, &LIMIT).is_some() {
            return true;
        }
        self.limiter.record_want();
        if !self.limiter.is_exhausted(now) {
            self.waiting.push_back(tick + 10);
        }
        false
    }

    /// Retries the calls that wait, as far as there are grants, and returns how many.
    fn retry_waiting(&mut self, now: BootTime, tick: u64) -> usize {
        self.waiting.retain(|until| *until > tick);
        let mut retried = 0;
        while !self.waiting.is_empty() && self.limiter.try_acquire(now, &LIMIT).is_some() {
            self.waiting.pop_front();
            retried += 1;
        }
        retried
    }
}

fn is_at(times: &[f64], now: BootTime) -> bool {
    times.iter().any(|at| {
        let at = BootTime::from_boot(Duration::from_secs_f64(*at));
        at <= now && now < at + TICK
    })
}

/// Replays calls to a service, `calls` a second at each of the entries.
fn replay(entries: usize, calls: f64, trouble: &Trouble, seed: u64) -> RetryRecord {
    let mut random = StdRng::seed_from_u64(seed);
    let service = ServiceName::new("llm");
    let mut term = 1;
    let mut ledger = RetryLedger::new(BootTime::default(), term);
    let mut fleet: Vec<Entry> = (0..entries)
        .map(|number| Entry::new(number, random.random_range(0..RENEWAL_TICKS)))
        .collect();
    let mut record = RetryRecord::default();
    let ticks = (END / TICK.as_secs_f64()).round();
    for tick in 0_u32.. {
        let now = BootTime::from_boot(TICK * tick);
        let seconds = now.since_boot().as_secs_f64();
        let tick = u64::from(tick);
        if tick as f64 >= ticks {
            break;
        }
        if is_at(&trouble.elections, now) {
            term += 1;
            ledger = RetryLedger::new(now, term);
        }
        if trouble.leaving.is_some_and(|at| seconds >= at) {
            fleet.truncate(entries.div_ceil(2));
        }
        let restarts = is_at(&trouble.restarts, now);
        for (number, entry) in fleet.iter_mut().enumerate() {
            let offset = Duration::from_millis(20 * number as u64).as_secs_f64();
            let rolls = trouble.rolling.iter().map(|at| at + offset).collect::<Vec<_>>();
            if restarts || is_at(&rolls, now) {
                *entry = Entry::new(number, entry.phase);
            }
            let is_cut = trouble
                .cut
                .is_some_and(|(from, until)| seconds >= from && seconds < until)
                && number % 2 == 0;
            if let Some((_, asked_at, wanted)) = entry.asked.take_if(|(due, _, _)| *due <= tick)
                && !is_cut
            {
                let demand = RetryDemand { wanted, limit: LIMIT };
                let granted = ledger.grant(now, &entry.name, &service, &demand);
                entry.limiter.record_granted(now, asked_at, wanted, granted);
            }
            let retried = entry.retry_waiting(now, tick);
            record.retries.extend(std::iter::repeat_n(now, retried));
            let is_due = tick % RENEWAL_TICKS == entry.phase || !entry.limiter.is_exhausted(now);
            if entry.limiter.wanted() > 0 && is_due && entry.asked.is_none() {
                let wanted = entry.limiter.take_wanted();
                entry.asked = Some((tick + LEADER_TICKS, now, wanted));
            }
            if random.random_bool((calls * TICK.as_secs_f64()).min(1.0)) {
                record.calls.push(now);
                entry.limiter.record_call(now, &LIMIT);
                if seconds >= trouble.failing && entry.retry(now, tick) {
                    record.retries.push(now);
                }
            }
        }
    }
    record
}

const ENTRY_COUNTS: [usize; 3] = [6, 80, 350];
/// Calls a second at one entry, as at the stated target of 3,600 at 350 entries, and with hardly any traffic.
const CALLS_PER_ENTRY: f64 = 10.0;
const FEW_CALLS_PER_ENTRY: f64 = 0.5;
const SEEDS: std::ops::Range<u64> = 0..2;
/// Part of the allowed retries that has to be usable on a calm fleet.
const USED_PART: f64 = 0.7;

fn check_rule(trouble: &Trouble) {
    for entries in ENTRY_COUNTS {
        for calls in [CALLS_PER_ENTRY, FEW_CALLS_PER_ENTRY] {
            for seed in SEEDS {
                let worst = replay(entries, calls, trouble, seed).worst_window();
                assert!(
                    worst.is_kept(),
                    "{entries} entries, {calls} calls, seed {seed}: {worst:?}"
                );
            }
        }
    }
}

/// A limit that is kept by refusing what it allows would cost callers their answers.
#[test]
fn a_calm_fleet_keeps_the_limit_and_uses_it() {
    for failing in [0.0, 15.0] {
        let trouble = Trouble {
            failing,
            ..Trouble::default()
        };
        for entries in ENTRY_COUNTS {
            let worst = replay(entries, CALLS_PER_ENTRY, &trouble, 1).worst_window();
            println!(
                "{entries} entries, failing from {failing}: {worst:?}, used {:.2}",
                worst.used()
            );
            assert!(
                worst.is_kept() && worst.used() >= USED_PART,
                "{entries} entries: {worst:?}"
            );
        }
    }
}

/// Each life of an entry would have a share of the slack.
#[test]
fn the_limit_holds_while_all_entries_restart_in_series() {
    let trouble = Trouble {
        restarts: (2..20).map(f64::from).collect(),
        ..Trouble::default()
    };
    check_rule(&trouble);
}

/// The entries would end and begin one after the other, as in a rolling update.
#[test]
fn the_limit_holds_while_entries_restart_one_after_the_other() {
    let trouble = Trouble {
        rolling: vec![2.0, 5.0, 9.0],
        ..Trouble::default()
    };
    check_rule(&trouble);
}

/// Each leader would have the whole slack to grant.
#[test]
fn the_limit_holds_while_leaders_change_in_series() {
    let trouble = Trouble {
        elections: (1..28).map(f64::from).collect(),
        ..Trouble::default()
    };
    check_rule(&trouble);
}

/// Both at once, with entries that reach no leader, and others that leave.
#[test]
fn the_limit_holds_in_all_troubles_at_once() {
    let trouble = Trouble {
        restarts: vec![3.0, 5.5, 8.0, 10.5],
        rolling: vec![13.0],
        elections: vec![4.0, 6.0, 8.1, 15.0],
        cut: Some((4.5, 9.5)),
        failing: 0.5,
        leaving: Some(12.0),
    };
    check_rule(&trouble);
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// No schedule of restarts, elections and cuts breaks the limit.
    #[test]
    fn the_limit_holds_under_any_schedule(
        (entries, calls) in (1_usize..40, 0.5_f64..40.0),
        restarts in prop::collection::vec(0.0_f64..END, 0..12),
        rolling in prop::collection::vec(0.0_f64..END, 0..4),
        elections in prop::collection::vec(0.0_f64..END, 0..12),
        cut in prop::option::of((0.0_f64..END, 0.0_f64..END)),
        failing in 0.0_f64..20.0,
        leaving in prop::option::of(0.0_f64..END),
        seed in any::<u64>(),
    ) {
        let trouble = Trouble { restarts, rolling, elections, cut, failing, leaving };

        let worst = replay(entries, calls, &trouble, seed).worst_window();

        prop_assert!(worst.is_kept(), "{worst:?}");
    }
}
