//! Handling of the messages in which replicas report the state of endpoints.

use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::{
    AllowanceTable, EndpointNews, EndpointReports, LimitTable, RestingEngine, RestingEngines,
};
use acacia_wire::generated::state::SuspectTable;
use acacia_wire::{
    allowance_row_from_wire, endpoint_from_wire, limit_answer_from_wire, stage_from_wire, suspects_from_wire,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_handles::{EndpointHandle, ReceivedHandles};
use acaciabay::core::serving::endpoint_load::StageSwitch;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EndpointRegistry, ReportEffect};
use acaciabay::core::serving::software_version::SoftwareVersion;

use super::shared::EntryShared;

/// Applies the reports that endpoints have sent to a replica.
pub(super) fn apply_endpoint_news(shared: &EntryShared, news: &EndpointNews, handles: &mut ReceivedHandles) {
    let now = boot_now();
    let mut state = shared.state();
    state.has_endpoints |= !news.more;
    for row in &news.rows {
        let (name, endpoint) = match endpoint_from_wire(row) {
            Ok(read) => read,
            Err(error) => {
                slog::warn!(shared.log, "malformed endpoint report received"; "event" => event::MESSAGE_REFUSED,
                    "error" => %error);
                continue;
            }
        };
        handles.record(EndpointHandle(row.handle), name.clone(), endpoint.incarnation);
        let phase = endpoint.phase;
        let before = state
            .registry
            .get(&name)
            .map(|row| (row.incarnation, row.version.clone()));
        if state.registry.apply_relayed_report(now, &name, endpoint) == ReportEffect::Changed {
            slog::info!(shared.log, "endpoint changed"; "event" => event::ENDPOINT_CHANGED,
                "endpoint" => name.as_str(), "phase" => ?phase, "sequence" => row.sequence, "birth" => row.birth,
                "version" => &row.version);
            state
                .loads
                .speeds
                .record_incarnation(&name, EndpointIncarnation(row.birth));
            if let Some(before) = before {
                doubt_streams(shared, now, &state.registry, &name, &before);
            }
        }
    }
}

/// Takes back what this entry has told of the streams of an endpoint that has started again at another version.
fn doubt_streams(
    shared: &EntryShared,
    now: BootTime,
    registry: &EndpointRegistry,
    name: &EndpointName,
    (incarnation, version): &(EndpointIncarnation, Option<SoftwareVersion>),
) {
    let Some(row) = registry.get(name) else { return };
    if row.incarnation == *incarnation || row.version == *version {
        return;
    }
    let streams = shared.origins.doubt_endpoint(now, name);
    slog::warn!(shared.log, "endpoint has started again at another version"; "event" => event::VERSION_CHANGED,
        "endpoint" => name.as_str(), "expected" => version.as_ref().map(SoftwareVersion::as_str),
        "birth" => incarnation.0, "streams" => streams);
}

/// Records the endpoints that a replica has heard without anything new.
pub(super) fn apply_reports(shared: &EntryShared, reports: &EndpointReports, handles: &ReceivedHandles) {
    let reported = reports.handles.iter().copied().map(EndpointHandle);
    handles.apply_reports(boot_now(), reported, &mut shared.state().registry);
}

/// Replaces the set of engines that are changing their stage and therefore take no calls.
pub(super) fn apply_resting_engines(shared: &EntryShared, resting: &RestingEngines) {
    let now = boot_now();
    let engines = resting
        .engines
        .iter()
        .filter_map(|engine| resting_from_wire(now, engine));
    shared.state().loads.set_stage_switches(engines);
}

/// Replaces the suspect calls by a newer version of them.
pub(super) fn apply_suspects(shared: &EntryShared, message: SuspectTable) {
    match suspects_from_wire(message) {
        Ok(suspects) => shared.suspects.apply_published(suspects),
        Err(error) => {
            slog::warn!(shared.log, "malformed suspect calls received"; "event" => event::MESSAGE_REFUSED,
                "error" => %error);
        }
    }
}

/// Replaces the customers that are near their allowances.
pub(super) fn apply_allowances(shared: &EntryShared, table: &AllowanceTable) {
    let rows = table.rows.iter().map(allowance_row_from_wire);
    shared.state().allowances.set_rows(rows);
}

/// Applies the limits of endpoints that have changed.
pub(super) fn apply_limit_states(shared: &EntryShared, table: &LimitTable) {
    match limit_answer_from_wire(table) {
        Ok(answer) => shared.state().limits.apply_states(answer.term, &answer.rows),
        Err(error) => {
            slog::warn!(shared.log, "malformed limits received"; "event" => event::MESSAGE_REFUSED, "error" => %error);
        }
    }
}

fn resting_from_wire(now: BootTime, engine: &RestingEngine) -> Option<(EndpointName, StageSwitch)> {
    let order = StageSwitch {
        birth: EndpointIncarnation(engine.birth),
        stage: stage_from_wire(engine.stage())?,
        until: now + Duration::from_millis(engine.left_ms),
    };
    Some((EndpointName::new(&engine.name), order))
}
