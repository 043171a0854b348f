//! Tests of the number and kind of endpoints that are ordered.

use std::collections::BTreeMap;

use acaciabay::core::name::DomainName;
use acaciabay::core::serving::config::PoolSpec;
use acaciabay::core::serving::reading_need::{ReadingMeasure, ReadingNeed};
use acaciabay::ops::plan_pool::{DomainPool, PoolView, plan_pool, plan_pool_changes};
use acaciabay::ops::replace_refused::replace_refused;
use proptest::prelude::*;

use crate::fixtures::{at, domains, fixed_cases, pool};

fn counts(lasting: u32, reclaimable: u32) -> DomainPool {
    DomainPool { lasting, reclaimable }
}

fn in_each_domain(pool: DomainPool) -> BTreeMap<DomainName, DomainPool> {
    domains(&["a", "b", "c"])
        .into_iter()
        .map(|domain| (domain, pool))
        .collect()
}

fn busy(present: DomainPool, needed: u32, serving: u32) -> PoolView {
    PoolView {
        present: in_each_domain(present),
        needed,
        needed_now: needed,
        serving,
        may_shrink: true,
        may_release: true,
        ..PoolView::default()
    }
}

/// Guards against ordering reclaimable endpoints when no price for them is configured.
#[test]
fn endpoints_are_on_demand_where_others_are_not_cheaper() {
    let wanted = plan_pool(&pool(6, None), &domains(&["a", "b", "c"]), 10);

    let lasting: Vec<u32> = wanted.values().map(|pool| pool.lasting).collect();
    assert_eq!(lasting, [3, 4, 3]);
    assert!(wanted.values().all(|pool| pool.reclaimable == 0));
}

/// Guards against a planner that panics at a configuration which an earlier release has accepted: its `min` is above its
/// `max`. All processes that lead would end one after the other.
#[test]
fn a_pool_whose_bounds_cross_is_planned_up_to_its_max() {
    for (names, price) in [
        (&["a", "b", "c"][..], None),
        (&["a"][..], Some(0.2)),
        (&["a", "b", "c"][..], Some(0.2)),
    ] {
        let crossed = PoolSpec {
            min: 4,
            ..pool(3, price)
        };

        let wanted = plan_pool(&crossed, &domains(names), 30);

        assert!(wanted.values().all(|pool| pool.total() == 3), "{wanted:?}");
    }
}

/// Guards against a release in all domains at once. The platform chooses the endpoints that it removes and may choose
/// all decode engines; callers would then find none until other engines have changed their stage.
#[test]
fn on_demand_endpoints_are_released_one_domain_at_a_time() {
    let view = busy(counts(3, 3), 9, 18);

    let changes = plan_pool_changes(&pool(6, Some(0.2)), &in_each_domain(counts(1, 3)), &view);

    assert_eq!(changes.iter().filter(|change| change.is_release).count(), 1);
}

/// Guards against shrinking other domains after the platform has reclaimed all endpoints of one. The load has fallen,
/// so the regular plan would remove as many endpoints again at the same moment.
#[test]
fn nothing_shrinks_while_a_domain_lacks_endpoints() {
    let mut view = busy(counts(1, 9), 9, 21);
    view.present.insert("b".into(), counts(1, 0));
    view.refused.insert("b".into());

    let changes = plan_pool_changes(&pool(20, Some(0.2)), &in_each_domain(counts(1, 6)), &view);

    assert!(changes.iter().all(|change| change.desired >= 6), "{changes:?}");
    assert!(
        changes.iter().all(|change| change.domain.as_str() == "b"),
        "{changes:?}"
    );
}

