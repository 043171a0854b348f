//! Retries within the limit of their service: acquired before a call is given another attempt, and counted when that is
//! written. The leader grants what the entry's own calls do not allow.

use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving;
use acacia_wire::retry_demand_to_wire;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::ServiceName;
use acaciabay::core::serving::retry_ledger::RetryDemand;
use acaciabay::core::serving::retry_limiter::{AcquiredRetry, RetryLimit, RetryUsage};
use acaciabay::util::number::whole_millis;
use parking_lot::Mutex;

use super::call::AcceptedCall;
use super::shared::{EntryShared, EntryState};

/// Longest time for which a call waits for the leader's answer: two renewals. Without the retry the call fails.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// A call waits for a retry for at most this fraction of the time that it has left.
const GRANT_FRACTION: f64 = 0.2;

/// Where a retry stands.
#[derive(Clone, Copy, Debug)]
enum PermitState {
    Unused(AcquiredRetry),
    /// It was sent, or may have been.
    Sent(AcquiredRetry),
    /// It waited too long, and the limit allows no other.
    Lapsed,
}

/// A retry that the limit of its service allows. Dropped unused, it is there for another call.
#[derive(Debug)]
pub(super) struct RetryPermit {
    shared: Arc<EntryShared>,
    service: ServiceName,
    state: Mutex<PermitState>,
}

impl RetryPermit {
    /// Counts the retry at the moment in which it is written. Returns false if it may no longer be.
    pub(super) fn confirm(&self, now: BootTime) -> bool {
        let limit = self.shared.retry_limit();
        let mut state = self.state.lock();
        let acquired = match *state {
            PermitState::Unused(acquired) | PermitState::Sent(acquired) => acquired,
            PermitState::Lapsed => return false,
        };
        let mut entry = self.shared.state();
        let limiter = entry.retry_limiter(&self.service);
        let confirmed = limiter.confirm(now, &limit, acquired);
        *state = confirmed.map_or(PermitState::Lapsed, PermitState::Sent);
        confirmed.is_some()
    }

    /// Returns true if the leader has granted the retry for a time that is over.
    pub(super) fn has_expired(&self, now: BootTime) -> bool {
        matches!(*self.state.lock(), PermitState::Unused(AcquiredRetry::Granted { until }) if now >= until)
    }

    /// Records that nothing was written after all.
    pub(super) fn mark_unsent(&self) {
        let mut state = self.state.lock();
        if let PermitState::Sent(acquired) = *state {
            *state = PermitState::Unused(acquired);
        }
    }

    /// Returns true if another attempt needs another permit.
    pub(super) fn is_used(&self) -> bool {
        !matches!(*self.state.lock(), PermitState::Unused(_))
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if let PermitState::Unused(acquired) = *self.state.get_mut() {
            self.shared.state().retry_limiter(&self.service).release(acquired);
        }
    }
}

/// Acquires one retry for a call from the limit of its service. Asks the leader if the entry's own calls allow none, unless
/// it has just had nothing to grant.
pub(super) async fn acquire_retry(call: &AcceptedCall) -> Option<RetryPermit> {
    let began_at = boot_now();
    let (acquired, usage) = try_acquire(call, began_at);
    let acquired = match acquired {
        Some(acquired) => Some(acquired),
        None => wait_for_grant(call, began_at).await,
    };
    log_decision(call, began_at, acquired, usage);
    acquired.map(|acquired| RetryPermit {
        shared: Arc::clone(&call.shared),
        service: call.service.clone(),
        state: Mutex::new(PermitState::Unused(acquired)),
    })
}

fn try_acquire(call: &AcceptedCall, now: BootTime) -> (Option<AcquiredRetry>, RetryUsage) {
    let limit = call.shared.retry_limit();
    let mut state = call.shared.state();
    let limiter = state.retry_limiter(&call.service);
    let usage = limiter.usage(now, &limit);
    (limiter.try_acquire(now, &limit), usage)
}

async fn wait_for_grant(call: &AcceptedCall, began_at: BootTime) -> Option<AcquiredRetry> {
    let is_exhausted = {
        let mut state = call.shared.state();
        let limiter = state.retry_limiter(&call.service);
        limiter.record_want();
        limiter.is_exhausted(began_at)
    };
    if is_exhausted {
        return None;
    }
    let patience = call.time_left(began_at).mul_f64(GRANT_FRACTION).min(GRANT_TIMEOUT);
    let until = tokio::time::Instant::now() + patience;
    let mut granted = call.shared.retries_granted.notified();
    call.shared.request_report();
    while tokio::time::timeout_at(until, granted).await.is_ok() {
        granted = call.shared.retries_granted.notified();
        let now = boot_now();
        if let (Some(acquired), _usage) = try_acquire(call, now) {
            return Some(acquired);
        }
        if call.shared.state().retry_limiter(&call.service).is_exhausted(now) {
            return None;
        }
    }
    None
}

fn log_decision(call: &AcceptedCall, began_at: BootTime, acquired: Option<AcquiredRetry>, usage: RetryUsage) {
    let source = match acquired {
        Some(AcquiredRetry::Own { .. }) => "own calls",
        Some(AcquiredRetry::Granted { .. }) => "leader",
        None => "none",
    };
    slog::info!(call.shared.log, "retry decided"; "event" => event::RETRY_DECIDED, "request" => &call.head.request,
        "service" => call.service.as_str(), "granted_by" => source, "retries" => usage.retries,
        "allowed" => usage.allowed, "held" => usage.held,
        "waited_ms" => whole_millis(boot_now().since(began_at)));
    let service = call.service.to_string();
    if acquired.is_none() {
        metrics::counter!("acacia_send_budget_exhausted_total", "service" => service).increment(1);
    } else {
        metrics::counter!("acacia_retries_total", "service" => service, "source" => source).increment(1);
    }
}

impl EntryState {
    /// Returns what the leader has to be asked for since the last report.
    pub(super) fn take_retry_demands(&mut self, limit: RetryLimit) -> Vec<serving::RetryDemand> {
        let limiters = self.retry_limiters.iter_mut();
        let demands = limiters.filter(|(_, limiter)| limiter.wanted() > 0);
        let demands = demands.map(|(service, limiter)| {
            let wanted = limiter.take_wanted();
            retry_demand_to_wire(service, &RetryDemand { wanted, limit })
        });
        demands.collect()
    }

    /// Returns true if there is something to ask the leader for that it may grant at present.
    pub(super) fn has_retry_demands(&self, now: BootTime) -> bool {
        let mut limiters = self.retry_limiters.values();
        limiters.any(|limiter| limiter.wanted() > 0 && !limiter.is_exhausted(now))
    }
}

impl EntryShared {
    /// Applies the leader's answer to the report that was sent at `reported_at`.
    pub(super) fn apply_retry_grants(&self, now: BootTime, reported_at: BootTime, grants: &[serving::RetryGrant]) {
        if grants.is_empty() {
            return;
        }
        let mut state = self.state();
        for grant in grants {
            let limiter = state.retry_limiter(&grant.service.as_str().into());
            limiter.record_granted(now, reported_at, grant.wanted, grant.granted);
        }
        drop(state);
        self.retries_granted.notify_waiters();
    }
}
