//! Speeds of endpoints: what entries report of them, and what each entry is told.

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::{EndpointSpeed, RenewServing, ServingHello};
use acacia_wire::{endpoint_pace_from_wire, endpoint_speed_to_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::ServiceName;
use acaciabay::core::serving::cached_parts::LogPlace;
use acaciabay::core::serving::endpoint_speed::PaceReport;

use super::shared::ControlShared;
use super::soft_state::SoftState;

/// Merges what the entry has observed, and returns the speeds that have changed since its last renewal on this connection.
pub(super) fn exchange_speeds(
    shared: &ControlShared,
    hello: &ServingHello,
    request: &RenewServing,
    position: &mut LogPlace,
) -> Vec<EndpointSpeed> {
    let now = boot_now();
    let mut soft = shared.soft_state();
    for message in &request.paces {
        match endpoint_pace_from_wire(now, message) {
            Ok(report) => merge_report(shared, &mut soft, now, &report),
            Err(error) => {
                slog::warn!(shared.log, "malformed pace of an endpoint received"; "event" => event::MESSAGE_REFUSED,
                    "entry" => &hello.host, "endpoint" => &message.endpoint, "error" => %error);
            }
        }
    }
    let (rows, next) = soft.speeds.since(*position);
    *position = next;
    let speeds: Vec<EndpointSpeed> = rows.map(|row| endpoint_speed_to_wire(now, &row)).collect();
    metrics::counter!("acacia_endpoint_speeds_told_total").increment(speeds.len() as u64);
    speeds
}

/// Merges one report, if its endpoint belongs to an uneven service. A service becomes one by the first pace that is stated.
fn merge_report(shared: &ControlShared, soft: &mut SoftState, now: BootTime, report: &PaceReport) {
    let endpoint = report.endpoint.as_str();
    // An endpoint that has not reported to this replica yet is measured again.
    let Some(row) = soft.registry.get(&report.endpoint) else {
        return;
    };
    let service: ServiceName = row.service.clone();
    if let Some(stated) = report.stated
        && !soft.paced_services.contains(&service)
    {
        soft.paced_services.insert(service.clone());
        slog::info!(shared.log, "endpoint has stated its pace"; "event" => event::ENDPOINT_SPEED,
            "service" => service.as_str(), "endpoint" => endpoint, "birth" => report.birth.0,
            "stated_percent" => stated.pace.percent());
    }
    if !shared.is_uneven_in(soft, &service) {
        return;
    }
    if let Some(change) = soft.speeds.merge(now, &service, report) {
        slog::info!(shared.log, "speed of an endpoint changed"; "event" => event::ENDPOINT_SPEED,
            "service" => service.as_str(), "endpoint" => endpoint, "birth" => report.birth.0,
            "before" => change.before, "lasting" => change.lasting);
    }
}
