//! Lets requests into pools: waits for the entry's share, in the library's fair order.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acaciabay::core::clock::BootTime;
use acaciabay::core::fair_queue::{RequestCost, TicketNumber};
use acaciabay::core::name::{CustomerName, PoolName};
use acaciabay::core::pool_admission::{AdmissionRefusal, PoolAdmission, PoolShare};
use acaciabay::core::share_table::PoolDemand;
use acaciabay::core::token_latency::TokenLatencyEstimator;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// The admission of all pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolAdmissions {
    pools: Arc<Mutex<BTreeMap<PoolName, PoolState>>>,
}

#[derive(Debug)]
struct PoolState {
    admission: PoolAdmission,
    pace: TokenLatencyEstimator,
    waiting: HashMap<TicketNumber, WaitingTicket>,
}

#[derive(Debug)]
struct WaitingTicket {
    customer: CustomerName,
    cost: RequestCost,
    admitted: oneshot::Sender<()>,
}

/// A request that was let in; dropping it makes room for the next one.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    _place: Option<AdmissionPlace>,
}

impl AdmissionPermit {
    /// Returns a permit that stands for no share, as the baseline of the measurements uses it.
    pub(crate) const fn unlimited() -> Self {
        Self { _place: None }
    }
}

/// A request's part of the share, if it has begun.
#[derive(Debug)]
struct AdmissionPlace {
    admissions: PoolAdmissions,
    pool: PoolName,
    customer: CustomerName,
    cost: RequestCost,
    has_begun: bool,
}

impl Drop for AdmissionPlace {
    fn drop(&mut self) {
        if !self.has_begun {
            return;
        }
        self.admissions.with_pool(&self.pool, |state| {
            state.admission.end(&self.customer, self.cost);
            state.admit_waiting(boot_now());
        });
    }
}

/// A request that waits; dropping it, because the caller has gone or its time is up, takes it out of its line.
#[derive(Debug)]
struct WaitingPlace {
    ticket: TicketNumber,
    place: Option<AdmissionPlace>,
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let Some(mut place) = self.place.take() else { return };
        let waited = place.admissions.with_pool(&place.pool, |state| {
            state.waiting.remove(&self.ticket);
            state.admission.cancel(&place.customer, self.ticket)
        });
        // One that no longer waits was admitted just now, and what was begun for it has to be ended.
        place.has_begun = !waited;
    }
}

impl PoolAdmissions {
    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Refuses at once what would wait longer than `patience`, and whatever has in fact waited as long.
    pub(crate) async fn admit(
        &self,
        now: BootTime,
        pool: &PoolName,
        customer: &CustomerName,
        cost: RequestCost,
        patience: Duration,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        let (admitted, receiver) = oneshot::channel();
        let ticket = self.with_pool(pool, |state| {
            let ticket = state.admission.enqueue(now, customer, cost, patience)?;
            state.waiting.insert(
                ticket,
                WaitingTicket {
                    customer: customer.clone(),
                    cost,
                    admitted,
                },
            );
            state.admit_waiting(now);
            Ok(ticket)
        })?;
        let place = AdmissionPlace {
            admissions: self.clone(),
            pool: pool.clone(),
            customer: customer.clone(),
            cost,
            has_begun: false,
        };
        let mut waiting = WaitingPlace {
            ticket,
            place: Some(place),
        };
        if !matches!(tokio::time::timeout(patience, receiver).await, Ok(Ok(()))) {
            return Err(AdmissionRefusal { retry_after: patience });
        }
        let mut place = waiting.place.take();
        if let Some(place) = &mut place {
            place.has_begun = true;
        }
        Ok(AdmissionPermit { _place: place })
    }

    /// Estimates how long an answer of so many tokens takes.
    pub(crate) fn expected_service(&self, pool: &PoolName, output_tokens: u64) -> Duration {
        self.with_pool(pool, |state| {
            state.pace.expected_service_time(boot_now(), output_tokens)
        })
    }

    /// Notes how long an engine took to its first token.
    pub(crate) fn note_first(&self, pool: &PoolName, first: Duration) {
        self.with_pool(pool, |state| state.pace.record_first_token(boot_now(), first));
    }

    /// Notes how long an engine took from one token to the next.
    pub(crate) fn note_gap(&self, pool: &PoolName, gap: Duration) {
        self.with_pool(pool, |state| state.pace.record_token_gap(boot_now(), gap));
    }

    /// Returns what this entry asks for in each of these pools.
    pub(crate) fn demands<'pool>(&self, pools: impl Iterator<Item = &'pool PoolName>) -> Vec<(PoolName, PoolDemand)> {
        let demand = |name: &PoolName| {
            let demand = self.with_pool(name, |state| PoolDemand {
                used: state.admission.used(),
                share: state.admission.share().pieces,
                number: state.admission.share().number,
                customers: state.admission.demand(),
                latency: state.pace.take_report(),
            });
            (name.clone(), demand)
        };
        pools.map(demand).collect()
    }

    /// Shows operators what this entry may have in use of each pool, and what it has.
    pub(crate) fn show(&self) -> Value {
        let pools = self.pools.lock();
        let rows = pools.iter().map(|(name, state)| {
            let share = state.admission.share();
            json!({
                "pool": name.as_str(),
                "share": share.pieces,
                "granted": share.number > 0,
                "used": state.admission.used(),
                "waiting": state.waiting.len(),
            })
        });
        json!({"shares": rows.collect::<Vec<_>>()})
    }

    /// Takes over shares from the leader.
    pub(crate) fn grant(&self, now: BootTime, shares: Vec<(PoolName, PoolShare)>) {
        for (pool, share) in shares {
            self.with_pool(&pool, |state| {
                state.admission.grant(share);
                state.admit_waiting(now);
            });
        }
    }

    fn with_pool<T>(&self, pool: &PoolName, act: impl FnOnce(&mut PoolState) -> T) -> T {
        let mut pools = self.pools.lock();
        let state = pools.entry(pool.clone()).or_insert_with(|| PoolState {
            admission: PoolAdmission::new(boot_now()),
            pace: TokenLatencyEstimator::default(),
            waiting: HashMap::new(),
        });
        act(state)
    }
}

impl PoolState {
    fn admit_waiting(&mut self, now: BootTime) {
        while let Some(ticket) = self.admission.admit_next(now) {
            let Some(waiting) = self.waiting.remove(&ticket) else {
                continue;
            };
            self.admission.begin(&waiting.customer, waiting.cost);
            // If the request has gone just now, its place ends what was begun here.
            let _gone = waiting.admitted.send(());
        }
    }
}
