//! How many endpoints of a service are ordered in each failure domain, and of which kind.
//!
//! A reclaimable endpoint costs a fraction of another, but the platform may take all of them in one failure domain away
//! within seconds, and may then have no others for a while. So a floor of endpoints that stay is kept in every domain,
//! and so many reclaimable ones beside it that the loss of all in two domains leaves what the work needs.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::name::DomainName;
use crate::core::serving::config::PoolSpec;
use crate::util::number::round_up;

/// Endpoints of one failure domain by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainPool {
    /// Those that stay until they are given back.
    pub lasting: u32,
    /// Those that the platform may take away.
    pub reclaimable: u32,
}

impl DomainPool {
    /// Returns how many there are of both kinds.
    pub const fn total(self) -> u32 {
        self.lasting + self.reclaimable
    }
}

/// The part of what the work needs that lasting endpoints bear where reclaimable ones are to be had: enough to go on,
/// slowly, while the platform has taken back those of two domains and has no others.
const LASTING_PART: f64 = 0.14;
/// The price up to which reclaimable endpoints are worth their reserve: with three domains up to three times as many are
/// paid as the work needs.
const WORTHWHILE_PRICE: f64 = 0.3;
/// How many domains may lose all their reclaimable endpoints before others can be had: the platform takes them back in
/// one domain after the other within seconds, and has none for ten seconds and more.
pub(super) const LOST_DOMAINS: u32 = 2;

/// Returns how many endpoints are wanted in each failure domain when the work needs `needed` of them.
pub fn plan_pool(spec: &PoolSpec, domains: &[DomainName], needed: u32) -> BTreeMap<DomainName, DomainPool> {
    let count = u32::try_from(domains.len()).unwrap_or(u32::MAX).max(1);
    let is_worthwhile = spec.reclaimable_price.is_some_and(|price| price <= WORTHWHILE_PRICE);
    let mut pools = BTreeMap::new();
    if !is_worthwhile || count < 2 {
        for (domain, lasting) in spread(spec, domains, needed) {
            let pool = DomainPool {
                lasting: lasting.clamp(spec.min, spec.max),
                reclaimable: 0,
            };
            pools.insert(domain, pool);
        }
        return pools;
    }
    let borne = round_up(f64::from(needed) * LASTING_PART / f64::from(count));
    let lasting = u32::try_from(borne).unwrap_or(u32::MAX).clamp(1, spec.max.max(1));
    let rest = needed.saturating_sub(lasting * count);
    let reclaimable = rest.div_ceil(count.saturating_sub(LOST_DOMAINS).max(1));
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

/// Spreads endpoints evenly over the failure domains, the odd ones to the cheapest.
fn spread(spec: &PoolSpec, domains: &[DomainName], needed: u32) -> Vec<(DomainName, u32)> {
    let price = |domain: &DomainName| spec.domain_prices.get(domain).copied().unwrap_or(1.0);
    let mut by_price: Vec<_> = domains.to_vec();
    by_price.sort_by(|one, other| price(one).total_cmp(&price(other)));
    let count = u32::try_from(domains.len()).unwrap_or(u32::MAX).max(1);
    let (each, odd) = (needed / count, needed % count);
    let places = by_price.into_iter().zip(0_u32..);
    places
        .map(|(domain, place)| (domain, each + u32::from(place < odd)))
        .collect()
}

/// What decides which orders are given now.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    /// Endpoints by failure domain that take calls.
    pub present: BTreeMap<DomainName, DomainPool>,
    /// Reclaimable endpoints by failure domain that the platform has agreed to.
    pub agreed: BTreeMap<DomainName, u32>,
    /// Failure domains in which the platform has lately refused reclaimable endpoints.
    pub refused: BTreeSet<DomainName>,
    /// Endpoints that the work needs.
    pub needed: u32,
    /// Endpoints that the work of the last seconds needs, without what is held beside them.
    pub needed_now: u32,
    /// Endpoints that serve: present, and not carrying out an order.
    pub serving: u32,
    /// Whether no call has come yet.
    pub is_idle: bool,
    /// Whether all endpoints have reported, so that fewer may be ordered than were before.
    pub may_shrink: bool,
    /// Whether endpoints may be given back now; after each time some are, a while has to pass.
    pub may_give_back: bool,
}

