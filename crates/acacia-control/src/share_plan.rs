//! Division of the pools' capacity among the entries, recomputed a few times a second.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::ControlState;
use acaciabay::core::endpoint::EndpointTable;
use acaciabay::core::entry_config::EntryConfig;
use acaciabay::core::name::{HostName, PoolName};
use acaciabay::core::pool_admission::PoolShare;
use acaciabay::core::serving_lease::{LEASE_DRIFT, SERVING_LEASE};
use acaciabay::core::share_table::{PoolDemand, ShareTable};
use acaciabay::core::token_latency::PoolThrottle;
use acaciabay::ops::divide_pool::{EntryAllocation, divide_pool};

use crate::daemon::SoftState;

/// Minimum interval between two divisions. With one division per lease renewal, the leader would scan all endpoints 700
/// times a second at the size that the system is designed for.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a new leader waits for the reports of the endpoints: three report intervals.
const REPORT_WAIT: Duration = Duration::from_millis(1_500);

/// The current division of all pools.
#[derive(Debug, Default)]
pub(crate) struct SharePlan {
    table: ShareTable,
    pools: BTreeMap<PoolName, PoolPlan>,
    throttles: BTreeMap<PoolName, PoolThrottle>,
    computed_at: Option<BootTime>,
}

#[derive(Debug, Default)]
struct PoolPlan {
    capacity: u32,
    parts: BTreeMap<HostName, EntryAllocation>,
}

impl SoftState {
    /// Records an entry's demands and returns its share of each pool that it demands.
    pub(crate) fn grant_shares(
        &mut self,
        now: BootTime,
        state: &ControlState,
        host: &HostName,
        demands: Vec<(PoolName, PoolDemand)>,
    ) -> Vec<(PoolName, PoolShare)> {
        for (pool, demand) in &demands {
            self.shares.table.report(pool, host, demand.clone());
            self.shares.throttle(now, pool).observe(&demand.latency);
        }
        if self
            .shares
            .computed_at
            .is_none_or(|computed_at| now.since(computed_at) >= MIN_PLAN_INTERVAL)
        {
            let presence = &self.presence;
            self.shares.table.retain(|host| presence.may_serve(host, now));
            self.shares.recompute(now, &state.config, self.endpoints.table());
        }
        let can_divide = self.can_divide_pools(now, state);
        let grant = |(pool, demand): (PoolName, PoolDemand)| {
            let share = if can_divide {
                self.shares.grant(&pool, host)
            } else {
                unchanged_share(&demand)
            };
            (pool, share)
        };
        demands.into_iter().map(grant).collect()
    }
}

impl SoftState {
    /// Tells whether this leader knows enough to divide the pools.
    ///
    /// A new leader has heard of no endpoint yet, and would take every pool for empty; it waits until each has reported.
    /// Nor does it know what the leader before it has granted to entries that it has not heard of; it waits until all
    /// have asked, or those grants must have lapsed. Until then every entry keeps what it has.
    fn can_divide_pools(&self, now: BootTime, state: &ControlState) -> bool {
        let since = self.presence.leader_since();
        let leases_expired = now >= since + SERVING_LEASE + LEASE_DRIFT;
        let all_renewed = state.entries.rows().all(|(host, _)| self.presence.get(host).is_some());
        now >= since + REPORT_WAIT && (leases_expired || all_renewed)
    }
}

/// Returns the share that an entry reported, with its grant number unchanged.
fn unchanged_share(demand: &PoolDemand) -> PoolShare {
    PoolShare {
        pieces: demand.share,
        number: demand.number,
        ..PoolShare::default()
    }
}

impl SharePlan {
    fn recompute(&mut self, now: BootTime, config: &EntryConfig, endpoints: &EndpointTable) {
        let mut pools = BTreeMap::new();
        for pool in config.pools.rows() {
            let ready = endpoints
                .rows()
                .filter(|(name, row)| pool.contains(name) && row.takes_work(now));
            let capacity = ready.map(|(_, row)| row.pieces).fold(0, u32::saturating_add);
            let demands = self.table.demands(&pool.name);
            let used = demands.values().map(|demand| demand.used).sum();
            let throttle = self
                .throttles
                .entry(pool.name.clone())
                .or_insert_with(|| PoolThrottle::new(now));
            throttle.adjust(now, used, capacity);
            let capacity = throttle.granted(capacity);
            let parts = divide_pool(capacity, &demands);
            pools.insert(pool.name.clone(), PoolPlan { capacity, parts });
        }
        self.pools = pools;
        self.computed_at = Some(now);
    }

    fn throttle(&mut self, now: BootTime, pool: &PoolName) -> &mut PoolThrottle {
        self.throttles
            .entry(pool.clone())
            .or_insert_with(|| PoolThrottle::new(now))
    }

    fn grant(&mut self, pool: &PoolName, host: &HostName) -> PoolShare {
        let Some(plan) = self.pools.get(pool) else {
            return PoolShare::default();
        };
        let part = plan.parts.get(host).cloned().unwrap_or_default();
        let (pieces, number) = self.table.grant(pool, host, part.pieces, plan.capacity);
        PoolShare {
            pieces,
            number,
            weights: part.weights,
        }
    }
}
