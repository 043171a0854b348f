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
use acaciabay::ops::divide_pool::{EntryPart, divide_pool};

use crate::daemon::SoftState;

/// Minimum interval between two divisions. With one division per lease renewal, the leader would scan all endpoints 700
/// times a second at the size that the system is designed for.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a new leader waits for the reports of the endpoints: three report intervals.
const REPORTS_HEARD: Duration = Duration::from_millis(1_500);

/// The current division of all pools.
#[derive(Debug, Default)]
pub(crate) struct SharePlan {
    table: ShareTable,
    pools: BTreeMap<PoolName, PoolPlan>,
    throttles: BTreeMap<PoolName, PoolThrottle>,
    made_at: Option<BootTime>,
}

#[derive(Debug, Default)]
struct PoolPlan {
    capacity: u32,
    parts: BTreeMap<HostName, EntryPart>,
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
            .made_at
            .is_none_or(|made_at| now.since(made_at) >= PLAN_INTERVAL)
        {
            let presence = &self.presence;
            self.shares.table.retain(|host| presence.may_serve(host, now));
            self.shares.make(now, &state.config, self.endpoints.table());
        }
        let settled = self.is_settled(now, state);
        let grant = |(pool, demand): (PoolName, PoolDemand)| {
            let share = if settled {
                self.shares.grant(&pool, host)
            } else {
                as_before(&demand)
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
    fn is_settled(&self, now: BootTime, state: &ControlState) -> bool {
        let since = self.presence.leader_since();
        let lapsed = now >= since + SERVING_LEASE + LEASE_DRIFT;
        let all_asked = state.entries.rows().all(|(host, _)| self.presence.get(host).is_some());
        now >= since + REPORTS_HEARD && (lapsed || all_asked)
    }
}

/// Returns the share that an entry reported, with its grant number unchanged.
fn as_before(demand: &PoolDemand) -> PoolShare {
    PoolShare {
        pieces: demand.share,
        number: demand.number,
        ..PoolShare::default()
    }
}

impl SharePlan {
    fn make(&mut self, now: BootTime, config: &EntryConfig, endpoints: &EndpointTable) {
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
        self.made_at = Some(now);
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
