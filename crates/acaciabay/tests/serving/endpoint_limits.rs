//! Limits that endpoints name: what one entry and its leader tell each other, step by step.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_limit::{
    LimitAnswer, LimitNotice, LimitReport, LimitReportRow, LimitRow, LimitSighting, LimitState, LimitVersion,
    PermitCounts, RateLimit,
};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::limit_gate::{LimitGate, LimitObservation, LimitedEndpoint, PERMIT_LIFETIME};
use acaciabay::core::serving::limit_ledger::LimitLedger;
use acaciabay::core::serving::start_counts::EntryStart;

use crate::limit_rule::{INCARNATION, RULE_SLACK, RULE_WINDOW, at, endpoint_name, limit_of, permitted};

/// The start of the endpoint after the first one.
const REBORN: EndpointIncarnation = EndpointIncarnation(INCARNATION.0 + 1);
/// Time between two steps that follow each other closely.
const TICK: Duration = Duration::from_millis(5);

/// One entry with its leader, step by step.
#[derive(Debug)]
struct Pair {
    name: EndpointName,
    incarnation: EndpointIncarnation,
    gate: LimitGate,
    ledger: LimitLedger,
}

impl Pair {
    fn new() -> Self {
        Self {
            name: endpoint_name(),
            incarnation: INCARNATION,
            gate: LimitGate::default(),
            ledger: LimitLedger::new(1),
        }
    }

    fn endpoint(&self) -> LimitedEndpoint<'_> {
        LimitedEndpoint {
            name: &self.name,
            incarnation: self.incarnation,
        }
    }

    /// Records a successful answer to a request that was sent in knowledge of a state.
    fn answer(&mut self, known: LimitVersion, limit: Option<f64>) {
        let observation = LimitObservation {
            known,
            notice: limit.map_or(LimitNotice::Unlimited, |rate| LimitNotice::Limited(limit_of(rate))),
            is_success: true,
        };
        let name = self.name.clone();
        let endpoint = LimitedEndpoint {
            name: &name,
            incarnation: self.incarnation,
        };
        self.gate.observe(endpoint, &observation);
    }

    fn renew(&mut self, now: BootTime) -> LimitAnswer {
        let report = self.gate.report(now);
        self.ledger.record(now, EntryStart(1), &report);
        let answer = self.ledger.grant(now, EntryStart(1));
        self.gate.apply_answer(now, &answer);
        answer
    }

    fn limit(&self) -> Option<f64> {
        self.gate.limit(self.endpoint()).map(RateLimit::rate)
    }

    /// Asks for a request, and returns the version under which it was sent.
    fn send(&mut self, now: BootTime) -> Option<LimitVersion> {
        let name = self.name.clone();
        let endpoint = LimitedEndpoint {
            name: &name,
            incarnation: self.incarnation,
        };
        self.gate.record_demand(endpoint);
        self.gate.acquire(now, endpoint)
    }

    /// Renews until a request may be sent, and returns its version and time.
    fn send_soon(&mut self, from: BootTime) -> (LimitVersion, BootTime) {
        (0..400)
            .find_map(|step| {
                let now = from + Duration::from_millis(50) * step;
                self.renew(now);
                Some((self.send(now)?, now))
            })
            .expect("a permit is granted")
    }
}

/// An entry that has read a limit must not wait for the leader.
#[test]
fn an_entry_stops_as_soon_as_it_reads_a_limit() {
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");

    pair.answer(known, Some(3.0));

    assert_eq!(pair.limit(), Some(3.0));
    assert_eq!(pair.send(at(1.1)), None);
    assert!(pair.gate.has_unreported());
}

/// An answer without the header that left the endpoint before it named the limit would end the limit.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut pair = Pair::new();
    let early = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(early, Some(3.0));
    pair.renew(at(1.1));

    pair.answer(early, None);
    pair.renew(at(1.2));
    let after_early = pair.limit();
    let (late, sent_at) = pair.send_soon(at(1.3));
    pair.answer(late, None);
    pair.renew(sent_at + TICK);

    assert_eq!(after_early, Some(3.0));
    assert_eq!(pair.limit(), None);
    assert!(pair.send(sent_at + TICK).is_some());
}

/// A lower limit binds at once, whatever was granted under the higher one; a higher one only if it is news.
#[test]
fn a_lower_limit_binds_at_once_and_a_higher_one_if_it_is_later() {
    let mut pair = Pair::new();
    let early = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(early, Some(50.0));
    let (_, now) = pair.send_soon(at(1.1));
    for _ in 0..20 {
        pair.send(now);
    }
    pair.renew(now + TICK);
    pair.renew(now + Duration::from_millis(300));

    pair.answer(early, Some(1.0));
    let after_lower = pair.send(now + Duration::from_millis(305));
    pair.renew(now + Duration::from_millis(310));
    pair.answer(early, Some(50.0));
    pair.renew(now + Duration::from_millis(320));
    let after_stale = pair.limit();
    let (late, sent_at) = pair.send_soon(now + Duration::from_secs(1));
    pair.answer(late, Some(50.0));
    pair.renew(sent_at + TICK);

    assert_eq!(after_lower, None);
    assert_eq!(after_stale, Some(1.0));
    assert_eq!(pair.limit(), Some(50.0));
}

