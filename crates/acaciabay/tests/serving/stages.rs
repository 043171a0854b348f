//! Tests of the assignment of engines to the prefill and decode stages.

use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_limit::RateLimit;
use acaciabay::core::serving::endpoint_registry::{EngineStage, ServingEndpoint};
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_peak::{StreamDemand, StreamPeak};
use acaciabay::ops::plan_stages::{RequestLoad, StageLoad, plan_limited_stages, plan_stages, wanted_decoders};
use proptest::prelude::*;

use crate::fixtures::{at, engine, fixed_cases, name, numbered};

type Rows = Vec<(EndpointName, ServingEndpoint)>;

fn row(number: u8, domain: &str, stage: EngineStage, reclaimable: bool) -> (EndpointName, ServingEndpoint) {
    let endpoint = ServingEndpoint {
        reclaimable,
        ..numbered(number, domain, stage)
    };
    (name(&format!("e{number}")), endpoint)
}

/// Returns engines that decode, followed by engines that prefill.
fn engines(decoders: u8, prefill_engines: u8) -> Rows {
    let decoders = (0..decoders).map(|number| row(number, "a", EngineStage::Decode, false));
    let prefill_engines = (0..prefill_engines).map(|number| row(100 + number, "a", EngineStage::Prefill, false));
    decoders.chain(prefill_engines).collect()
}

fn plan(rows: &Rows, wanted: usize) -> Vec<(String, EngineStage)> {
    let engines: Vec<_> = rows.iter().map(|(name, endpoint)| (name, endpoint)).collect();
    let changes = plan_stages(&engines, wanted).into_iter();
    changes
        .map(|change| (change.endpoint.to_string(), change.stage))
        .collect()
}

fn demand(streams: f64) -> StreamDemand {
    StreamDemand {
        streams,
        held_tokens: 0.0,
    }
}

fn work(present: usize, domains: usize, streams: f64, prefill_engines: f64) -> StageLoad {
    StageLoad {
        present,
        expected: 0,
        decoders: 0,
        domains,
        demand: demand(streams),
        prefill_engines,
    }
}

fn wanted(present: usize, domains: usize, streams: f64, prefill_engines: f64) -> usize {
    wanted_decoders(&work(present, domains, streams, prefill_engines), &engine())
}

#[test]
fn streams_decide_how_many_engines_decode() {
    assert_eq!(wanted(9, 1, 0.0, 0.0), 2);
    assert_eq!(wanted(9, 1, 100.0, 0.0), 4);
    assert_eq!(wanted(9, 1, 1_000.0, 0.0), 7);
    assert_eq!(wanted(1, 1, 0.0, 0.0), 1);
    assert_eq!(wanted(12, 3, 0.0, 0.0), 3);
    assert_eq!(wanted(264, 4, 0.0, 0.0), 16);
}

/// Guards against a burst of streams starving prefill. The platform has reclaimed two of three domains, and eight
/// engines are left for the work of eleven. The running streams would fill six of them; with two left for prefill,
/// every prompt would wait for a second and most would be refused.
#[test]
fn too_few_engines_are_divided_between_prefill_and_decode() {
    let decoders = wanted(8, 3, 162.0, 5.5);

    assert!((3..=4).contains(&decoders), "{decoders}");
}

/// Guards against needless changes of stage after a burst. Nine of eighteen engines decode where three would do, and
/// prefill has all the engines that it needs. Engines taken from decode now would be missing in the next burst, and its
/// longest answers would miss their deadlines.
#[test]
fn decoders_that_prefill_does_not_need_keep_decoding() {
    let retained = |prefill_engines| {
        let work = StageLoad {
            decoders: 9,
            ..work(18, 3, 60.0, prefill_engines)
        };
        wanted_decoders(&work, &engine())
    };

    assert_eq!(retained(2.0), 9);
    assert_eq!(retained(4.0), 6);
    assert_eq!(retained(8.0), 3);
}

/// Guards against counting engines that were ordered but have not started: eight are present for the same load as in
/// `too_few_engines_are_divided_between_prefill_and_decode`, and eighteen are expected.
#[test]
fn engines_that_have_not_started_do_no_work() {
    let work = StageLoad {
        expected: 18,
        ..work(8, 3, 162.0, 5.5)
    };

    assert!(wanted_decoders(&work, &engine()) <= 4);
}

/// Guards against too many decode engines after a replacement of engines whose successors all start in the decode
/// stage: all prompts would queue at the few prefill engines.
#[test]
fn surplus_decoders_become_prefill_engines_in_the_domain_with_most() {
    let rows = vec![
        row(1, "a", EngineStage::Decode, false),
        row(2, "a", EngineStage::Decode, false),
        row(3, "b", EngineStage::Decode, false),
        row(4, "b", EngineStage::Prefill, false),
    ];

    let changes = plan(&rows, 2);

    assert_eq!(changes.len(), 1);
    assert!(["e1", "e2"].contains(&changes[0].0.as_str()));
    assert_eq!(changes[0].1, EngineStage::Prefill);
}

/// Guards against streams on a reclaimable engine, which the platform may reclaim at short notice, while an on-demand
/// engine prefills. The on-demand engine changes to decode first, and the reclaimable one keeps decoding until then.
#[test]
fn on_demand_engines_decode() {
    let rows = vec![
        row(1, "a", EngineStage::Decode, true),
        row(2, "b", EngineStage::Prefill, false),
        row(3, "a", EngineStage::Prefill, true),
    ];

    assert_eq!(plan(&rows, 1), [("e2".to_owned(), EngineStage::Decode)]);
}

