//! Tests of the speed of endpoints, as an entry reckons with it.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::endpoint_speed::{
    EndpointSpeed, EndpointSpeeds, PaceOutbox, PrefillSums, SpeedRow, SpeedSource, StatedReport,
};
use acaciabay::core::serving::load_report::StatedPace;
use acaciabay::core::serving::speed_filter::SpeedFilter;

use crate::fixtures::{at, name, noise};

const BIRTH: EndpointIncarnation = EndpointIncarnation(1_000);
const EXPECTED: Duration = Duration::from_millis(50);
/// Spread of the logarithm of measured times.
const SPREAD: f64 = 0.2;

pub(crate) fn stated(now: BootTime, percent: u32) -> StatedReport {
    let pace = StatedPace::from_percent(percent).expect("it is possible");
    StatedReport { pace, at: now }
}

/// A prefill that took `factor` times as long as usual, at a stated factor.
pub(crate) fn prefill(factor: f64, stated: f64) -> PrefillSums {
    PrefillSums {
        prefills: 1,
        took: EXPECTED.mul_f64(factor),
        expected: EXPECTED,
        expected_stated: EXPECTED.mul_f64(stated),
    }
}

fn told(lasting: f64) -> SpeedRow {
    SpeedRow {
        endpoint: name("e1"),
        birth: BIRTH,
        speed: EndpointSpeed {
            lasting: lasting.ln(),
            beyond_stated: lasting.ln(),
            stated: None,
        },
    }
}

/// The estimator that was weighed against the filter, with the same limit for one measurement.
#[derive(Clone, Copy, Debug)]
struct MovingAverage {
    weight: f64,
    mean: f64,
}

impl MovingAverage {
    fn record(&mut self, measured: f64) {
        self.mean += (self.weight * (measured - self.mean)).clamp(-0.095, 0.095);
    }
}

/// Returns the mean error after a second of traffic of endpoints at 0.7 and 1.7, and the error once they have long been known.
fn errors_of<E: Clone>(start: &E, record: impl Fn(&mut E, BootTime, f64), mean: impl Fn(&E) -> f64) -> (f64, f64) {
    let (mut early, mut late) = (0.0, 0.0);
    let trials = 200_u64;
    for trial in 0..trials {
        let truth = if trial % 2 == 0 { 0.7_f64.ln() } else { 1.7_f64.ln() };
        let mut estimator = start.clone();
        for number in 0..100 {
            record(
                &mut estimator,
                at(number * 200),
                truth + noise(trial * 1_000 + number, SPREAD),
            );
            if number == 4 {
                early += (mean(&estimator) - truth).abs();
            }
        }
        late += (mean(&estimator) - truth).abs();
    }
    (early / trials as f64, late / trials as f64)
}

/// A moving average either takes seconds to know a slow endpoint, or follows the noise for good. An entry then sends to slow
/// endpoints, or away from good ones.
#[test]
fn filter_is_as_fast_as_a_heavy_average_and_as_calm_as_a_light_one() {
    let average = |weight| {
        let start = MovingAverage { weight, mean: 0.0 };
        errors_of(&start, |row, _, measured| row.record(measured), |row| row.mean)
    };
    let (light, heavy) = (average(0.15), average(0.5));
    let start = SpeedFilter::default();
    let filter = errors_of(
        &start,
        |row, now, measured| row.record(now, measured, 1),
        SpeedFilter::mean,
    );

    println!("early and late errors: light {light:?}, heavy {heavy:?}, filter {filter:?}");
    assert!(filter.0 < 0.8 * light.0, "{filter:?}, {light:?}");
    assert!(filter.1 < 0.7 * heavy.1, "{filter:?}, {heavy:?}");
    assert!(filter.1 < 1.1 * light.1, "{filter:?}, {light:?}");
}

/// One prompt that waited for seconds in an unknown queue must not drive the traffic away from its engine.
#[test]
fn one_measurement_changes_the_slowdown_by_a_tenth_at_most() {
    for factor in [0.01, 100.0] {
        let mut speeds = EndpointSpeeds::default();
        for step in 0..40 {
            let now = at(step * 100);
            let before = speeds.slowdown(now, &name("e1"));
            speeds.record_prefills(now, &name("e1"), BIRTH, &prefill(factor, 1.0));
            let change = speeds.slowdown(now, &name("e1")) / before;
            assert!((0.9..=1.1).contains(&change), "{change}");
        }
        assert!((0.2..=5.0).contains(&speeds.slowdown(at(4_000), &name("e1"))));
    }
}

/// An endpoint that has long been known becomes slow for good, or begins to state a wrong pace. A filter that is certain of the
/// past would follow after hundreds of prefills.
#[test]
fn known_endpoint_that_changes_is_followed_after_twenty_measurements() {
    let mut filter = SpeedFilter::default();
    for number in 0..200 {
        filter.record(at(number * 200), 0.0, 1);
    }

    for number in 200..220 {
        filter.record(at(number * 200), 2.5_f64.ln(), 1);
    }

    assert!(filter.mean().exp() > 2.2, "{}", filter.mean().exp());
}

/// An endpoint takes 2.5 times as long for 600 ms. Entries that hear of it late must not avoid it when it is over.
#[test]
fn stated_pace_counts_at_once_and_not_a_second_later() {
    let mut speeds = EndpointSpeeds::default();
    let e1 = name("e1");
    speeds.record_stated(&e1, BIRTH, stated(at(5_000), 250));
    // A report of another entry that is older arrives later.
    speeds.record_stated(&e1, BIRTH, stated(at(4_700), 100));

    let slowdowns = [5_000, 5_600, 5_800, 6_000].map(|millis| speeds.slowdown(at(millis), &e1));

    assert!((slowdowns[0] - 2.5).abs() < 0.01);
    assert!((slowdowns[1] - 2.5).abs() < 0.01);
    assert!((1.2..2.2).contains(&slowdowns[2]));
    assert!((slowdowns[3] - 1.0).abs() < 0.01);
    speeds.record_stated(&e1, BIRTH, stated(at(7_000), 10_000));
    assert!((speeds.slowdown(at(7_000), &e1) - 5.0).abs() < 0.01);
}

