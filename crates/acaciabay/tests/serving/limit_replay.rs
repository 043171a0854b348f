//! Limits that endpoints name: the requests that all entries together send to one endpoint, compared with what the users'
//! rule lets arrive.

use std::collections::VecDeque;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::endpoint_limit::{LimitNotice, LimitReport, LimitVersion};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::limit_gate::{LimitGate, LimitObservation, LimitedEndpoint};
use acaciabay::core::serving::limit_ledger::LimitLedger;
use acaciabay::core::serving::start_counts::EntryStart;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::limit_rule::{INCARNATION, RULE_WINDOW, at, endpoint_name, limit_of, permitted};

const TICK: Duration = Duration::from_millis(5);
const RENEWAL_TICKS: u64 = 50;
/// Ticks from a request to its answer, at an endpoint, at one that is slow, and at the leader.
const ANSWER_TICKS: u64 = 8;
const SLOW_ANSWER_TICKS: u64 = 60;
const LEADER_TICKS: u64 = 1;
/// Time after the first naming from which the rule has to be kept.
const SETTLING_TIME: Duration = Duration::from_secs(1);
const NAMED_AT: f64 = 2.0;
const END: f64 = 16.0;

/// What happens to the leader and to entries.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Fraction of renewals whose answers are lost.
    loss: f64,
    /// From when until when there is no leader; the next one knows nothing of the earlier.
    leaderless: &'static [(f64, f64)],
    /// When a quarter of the entries restarts.
    restart: Option<f64>,
    /// From when until when a quarter of the entries is frozen.
    freeze: Option<(f64, f64)>,
    /// From when until when a quarter of the entries reaches no leader, but the endpoint.
    cut: Option<(f64, f64)>,
    /// From when until when the endpoint is down, to start again as another incarnation, still in need.
    down: &'static [(f64, f64)],
    /// Whether the endpoint's answers are slow.
    is_slow: bool,
}

impl Trouble {
    fn is_leaderless(&self, now: BootTime) -> bool {
        self.leaderless.iter().any(|span| is_within(Some(*span), now))
    }

    fn is_down(&self, now: BootTime) -> bool {
        self.down.iter().any(|span| is_within(Some(*span), now))
    }

    /// Returns the incarnation of the endpoint.
    fn incarnation(&self, now: BootTime) -> EndpointIncarnation {
        let starts = self.down.iter().filter(|(_, until)| now >= at(*until)).count();
        EndpointIncarnation(INCARNATION.0 + starts as u64)
    }

    const fn answer_ticks(&self) -> u64 {
        if self.is_slow { SLOW_ANSWER_TICKS } else { ANSWER_TICKS }
    }

    fn concerns(index: usize) -> bool {
        index.is_multiple_of(4)
    }
}

fn is_within(span: Option<(f64, f64)>, now: BootTime) -> bool {
    span.is_some_and(|(from, until)| now >= at(from) && now < at(until))
}

/// Requests that entries would send to the endpoint.
#[derive(Clone, Copy, Debug)]
struct Load {
    entries: usize,
    /// Requests a second for which all entries together find the endpoint the best choice.
    offered: f64,
    /// Requests a second of each entry that may go to the endpoint.
    calls: f64,
    limit: f64,
    spending: Spending,
}

/// How entries spend the permits that they are granted.
#[derive(Clone, Copy, Debug, Default)]
enum Spending {
    #[default]
    AtOnce,
    /// They ask for more, but send nothing from half a second after the naming until this time.
    From(f64),
    /// Every other entry has calls only while it holds no permit: it asks, and lets each permit expire.
    ByHalf,
}

impl Spending {
    fn is_allowed(self, index: usize, now: BootTime) -> bool {
        match self {
            Self::AtOnce => true,
            Self::From(seconds) => now < at(NAMED_AT + 0.5) || now >= at(seconds),
            Self::ByHalf => index.is_multiple_of(2),
        }
    }
}

