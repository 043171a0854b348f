//! Capacity planning for a service: the number and kind of endpoints to order in each failure domain.
//!
//! An on-demand endpoint (`lasting` in the code) stays until it is released. A reclaimable endpoint costs a fraction of
//! the price of an on-demand one, but the platform may reclaim all of them in a failure domain within seconds and then
//! have no replacements for a while. So every domain keeps a minimum of on-demand endpoints, and enough reclaimable
//! ones that losing those of two domains leaves what the load needs.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::name::DomainName;
use crate::core::serving::config::PoolSpec;
use crate::util::number::round_up;

/// Endpoint counts of one failure domain by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainPool {
    /// On-demand endpoints, which stay until they are released.
    pub lasting: u32,
    /// Endpoints that the platform may reclaim.
    pub reclaimable: u32,
}

impl DomainPool {
    /// Returns the number of endpoints of both kinds.
    pub const fn total(self) -> u32 {
        self.lasting.saturating_add(self.reclaimable)
    }
}

/// Returns the number of endpoints of both kinds in all failure domains.
pub fn total_endpoints<'pool>(pools: impl IntoIterator<Item = &'pool DomainPool>) -> u32 {
    let totals = pools.into_iter().map(|pool| pool.total());
    totals.fold(0, u32::saturating_add)
}

/// Fraction of the needed endpoints that are on-demand if reclaimable ones are worthwhile. It is enough to keep the
/// service running, although slowly, after the platform has reclaimed the reclaimable endpoints of two domains and
/// until it has replacements.
const ON_DEMAND_FRACTION: f64 = 0.14;
/// Highest price, relative to an on-demand endpoint, at which reclaimable endpoints are ordered. With three domains,
/// any single one must have enough of them for the case that the other two lose theirs. So up to three times as many
/// are paid for as the load needs, and at a price above a third they would cost more than on-demand ones.
const MAX_RECLAIMABLE_PRICE: f64 = 0.3;
/// Number of domains that may lose all their reclaimable endpoints before replacements are available. The platform
/// reclaims them in one domain after another within seconds, and has no replacements for ten seconds or more.
pub(super) const TOLERATED_DOMAIN_LOSSES: u32 = 2;

/// Returns the wanted endpoints of each failure domain for a load that needs `needed` endpoints in all.
///
/// The limits `min` and `max` of the specification apply to each failure domain, not to the total.
pub fn plan_pool(spec: &PoolSpec, domains: &[DomainName], needed: u32) -> BTreeMap<DomainName, DomainPool> {
    let count = u32::try_from(domains.len()).unwrap_or(u32::MAX).max(1);
    let is_worthwhile = spec
        .reclaimable_price
        .is_some_and(|price| price <= MAX_RECLAIMABLE_PRICE);
    let mut pools = BTreeMap::new();
    if !is_worthwhile || count < 2 {
        for (domain, lasting) in spread_evenly(spec, domains, needed) {
            let pool = DomainPool {
                lasting: spec.bounded(lasting),
                reclaimable: 0,
            };
            pools.insert(domain, pool);
        }
        return pools;
    }
    let per_domain = round_up(f64::from(needed) * ON_DEMAND_FRACTION / f64::from(count));
    let lasting = u32::try_from(per_domain).unwrap_or(u32::MAX).clamp(1, spec.max.max(1));
    let rest = needed.saturating_sub(lasting.saturating_mul(count));
    let reclaimable = rest.div_ceil(count.saturating_sub(TOLERATED_DOMAIN_LOSSES).max(1));
    for domain in domains {
        let room = spec.max.saturating_sub(lasting);
        let pool = DomainPool {
            lasting,
            reclaimable: reclaimable.max(spec.min.saturating_sub(lasting)).min(room),
        };
        pools.insert(domain.clone(), pool);
    }
    pools
}

/// Spreads endpoints evenly over the failure domains, with the remainder in the cheapest ones.
fn spread_evenly(spec: &PoolSpec, domains: &[DomainName], needed: u32) -> Vec<(DomainName, u32)> {
    let price = |domain: &DomainName| spec.domain_prices.get(domain).copied().unwrap_or(1.0);
    let mut by_price: Vec<_> = domains.to_vec();
    by_price.sort_by(|one, other| price(one).total_cmp(&price(other)));
    let count = u32::try_from(domains.len()).unwrap_or(u32::MAX).max(1);
    let (each, remainder) = (needed / count, needed % count);
    let ranked = by_price.into_iter().zip(0_u32..);
    ranked
        .map(|(domain, rank)| (domain, each + u32::from(rank < remainder)))
        .collect()
}

/// The state of a service from which orders are planned.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    /// Endpoints that take calls, by failure domain.
    pub present: BTreeMap<DomainName, DomainPool>,
    /// Reclaimable endpoints that the platform has agreed to provide, by failure domain. The number is a total and
    /// includes those already present.
    pub agreed: BTreeMap<DomainName, u32>,
    /// Failure domains in which the platform has recently refused reclaimable endpoints.
    pub refused: BTreeSet<DomainName>,
    /// Endpoints that the load needs. This value falls only after a delay.
    pub needed: u32,
    /// Endpoints that the load of the last few seconds needs, without any reserve.
    pub needed_now: u32,
    /// Endpoints that are present, without the engines that are carrying out an order to change their stage.
    pub serving: u32,
    /// True until the first call.
    pub is_idle: bool,
    /// True once all endpoints have reported, so that an order for fewer is based on a full count.
    pub may_shrink: bool,
    /// True if on-demand endpoints may be released now. After each release a pause follows.
    pub may_release: bool,
}

