//! Orders to the platform that set the number of a service's endpoints in each failure domain.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::ControlCommand;
use acaciabay::core::name::{DomainName, ServiceName};
use acaciabay::core::serving::config::PoolSpec;
use acaciabay::core::serving::endpoint_registry::EndpointPhase;
use acaciabay::core::serving::issued_order::IssuedOrder;
use acaciabay::core::serving::reading_need::{ReadingMeasure, ReadingNeed};
use acaciabay::core::serving::service_need::NeedRecorder;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::ops::plan_pool::{DomainPool, PoolView, plan_pool, plan_pool_changes, total_endpoints};
use acaciabay::ops::replace_refused::replace_refused;
use acaciabay::util::number::whole_millis;
use parking_lot::Mutex;

use super::codec::PoolOrder;
use super::duties::DutyContext;
use super::shared::ControlShared;
use super::stage_orders::StageOrders;

/// Interval at which pools are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a release of endpoints before the next one. If decode engines were released, remaining engines that are
/// to replace them need this time to change their stage.
const RELEASE_PAUSE: Duration = Duration::from_secs(5);

/// Service, failure domain and kind of the ordered endpoints: true for those that the platform may reclaim, false for
/// on-demand ones.
type OrderKey = (ServiceName, DomainName, bool);

/// Need of one service, and when it was last recorded.
#[derive(Clone, Copy, Debug, Default)]
struct PoolNeed {
    need: ReadingNeed,
    recorder: NeedRecorder,
    /// True if the need continues from a record, which is only written for uneven services.
    is_restored: bool,
    is_uneven: bool,
    /// True once this duty holder has measured the need itself.
    is_own: bool,
}

/// Planned needs and issued orders of one duty holder, that is, of the leader while it carries out the duties.
#[derive(Debug, Default)]
pub(super) struct PoolOrders {
    next_plan: BootTime,
    needs: BTreeMap<ServiceName, PoolNeed>,
    next_release: BootTime,
    issued: Arc<Mutex<BTreeMap<OrderKey, IssuedOrder>>>,
}

impl PoolOrders {
    /// Plans the pool of each service and issues the orders that it needs.
    pub(super) fn tick(&mut self, context: &DutyContext<'_>, stages: &mut StageOrders) {
        let now = context.now;
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        let Some(config) = context.shared.config() else { return };
        let is_registry_complete = context.shared.is_registry_complete(now);
        // A need that is no longer measured must not be recorded as if it were new.
        self.needs
            .retain(|service, _| config.services.get(service).is_some_and(|spec| spec.pool.is_some()));
        for (service, spec) in &config.services {
            let Some(pool) = &spec.pool else { continue };
            let measure = take_prefill_load(context.shared, service);
            let rows = self.needs.entry(service.clone());
            let row = rows.or_insert_with(|| restored_need(context, stages, service));
            row.is_uneven = row.is_restored || context.shared.is_uneven(service);
            row.need.set_uneven(row.is_uneven);
            stages.set_uneven(service, row.is_uneven);
            row.need.measure(now, measure, stages.wanted_decode_engines(service));
            row.is_own |= measure.pace > 0.0;
            self.plan_service(context, stages, service, pool, is_registry_complete);
        }
    }