/// Nobody sends to an endpoint that takes nothing, so nobody would see that it takes requests again.
#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(0.0));

    let mut sent = Vec::new();
    for step in 0..400 {
        let now = at(1.0) + Duration::from_millis(50) * step;
        pair.renew(now);
        if let Some(known) = pair.send(now) {
            sent.push(now);
            pair.answer(known, Some(0.0));
        }
    }

    assert!((3..=8).contains(&sent.len()), "{sent:?}");
    let in_window = |from: BootTime| {
        sent.iter()
            .filter(|at| **at >= from && at.since(from) < RULE_WINDOW)
            .count()
    };
    assert!(
        sent.iter().all(|from| in_window(*from) as f64 <= RULE_SLACK),
        "{sent:?}"
    );
}

/// A permit that is spent late would be counted neither by the leader that granted it nor by the next one.
#[test]
fn a_permit_expires() {
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(20.0));
    pair.send(at(1.05));
    pair.renew(at(1.1));
    let is_granted = pair.gate.admits(at(1.2), pair.endpoint());

    let expired_at = at(1.1) + PERMIT_LIFETIME;

    assert!(is_granted);
    assert_eq!(pair.send(expired_at), None);
}

/// An endpoint in need that starts again, still in need, would get all calls of all entries until each has read an answer.
#[test]
fn a_new_incarnation_is_presumed_to_have_the_last_limit() {
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(0.0));
    pair.renew(at(1.1));

    let reborn = LimitedEndpoint {
        name: &pair.name,
        incarnation: REBORN,
    };

    assert!(!pair.gate.admits(at(1.2), reborn));
    assert_eq!(pair.ledger.limit(&pair.name), Some(limit_of(0.0)));
}

/// An endpoint that has recovered by starting again would stay half empty.
#[test]
fn an_answer_of_a_new_incarnation_ends_the_limit_of_the_last_one() {
    const LIMIT: f64 = 4.0;
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(LIMIT));
    pair.renew(at(1.1));
    let (known, now) = pair.send_soon(at(1.2));

    pair.incarnation = REBORN;
    pair.answer(known, None);
    pair.renew(now);

    assert_eq!(pair.limit(), None);
    assert_eq!(pair.ledger.limit(&pair.name), None);
}

/// A late answer of the process that has ended would free its successor, which is in need.
#[test]
fn an_answer_of_an_earlier_incarnation_ends_no_limit() {
    const LIMIT: f64 = 4.0;
    let mut pair = Pair::new();
    pair.incarnation = REBORN;
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(LIMIT));
    pair.renew(at(1.1));
    let (known, now) = pair.send_soon(at(1.2));

    pair.incarnation = INCARNATION;
    pair.answer(known, None);
    pair.renew(now);

    assert_eq!(pair.limit(), Some(LIMIT));
}

/// Entries and the leader say nothing about limits while no endpoint names one, and little while nobody asks.
#[test]
fn nothing_is_said_without_a_limit_or_without_demand() {
    let mut pair = Pair::new();
    pair.send(at(1.0));
    let without_limit = (pair.gate.report(at(1.1)), pair.renew(at(1.2)));
    pair.answer(LimitVersion::default(), Some(0.3));
    for step in 0..20 {
        pair.renew(at(2.0) + Duration::from_millis(250) * step);
    }

    let idle = (pair.gate.report(at(20.0)), pair.renew(at(20.1)));

    assert!(without_limit.0.rows.is_empty() && without_limit.1.rows.is_empty());
    assert!(idle.0.rows.is_empty() && idle.1.rows.is_empty(), "{idle:?}");
}

/// An endpoint that names a limit by turns. What was granted and spent before must not be granted again.
#[test]
fn a_limit_that_returns_brings_no_earlier_permits_back() {
    const LIMIT: f64 = 8.0;
    let mut pair = Pair::new();
    let mut sent = Vec::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(LIMIT));
    let step_time = Duration::from_millis(50);
    let mut now = at(1.0);
    let mut turn = |pair: &mut Pair, steps: u32, limit: Option<f64>| {
        for _ in 0..steps {
            now = now + step_time;
            pair.renew(now);
            while let Some(known) = pair.send(now) {
                sent.push(now);
                pair.answer(known, limit);
                if pair.limit().is_none() {
                    break;
                }
            }
        }
        now
    };

    turn(&mut pair, 100, Some(LIMIT));
    let ended_at = turn(&mut pair, 20, None);
    let ended = pair.limit();
    turn(&mut pair, 80, Some(LIMIT));

    assert_eq!(ended, None);
    assert_eq!(pair.limit(), Some(LIMIT));
    let later = sent.iter().filter(|at| at.since(ended_at) > Duration::ZERO);
    assert!(
        later.clone().count() as f64 <= permitted(LIMIT),
        "{} requests",
        later.count()
    );
}

