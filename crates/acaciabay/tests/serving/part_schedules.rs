//! Drawn schedules of calls, some of which have parts that end engines, judged by the group while engines end and start again.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use acaciabay::core::serving::part_table::PartTable;
use acaciabay::core::serving::prompt::{PartId, PromptPart};
use acaciabay::core::serving::suspect_table::{EndingEvidence, SuspectTable, SuspectUpdate};
use proptest::prelude::*;

use crate::fixtures::fixed_cases;
use crate::suspects::ending_of;

const TICK_MS: u64 = 10;
const LENGTH_MS: u64 = 14_000;
/// Time from which calls with bad parts come, and until which they do.
const BAD_TIME_MS: (u64, u64) = (1_000, 11_000);
/// Beginning of the schedule in milliseconds since 1970.
const BEGIN_MS: u64 = 1_000_000;
const ENTRIES: usize = 4;
const SLOTS: usize = 24;
const SOUND_INTERVAL_MS: u64 = 20;
const COMMIT_INTERVAL_MS: u64 = 50;
/// Time after which an entry that is not slow has reported.
const REPORT_MS: u64 = 80;
const SLOW_REPORT_MS: u64 = 3_000;
const AWAY_MS: u64 = 2_500;
const FIRST: u64 = 1;
const SUBJECTS: u64 = 40;
const BAD_PARTS: [u64; 2] = [901, 902];
/// Number of engines that bad parts may end at ten calls a second, for each of them.
const MAX_ENDINGS: usize = 12;

/// What happens beside calls that end engines.
#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    engines: usize,
    bad_parts: Vec<u64>,
    /// Entries whose evidence comes late or not at all.
    troubled_entries: usize,
    /// True if it does not come at all.
    loses: bool,
    /// True if all evidence is told twice.
    repeats: bool,
    /// Times at which engines end by themselves.
    crashes_ms: Vec<u64>,
}

fn schedules(
    bad_parts: RangeInclusive<usize>,
    troubled_entries: RangeInclusive<usize>,
) -> impl Strategy<Value = Schedule> {
    let troubles = (troubled_entries, any::<bool>(), any::<bool>());
    let crashes = proptest::collection::vec(BAD_TIME_MS.0..BAD_TIME_MS.1, 0..4);
    (any::<u64>(), 3..12_usize, bad_parts, troubles, crashes).prop_map(
        |(seed, engines, bad, (troubled_entries, loses, repeats), crashes_ms)| Schedule {
            seed,
            engines,
            bad_parts: BAD_PARTS[..bad].to_vec(),
            troubled_entries,
            loses,
            repeats,
            crashes_ms,
        },
    )
}

#[derive(Clone, Debug)]
struct Call {
    number: u32,
    parts: Vec<u64>,
    entry: usize,
    attempts: u32,
    sent_ms: u64,
    ends_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    up_ms: u64,
    birth: u64,
    calls: Vec<Call>,
}

/// What was seen of a schedule.
#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Endings under bad parts.
    endings: usize,
    /// Sound calls that were refused for their parts.
    refused: usize,
    /// Groups without any bad part that are held at the end.
    wrong: usize,
}

/// Numbers that depend on the seed only.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct Run<'schedule> {
    schedule: &'schedule Schedule,
    draw: Draw,
    now_ms: u64,
    engines: Vec<Engine>,
    table: SuspectTable,
    reports: BTreeMap<u64, Vec<EndingEvidence>>,
    sound_parts: Vec<PartId>,
    calls: u32,
    outcome: Outcome,
}