    fn plan_service(
        &mut self,
        context: &DutyContext<'_>,
        stages: &mut StageOrders,
        service: &ServiceName,
        pool: &PoolSpec,
        is_registry_complete: bool,
    ) {
        let now = context.now;
        let present = present_pools(context.shared, service);
        let total = total_endpoints(present.values());
        self.record_present(service, &present);
        let (agreed, refused) = (self.accepted_counts(service), self.refused_domains(service));
        let has_calls = context.shared.soft_state().has_calls();
        let row = self.needs.entry(service.clone()).or_default();
        let need = &mut row.need;
        // `start_with` derives the need before the first measurement from the endpoints that the operators have
        // started. Reclaimable endpoints that this duty holder has ordered itself are subtracted, or they would count
        // as started by the operators.
        let own_reclaimable: u32 = agreed
            .iter()
            .map(|(domain, agreed)| reclaimable_count(&present, domain).min(*agreed))
            .sum();
        need.start_with(total.saturating_sub(own_reclaimable), is_registry_complete, has_calls);
        let readers = need.readers();
        let view = PoolView {
            agreed,
            refused,
            needed: need.needed(),
            needed_now: need.needed_now(),
            serving: total.saturating_sub(stages.resting_count(now)),
            is_idle: !need.is_measured(),
            may_release: is_registry_complete && now >= self.next_release,
            may_shrink: is_registry_complete,
            present,
        };
        let domains: Vec<DomainName> = if pool.domain_prices.is_empty() {
            view.present.keys().cloned().collect()
        } else {
            pool.domain_prices.keys().cloned().collect()
        };
        let wanted = plan_pool(pool, &domains, view.needed);
        stages.set_expected(service, total_endpoints(wanted.values()), readers);
        if view.is_idle && wanted.iter().any(|(domain, want)| view.lasting(domain) > want.lasting) {
            // Engines that the platform is about to remove need no change of stage.
            stages.suspend(now);
        }
        slog::debug!(context.shared.log, "pool planned"; "event" => event::POOL_PLANNED, "service" => service.as_str(),
            "needed" => view.needed, "serving" => view.serving, "idle" => view.is_idle,
            "readers" => readers, "pace_ms" => context.shared.soft_state().prefill_ms_per_token(service),
            "wanted" => ?wanted, "present" => ?view.present);
        let wanted = replace_refused(pool, &wanted, &view);
        for change in plan_pool_changes(pool, &wanted, &view) {
            let order = PoolOrder {
                service: service.clone(),
                domain: change.domain,
                desired: change.desired,
                reclaimable: change.reclaimable,
            };
            if self.issue(context, pool, order) && change.is_release {
                self.next_release = now + RELEASE_PAUSE;
                stages.suspend(now);
            }
        }
    }

    /// Records in each issued order how many endpoints of its kind are present in its failure domain, so that fulfilled
    /// orders are recognized.
    fn record_present(&self, service: &ServiceName, present: &BTreeMap<DomainName, DomainPool>) {
        let mut issued = self.issued.lock();
        for ((_, domain, reclaimable), order) in issued.iter_mut().filter(|((known, ..), _)| known == service) {
            let pool = present.get(domain).copied().unwrap_or_default();
            order.record_present(if *reclaimable { pool.reclaimable } else { pool.lasting });
        }
    }

    /// Returns the number of reclaimable endpoints that the platform has agreed to provide, by failure domain.
    fn accepted_counts(&self, service: &ServiceName) -> BTreeMap<DomainName, u32> {
        let issued = self.issued.lock();
        let of_service = issued.iter().filter(|(key, _)| is_reclaimable_order_for(key, service));
        of_service
            .filter_map(|((_, domain, _), order)| Some((domain.clone(), order.accepted_count()?)))
            .collect()
    }

    /// Returns the failure domains in which the platform has recently refused reclaimable endpoints.
    fn refused_domains(&self, service: &ServiceName) -> BTreeSet<DomainName> {
        let issued = self.issued.lock();
        let of_service = issued.iter().filter(|(key, _)| is_reclaimable_order_for(key, service));
        let refused = of_service.filter(|(_, order)| order.is_refused());
        refused.map(|((_, domain, _), _)| domain.clone()).collect()
    }