/// An entry removes an endpoint that does not report, which may come back.
#[test]
fn an_entry_that_forgot_an_endpoint_gets_no_earlier_permits() {
    const LIMIT: f64 = 8.0;
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(LIMIT));
    for step in 0..100 {
        let now = at(1.0) + Duration::from_millis(50) * step;
        pair.renew(now);
        pair.send(now);
    }

    pair.gate.retain(|_| false);
    pair.answer(known, Some(LIMIT));
    pair.send(at(6.0));
    pair.renew(at(6.1));
    pair.renew(at(6.2));
    let sent = (0..100).filter_map(|_| pair.send(at(6.3))).count();

    assert!(sent > 0);
    assert!(sent as f64 <= LIMIT + 2.0, "{sent} permits");
}

/// Callers that are refused together would come back together.
#[test]
fn refused_calls_come_back_one_after_the_other() {
    let mut gate = LimitGate::default();
    let service = "llm".into();
    let limits = || [limit_of(2.0), limit_of(6.0)];

    let delays: BTreeMap<usize, Duration> = (0..8)
        .map(|number| (number, gate.refuse(at(1.0), &service, limits(), 2, 0.0).retry_after))
        .collect();

    assert_eq!(delays[&0], Duration::from_millis(250));
    assert_eq!(delays[&7], Duration::from_secs(2));
    assert!(delays.values().is_sorted());
}

/// Each side checks by itself whether an answer may be older than the naming: the other may be of another release.
#[test]
fn an_entry_does_not_report_an_answer_that_may_be_older_than_the_naming() {
    let mut pair = Pair::new();
    let early = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(early, Some(3.0));
    pair.renew(at(1.1));

    pair.answer(early, None);
    let after_none = pair.gate.has_unreported();
    pair.answer(early, Some(9.0));

    assert!(!after_none);
    assert!(!pair.gate.has_unreported());
}

/// The leader gets the report of an entry that did not know the newest state when it sent its request.
#[test]
fn the_leader_takes_no_relief_that_may_be_older_than_the_naming() {
    let mut ledger = LimitLedger::new(1);
    let state = LimitState {
        incarnation: INCARNATION,
        version: LimitVersion::default(),
        limit: None,
    };
    let report = |limit: Option<f64>| LimitReport {
        term: 1,
        rows: vec![LimitReportRow {
            endpoint: endpoint_name(),
            state,
            sighting: Some(LimitSighting {
                limit: limit.map(limit_of),
                known: LimitVersion::default(),
            }),
            permits: PermitCounts::default(),
            asked: 1,
        }],
    };
    ledger.record(at(1.0), EntryStart(1), &report(Some(3.0)));

    let changes_by_none = ledger.record(at(1.1), EntryStart(2), &report(None));
    let changes_by_higher = ledger.record(at(1.2), EntryStart(2), &report(Some(9.0)));

    assert_eq!(changes_by_none, []);
    assert_eq!(changes_by_higher, []);
    assert_eq!(ledger.limit(&endpoint_name()), Some(limit_of(3.0)));
}

/// An entry dies with all permits that there are; the endpoint would get nothing until the next leader.
#[test]
fn permits_of_a_dead_entry_are_granted_to_others() {
    const LIMIT: f64 = 4.0;
    let mut pair = Pair::new();
    let known = pair.send(at(1.0)).expect("no limit is known");
    pair.answer(known, Some(LIMIT));
    for step in 0..60 {
        for _ in 0..4 {
            pair.gate.record_demand(LimitedEndpoint {
                name: &endpoint_name(),
                incarnation: INCARNATION,
            });
        }
        pair.renew(at(1.0) + Duration::from_millis(50) * step);
    }
    let died_at = at(4.0);

    let mut other = Pair {
        ledger: pair.ledger,
        ..Pair::new()
    };
    let known = other.send(died_at).expect("no limit is known");
    other.answer(known, Some(LIMIT));
    let mut sent = 0;
    for step in 0..160 {
        let now = died_at + Duration::from_millis(50) * step;
        let report = other.gate.report(now);
        other.ledger.record(now, EntryStart(2), &report);
        let answer = other.ledger.grant(now, EntryStart(2));
        other.gate.apply_answer(now, &answer);
        sent += usize::from(other.send(now).is_some());
    }

    assert!(sent as f64 >= 4.0 * LIMIT, "{sent} requests in 8 s");
}

/// A limit that one entry sees is told to others; one that goes back in time would free or bind them wrongly.
#[test]
fn a_state_of_an_older_version_changes_nothing() {
    let mut gate = LimitGate::default();
    let name = endpoint_name();
    let row = |version: u64, limit: Option<f64>| LimitRow {
        endpoint: name.clone(),
        state: LimitState {
            incarnation: INCARNATION,
            version: LimitVersion(version),
            limit: limit.map(limit_of),
        },
        granted: 0,
    };
    let endpoint = LimitedEndpoint {
        name: &name,
        incarnation: INCARNATION,
    };
    let told = LimitAnswer {
        term: 1,
        rows: vec![row(5, Some(3.0))],
    };
    gate.apply_answer(at(1.0), &told);

    gate.apply_states(1, &[row(4, None)]);
    gate.apply_states(0, &[row(6, None)]);

    assert_eq!(gate.limit(endpoint), Some(limit_of(3.0)));
}