/// Outcome of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Requests in the worst window.
    worst: usize,
    /// Requests between [`SETTLING_TIME`] after the naming and the end, as a part of what the limit allows.
    used: f64,
}

#[derive(Debug)]
struct Entry {
    start: EntryStart,
    gate: LimitGate,
    phase: u64,
    /// Answers of the endpoint under way: when they come, and whether they name the limit.
    answers: VecDeque<(u64, LimitVersion, LimitNotice)>,
    /// The report that the leader is to answer.
    renewal: Option<(u64, BootTime, LimitReport)>,
    renewal_due: bool,
    /// Without a leader's answer, an entry has no lease and takes no calls.
    has_lease: bool,
}

impl Entry {
    fn new(start: u64, phase: u64) -> Self {
        Self {
            start: EntryStart(start),
            gate: LimitGate::default(),
            phase,
            answers: VecDeque::new(),
            renewal: None,
            renewal_due: false,
            has_lease: false,
        }
    }
}

/// Replays requests to one endpoint that names its limit from [`NAMED_AT`] on.
fn replay(load: &Load, trouble: &Trouble, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let name = endpoint_name();
    let mut term = 1;
    let mut ledger = LimitLedger::new(term);
    let mut entries: Vec<Entry> = (0..load.entries)
        .map(|index| Entry::new(index as u64, random.random_range(0..RENEWAL_TICKS)))
        .collect();
    let calls_per_tick = load.calls * TICK.as_secs_f64();
    let natural = load.offered / (load.entries as f64 * load.calls);
    let mut arrivals: Vec<BootTime> = Vec::new();
    let mut was_leaderless = false;
    let ticks = (END / TICK.as_secs_f64()).round();
    for tick in 0.. {
        let now = BootTime::from_boot(TICK.saturating_mul(tick));
        let tick = u64::from(tick);
        if tick as f64 >= ticks {
            break;
        }
        let endpoint = LimitedEndpoint {
            name: &name,
            incarnation: trouble.incarnation(now),
        };
        let is_down = trouble.is_down(now);
        let notice = if now >= at(NAMED_AT) {
            LimitNotice::Limited(limit_of(load.limit))
        } else {
            LimitNotice::Unlimited
        };
        let is_leaderless = trouble.is_leaderless(now);
        if was_leaderless && !is_leaderless {
            term += 1;
            ledger = LimitLedger::new(term);
        }
        was_leaderless = is_leaderless;
        for (index, entry) in entries.iter_mut().enumerate() {
            let is_concerned = Trouble::concerns(index);
            if is_concerned && is_within(trouble.freeze, now) {
                continue;
            }
            if is_concerned && trouble.restart.is_some_and(|restart| now == at(restart)) {
                *entry = Entry::new(entry.start.0 + 10_000, entry.phase);
            }
            if is_down {
                entry.answers.clear();
            }
            while entry.answers.front().is_some_and(|(due, _, _)| *due <= tick) {
                let Some((_, known, notice)) = entry.answers.pop_front() else {
                    break;
                };
                let observation = LimitObservation {
                    known,
                    notice,
                    is_success: true,
                };
                entry.renewal_due |= entry.gate.observe(endpoint, &observation);
            }
            let is_cut = is_leaderless || is_concerned && is_within(trouble.cut, now);
            let is_due = entry.renewal_due || tick % RENEWAL_TICKS == entry.phase;
            if is_due && entry.renewal.is_none() && !is_cut {
                entry.renewal_due = false;
                entry.renewal = Some((tick + LEADER_TICKS, now, entry.gate.report(now)));
            }
            if let Some((_, reported_at, report)) = entry.renewal.take_if(|(due, _, _)| *due <= tick)
                && !is_cut
            {
                ledger.record(now, entry.start, &report);
                let answer = ledger.grant(now, entry.start);
                if !random.random_bool(trouble.loss) {
                    entry.gate.apply_answer(reported_at, &answer);
                    entry.has_lease = true;
                }
                entry.renewal_due |= entry.gate.has_unreported();
            }
            if entry.has_lease && random.random_bool(calls_per_tick.min(1.0)) {
                let is_natural = random.random_bool(natural.min(1.0));
                let is_allowed = load.spending.is_allowed(index, now);
                if is_natural && (is_allowed || !entry.gate.has_permit(now, endpoint)) {
                    entry.gate.record_demand(endpoint);
                }
                let is_chosen = is_natural || entry.gate.has_permit(now, endpoint);
                let is_sent = is_chosen && is_allowed && !is_down;
                if is_sent && let Some(known) = entry.gate.acquire(now, endpoint) {
                    arrivals.push(now);
                    entry.answers.push_back((tick + trouble.answer_ticks(), known, notice));
                }
            }
        }
    }
    outcome(load, &arrivals)
}