impl PoolView {
    /// Returns how many lasting endpoints there are in a failure domain.
    pub fn lasting(&self, domain: &DomainName) -> u32 {
        self.present.get(domain).map_or(0, |pool| pool.lasting)
    }
}

/// An order to give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// Where.
    pub domain: DomainName,
    /// Of which kind.
    pub reclaimable: bool,
    /// How many there are to be.
    pub desired: u32,
    /// Whether lasting endpoints are given back.
    pub gives_back: bool,
}

/// Returns the orders that lead from what is there to what is wanted.
///
/// Which endpoints the platform takes back is its choice, and may be the very ones that make the tokens. So lasting ones
/// are given back in one failure domain at a time, and only once so many others serve that the work can do without;
/// before the first call all at once, since nobody is served meanwhile.
pub fn plan_pool_changes(
    spec: &PoolSpec,
    wanted: &BTreeMap<DomainName, DomainPool>,
    view: &PoolView,
) -> Vec<PoolChange> {
    let mut changes = Vec::new();
    let mut has_given_back = false;
    let mut dispensable = dispensable_endpoints(view);
    let lacking = lacking_endpoints(wanted, view);
    for (domain, want) in wanted {
        let have = view.present.get(domain).copied().unwrap_or_default();
        let room = spec.max.saturating_sub(have.lasting.max(want.lasting.min(spec.max)));
        let share = if view.refused.contains(domain) {
            0
        } else {
            lacking.share
        };
        let reclaimable = want.reclaimable.saturating_add(share).min(room);
        // Nothing is given up in one domain while another lacks what it should have, nor while the work needs it.
        let given_up = have.reclaimable.saturating_sub(reclaimable);
        let may_shrink = view.may_shrink && lacking.count == 0 && given_up <= dispensable;
        if reclaimable > have.reclaimable {
            changes.push(change(domain, true, reclaimable, false));
        } else if given_up > 0 && may_shrink {
            dispensable -= given_up;
            changes.push(change(domain, true, reclaimable, false));
        }
        let surplus = have.lasting.saturating_sub(want.lasting);
        let agreed = view.agreed.get(domain).copied().unwrap_or_default();
        let is_replaced = if view.is_idle {
            agreed >= reclaimable
        } else {
            !has_given_back && surplus <= dispensable
        };
        if want.lasting > have.lasting && view.may_shrink {
            changes.push(change(domain, false, want.lasting, false));
        } else if surplus > 0 && view.may_give_back && is_replaced {
            has_given_back = true;
            dispensable = dispensable.saturating_sub(surplus);
            changes.push(change(domain, false, want.lasting, true));
        }
    }
    changes
}

/// Returns how many endpoints can be done without. Under a shortage that is none, whatever the plan says: the kinds that
/// it would exchange for each other take seconds to start, and callers would wait for them. Before the first call nobody
/// does.
const fn dispensable_endpoints(view: &PoolView) -> u32 {
    if view.is_idle {
        u32::MAX
    } else {
        view.serving.saturating_sub(view.needed)
    }
}

/// What the platform does not give where it is wanted.
#[derive(Clone, Copy, Debug, Default)]
struct LackingEndpoints {
    /// How many there are in all.
    count: u32,
    /// How many more each domain in which it has not refused any should have.
    share: u32,
}

fn lacking_endpoints(wanted: &BTreeMap<DomainName, DomainPool>, view: &PoolView) -> LackingEndpoints {
    let refused = wanted.iter().filter(|(domain, _)| view.refused.contains(*domain));
    let lacking = refused.map(|(domain, want)| {
        let have = view.present.get(domain).copied().unwrap_or_default();
        want.reclaimable.saturating_sub(have.reclaimable)
    });
    let count: u32 = lacking.sum();
    let others = wanted.keys().filter(|domain| !view.refused.contains(*domain)).count();
    LackingEndpoints {
        count,
        share: u32::try_from(others)
            .ok()
            .and_then(|others| count.checked_div(others))
            .unwrap_or(0),
    }
}

fn change(domain: &DomainName, reclaimable: bool, desired: u32, gives_back: bool) -> PoolChange {
    PoolChange {
        domain: domain.clone(),
        reclaimable,
        desired,
        gives_back,
    }
}
