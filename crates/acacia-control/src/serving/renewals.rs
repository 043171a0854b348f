//! Answers to the lease renewals of entries. An answer confirms the lease, and carries the configuration and the state
//! that the other entries have reported.

use std::net::SocketAddr;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{
    EndpointUse, EntrySlice, KeptPart, RelayList, RenewServing, ServingElsewhere, ServingHello, ServingRenewed,
    serving_renewed,
};
use acacia_wire::generated::state::{self, WindowCounts};
use acacia_wire::{
    content_to_wire, counts_from_wire, kept_from_wire, kept_to_wire, pace_from_wire, slice_to_wire,
    suspect_answer_to_wire, suspect_report_from_wire, use_from_wire, use_to_wire,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{HostName, ServiceName};
use acaciabay::core::serving::cached_parts::LogPlace;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::{ConfigDocument, ConfigSender};
use acaciabay::core::serving::relay_choice::RelayOffer;
use acaciabay::core::serving::start_counts::{EntryStart, GatheredRow};
use acaciabay::core::serving::suspect_view::SuspectReport;
use acaciabay::util::number::whole_millis;
use prost::Message;

use super::allowances::record_usage;
use super::endpoint_limits::exchange_limits;
use super::endpoint_speeds::exchange_speeds;
use super::service_retries::grant_retries;
use super::shared::ControlShared;
use super::soft_state::EntryState;

/// Confirms an entry's lease, if this replica leads, and updates its configuration. Otherwise names the leader.
///
/// Leadership is confirmed before the state is read. The state then contains everything that any replica has
/// acknowledged, so the entry never uses a configuration that was replaced before it asked.
pub(super) async fn answer_renewal(
    shared: &ControlShared,
    hello: &ServingHello,
    request: RenewServing,
    sent: &mut SentState,
) -> Body {
    let received_at = boot_now();
    if shared.group.confirm_leadership().await.is_err() {
        return Body::Elsewhere(ServingElsewhere {
            request: request.request,
            leader_address: leader_peer_address(shared),
        });
    }
    let mut request = request;
    let suspects = answer_suspects(shared, hello, request.suspects.take());
    record_usage(shared, hello, request.usage.as_ref());
    let limits = exchange_limits(shared, hello, request.limits.as_ref());
    let retries = grant_retries(shared, hello, &request.retries);
    let newest = shared.newest_config();
    let (entries, others) = record_entry_state(shared, hello, &request);
    let content = config_update(shared, hello, &request, &newest, &mut sent.config);
    if let Some(content) = &content {
        log_config_update(shared, hello, &request, &newest, content, received_at);
    }
    Body::Renewed(ServingRenewed {
        request: request.request,
        config_number: newest.number.map(|number| number.0),
        content,
        entries,
        others,
        kept: exchange_cached_parts(shared, &request, &mut sent.cached_parts_position),
        silent: silent_endpoint_names(shared),
        suspects: Some(suspects),
        limits,
        relay_token: shared.relay_token,
        relays: request.wants_relays.then(|| relay_list(shared, hello)),
        retries,
        speeds: exchange_speeds(shared, hello, &request, &mut sent.speeds_position),
        slices: entry_slices(shared, hello, &request),
    })
}

/// Records the calls of services with uneven load, and returns the slices of their endpoints that the entry gets.
fn entry_slices(shared: &ControlShared, hello: &ServingHello, request: &RenewServing) -> Vec<EntrySlice> {
    let now = boot_now();
    let host: HostName = hello.host.as_str().into();
    let mut soft = shared.soft_state();
    for demand in &request.demands {
        let service = ServiceName::new(demand.service.as_str());
        if shared.is_uneven_in(&soft, &service) {
            soft.slices.record(now, &service, &host, demand.calls);
        }
    }
    if soft.slices.is_empty() {
        return Vec::new();
    }
    for change in soft.divide_slices(now) {
        slog::info!(shared.log, "slices changed"; "event" => event::SLICES_DIVIDED,
            "service" => change.service.as_str(), "entries" => change.entries, "smallest_ppm" => change.smallest_ppm,
            "largest_ppm" => change.largest_ppm);
    }
    let slices = soft.slices.slices_of(&host);
    slices.map(|(service, slice)| slice_to_wire(service, slice)).collect()
}

/// Returns the entries over which this one can reach endpoints.
fn relay_list(shared: &ControlShared, hello: &ServingHello) -> RelayList {
    let (host, domain) = (hello.host.as_str().into(), hello.domain.as_str().into());
    let soft = shared.soft_state();
    let relays = soft.relays_for(boot_now(), &host, &domain).into_iter();
    RelayList {
        addresses: relays.map(|offer| offer.address.to_string()).collect(),
    }
}

/// Returns the names of the endpoints that all entries should avoid.
fn silent_endpoint_names(shared: &ControlShared) -> Vec<String> {
    let soft = shared.soft_state();
    let silent = soft.silent_endpoints().into_iter();
    silent.map(ToString::to_string).collect()
}

/// Records what the entry tells about suspect calls, and returns what it has to know about them.
fn answer_suspects(
    shared: &ControlShared,
    hello: &ServingHello,
    report: Option<state::SuspectReport>,
) -> state::SuspectAnswer {
    let report = suspect_report_from_wire(report).unwrap_or_else(|error| {
        slog::warn!(shared.log, "malformed report of suspect calls received"; "event" => event::MESSAGE_REFUSED,
            "entry" => &hello.host, "error" => %error);
        SuspectReport::default()
    });
    let host = hello.host.as_str().into();
    let state = shared.group.read();
    let suspects = &state.serving.suspects;
    let answer = shared.suspects.answer(suspects, &host, EntryStart(hello.start), report);
    suspect_answer_to_wire(&answer)
}

/// State that has been sent to an entry on one connection.
#[derive(Debug, Default)]
pub(super) struct SentState {
    config: ConfigSender,
    cached_parts_position: LogPlace,
    speeds_position: LogPlace,
}

/// Logs the cached prompt parts that the entry announces, and returns those that were logged since its last renewal.
fn exchange_cached_parts(shared: &ControlShared, request: &RenewServing, position: &mut LogPlace) -> Vec<KeptPart> {
    let mut soft = shared.soft_state();
    for kept in &request.kept {
        soft.cached_parts.push(kept_from_wire(kept));
    }
    let (rows, next) = soft.cached_parts.since(*position);
    *position = next;
    rows.map(kept_to_wire).collect()
}

/// Returns the document or delta that updates the entry to the newest configuration, or `None` if it needs neither.
fn config_update(
    shared: &ControlShared,
    hello: &ServingHello,
    request: &RenewServing,
    newest: &ConfigDocument,
    sent: &mut ConfigSender,
) -> Option<serving_renewed::Content> {
    let held = request.config_number.map(ConfigNumber);
    if !hello.takes_deltas {
        let is_behind = held != newest.number;
        return is_behind.then(|| serving_renewed::Content::Document(newest.document.clone()));
    }
    let content = sent.next_update(
        held,
        newest,
        |number| shared.config_cache().recent.get(number).cloned(),
        |base, target| shared.config_cache().delta_between(base, target),
    );
    content.map(content_to_wire)
}

fn log_config_update(
    shared: &ControlShared,
    hello: &ServingHello,
    request: &RenewServing,
    newest: &ConfigDocument,
    content: &serving_renewed::Content,
    received_at: BootTime,
) {
    let (base, bytes) = match content {
        serving_renewed::Content::Document(document) => (None, document.len()),
        serving_renewed::Content::Delta(delta) => (delta.base_number, delta.encoded_len()),
    };
    slog::info!(shared.log, "configuration sent"; "event" => event::CONFIG_SENT, "entry" => &hello.host,
        "number" => newest.number.map(|number| number.0), "held" => request.config_number, "base" => base, "bytes" => bytes,
        "asked" => request.request, "answer_ms" => whole_millis(boot_now().since(received_at)));
    metrics::counter!("acacia_config_bytes_sent_total").increment(bytes as u64);
}

fn leader_peer_address(shared: &ControlShared) -> String {
    let control: Option<SocketAddr> = shared.leader_control_address();
    let peer = control.map(|control| SocketAddr::new(control.ip(), shared.settings.peer_address.port()));
    peer.map(|peer| peer.to_string()).unwrap_or_default()
}

fn relay_offer(hello: &ServingHello, request: &RenewServing) -> Option<RelayOffer> {
    let address = request.relay_address.parse().ok()?;
    let (host, domain) = (hello.host.as_str().into(), hello.domain.as_str().into());
    Some(RelayOffer::new(host, domain, address))
}

fn gathered_row(entry: EntryStart, message: &WindowCounts) -> GatheredRow {
    let (window, counts) = counts_from_wire(message.clone());
    GatheredRow { entry, window, counts }
}

/// Records the state that the entry sent. Returns the number of serving entries and the work of the others at each
/// endpoint.
fn record_entry_state(shared: &ControlShared, hello: &ServingHello, request: &RenewServing) -> (u32, Vec<EndpointUse>) {
    let now = boot_now();
    let host: HostName = hello.host.as_str().into();
    let start = EntryStart(hello.start);
    let starts: Vec<GatheredRow> = request
        .counts
        .iter()
        .map(|message| gathered_row(start, message))
        .collect();
    let new_rows: Vec<GatheredRow> = {
        let state = shared.group.read();
        starts
            .into_iter()
            .filter(|row| state.serving.gathered.has_new_counts(row))
            .collect()
    };
    let mut soft = shared.soft_state();
    soft.uncommitted_counts.extend(new_rows);
    for demand in &request.demands {
        *soft.calls.entry(demand.service.as_str().into()).or_default() += demand.calls;
        let traffic = soft.traffic.entry(demand.service.as_str().into()).or_default();
        traffic.unread_tokens += demand.unread_tokens;
        traffic.output_tokens += demand.output_tokens;
        traffic.wait_us = traffic.wait_us.max(demand.wait_us);
    }
    let work = request.uses.iter().map(use_from_wire).collect();
    // A renewal names only services with calls since the last one, so the other paces are kept.
    let mut paces = soft.entry(&host).map(|row| row.paces.clone()).unwrap_or_default();
    let measured = request.demands.iter();
    paces.extend(measured.filter_map(|row| Some((row.service.as_str().into(), pace_from_wire(row.pace_us)?))));
    let state = EntryState {
        start,
        heard_at: now,
        domain: hello.domain.as_str().into(),
        work,
        silent: request.silent.iter().map(|name| name.as_str().into()).collect(),
        paces,
        relay: relay_offer(hello, request),
    };
    soft.set_entry(&host, state);
    let entries = u32::try_from(soft.live_entries(now)).unwrap_or(u32::MAX);
    let others = soft.work_except(&host);
    let others = others.iter().map(|(name, work)| use_to_wire(name, *work));
    (entries, others.collect())
}