fn outcome(load: &Load, arrivals: &[BootTime]) -> Outcome {
    let settled = at(NAMED_AT) + SETTLING_TIME;
    let counted: Vec<BootTime> = arrivals.iter().copied().filter(|arrival| *arrival >= settled).collect();
    let mut worst = 0;
    let mut end = 0;
    for (begin, first) in counted.iter().enumerate() {
        while counted
            .get(end)
            .is_some_and(|arrival| arrival.since(*first) < RULE_WINDOW)
        {
            end += 1;
        }
        worst = worst.max(end - begin);
    }
    let allowed = load.limit * at(END).since(settled).as_secs_f64();
    Outcome {
        worst,
        used: counted.len() as f64 / allowed,
    }
}

const ENTRY_COUNTS: [usize; 3] = [8, 80, 350];
const SEEDS: std::ops::Range<u64> = 0..3;
const LIMITS: [f64; 4] = [0.3, 1.0, 7.3, 100.0];
/// Part of a limit that has to be used where it is 4 requests a second or more, and twice as much is asked for.
const USED_PART: f64 = 0.8;
const LEAST_USED_LIMIT: f64 = 4.0;
/// Requests a second of one entry, as at the stated target of 3,600 by 350 entries.
const CALLS_PER_ENTRY: f64 = 10.0;

/// Replays all sizes and limits under the same trouble, and checks the rule.
fn check_rule(trouble: &Trouble, must_be_used: bool) {
    for entries in ENTRY_COUNTS {
        for limit in LIMITS {
            for seed in SEEDS {
                let load = Load {
                    entries,
                    offered: 2.0 * limit,
                    calls: CALLS_PER_ENTRY.max(2.0 * limit / entries as f64),
                    limit,
                    spending: Spending::AtOnce,
                };
                let outcome = replay(&load, trouble, seed);
                let case = format!("{entries} entries, limit {limit}, seed {seed}: {outcome:?}");
                println!("{case}");
                assert!(outcome.worst as f64 <= permitted(limit), "{case}");
                if must_be_used && limit >= LEAST_USED_LIMIT {
                    assert!(outcome.used >= USED_PART, "{case}");
                }
            }
        }
    }
}

/// Eight, eighty or 350 entries all find the endpoint idle, because it takes little.
#[test]
fn a_limit_holds_and_is_used_over_all_entries() {
    check_rule(&Trouble::default(), true);
}

/// Lost answers carry permits that the leader has granted and the entry never received.
#[test]
fn a_limit_holds_while_answers_are_lost() {
    let trouble = Trouble {
        loss: 0.2,
        ..Trouble::default()
    };
    check_rule(&trouble, false);
}

/// The next leader does not know what its predecessor granted, and grants again.
#[test]
fn a_limit_holds_when_the_leader_changes() {
    const CHANGES: [&[(f64, f64)]; 3] = [&[(NAMED_AT + 0.01, NAMED_AT + 0.5)], &[(5.0, 5.2)], &[(5.0, 8.0)]];
    for leaderless in CHANGES {
        let trouble = Trouble {
            leaderless,
            ..Trouble::default()
        };
        check_rule(&trouble, false);
    }
}