/// Guards against engines that follow every burst of streams and spend most of their time changing stage.
fn decoders_of(versions: &[&str]) -> Rows {
    let rows = (0..).zip(versions).map(|(number, version)| {
        let (name, endpoint) = row(number, "a", EngineStage::Decode, false);
        let version = SoftwareVersion::from_text(version);
        (name, ServingEndpoint { version, ..endpoint })
    });
    let readers = (0..2).map(|number| row(100 + number, "a", EngineStage::Prefill, false));
    rows.chain(readers).collect()
}

/// The streams of a version whose last but one engine changes to prefill have nowhere to go on.
#[test]
fn a_surplus_leaves_two_decoders_of_each_version() {
    let rows = decoders_of(&["v1", "v1", "v1.1", "v1.1", "v1.1", "v1.1"]);

    let changed: Vec<_> = plan(&rows, 4).into_iter().map(|(name, _)| name).collect();

    assert_eq!(changed.len(), 2);
    assert!(
        changed.iter().all(|name| !["e0", "e1"].contains(&name.as_str())),
        "{changed:?}"
    );
}

/// A version with a single engine loses nothing that could be kept, and its streams end before it changes.
#[test]
fn a_surplus_takes_a_single_decoder_before_one_of_two() {
    let rows = decoders_of(&["v1", "v1", "v1.1"]);

    assert_eq!(plan(&rows, 2), [("e2".to_owned(), EngineStage::Prefill)]);
}

#[test]
fn a_peak_fades_slowly() {
    let mut peak = StreamPeak::default();
    peak.see(at(0), demand(100.0));

    peak.see(at(2_000), demand(1.0));
    assert!(peak.demand().streams > 80.0);

    peak.see(at(40_000), demand(1.0));
    assert!(peak.demand().streams < 3.0);
}

fn rows_strategy() -> impl Strategy<Value = Rows> {
    let stage = prop_oneof![Just(EngineStage::Prefill), Just(EngineStage::Decode)];
    prop::collection::vec((0_usize..3, stage, any::<bool>()), 2..14).prop_map(|engines| {
        let domains = ["a", "b", "c"];
        let rows = engines.into_iter().zip(1_u8..);
        rows.map(|((domain, stage, reclaimable), number)| row(number, domains[domain], stage, reclaimable))
            .collect()
    })
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Repeated plans converge to the wanted number of decode engines, and never remove the last one before another one
    /// decodes.
    #[test]
    fn plans_converge(mut rows in rows_strategy(), wanted in 1_usize..4) {
        let wanted = wanted.min(rows.len() - 1);
        let decoders = |rows: &Rows| rows.iter().filter(|row| row.1.stage == Some(EngineStage::Decode)).count();
        let mut rounds = 0;
        loop {
            let before = decoders(&rows);
            let changes = plan(&rows, wanted);
            if changes.is_empty() {
                break;
            }
            let leaving = changes.iter().filter(|change| change.1 == EngineStage::Prefill).count();
            prop_assert!(before - leaving >= before.min(wanted));
            for (name, stage) in changes {
                let changed = rows.iter_mut().find(|row| row.0.as_str() == name).expect("the plan names only known engines");
                changed.1.stage = Some(stage);
            }
            rounds += 1;
            prop_assert!(rounds < 10, "plans do not converge");
        }
        prop_assert_eq!(decoders(&rows), wanted);
    }
}

/// Load that two decode engines and three prefill engines could bear without limits.
const REQUESTS: RequestLoad = RequestLoad {
    rate: 100.0,
    decoders: 2,
    prefill_engines: 3.0,
};

/// All engines name limits, and the two that decode take far fewer calls than the prefill engines could read.
#[test]
fn engines_with_limits_change_to_decode_until_both_stages_take_as_much() {
    let engines = engines(2, 6);
    let rows: Vec<_> = engines.iter().map(|(name, endpoint)| (name, endpoint)).collect();

    let limited = plan_limited_stages(&rows, &REQUESTS, |_| RateLimit::per_second(5.0));
    let unlimited = plan_limited_stages(&rows, &REQUESTS, |_| None);

    assert_eq!(limited.len(), 2, "{limited:?}");
    assert!(limited.iter().all(|change| change.stage == EngineStage::Decode));
    assert!(unlimited.is_empty(), "{unlimited:?}");
}

/// Half of the engines name limits, among them those that decode. An engine without a limit takes over most.
#[test]
fn an_engine_without_a_limit_changes_to_decode_first() {
    let engines = engines(2, 6);
    let rows: Vec<_> = engines.iter().map(|(name, endpoint)| (name, endpoint)).collect();
    let unlimited: Vec<_> = rows[5..].iter().map(|(name, _)| (*name).clone()).collect();

    let changes = plan_limited_stages(&rows, &REQUESTS, |(name, _)| {
        RateLimit::per_second(1.0).filter(|_| !unlimited.contains(name))
    });

    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(changes.iter().all(|change| unlimited.contains(&change.endpoint)));
}

/// Engines that decode because of limits must not count as needed, or more and more would change to decode.
#[test]
fn retained_decode_engines_make_no_others_necessary() {
    let few = work(12, 3, 40.0, 1.0);
    let many = StageLoad { decoders: 8, ..few };

    let requests = RequestLoad::of(60.0, &many, &engine());

    assert_eq!(requests, RequestLoad::of(60.0, &few, &engine()));
    assert!(requests.decoders < wanted_decoders(&many, &engine()));
}
