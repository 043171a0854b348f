//! Charging of calls to the allowances of their customers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::allowance_gate::{AllowanceCall, AllowanceDecision, AllowanceRefusal};
use acaciabay::core::serving::config_index::AdmittedCall;
use acaciabay::util::number::whole_millis;
use acaciabay::util::rendezvous;

use super::codec::CallHead;
use super::refusal::CallRefusal;
use super::shared::EntryShared;

/// Cost of a call that has been taken from its customer's allowance. It is given back on drop unless an endpoint may
/// have run the call.
#[derive(Debug)]
pub(super) struct AllowanceCharge {
    shared: Arc<EntryShared>,
    customer: CustomerName,
    cost: u64,
    is_kept: AtomicBool,
}

impl AllowanceCharge {
    /// Records that an endpoint may run the call. Returns true if this was so before.
    pub(super) fn keep(&self) -> bool {
        self.is_kept.swap(true, Ordering::Relaxed)
    }

    /// Records that no endpoint has run the call.
    pub(super) fn release(&self) {
        self.is_kept.store(false, Ordering::Relaxed);
    }
}

impl Drop for AllowanceCharge {
    fn drop(&mut self) {
        if !*self.is_kept.get_mut() {
            self.shared.state().allowances.give_back(&self.customer, self.cost);
        }
    }
}

/// Takes the cost of a call from its customer's allowance. Returns `None` if the customer has no allowance.
pub(super) fn charge_call(
    now: BootTime,
    shared: &Arc<EntryShared>,
    head: &CallHead,
    admitted: &AdmittedCall,
) -> Result<Option<AllowanceCharge>, CallRefusal> {
    let Some(customer) = &admitted.customer else {
        return Ok(None);
    };
    let Some(allowance) = &customer.allowance else {
        return Ok(None);
    };
    let call = AllowanceCall {
        customer: &customer.name,
        allowance,
        cost: allowance.cost(head.prompt.as_ref()),
        draw: draw_from(&head.request),
    };
    let decision = shared.state().allowances.admit(now, &call);
    match decision {
        AllowanceDecision::Admitted => Ok(Some(AllowanceCharge {
            shared: Arc::clone(shared),
            customer: customer.name.clone(),
            cost: call.cost,
            is_kept: AtomicBool::new(false),
        })),
        AllowanceDecision::Exhausted(refusal) => {
            log_refusal(shared, head, &call, &refusal);
            Err(CallRefusal::OverAllowance {
                retry_after: refusal.retry_after,
            })
        }
        AllowanceDecision::TooLarge => Err(CallRefusal::LargerThanAllowance),
    }
}

fn log_refusal(shared: &EntryShared, head: &CallHead, call: &AllowanceCall<'_>, refusal: &AllowanceRefusal) {
    slog::info!(shared.log, "allowance used up"; "event" => event::ALLOWANCE_USED_UP, "request" => &head.request,
        "customer" => call.customer.as_str(), "cost" => call.cost, "rate" => call.allowance.rate,
        "burst" => call.allowance.burst, "level" => refusal.level, "probability" => refusal.probability,
        "news_ms" => refusal.news_age.map(whole_millis), "retry_ms" => whole_millis(refusal.retry_after));
    metrics::counter!("acacia_allowance_refused_total", "customer" => call.customer.to_string()).increment(1);
}

/// Returns a number from 0 to 1 that does not depend on which endpoint the call is sent to.
fn draw_from(request: &str) -> f64 {
    const SALT: &str = "allowance";
    rendezvous::fraction(rendezvous::hash([SALT, request].concat().as_bytes()))
}