/// Guards against a loss of capacity when one domain has no reclaimable endpoints: the others are asked for the
/// shortfall.
#[test]
fn other_domains_make_up_for_a_refusal() {
    let mut view = busy(counts(1, 6), 9, 15);
    view.present.insert("b".into(), counts(1, 0));
    view.refused.insert("b".into());

    let changes = plan_pool_changes(&pool(20, Some(0.2)), &in_each_domain(counts(1, 6)), &view);

    let desired: Vec<_> = changes
        .iter()
        .map(|change| (change.domain.as_str(), change.desired))
        .collect();
    assert_eq!(desired, [("a", 9), ("b", 6), ("c", 9)]);
}

/// Guards against removing reclaimable endpoints before their on-demand replacements serve. A burst arrives just after
/// one domain has lost its reclaimable endpoints, and the plan for that load wants more on-demand and fewer reclaimable
/// ones. Without the latter at the peak, callers are refused for seconds.
#[test]
fn kinds_are_not_exchanged_while_fewer_serve_than_are_needed() {
    let mut view = busy(counts(1, 5), 31, 13);
    view.present.insert("b".into(), counts(1, 0));

    let changes = plan_pool_changes(&pool(6, Some(0.15)), &in_each_domain(counts(2, 4)), &view);

    assert!(
        changes
            .iter()
            .all(|change| !change.reclaimable || change.domain.as_str() == "b"),
        "{changes:?}"
    );
}

/// Guards against removing more than the surplus: the load has fallen, every domain has two endpoints too many, and a
/// removal in all of them at once would exceed what can be spared.
#[test]
fn no_more_reclaimable_endpoints_are_removed_than_can_be_spared() {
    let view = busy(counts(1, 5), 15, 18);

    let changes = plan_pool_changes(&pool(6, Some(0.15)), &in_each_domain(counts(1, 3)), &view);

    assert_eq!(changes.len(), 1, "{changes:?}");
}

/// Guards against refused calls while the platform has nothing to offer. It reclaims two of three domains in a row and
/// has no reclaimable endpoints for ten seconds; on-demand ones start in four. Without them, eight endpoints do the
/// work of twelve, and callers are refused until reclaimable ones are available again.
#[test]
fn on_demand_endpoints_replace_refused_ones() {
    let mut view = busy(counts(1, 0), 9, 8);
    view.present.insert("a".into(), counts(1, 5));
    view.refused.extend(["b".into(), "c".into()]);

    let wanted = replace_refused(&pool(6, Some(0.15)), &in_each_domain(counts(1, 5)), &view);

    // The platform may also reclaim the five endpoints that are left in domain a.
    let lasting: Vec<u32> = wanted.values().map(|pool| pool.lasting).collect();
    assert_eq!(lasting, [1, 4, 4]);
}

/// Guards against a shortage when the platform reclaims one of three domains and the load exceeds what the others
/// carry.
#[test]
fn one_refused_domain_is_replaced_as_far_as_the_load_needs() {
    let mut view = busy(counts(1, 4), 12, 11);
    view.present.insert("b".into(), counts(1, 0));
    view.refused.insert("b".into());

    let wanted = replace_refused(&pool(6, Some(0.15)), &in_each_domain(counts(1, 4)), &view);

    let lasting: Vec<u32> = wanted.values().map(|pool| pool.lasting).collect();
    assert_eq!(lasting, [1, 2, 1]);
}

/// Guards against paying for replacements when one domain is refused but the others carry the load.
#[test]
fn a_refusal_without_shortage_is_not_replaced() {
    let mut view = busy(counts(1, 5), 12, 13);
    view.present.insert("b".into(), counts(1, 0));
    view.refused.insert("b".into());
    let wanted = in_each_domain(counts(1, 5));

    assert_eq!(replace_refused(&pool(6, Some(0.15)), &wanted, &view), wanted);
}

#[test]
fn nothing_is_released_while_the_load_needs_it() {
    let view = busy(counts(3, 0), 9, 9);

    let changes = plan_pool_changes(&pool(6, Some(0.2)), &in_each_domain(counts(1, 3)), &view);

    assert!(changes.iter().all(|change| change.reclaimable && change.desired == 3));
}