/// Entries restart and know nothing; the others keep to the limit together with them.
#[test]
fn a_limit_holds_when_entries_restart() {
    let trouble = Trouble {
        restart: Some(6.0),
        ..Trouble::default()
    };
    check_rule(&trouble, false);
}

/// Entries wake up with permits that the leader has long granted to others.
#[test]
fn a_limit_holds_when_entries_freeze() {
    for freeze in [(5.0, 5.6), (5.0, 9.0)] {
        let trouble = Trouble {
            freeze: Some(freeze),
            ..Trouble::default()
        };
        check_rule(&trouble, false);
    }
}

/// An endpoint in need that starts again would get the calls of all entries until each has read an answer.
#[test]
fn a_limit_holds_while_its_endpoint_restarts() {
    const RESTARTS: [&[(f64, f64)]; 2] = [&[(6.0, 7.0)], &[(5.0, 5.2), (6.0, 6.2), (7.0, 7.2), (8.0, 8.2)]];
    for down in RESTARTS {
        let trouble = Trouble {
            down,
            is_slow: true,
            ..Trouble::default()
        };
        check_rule(&trouble, false);
    }
}

/// Entries that reach no leader must not go on at a rate of their own.
#[test]
fn a_limit_holds_when_entries_are_cut_off() {
    let trouble = Trouble {
        cut: Some((5.0, 9.0)),
        ..Trouble::default()
    };
    check_rule(&trouble, false);
}

/// Replays entries that all ask more than the limit allows and spend as told, and returns the outcome of each size and
/// limit.
fn replay_spending(trouble: &Trouble, spending: Spending) -> Vec<(Load, Outcome)> {
    const ASKED_BY_EACH: f64 = 2.0;
    let sizes = [8, 80];
    let loads = sizes.into_iter().flat_map(|entries| {
        LIMITS.map(|limit| Load {
            entries,
            offered: (2.0 * limit).max(ASKED_BY_EACH * entries as f64),
            calls: CALLS_PER_ENTRY.max(2.0 * limit / entries as f64),
            limit,
            spending,
        })
    });
    let replays = loads.flat_map(|load| SEEDS.map(move |seed| (load, replay(&load, trouble, seed))));
    replays.collect()
}

fn check_savings(trouble: &Trouble, spend_at: f64) {
    for (load, outcome) in replay_spending(trouble, Spending::From(spend_at)) {
        assert!(outcome.worst as f64 <= permitted(load.limit), "{load:?}: {outcome:?}");
    }
}

/// Entries that hold permits and have no calls spend them all in the same moment.
#[test]
fn a_limit_holds_when_entries_spend_at_last() {
    check_savings(&Trouble::default(), 9.0);
}

/// Each of three leaders has granted permits that may be unspent.
#[test]
fn a_limit_holds_when_entries_spend_what_three_leaders_granted() {
    let in_a_row = Trouble {
        leaderless: &[(8.0, 8.05), (8.3, 8.35)],
        ..Trouble::default()
    };
    check_savings(&in_a_row, 8.4);
    let apart = Trouble {
        leaderless: &[(4.0, 4.05), (6.0, 6.05)],
        ..Trouble::default()
    };
    check_savings(&apart, 8.0);
}

/// Entries that ask and do not send would keep the others from what the limit allows.
#[test]
fn a_limit_is_used_although_half_of_the_entries_let_permits_expire() {
    for (load, outcome) in replay_spending(&Trouble::default(), Spending::ByHalf) {
        assert!(outcome.worst as f64 <= permitted(load.limit), "{load:?}: {outcome:?}");
        if load.limit >= LEAST_USED_LIMIT {
            assert!(outcome.used >= USED_PART, "{load:?}: {outcome:?}");
        }
    }
}
