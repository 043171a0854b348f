//! What an entry tells the leader with each renewal: the calls that it has counted, its work at the endpoints, what its
//! callers ask for.

use std::collections::BTreeMap;

use acacia_runtime::clock::boot_now;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{RenewServing, ServiceDemand, ServingFrame};
use acacia_wire::{counts_to_wire, kept_to_wire, pace_to_wire, use_to_wire};
use acaciabay::core::serving::config::ConfigNumber;

use super::shared::EntryShared;

/// Returns the renewal of this number, of an entry that holds the configuration `held`. What was asked for is told once.
pub(super) fn renewal_frame(shared: &EntryShared, number: u64, held: ConfigNumber) -> Frame {
    let mut view = shared.view();
    let uses = view
        .loads
        .own_work()
        .map(|(name, work)| use_to_wire(name, work))
        .collect();
    let kept = view.kept_news.take_pending();
    let demands = std::mem::take(&mut view.demands);
    let paces: BTreeMap<_, _> = demands
        .keys()
        .map(|service| (service.clone(), pace_to_wire(view.own_pace(service))))
        .collect();
    let demands = demands.into_iter().map(|(service, demand)| ServiceDemand {
        service: service.to_string(),
        calls: demand.calls,
        unread_tokens: demand.unread_tokens,
        output_tokens: demand.output_tokens,
        pace_us: paces.get(&service).copied().unwrap_or(0),
        wait_us: demand.wait_us,
    });
    let counts = view
        .starts
        .windows()
        .map(|(window, counts)| counts_to_wire(window, counts));
    let request = RenewServing {
        request: number,
        config_number: held.0,
        counts: counts.collect(),
        uses,
        demands: demands.collect(),
        silent: view
            .loads
            .silent_endpoints(boot_now())
            .map(ToString::to_string)
            .collect(),
        kept: kept.iter().map(kept_to_wire).collect(),
    };
    Frame::Serving(ServingFrame {
        body: Some(Body::Renew(request)),
    })
}