impl PoolView {
    /// Returns the number of on-demand endpoints in a failure domain.
    pub fn lasting(&self, domain: &DomainName) -> u32 {
        self.present.get(domain).map_or(0, |pool| pool.lasting)
    }
}

/// A change of the number of endpoints of one kind in one failure domain, to be ordered from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// The failure domain.
    pub domain: DomainName,
    /// True for reclaimable endpoints, false for on-demand ones.
    pub reclaimable: bool,
    /// The total number of endpoints of this kind after the change.
    pub desired: u32,
    /// True if the change releases on-demand endpoints.
    pub is_release: bool,
}

/// Returns the orders that lead from the present endpoints to the wanted ones.
///
/// The platform chooses which endpoints it removes. If the endpoints are engines with a prefill or a decode stage, it
/// may choose those that decode, and others have to change their stage first. So on-demand endpoints are released in
/// one failure domain at a time, and only if the endpoints that remain can carry the load. Before the first call they
/// are released in all domains at once, since no caller is affected.
pub fn plan_pool_changes(
    spec: &PoolSpec,
    wanted: &BTreeMap<DomainName, DomainPool>,
    view: &PoolView,
) -> Vec<PoolChange> {
    let mut changes = Vec::new();
    let mut has_released = false;
    let mut expendable = expendable_endpoints(view);
    let shortfall = reclaimable_shortfall(wanted, view);
    for (domain, want) in wanted {
        let have = view.present.get(domain).copied().unwrap_or_default();
        let room = spec.max.saturating_sub(have.lasting.max(want.lasting.min(spec.max)));
        let share = if view.refused.contains(domain) {
            0
        } else {
            shortfall.share
        };
        let reclaimable = want.reclaimable.saturating_add(share).min(room);
        // A domain keeps its reclaimable endpoints while the load needs them, and while the platform refuses those that
        // another domain lacks.
        let removed = have.reclaimable.saturating_sub(reclaimable);
        let may_remove = view.may_shrink && shortfall.count == 0 && removed <= expendable;
        if reclaimable > have.reclaimable {
            changes.push(change(domain, true, reclaimable, false));
        } else if removed > 0 && may_remove {
            expendable -= removed;
            changes.push(change(domain, true, reclaimable, false));
        }
        let surplus = have.lasting.saturating_sub(want.lasting);
        let agreed = view.agreed.get(domain).copied().unwrap_or_default();
        let is_release_safe = if view.is_idle {
            agreed >= reclaimable
        } else {
            !has_released && surplus <= expendable
        };
        if want.lasting > have.lasting && view.may_shrink {
            changes.push(change(domain, false, want.lasting, false));
        } else if surplus > 0 && view.may_release && is_release_safe {
            has_released = true;
            expendable = expendable.saturating_sub(surplus);
            changes.push(change(domain, false, want.lasting, true));
        }
    }
    changes
}

/// Returns how many endpoints may be removed without affecting callers.
///
/// During a shortage the result is 0, even if the plan wants fewer endpoints of one kind and more of the other: the new
/// ones take seconds to start, and callers would have to wait until then. Before the first call there is no limit,
/// since no caller waits.
const fn expendable_endpoints(view: &PoolView) -> u32 {
    if view.is_idle {
        u32::MAX
    } else {
        view.serving.saturating_sub(view.needed)
    }
}

/// Reclaimable endpoints that are missing in the failure domains where the platform has refused them.
#[derive(Clone, Copy, Debug, Default)]
struct ReclaimableShortfall {
    /// The total over these domains.
    count: u32,
    /// The number of additional endpoints that each of the other domains should have in their place: the total divided
    /// by the number of these other domains, rounded down.
    share: u32,
}

fn reclaimable_shortfall(wanted: &BTreeMap<DomainName, DomainPool>, view: &PoolView) -> ReclaimableShortfall {
    let refused = wanted.iter().filter(|(domain, _)| view.refused.contains(*domain));
    let shortfall = refused.map(|(domain, want)| {
        let have = view.present.get(domain).copied().unwrap_or_default();
        want.reclaimable.saturating_sub(have.reclaimable)
    });
    let count = shortfall.fold(0, u32::saturating_add);
    let others = wanted.keys().filter(|domain| !view.refused.contains(*domain)).count();
    ReclaimableShortfall {
        count,
        share: u32::try_from(others)
            .ok()
            .and_then(|others| count.checked_div(others))
            .unwrap_or(0),
    }
}

fn change(domain: &DomainName, reclaimable: bool, desired: u32, is_release: bool) -> PoolChange {
    PoolChange {
        domain: domain.clone(),
        reclaimable,
        desired,
        is_release,
    }
}
