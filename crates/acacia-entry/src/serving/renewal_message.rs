//! Request for the renewal of the lease, which also reports this entry's call counts, its outstanding work at the
//! endpoints and the demand of its callers.

use std::collections::BTreeMap;

use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{RenewServing, ServiceDemand, ServingFrame};
use acacia_wire::{
    counts_to_wire, endpoint_pace_to_wire, kept_to_wire, limit_report_to_wire, pace_to_wire, suspect_report_to_wire,
    usage_report_to_wire, use_to_wire,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::config::ConfigNumber;

use super::shared::EntryShared;

/// Builds the renewal request with this number. `held` is the number of the configuration that the entry holds, if any.
///
/// Removes the demand, the retries asked for, the announcements of cached parts and the observed speeds from the state, since
/// each is reported only once. All other values are absolute and repeated in every request.
pub(super) fn renewal_frame(now: BootTime, shared: &EntryShared, number: u64, held: Option<ConfigNumber>) -> Frame {
    let relay = shared.settings.relay_address.filter(|_| shared.offers_relay(now));
    let mut state = shared.state();
    // Nothing is to be said against endpoints by an entry that reaches none.
    let silent = if shared.paths.is_cut() {
        Vec::new()
    } else {
        state.loads.silent_endpoints(now).map(ToString::to_string).collect()
    };
    let usage = state.allowances.report(now);
    let retries = state.take_retry_demands(shared.retry_limit());
    let limits = state.limits.report(now);
    let uses = state
        .loads
        .own_work()
        .map(|(name, work)| use_to_wire(name, work))
        .collect();
    let kept = state.kept_news.take_pending();
    let paces = state.speeds.outbox.take();
    let paces = paces.map(|report| endpoint_pace_to_wire(now, &report)).collect();
    let demands = std::mem::take(&mut state.demands);
    let service_paces: BTreeMap<_, _> = demands
        .keys()
        .map(|service| (service.clone(), pace_to_wire(state.prefill_pace(service))))
        .collect();
    let demands = demands.into_iter().map(|(service, demand)| ServiceDemand {
        service: service.to_string(),
        calls: demand.calls,
        unread_tokens: demand.unread_tokens,
        output_tokens: demand.output_tokens,
        pace_us: service_paces.get(&service).copied().unwrap_or(0),
        wait_us: demand.wait_us,
    });
    let counts = state
        .start_counts
        .windows()
        .map(|(window, counts)| counts_to_wire(window, counts));
    let request = RenewServing {
        request: number,
        config_number: held.map(|held| held.0),
        counts: counts.collect(),
        uses,
        demands: demands.collect(),
        silent,
        kept: kept.iter().map(kept_to_wire).collect(),
        suspects: Some(suspect_report_to_wire(&shared.suspects.take_report())),
        usage: Some(usage_report_to_wire(&usage)),
        limits: Some(limit_report_to_wire(&limits)),
        relay_address: relay.map(|address| address.to_string()).unwrap_or_default(),
        wants_relays: shared.paths.wants_relays(now),
        retries,
        paces,
    };
    Frame::Serving(ServingFrame {
        body: Some(Body::Renew(request)),
    })
}
