//! Replacement of refused reclaimable endpoints by on-demand ones.
//!
//! The platform reclaims all reclaimable endpoints of a failure domain at once, often in several domains in a row, and
//! may refuse new ones for ten seconds or more. On-demand endpoints (`lasting` in the code) start within seconds. They
//! are ordered evenly over the failure domains that are below their maximum, so that no domain is filled with them and
//! the reclaimable ones fit again once they are available. The regular plan then releases the on-demand ones.

use std::collections::BTreeMap;

use crate::core::name::DomainName;
use crate::core::serving::config::PoolSpec;
use crate::ops::plan_pool::{DomainPool, PoolView, TOLERATED_DOMAIN_LOSSES, total_endpoints};

/// Returns the wanted endpoints of each failure domain, with additional on-demand ones in place of those that the
/// platform refuses.
///
/// They are added until there are as many endpoints as the present load needs, or until all domains are at their
/// maximum.
pub fn replace_refused(
    spec: &PoolSpec,
    wanted: &BTreeMap<DomainName, DomainPool>,
    view: &PoolView,
) -> BTreeMap<DomainName, DomainPool> {
    let mut filled = wanted.clone();
    if view.is_idle || view.refused.is_empty() {
        return filled;
    }
    let mut expected: BTreeMap<&DomainName, DomainPool> = wanted
        .iter()
        .map(|(domain, want)| (domain, expected_pool(domain, *want, view)))
        .collect();
    let total = total_endpoints(expected.values());
    // The length of the range is the number of missing endpoints.
    for _ in total.saturating_sub(endpoints_at_risk(&expected, view))..view.needed_now {
        let with_room = expected.iter_mut().filter(|(_, pool)| pool.total() < spec.max);
        let Some((domain, pool)) = with_room.min_by_key(|(_, pool)| pool.total()) else {
            break;
        };
        pool.lasting += 1;
        if let Some(want) = filled.get_mut(*domain) {
            want.lasting = want.lasting.max(pool.lasting);
        }
    }
    filled
}

/// Returns how many of the expected endpoints must not be counted on, because the loss of one more failure domain could
/// remove them.
///
/// While the platform refuses reclaimable endpoints in fewer than [`TOLERATED_DOMAIN_LOSSES`] domains, the reserve in
/// the plan covers the next loss, and the result is 0. Otherwise the reserve is used up. The result is then the largest
/// number of reclaimable endpoints in any domain without a refusal. Their replacements have to be ordered before the
/// loss, since on-demand endpoints take seconds to start.
fn endpoints_at_risk(expected: &BTreeMap<&DomainName, DomainPool>, view: &PoolView) -> u32 {
    let refused = u32::try_from(view.refused.len()).unwrap_or(u32::MAX);
    if refused < TOLERATED_DOMAIN_LOSSES {
        return 0;
    }
    let not_refused = expected.iter().filter(|(domain, _)| !view.refused.contains(**domain));
    not_refused.map(|(_, pool)| pool.reclaimable).max().unwrap_or(0)
}

/// Returns the endpoints to expect in a failure domain: the present ones and those that the plan adds, but no
/// additional reclaimable ones where the platform refuses them. Endpoints that the plan removes are still counted.
fn expected_pool(domain: &DomainName, want: DomainPool, view: &PoolView) -> DomainPool {
    let have = view.present.get(domain).copied().unwrap_or_default();
    let reclaimable = if view.refused.contains(domain) {
        have.reclaimable
    } else {
        want.reclaimable.max(have.reclaimable)
    };
    DomainPool {
        lasting: want.lasting.max(have.lasting),
        reclaimable,
    }
}
