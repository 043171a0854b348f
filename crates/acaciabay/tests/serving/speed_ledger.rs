//! Tests of the speeds that the leader merges and tells.

use std::time::Duration;

use acaciabay::core::serving::cached_parts::LogPlace;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::endpoint_speed::{EndpointSpeeds, PaceReport, PrefillSums, SpeedRow, SpeedSource};
use acaciabay::core::serving::speed_ledger::SpeedLedger;

use crate::endpoint_speed::{prefill, stated};
use crate::fixtures::{at, name, noise};

const BIRTH: EndpointIncarnation = EndpointIncarnation(1_000);
/// Prefill engines of the replay.
const ENGINES: u64 = 60;
/// Prefills at each engine in a second. With 0.23 of the engines busy and prefills of 50 ms there are 4.6.
const PREFILLS_PER_SECOND: u64 = 5;
/// Interval between the renewals of an entry, in milliseconds.
const RENEWAL_MS: u64 = 250;

fn report(engine: u64, sums: PrefillSums) -> PaceReport {
    PaceReport {
        endpoint: name(&format!("e{engine}")),
        birth: BIRTH,
        stated: None,
        sums,
    }
}

/// Factors of the engines, by turns.
const FACTORS: [f64; 3] = [0.7, 0.7, 1.7];

/// Returns the factor of an engine relative to the geometric mean of all, which is what the leader takes for the usual.
fn true_factor(engine: u64) -> f64 {
    let usual = FACTORS.iter().product::<f64>().cbrt();
    FACTORS[usize::try_from(engine % 3).expect("it is small")] / usual
}

fn rows_since(ledger: &SpeedLedger, place: &mut LogPlace) -> Vec<SpeedRow> {
    let (rows, next) = ledger.since(*place);
    *place = next;
    rows.collect()
}

/// Plays `seconds` of traffic through `entries` entries and returns what each of them knows, and the number of rows told.
fn play(entries: u64, seconds: u64) -> (Vec<EndpointSpeeds>, usize) {
    let mut ledger = SpeedLedger::default();
    let mut known = vec![(EndpointSpeeds::default(), LogPlace::default()); usize::try_from(entries).expect("few")];
    let mut pending: Vec<Vec<PaceReport>> = vec![Vec::new(); known.len()];
    let mut told = 0;
    let mut number = 0;
    for millis in 0..seconds * 1_000 + RENEWAL_MS {
        // Prefills are spread over the milliseconds, engines and entries.
        while number * 1_000 / (ENGINES * PREFILLS_PER_SECOND) <= millis && millis < seconds * 1_000 {
            let engine = number % ENGINES;
            let factor = FACTORS[usize::try_from(engine % 3).expect("it is small")] * noise(number, 0.2).exp();
            let entry = usize::try_from(noise(number, 1.0).to_bits() % entries).expect("few");
            pending[entry].push(report(engine, prefill(factor, 1.0)));
            number += 1;
        }
        for (entry, (speeds, place)) in known.iter_mut().enumerate() {
            if !(entry as u64 * RENEWAL_MS / entries + millis).is_multiple_of(RENEWAL_MS) {
                continue;
            }
            for report in pending[entry].drain(..) {
                ledger.merge(at(millis), &"llm".into(), &report);
            }
            let rows = rows_since(&ledger, place);
            told += rows.len();
            speeds.apply(at(millis), SpeedSource(1), rows);
        }
    }
    (known.into_iter().map(|(speeds, _)| speeds).collect(), told)
}

/// An entry of 350 measures few of the engines itself. Until it knows the slow ones, it sends them as much as the fast ones.
#[test]
fn all_entries_know_lasting_factors_within_a_second_of_traffic() {
    for entries in [69, 350] {
        let (known, told) = play(entries, 1);
        let now = at(1_250);
        let errors = known.iter().flat_map(|speeds| {
            (0..ENGINES).map(move |engine| {
                let slowdown = speeds.slowdown(now, &name(&format!("e{engine}")));
                (slowdown / true_factor(engine) - 1.0).abs()
            })
        });
        let mut errors: Vec<f64> = errors.collect();
        errors.sort_unstable_by(f64::total_cmp);

        let (median, most) = (errors[errors.len() / 2], errors[errors.len() * 9 / 10]);
        println!("{entries} entries: median error {median:.3}, p90 {most:.3}, {told} rows told");
        assert!(median < 0.1, "{entries} entries: {median}");
        assert!(most < 0.25, "{entries} entries: {most}");
    }
}

