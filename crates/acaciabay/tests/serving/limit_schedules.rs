//! Limits that an endpoint names, changes and ends while leaders change and entries and the endpoint restart, in drawn
//! schedules: what all entries together send, compared with what the users' rule lets arrive.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_limit::{LimitAnswer, LimitNotice, LimitReport, LimitRow, LimitVersion};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::limit_gate::{LimitGate, LimitObservation, LimitedEndpoint};
use acaciabay::core::serving::limit_ledger::LimitLedger;
use acaciabay::core::serving::start_counts::EntryStart;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::fixed_cases;
use crate::limit_rule::{INCARNATION, RULE_WINDOW, at, endpoint_name, limit_of, permitted};

const TICK: Duration = Duration::from_millis(10);
const RENEWAL_TICKS: u64 = 25;
/// Ticks that an answer of the endpoint, or of the leader, takes at most.
const LONGEST_ANSWER_TICKS: u64 = 40;
const LONGEST_LEADER_TICKS: u64 = 8;
/// Time after a change of the limit from which the rule has to be kept: the users' rule has 3 s from the first naming.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time for which the users' rule excuses an entry that has started again. It may get its lease from a leader that is as new
/// and that no other entry has told of the limit.
const EXCUSED_TIME: Duration = Duration::from_secs(3);
const END: f64 = 40.0;
/// Calls a second at each entry.
const CALLS: f64 = 20.0;

/// What happens, at these seconds.
#[derive(Clone, Debug)]
struct Schedule {
    entries: usize,
    /// The limit from each time on.
    limits: Vec<(f64, Option<f64>)>,
    elections: Vec<f64>,
    /// Every other entry starts again.
    entry_restarts: Vec<f64>,
    /// The endpoint starts again, with the same limit.
    endpoint_restarts: Vec<f64>,
    /// Fraction of the leader's messages that is lost.
    loss: f64,
}

impl Schedule {
    fn limit(&self, now: BootTime) -> Option<f64> {
        let mut newest_first = self.limits.iter().rev();
        newest_first
            .find(|(from, _)| at(*from) <= now)
            .and_then(|(_, limit)| *limit)
    }

    fn incarnation(&self, now: BootTime) -> EndpointIncarnation {
        let starts = self.endpoint_restarts.iter().filter(|time| at(**time) <= now).count();
        EndpointIncarnation(INCARNATION.0 + starts as u64)
    }

    /// Returns the limit over the window that begins here, if it has been the same for [`SETTLING_TIME`] before.
    fn settled_limit(&self, begin: BootTime) -> Option<f64> {
        let changes = self.limits.iter().map(|(time, _)| at(*time));
        let is_changing = |change: BootTime| change + SETTLING_TIME > begin && change < begin + RULE_WINDOW;
        let is_settled = !changes.into_iter().any(is_changing);
        is_settled.then(|| self.limit(begin)).flatten()
    }
}

/// An answer of the endpoint on its way.
#[derive(Clone, Copy, Debug)]
struct DueAnswer {
    due: u64,
    incarnation: EndpointIncarnation,
    known: LimitVersion,
    notice: LimitNotice,
}

#[derive(Debug)]
struct Entry {
    start: EntryStart,
    restarted_at: Option<BootTime>,
    gate: LimitGate,
    phase: u64,
    answers: Vec<DueAnswer>,
    renewal: Option<(u64, BootTime, LimitReport)>,
    renewal_due: bool,
    has_lease: bool,
}

impl Entry {
    fn new(start: u64, phase: u64) -> Self {
        Self {
            start: EntryStart(start),
            restarted_at: None,
            gate: LimitGate::default(),
            phase,
            answers: Vec::new(),
            renewal: None,
            renewal_due: false,
            has_lease: false,
        }
    }

    fn receive_answers(&mut self, tick: u64, name: &EndpointName) {
        let (due, later): (Vec<_>, Vec<_>) = self.answers.iter().partition(|answer| answer.due <= tick);
        self.answers = later;
        for answer in due {
            let endpoint = LimitedEndpoint {
                name,
                incarnation: answer.incarnation,
            };
            let observation = LimitObservation {
                known: answer.known,
                notice: answer.notice,
                is_success: true,
            };
            self.renewal_due |= self.gate.observe(endpoint, &observation);
        }
    }
}

fn happens(times: &[f64], now: BootTime) -> bool {
    times.iter().any(|time| at(*time) <= now && now < at(*time) + TICK)
}

