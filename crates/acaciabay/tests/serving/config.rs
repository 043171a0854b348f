//! Tests of configuration lookups and validation.

use acaciabay::core::name::ServiceName;
use acaciabay::core::serving::config::{CallKind, CallRoute, PoolSpec};
use acaciabay::core::serving::config_index::{AccessRefusal, ConfigIndex};
use proptest::prelude::*;
use std::time::Duration;

use crate::fixtures::{config, customer, fixed_cases, open_config, pool, route, share};

#[test]
fn the_longest_prefix_wins() {
    let index = ConfigIndex::new(open_config(vec![route("short", "/a/"), route("long", "/a/b/")]));

    let found = |path: &str| {
        index
            .admit("shop.example", path, None)
            .map(|call| call.route.name.clone())
    };

    assert_eq!(found("/a/b/c"), Ok("long".to_owned()));
    assert_eq!(found("/a/bc"), Ok("short".to_owned()));
    assert_eq!(found("/ab"), Err(AccessRefusal::NoRoute));
    assert_eq!(found(""), Err(AccessRefusal::NoRoute));
}

#[test]
fn a_key_names_its_customer_and_no_other() {
    let customers = vec![customer("one", &["k1"]), customer("two", &["k2", "k3"])];
    let index = ConfigIndex::new(config(vec![route("r", "/a/")], customers));

    let found = |key| index.admit("shop.example", "/a/", key);

    let name = |key| {
        found(key)
            .ok()
            .and_then(|call| call.customer.map(|row| row.name.to_string()))
    };
    assert_eq!(name(Some("k3")), Some("two".to_owned()));
    assert_eq!(found(Some("k")).err(), Some(AccessRefusal::UnknownKey));
    assert_eq!(found(None).err(), Some(AccessRefusal::UnknownKey));
}

/// Guards against routes that are open to everybody once the last customer has left, with its key withdrawn.
#[test]
fn no_key_is_known_once_the_last_customer_has_left() {
    let public = CallRoute {
        public: true,
        ..route("open", "/open/")
    };
    let routes = vec![route("r", "/a/"), public];
    let keyless = customer("one", &[]);

    for customers in [Vec::new(), vec![keyless]] {
        let index = ConfigIndex::new(config(routes.clone(), customers));

        let refused = [Some("k1"), None].map(|key| index.admit("shop.example", "/a/", key).err());
        assert_eq!(refused, [Some(AccessRefusal::UnknownKey); 2]);
        assert!(index.admit("shop.example", "/open/", Some("k1")).is_ok());
    }
}

#[test]
fn a_public_route_asks_for_no_key() {
    let public = CallRoute {
        public: true,
        ..route("r", "/a/")
    };
    let index = ConfigIndex::new(config(vec![public], vec![customer("one", &["k1"])]));

    assert!(index.admit("shop.example", "/a/", None).is_ok());
}

#[test]
fn a_customers_rank_goes_before_the_routes() {
    let mut urgent = customer("one", &["k1"]);
    urgent.priority = Some(0);
    let index = ConfigIndex::new(config(vec![route("r", "/a/")], vec![urgent, customer("two", &["k2"])]));

    let rank = |key| {
        index
            .admit("shop.example", "/a/", Some(key))
            .map(|call| call.priority())
    };

    assert_eq!(rank("k1"), Ok(0));
    assert_eq!(rank("k2"), Ok(1));
}

/// A configuration with four mistakes is sent. An operator who is told of one at a time sends it five times.
#[test]
fn all_mistakes_are_found_at_once() {
    let unknown = CallRoute {
        shares: vec![share("nowhere", 1)],
        ..route("unknown", "/a/")
    };
    let weightless = CallRoute {
        shares: vec![share("app", 0), share("other", 0)],
        timeout: Duration::ZERO,
        ..route("weightless", "/b/")
    };
    let customers = vec![customer("one", &["k"]), customer("two", &["k"])];
    let document = config(vec![unknown, weightless, route("same", "/b/")], customers);

    let findings: Vec<String> = document.findings().iter().map(ToString::to_string).collect();

    assert_eq!(
        findings,
        [
            "unknown: service `nowhere` is unknown",
            "weightless: the weights add up to 0",
            "weightless: the timeout is 0",
            "same: another route has the same host and prefix",
            "two: another customer has the same key",
        ]
    );
}

/// Guards against an operator's slip that comes into force: the bounds of a pool, exchanged.
#[test]
fn crossed_bounds_are_named_with_their_service() {
    let mut document = config(vec![route("r", "/a/")], Vec::new());
    for (service, min) in [("app", 7), ("other", 6)] {
        let spec = document
            .services
            .get_mut(&ServiceName::new(service))
            .expect("the service is there");
        spec.pool = Some(PoolSpec { min, ..pool(6, None) });
    }

    let contradictions: Vec<String> = document.contradictions().iter().map(ToString::to_string).collect();

    assert_eq!(contradictions, ["app: the pool's min 7 is above its max 6"]);
    assert_eq!(document.findings(), []);
}

#[test]
fn callers_leave_a_stream_after_the_longest_of_three_pauses() {
    let stream = CallRoute {
        kind: CallKind::Stream { resumable: true },
        target_latency: Duration::from_millis(800),
        target_gap: Some(Duration::from_millis(500)),
        ..route("r", "/a/")
    };

    assert_eq!(stream.event_timeout(), Duration::from_secs(4));
    assert_eq!(route("r", "/a/").event_timeout(), Duration::from_secs(2));
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// A split sends each service the share of calls that its weight specifies, and none to a weight of 0.
    #[test]
    fn a_split_follows_its_weights(weights in prop::collection::vec(0_u64..20, 1..5), draw: u64) {
        prop_assume!(weights.iter().sum::<u64>() > 0);
        let names = ["s0", "s1", "s2", "s3"];
        let split = CallRoute {
            shares: weights.iter().zip(names).map(|(weight, name)| share(name, *weight)).collect(),
            ..route("r", "/a/")
        };
        let total: u64 = weights.iter().sum();
        let mut places: Vec<&str> = Vec::new();
        for (weight, name) in weights.iter().zip(names) {
            places.extend(std::iter::repeat_n(name, usize::try_from(*weight).expect("weights are small")));
        }
        let expected = places[usize::try_from(draw % total).expect("totals are small")];
        prop_assert_eq!(split.pick_service(draw).map(acaciabay::core::name::ServiceName::as_str), Some(expected));
    }

    /// Looking up the prefixes of the path finds the same route as scanning all routes.
    #[test]
    fn a_look_up_agrees_with_a_scan(prefixes in prop::collection::btree_set("/([ab]/){0,3}", 1..6), path in "/([abc]/){0,4}[ab]?") {
        let routes: Vec<_> = prefixes.iter().map(|prefix| route(prefix, prefix)).collect();
        let scanned = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str())).max_by_key(|prefix| prefix.len());
        let index = ConfigIndex::new(open_config(routes));
        let found = index.admit("shop.example", &path, None).ok().map(|call| call.route.name.clone());
        prop_assert_eq!(found.as_ref(), scanned);
    }
}