/// Guards against a slow or early release before the first call. No caller is affected then, so on-demand endpoints are
/// released in all domains at once, but only after the platform has agreed to their replacements.
#[test]
fn an_idle_system_releases_in_all_domains_at_once() {
    let idle = PoolView {
        is_idle: true,
        ..busy(counts(3, 0), 9, 9)
    };
    let agreed = PoolView {
        agreed: domains(&["a", "b", "c"])
            .into_iter()
            .map(|domain| (domain, 3))
            .collect(),
        ..idle.clone()
    };
    let released = |view: &PoolView| {
        let changes = plan_pool_changes(&pool(6, Some(0.2)), &in_each_domain(counts(1, 3)), view);
        changes.iter().filter(|change| change.is_release).count()
    };

    assert_eq!(released(&idle), 0);
    assert_eq!(released(&agreed), 3);
}

#[test]
fn the_need_rises_at_once_and_falls_late() {
    let mut need = ReadingNeed::default();
    need.start_with(9, true, false);
    let measure = |tokens| ReadingMeasure {
        unread_tokens: tokens,
        pace: 0.02,
    };
    need.measure(at(0), measure(0), 2);
    need.measure(at(500), measure(200_000), 2);
    let risen = need.needed();

    need.measure(at(1_000), measure(0), 2);
    let after_a_pause = need.needed();
    for second in 2..40 {
        need.measure(at(second * 1_000), measure(0), 2);
    }

    assert!(risen > 9, "{risen}");
    assert_eq!(after_a_pause, risen);
    assert!(need.needed() < 5, "{}", need.needed());
}

/// A mix swings back every fourteen seconds, and the endpoints that it needs then were given back in between.
#[test]
fn mix_that_swings_back_finds_its_endpoints() {
    const SWING: u64 = 14;
    let mut need = ReadingNeed::default();
    let mut least_in_trough = u32::MAX;
    let mut most = 0;
    for second in 0..6 * SWING {
        let is_long = (second / SWING).is_multiple_of(2);
        let measure = ReadingMeasure {
            unread_tokens: if is_long { 3_000_000 } else { 1_000_000 },
            pace: 0.02,
        };
        need.measure(at(second * 1_000), measure, 4);
        most = most.max(need.needed());
        if second >= SWING && !is_long {
            least_in_trough = least_in_trough.min(need.needed());
        }
    }

    assert!(
        f64::from(least_in_trough) >= 0.65 * f64::from(most),
        "{least_in_trough} of {most}"
    );
}

#[test]
fn what_operators_start_with_is_taken_for_the_need_with_a_reserve() {
    let mut need = ReadingNeed::default();

    need.start_with(9, true, false);
    need.start_with(14, true, false);

    assert_eq!(need.needed(), 14);
    assert!(!need.is_measured());
}

/// Guards against a start-up reserve after each change of leader. A leader that takes over while calls run would
/// otherwise treat the system as just started and add a reserve, which is paid for until the load falls.
#[test]
fn a_later_leader_adds_no_reserve() {
    let mut need = ReadingNeed::default();

    need.start_with(18, true, true);

    assert_eq!(need.needed(), 18);
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// After the platform reclaims all reclaimable endpoints of any two domains, the rest carries the load as far as
    /// the limits allow, and no domain exceeds its limit.
    #[test]
    fn the_loss_of_two_domains_leaves_what_is_needed(needed in 0_u32..60, most in 2_u32..20) {
        let names = domains(&["a", "b", "c"]);
        let spec = pool(most, Some(0.2));
        let wanted = plan_pool(&spec, &names, needed);
        let total: u32 = wanted.values().map(|pool| pool.total()).sum();
        for pool in wanted.values() {
            prop_assert!(pool.total() <= most);
            prop_assert!(pool.lasting >= 1);
            let is_full = pool.total() == most;
            prop_assert!(is_full || total - 2 * pool.reclaimable >= needed);
        }
    }
}