impl<'schedule> Run<'schedule> {
    fn new(schedule: &'schedule Schedule) -> Self {
        Self {
            schedule,
            draw: Draw(schedule.seed),
            now_ms: BEGIN_MS,
            engines: vec![Engine::default(); schedule.engines],
            table: SuspectTable::default(),
            reports: BTreeMap::new(),
            sound_parts: Vec::new(),
            calls: 0,
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        for passed_ms in (0..LENGTH_MS).step_by(usize::try_from(TICK_MS).unwrap_or(1)) {
            self.now_ms = BEGIN_MS + passed_ms;
            self.send_calls(passed_ms);
            self.end_engines(passed_ms);
            self.answer_calls();
            if passed_ms.is_multiple_of(COMMIT_INTERVAL_MS) {
                self.commit();
            }
        }
        let held = self
            .table
            .parts
            .quarantines()
            .iter()
            .filter(|quarantine| quarantine.is_held);
        let is_wrong = |part: &PartId| !self.schedule.bad_parts.contains(&part.0);
        self.outcome.wrong = held.filter(|quarantine| quarantine.parts.iter().all(is_wrong)).count();
        self.outcome
    }

    fn send_calls(&mut self, passed_ms: u64) {
        if passed_ms.is_multiple_of(SOUND_INTERVAL_MS) {
            // Some subjects are asked for more often than others.
            let subject = 100 + self.draw.below(SUBJECTS).min(self.draw.below(SUBJECTS));
            self.send_new(vec![FIRST, subject]);
        }
        let is_bad_time = (BAD_TIME_MS.0..BAD_TIME_MS.1).contains(&passed_ms);
        if is_bad_time && passed_ms.is_multiple_of(100) {
            for bad in &self.schedule.bad_parts {
                let subject = 100 + self.draw.below(SUBJECTS);
                self.send_new(vec![FIRST, subject, *bad]);
            }
        }
    }

    fn send_new(&mut self, parts: Vec<u64>) {
        self.calls += 1;
        let entry = usize::try_from(self.draw.below(ENTRIES as u64)).unwrap_or(0);
        self.send(Call {
            number: self.calls,
            parts,
            entry,
            attempts: 2,
            sent_ms: 0,
            ends_ms: 0,
        });
    }

    fn is_bad(&self, call: &Call) -> bool {
        call.parts.iter().any(|part| self.schedule.bad_parts.contains(part))
    }

    fn send(&mut self, mut call: Call) {
        if holds(&self.table.parts, &call.parts) {
            self.outcome.refused += usize::from(!self.is_bad(&call));
            return;
        }
        let takes_ms = if self.is_bad(&call) {
            30 + self.draw.below(100)
        } else {
            200 + self.draw.below(800)
        };
        let now_ms = self.now_ms;
        let free = |engine: &Engine| engine.up_ms <= now_ms && engine.calls.len() < SLOTS;
        let open: Vec<usize> = (0..self.engines.len())
            .filter(|index| free(&self.engines[*index]))
            .collect();
        if open.is_empty() {
            return;
        }
        let chosen = open[usize::try_from(self.draw.below(open.len() as u64)).unwrap_or(0)];
        (call.sent_ms, call.ends_ms) = (now_ms, now_ms + takes_ms);
        self.engines[chosen].calls.push(call);
    }

    fn end_engines(&mut self, passed_ms: u64) {
        let crashes = self
            .schedule
            .crashes_ms
            .iter()
            .filter(|at| **at / TICK_MS == passed_ms / TICK_MS);
        for _crash in 0..crashes.count() {
            let index = usize::try_from(self.draw.below(self.engines.len() as u64)).unwrap_or(0);
            self.end_engine(index);
        }
        for index in 0..self.engines.len() {
            let calls = self.engines[index].calls.iter();
            let is_ended = calls
                .clone()
                .any(|call| call.ends_ms <= self.now_ms && self.is_bad(call));
            if is_ended {
                self.outcome.endings += 1;
                self.end_engine(index);
            }
        }
    }

    fn end_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.up_ms > self.now_ms {
            return;
        }
        let number = (index as u64) << 32 | engine.birth;
        engine.birth += 1;
        engine.up_ms = self.now_ms + AWAY_MS + self.draw.below(600);
        for call in std::mem::take(&mut engine.calls) {
            let ran_ms = self.now_ms - call.sent_ms;
            let evidence = EndingEvidence {
                parts: call.parts.iter().copied().map(PartId).collect(),
                ..ending_of("one", call.number, number, self.now_ms, ran_ms)
            };
            self.report(call.entry, evidence);
            if call.attempts > 1 {
                let attempts = call.attempts - 1;
                self.send(Call { attempts, ..call });
            }
        }
    }

    fn report(&mut self, entry: usize, evidence: EndingEvidence) {
        let is_troubled = entry < self.schedule.troubled_entries;
        if self.schedule.loses && is_troubled {
            return;
        }
        let delay_ms = if is_troubled { SLOW_REPORT_MS } else { REPORT_MS };
        let due = self.reports.entry(self.now_ms + delay_ms).or_default();
        due.push(evidence.clone());
        if self.schedule.repeats {
            due.push(evidence);
        }
    }

    fn answer_calls(&mut self) {
        let watched = self.table.parts.watched();
        for engine in &mut self.engines {
            let answered = engine.calls.extract_if(.., |call| call.ends_ms <= self.now_ms);
            let parts = answered.flat_map(|call| call.parts).map(PartId);
            self.sound_parts.extend(parts.filter(|part| watched.contains(part)));
        }
    }

    fn commit(&mut self) {
        let later = self.reports.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.reports, later);
        self.table.apply(&SuspectUpdate {
            now_ms: self.now_ms,
            evidence: due.into_values().flatten().collect(),
            sound_parts: std::mem::take(&mut self.sound_parts),
            ..SuspectUpdate::default()
        });
    }
}

fn holds(table: &PartTable, parts: &[u64]) -> bool {
    let parts: Vec<_> = parts
        .iter()
        .map(|id| PromptPart {
            id: PartId(*id),
            tokens: 100,
        })
        .collect();
    table.holds_back(&parts)
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Guards against engines that end one after the other under one part, and against sound parts that stay refused.
    #[test]
    fn a_bad_part_is_found_and_no_other_stays_blamed(schedule in schedules(1..=1, 0..=0)) {
        let outcome = Run::new(&schedule).play();

        prop_assert!(outcome.endings <= MAX_ENDINGS, "{:?}", outcome);
        prop_assert_eq!(outcome.wrong, 0, "{:?}", outcome);
    }

    /// Guards against the same while two parts end engines, and evidence of two of four entries is late or lost.
    #[test]
    fn bad_parts_are_found_whatever_evidence_is_missing(schedule in schedules(1..=2, 0..=2)) {
        let outcome = Run::new(&schedule).play();

        prop_assert!(outcome.endings <= MAX_ENDINGS * schedule.bad_parts.len(), "{:?}", outcome);
        prop_assert_eq!(outcome.wrong, 0, "{:?}", outcome);
    }

    /// Guards against the refusal of sound calls where engines end by themselves.
    #[test]
    fn nothing_is_refused_where_no_part_is_bad(schedule in schedules(0..=0, 0..=2)) {
        let outcome = Run::new(&schedule).play();

        prop_assert_eq!(outcome.refused, 0, "{:?}", outcome);
    }
}