/// If each step of an estimate went to each entry, the news of the engines' speeds would fill the links to the entries.
#[test]
fn noise_is_not_told() {
    let per_second = |seconds| play(69, seconds).1;
    let (early, late) = (per_second(20), per_second(30));

    let rows = (late - early) as f64 / 10.0 / 69.0;
    println!("{rows:.1} rows a second for each entry");
    assert!(rows < (ENGINES * PREFILLS_PER_SECOND) as f64 / 2.0, "{rows}");
}

/// A stated pace is told to the other entries, its end as well, and a connection that is opened later gets everything.
#[test]
fn connections_are_told_what_is_new_to_them() {
    let mut ledger = SpeedLedger::default();
    let mut place = LogPlace::default();
    let state = |ledger: &mut SpeedLedger, millis, percent| {
        let stated = Some(stated(at(millis), percent));
        let report = PaceReport {
            stated,
            ..report(1, PrefillSums::default())
        };
        ledger.merge(at(millis), &"llm".into(), &report);
    };

    state(&mut ledger, 1_000, 250);
    let first = rows_since(&ledger, &mut place);
    state(&mut ledger, 1_100, 252);
    let repeated = rows_since(&ledger, &mut place);
    state(&mut ledger, 1_200, 100);
    let ended = rows_since(&ledger, &mut place);
    let late = rows_since(&ledger, &mut LogPlace::default());

    assert!((first[0].speed.slowdown(at(1_000), 1.0) - 2.5).abs() < 0.01);
    assert!(repeated.is_empty());
    assert!((ended[0].speed.slowdown(at(1_200), 1.0) - 1.0).abs() < 0.01);
    assert_eq!(late, ended);
}

/// A report of an earlier process must not count for the one that has taken its place, nor sums that say nothing.
#[test]
fn late_and_impossible_reports_change_nothing() {
    let mut ledger = SpeedLedger::default();
    let mut place = LogPlace::default();
    let slow = PrefillSums {
        prefills: 20,
        ..prefill(3.0, 1.0)
    };
    let changed = ledger.merge(at(1_000), &"llm".into(), &report(1, slow));
    assert!(changed.is_some_and(|change| change.lasting > 1.5));
    let restarted = PaceReport {
        birth: EndpointIncarnation(2_000),
        ..report(1, PrefillSums::default())
    };
    ledger.merge(at(1_100), &"llm".into(), &restarted);

    let empty = PrefillSums {
        took: Duration::ZERO,
        ..slow
    };
    let empty = PaceReport {
        sums: empty,
        ..restarted
    };
    ledger.merge(at(1_200), &"llm".into(), &empty);
    ledger.merge(at(1_300), &"llm".into(), &report(1, slow));

    assert_eq!(rows_since(&ledger, &mut place), Vec::new());
    assert!((ledger.lasting_slowdown(at(1_300), &name("e1")) - 1.0).abs() < f64::EPSILON);
}

/// Entries measure against their own models, and fit these to times divided by the factors that they are told. If the leader told
/// a factor that all endpoints have in common, models and factors would drift apart until the factors reach their bounds.
#[test]
fn factor_that_all_endpoints_have_in_common_is_left_to_the_models() {
    let mut ledger = SpeedLedger::default();
    for number in 0..ENGINES * 30 {
        let report = report(number % ENGINES, prefill(1.5, 1.0));
        ledger.merge(at(number * 4), &"llm".into(), &report);
    }

    for engine in 0..ENGINES {
        let lasting = ledger.lasting_slowdown(at(8_000), &name(&format!("e{engine}")));
        assert!((lasting - 1.0).abs() < 0.05, "{lasting}");
    }
}
