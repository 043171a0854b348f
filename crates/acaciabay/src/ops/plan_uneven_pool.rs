//! Capacity planning for services whose endpoints are uneven: nothing is spread before a measurement, and endpoints are
//! released in steps.
//!
//! The platform chooses which endpoints it removes, also engines that decode. Another engine takes seconds to change its
//! stage, and a new endpoint takes seconds to start. So only a part of the endpoints is released at a time, and none
//! while others are refused or missing.

use std::collections::BTreeMap;

use crate::core::name::DomainName;
use crate::core::serving::config::PoolSpec;
use crate::ops::plan_pool::{DomainPool, PoolChange, PoolView, plan_pool};

/// Divisor of the endpoints that serve that gives the largest number released in one step.
const RELEASE_STEP_DIVISOR: u32 = 10;

/// Returns the wanted endpoints of each failure domain. `measured` is the need as measured, or `None` before the first
/// measurement; then the endpoints remain as the operators have started them, within the minimum of the specification.
pub fn plan_uneven_pool(
    spec: &PoolSpec,
    domains: &[DomainName],
    present: &BTreeMap<DomainName, DomainPool>,
    measured: Option<u32>,
) -> BTreeMap<DomainName, DomainPool> {
    if let Some(measured) = measured {
        return plan_pool(spec, domains, measured);
    }
    let unchanged = domains.iter().map(|domain| {
        let have = present.get(domain).copied().unwrap_or_default();
        let lasting = have.lasting.max(spec.min.saturating_sub(have.reclaimable));
        (domain.clone(), DomainPool { lasting, ..have })
    });
    unchanged.collect()
}

/// Limits the releases among planned changes to a tenth of the endpoints that serve, in all failure domains together. Marks
/// each remaining one as a release, after which a pause follows.
///
/// `is_short` means that callers wait or are refused for want of endpoints, `is_refused` that the platform has refused the
/// endpoints of a change. In both cases nothing is released, since what is released could not be had back when it is needed.
pub fn limit_releases(
    changes: Vec<PoolChange>,
    view: &PoolView,
    is_short: bool,
    is_refused: impl Fn(&PoolChange) -> bool,
) -> Vec<PoolChange> {
    let removed_by = |change: &PoolChange| present_count(change, view).saturating_sub(change.desired);
    let lacks_refused = changes
        .iter()
        .any(|change| removed_by(change) == 0 && is_refused(change));
    let mut step = if view.may_release && !is_short && !lacks_refused {
        (view.serving / RELEASE_STEP_DIVISOR).max(1)
    } else {
        0
    };
    let limited = changes.into_iter().filter_map(|change| {
        let removed = removed_by(&change);
        if removed == 0 {
            return Some(change);
        }
        let released = removed.min(step);
        step -= released;
        (released > 0).then(|| PoolChange {
            desired: change.desired + removed - released,
            is_release: true,
            ..change
        })
    });
    limited.collect()
}

fn present_count(change: &PoolChange, view: &PoolView) -> u32 {
    let have = view.present.get(&change.domain).copied().unwrap_or_default();
    if change.reclaimable {
        have.reclaimable
    } else {
        have.lasting
    }
}