/// An endpoint states that it takes a quarter of the usual time, and draws the traffic to itself although it takes the usual.
#[test]
fn measured_times_counteract_a_wrong_stated_pace() {
    let mut speeds = EndpointSpeeds::default();
    let e1 = name("e1");

    for number in 0..15 {
        let now = at(1_000 + number * 200);
        speeds.record_stated(&e1, BIRTH, stated(now, 40));
        speeds.record_prefills(now, &e1, BIRTH, &prefill(1.0, 0.4));
        let slowdown = speeds.slowdown(now, &e1);
        assert!(number != 9 || slowdown > 0.85, "after ten measurements: {slowdown}");
    }

    assert!((speeds.slowdown(at(3_800), &e1) - 1.0).abs() < 0.1);
    // What is left when its statements end is what was measured.
    assert!((speeds.slowdown(at(6_000), &e1) - 1.0).abs() < 0.1);
}

/// The endpoints' pages do not say whether a stated pace contains the lasting factor. If it were counted twice, an endpoint at
/// 1.7 would get the work of one at 2.9.
#[test]
fn lasting_factor_counts_once_whether_or_not_it_is_stated() {
    for usual in [100, 170] {
        let mut speeds = EndpointSpeeds::default();
        let e1 = name("e1");
        for number in 0..40 {
            let now = at(number * 200);
            speeds.record_stated(&e1, BIRTH, stated(now, usual));
            speeds.record_prefills(now, &e1, BIRTH, &prefill(1.7, f64::from(usual) / 100.0));
        }
        let calm = speeds.slowdown(at(7_800), &e1);
        speeds.record_stated(&e1, BIRTH, stated(at(7_900), usual * 5 / 2));

        assert!((calm / 1.7 - 1.0).abs() < 0.05, "{usual}: {calm}");
        assert!((speeds.slowdown(at(7_900), &e1) / 4.25 - 1.0).abs() < 0.05, "{usual}");
        assert!((speeds.slowdown(at(9_900), &e1) / 1.7 - 1.0).abs() < 0.05, "{usual}");
    }
}

/// A new leader knows nothing at first. If entries forgot at once what the old one told, they would send to slow endpoints; if
/// they never did, endpoints that have changed would be avoided for good.
#[test]
fn factors_outlive_their_leader_by_ten_seconds() {
    let mut speeds = EndpointSpeeds::default();
    let e1 = name("e1");
    speeds.apply(at(1_000), SpeedSource(1), [told(1.7)]);
    // The leader tells nothing new for a minute, but answers.
    speeds.apply(at(60_000), SpeedSource(1), []);
    assert!((speeds.slowdown(at(60_000), &e1) - 1.7).abs() < 0.01);

    for step in 0..400 {
        speeds.apply(at(60_250 + step * 250), SpeedSource(2), []);
        let now = 60_250 + step * 250;
        let slowdown = speeds.slowdown(at(now), &e1);
        assert!(now > 70_000 || (slowdown - 1.7).abs() < 0.01, "{now}: {slowdown}");
        assert!(now < 80_000 || (slowdown - 1.0).abs() < 0.01, "{now}: {slowdown}");
    }

    speeds.apply(at(200_000), SpeedSource(2), [told(1.3)]);
    assert!((speeds.slowdown(at(200_000), &e1) - 1.3).abs() < 0.01);
    // Without any leader it is the same.
    assert!((speeds.slowdown(at(209_000), &e1) - 1.3).abs() < 0.01);
    assert!((speeds.slowdown(at(220_000), &e1) - 1.0).abs() < 0.01);
}

/// An endpoint that starts again may run elsewhere, at another speed. News of the earlier process may come late.
#[test]
fn restarted_endpoint_begins_at_the_usual_speed() {
    let mut speeds = EndpointSpeeds::default();
    let e1 = name("e1");
    speeds.apply(at(1_000), SpeedSource(1), [told(1.7)]);

    speeds.record_incarnation(&e1, EndpointIncarnation(2_000));
    assert!((speeds.slowdown(at(1_000), &e1) - 1.0).abs() < f64::EPSILON);
    speeds.record_stated(&e1, EndpointIncarnation(2_000), stated(at(1_100), 120));
    speeds.apply(at(1_200), SpeedSource(1), [told(1.7)]);
    speeds.record_stated(&e1, BIRTH, stated(at(1_200), 400));

    assert!((speeds.slowdown(at(1_200), &e1) - 1.2).abs() < 0.01);
}

/// Guards against a late answer of a process that has ended, which would wipe what was measured of the one that runs now.
#[test]
fn late_answer_of_an_earlier_incarnation_is_not_reported() {
    let (engine, sums) = (name("e1"), prefill(1.0, 1.0));
    let mut outbox = PaceOutbox::default();
    outbox.record_prefills(&engine, EndpointIncarnation(2), &sums);

    outbox.record_stated(&engine, EndpointIncarnation(1), stated(at(0), 500));
    outbox.record_prefills(&engine, EndpointIncarnation(1), &sums);

    let reports: Vec<_> = outbox.take().collect();
    assert_eq!(reports.len(), 1);
    assert_eq!(
        (reports[0].birth, reports[0].sums, reports[0].stated),
        (EndpointIncarnation(2), sums, None)
    );
}
