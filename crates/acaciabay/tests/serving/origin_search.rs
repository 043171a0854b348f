//! Tests of searches for the version of a stream over the answers of several replicas.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::serving::origin_search::{FoundOrigin, OriginRule, OriginSearch, OriginSource, join_findings};
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_origin::{ORIGIN_COPIES, OriginFinding, OriginKey};
use proptest::prelude::*;

use crate::fixtures::fixed_cases;

const KEY: OriginKey = OriginKey(7);

fn replica(number: usize) -> SocketAddr {
    let port = u16::try_from(8_000 + number).expect("groups are small");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn replicas(count: usize) -> BTreeSet<SocketAddr> {
    (0..count).map(replica).collect()
}

fn version(text: &str) -> OriginFinding {
    OriginFinding::Known(SoftwareVersion::from_text(text).expect("the text is a version"))
}

fn found(number: usize, finding: OriginFinding) -> FoundOrigin {
    FoundOrigin {
        finding,
        key: Some(KEY),
        source: OriginSource::Replica(replica(number)),
        age: Duration::ZERO,
        is_settled: true,
    }
}

/// Guards against a stream that goes on at the version of another one with the same content, whose record came first.
#[test]
fn a_content_is_not_settled_by_the_first_record() {
    let mut search = OriginSearch::begin(OriginRule::EveryRecord, replicas(5), 5);

    let first = search.record_answer(replica(0), Some(found(0, version("v1"))));
    let second = search.record_answer(replica(1), None);
    let third = search.record_answer(replica(4), Some(found(4, version("v2"))));

    assert_eq!((first, second), (None, None));
    assert_eq!(third.map(|found| found.finding), Some(OriginFinding::Conflicting));
}

#[test]
fn an_attempt_is_settled_by_the_first_record() {
    let mut search = OriginSearch::begin(OriginRule::FirstRecord, replicas(5), 5);

    let none = search.record_answer(replica(0), None);
    let known = search.record_answer(replica(1), Some(found(1, version("v1"))));

    assert_eq!(none, None);
    assert_eq!(known.map(|found| found.finding), Some(version("v1")));
}

/// Guards against an entry that reaches few replicas and takes what those know for all there is.
#[test]
fn a_content_is_unknown_while_too_few_answer() {
    let mut search = OriginSearch::begin(OriginRule::EveryRecord, replicas(2), 5);

    let first = search.record_answer(replica(0), Some(found(0, version("v1"))));
    let lost = search.record_lost(replica(1)).expect("nobody is left to answer");

    assert_eq!(first, None);
    assert_eq!((lost.finding, lost.is_settled), (OriginFinding::Unknown, false));
}

/// Guards against an entry that is cut off from the replicas and joins a stream to one of the same content that it has begun
/// itself, at another version.
#[test]
fn an_entry_does_not_settle_a_content_alone() {
    let own = FoundOrigin {
        source: OriginSource::Own,
        ..found(0, version("v1"))
    };
    let finding = |rule, told: FoundOrigin| join_findings(rule, Some(&own), &told).map(|found| found.finding);
    let unheard = FoundOrigin::nowhere(0, false);
    let unknown = FoundOrigin::nowhere(3, true);

    assert_eq!(finding(OriginRule::EveryRecord, unheard.clone()), None);
    assert_eq!(finding(OriginRule::EveryRecord, unknown), Some(version("v1")));
    assert_eq!(finding(OriginRule::FirstRecord, unheard), Some(version("v1")));
    let told = found(1, version("v2"));
    assert_eq!(finding(OriginRule::EveryRecord, told), Some(OriginFinding::Conflicting));
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Streams of two versions share a content, each told to some replicas. However few answer and in whatever order, the search
    /// never settles on one of the versions.
    #[test]
    fn two_versions_of_a_content_are_never_taken_for_one(
        voters in 3_usize..8,
        order in prop::collection::vec(0_usize..1_000, 8),
        lost in prop::collection::vec(prop::bool::weighted(0.2), 8),
        keepers in prop::collection::vec((0_usize..1_000, 0_usize..1_000), 8),
    ) {
        let ranked = |rank: &dyn Fn(usize) -> usize| {
            let mut places: Vec<usize> = (0..voters).collect();
            places.sort_by_key(|place| rank(*place));
            places
        };
        let keep = |rank: &dyn Fn(usize) -> usize| -> BTreeSet<usize> { ranked(rank).into_iter().take(ORIGIN_COPIES).collect() };
        let (one, two) = (keep(&|place| keepers[place].0), keep(&|place| keepers[place].1));
        let known = |place: usize| match (one.contains(&place), two.contains(&place)) {
            (true, true) => Some(found(place, OriginFinding::Conflicting)),
            (true, false) => Some(found(place, version("v1"))),
            (false, true) => Some(found(place, version("v2"))),
            (false, false) => None,
        };
        let mut search = OriginSearch::begin(OriginRule::EveryRecord, replicas(voters), voters);
        for place in ranked(&|place| order[place]) {
            let settled = if lost[place] {
                search.record_lost(replica(place))
            } else {
                search.record_answer(replica(place), known(place))
            };
            if let Some(settled) = settled {
                prop_assert!(!matches!(settled.finding, OriginFinding::Known(_)), "{settled:?}");
                break;
            }
            prop_assert!(!matches!(search.result().finding, OriginFinding::Known(_)));
        }
    }
}