    /// Commits the needs of uneven services that have changed, so that the next duty holder starts from them.
    ///
    /// The duties do not wait for the commit: on a slow disk, orders and usage windows would be late.
    pub(super) fn record_needs(&mut self, context: &DutyContext<'_>, stages: &StageOrders) {
        let (now, shared) = (context.now, context.shared);
        let has_calls = shared.soft_state().has_calls();
        for (service, row) in self.needs.iter_mut().filter(|(_, row)| row.is_uneven && row.is_own) {
            let (streams, decode_engines) = (stages.stream_demand(service), stages.wanted_decode_engines(service));
            let Some(need) = row.need.record(shared.wall_millis(now), streams, decode_engines) else {
                continue;
            };
            if !row.recorder.is_due(now, &need, has_calls) {
                continue;
            }
            row.recorder.note_recorded(now, need);
            let service = service.clone();
            slog::info!(shared.log, "need recorded"; "event" => event::NEED_RECORDED, "service" => service.as_str(),
                "needed" => need.needed, "decode_engines" => need.decode_engines,
                "tokens_per_second" => need.pool_tokens_per_second, "pace_ms" => need.pace);
            metrics::gauge!("acacia_required_endpoints", "service" => service.to_string()).set(need.needed);
            let command = ControlCommand::Serving(ServingCommand::RecordNeed { service, need });
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                // If this replica no longer leads, the next duty holder starts from the record before this one.
                let _not_leading = shared.group.propose(command).await;
            });
        }
    }

    /// Issues an order unless the same one is still pending. Returns true if it was issued.
    fn issue(&self, context: &DutyContext<'_>, pool: &PoolSpec, order: PoolOrder) -> bool {
        let key = (order.service.clone(), order.domain.clone(), order.reclaimable);
        {
            let mut issued = self.issued.lock();
            let previous = issued.get(&key);
            if previous.is_some_and(|previous| previous.is_pending(context.now, order.desired)) {
                return false;
            }
            let issued_order = IssuedOrder::issue(context.now, order.desired, pool.boot_time, previous);
            issued.insert(key.clone(), issued_order);
        }
        let (context, issued) = (context.to_owned_context(), Arc::clone(&self.issued));
        tokio::spawn(async move {
            let is_accepted = context.send_pool_order(&order).await;
            if let Some(issued) = issued.lock().get_mut(&key) {
                issued.record_answer(boot_now(), is_accepted);
            }
        });
        true
    }
}

fn is_reclaimable_order_for((known, _, reclaimable): &OrderKey, service: &ServiceName) -> bool {
    known == service && *reclaimable
}

fn reclaimable_count(present: &BTreeMap<DomainName, DomainPool>, domain: &DomainName) -> u32 {
    present.get(domain).map_or(0, |pool| pool.reclaimable)
}

/// Returns the need of a service at the first plan of this duty holder: what an earlier one has recorded, if it is usable.
fn restored_need(context: &DutyContext<'_>, stages: &mut StageOrders, service: &ServiceName) -> PoolNeed {
    let (now, shared) = (context.now, context.shared);
    let mut row = PoolNeed::default();
    let Some(recorded) = shared.group.read().serving.needs.get(service).copied() else {
        return row;
    };
    let wall_ms = shared.wall_millis(now);
    row.is_restored = row.need.restore(now, wall_ms, &recorded);
    let age = recorded.usable_age(wall_ms);
    if let Some(age) = age {
        stages.restore(now, service, age, &recorded);
    }
    slog::info!(shared.log, "need restored"; "event" => event::NEED_RESTORED, "service" => service.as_str(),
        "usable" => row.is_restored, "needed" => recorded.needed, "decode_engines" => recorded.decode_engines,
        "age_ms" => age.map(whole_millis), "measured_ms" => recorded.measured_ms);
    row
}

/// Returns the prefill load of a service since the previous plan, and resets its traffic counts.
fn take_prefill_load(shared: &ControlShared, service: &ServiceName) -> ReadingMeasure {
    let mut soft = shared.soft_state();
    let traffic = std::mem::take(soft.traffic.entry(service.clone()).or_default());
    ReadingMeasure {
        unread_tokens: traffic.unread_tokens,
        pace: soft.prefill_ms_per_token(service),
    }
}

fn present_pools(shared: &ControlShared, service: &ServiceName) -> BTreeMap<DomainName, DomainPool> {
    let soft = shared.soft_state();
    let mut pools: BTreeMap<DomainName, DomainPool> = BTreeMap::new();
    let rows = soft.registry.rows().map(|(_, endpoint)| endpoint);
    for endpoint in rows.filter(|endpoint| endpoint.service == *service && endpoint.phase == EndpointPhase::Ready) {
        let pool = pools.entry(endpoint.domain.clone()).or_default();
        if endpoint.reclaimable {
            pool.reclaimable += 1;
        } else {
            pool.lasting += 1;
        }
    }
    pools
}