/// Returns when requests arrived of entries that are not excused.
fn replay(schedule: &Schedule, seed: u64) -> Vec<BootTime> {
    let mut random = StdRng::seed_from_u64(seed);
    let name = endpoint_name();
    let mut term = 1;
    let mut ledger = LimitLedger::new(term);
    let mut entries: Vec<Entry> = (0..schedule.entries)
        .map(|index| Entry::new(index as u64, random.random_range(0..RENEWAL_TICKS)))
        .collect();
    let mut arrivals = Vec::new();
    let mut told: Vec<(u64, u64, Vec<LimitRow>)> = Vec::new();
    let ticks = (END / TICK.as_secs_f64()).round();
    for tick in 0_u32.. {
        let now = BootTime::from_boot(TICK * tick);
        let tick = u64::from(tick);
        if tick as f64 >= ticks {
            break;
        }
        if happens(&schedule.elections, now) {
            term += 1;
            ledger = LimitLedger::new(term);
        }
        let limit = schedule.limit(now).map(limit_of);
        let notice = limit.map_or(LimitNotice::Unlimited, LimitNotice::Limited);
        let incarnation = schedule.incarnation(now);
        let endpoint = LimitedEndpoint {
            name: &name,
            incarnation,
        };
        let restarts = happens(&schedule.entry_restarts, now);
        let (due, later): (Vec<_>, Vec<_>) = told.into_iter().partition(|(due, _, _)| *due <= tick);
        told = later;
        for (index, entry) in entries.iter_mut().enumerate() {
            if restarts && index % 2 == 0 {
                *entry = Entry::new(entry.start.0 + 10_000, entry.phase);
                entry.restarted_at = Some(now);
            }
            for (_, term, rows) in &due {
                if !random.random_bool(schedule.loss) {
                    entry.gate.apply_states(*term, rows);
                }
            }
            entry.receive_answers(tick, &name);
            if (entry.renewal_due || tick % RENEWAL_TICKS == entry.phase) && entry.renewal.is_none() {
                entry.renewal_due = false;
                let due = tick + random.random_range(1..=LONGEST_LEADER_TICKS);
                entry.renewal = Some((due, now, entry.gate.report(now)));
            }
            if let Some((_, reported_at, report)) = entry.renewal.take_if(|(due, _, _)| *due <= tick) {
                let changes = ledger.record(now, entry.start, &report);
                if !changes.is_empty() {
                    let rows = changes.into_iter().map(|change| LimitRow {
                        endpoint: change.endpoint,
                        state: change.state,
                        granted: 0,
                    });
                    let due = tick + random.random_range(1..=LONGEST_LEADER_TICKS);
                    told.push((due, term, rows.collect()));
                }
                let answer: LimitAnswer = ledger.grant(now, entry.start);
                if !random.random_bool(schedule.loss) {
                    entry.gate.apply_answer(reported_at, &answer);
                    entry.has_lease = true;
                }
                entry.renewal_due |= entry.gate.has_unreported();
            }
            if entry.has_lease && random.random_bool(CALLS * TICK.as_secs_f64()) {
                entry.gate.record_demand(endpoint);
                if let Some(known) = entry.gate.acquire(now, endpoint) {
                    if entry.restarted_at.is_none_or(|at| now.since(at) >= EXCUSED_TIME) {
                        arrivals.push(now);
                    }
                    entry.answers.push(DueAnswer {
                        due: tick + random.random_range(1..=LONGEST_ANSWER_TICKS),
                        incarnation,
                        known,
                        notice,
                    });
                }
            }
        }
    }
    arrivals
}

/// Returns the first window that breaks the rule: when it begins, its requests and what is allowed.
fn broken_window(schedule: &Schedule, arrivals: &[BootTime]) -> Option<(f64, usize, f64)> {
    arrivals.iter().enumerate().find_map(|(first, begin)| {
        let limit = schedule.settled_limit(*begin)?;
        let end = arrivals.partition_point(|arrival| *arrival < *begin + RULE_WINDOW);
        let (requests, allowed) = (end - first, permitted(limit));
        (requests as f64 > allowed).then(|| (begin.since_boot().as_secs_f64(), requests, allowed))
    })
}

/// The leader forgets a limit a while after its end, and with it what became of the permits; those that had expired must not flow
/// back when the limit returns.
#[test]
fn a_limit_that_returns_long_after_its_end_brings_no_permits_back() {
    let schedule = Schedule {
        entries: 1,
        limits: vec![(0.0, Some(60.0)), (11.2, None), (22.8, Some(0.0))],
        elections: Vec::new(),
        entry_restarts: Vec::new(),
        endpoint_restarts: Vec::new(),
        loss: 0.0,
    };

    let arrivals = replay(&schedule, 0);

    assert_eq!(broken_window(&schedule, &arrivals), None);
}

fn drawn_limit() -> impl Strategy<Value = Option<f64>> {
    prop_oneof![
        Just(None),
        Just(Some(0.0)),
        Just(Some(0.3)),
        Just(Some(1.0)),
        Just(Some(7.3)),
        Just(Some(60.0)),
    ]
}

fn drawn_times(most: usize) -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(0.0_f64..END, 0..=most)
}

fn drawn_schedule() -> impl Strategy<Value = Schedule> {
    let limits = prop::collection::vec((0.0_f64..END, drawn_limit()), 1..6);
    (
        1_usize..30,
        limits,
        drawn_times(6),
        drawn_times(4),
        drawn_times(6),
        0.0_f64..0.3,
    )
        .prop_map(
            |(entries, mut limits, elections, entry_restarts, mut endpoint_restarts, loss)| {
                limits.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
                endpoint_restarts.sort_unstable_by(f64::total_cmp);
                Schedule {
                    entries,
                    limits,
                    elections,
                    entry_restarts,
                    endpoint_restarts,
                    loss,
                }
            },
        )
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// No schedule of limits that fall, rise, end and return breaks the rule while leaders change and processes restart.
    #[test]
    fn limits_that_change_hold_under_any_schedule(schedule in drawn_schedule(), seed in any::<u64>()) {
        let arrivals = replay(&schedule, seed);

        let broken = broken_window(&schedule, &arrivals);

        prop_assert!(broken.is_none(), "begin, requests, allowed: {broken:?}");
    }
}
