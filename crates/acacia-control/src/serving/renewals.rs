//! Answers to the renewals of entries: the confirmation of the lease, the configuration, the work of the others.

use std::net::SocketAddr;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{
    EndpointUse, KeptPart, RenewServing, ServingElsewhere, ServingHello, ServingRenewed, serving_renewed,
};
use acacia_wire::generated::state::WindowCounts;
use acacia_wire::{
    content_to_wire, counts_from_wire, kept_from_wire, kept_to_wire, pace_from_wire, use_from_wire, use_to_wire,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::HostName;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::{ConfigDocument, ConfigSender};
use acaciabay::core::serving::kept_parts::LogPlace;
use acaciabay::core::serving::start_counts::{EntryStart, GatheredRow};
use acaciabay::util::number::whole_millis;
use prost::Message;

use super::hub::{EntryPresence, ServingHub};

/// Confirms an entry's lease, if this replica leads, and brings its configuration up to date.
///
/// The leader is confirmed before the state is read: what is read then contains everything that any replica has
/// acknowledged, so that the entry never serves by a configuration that was replaced before it asked.
pub(super) async fn answer_renewal(
    hub: &ServingHub,
    hello: &ServingHello,
    request: RenewServing,
    sent: &mut SentNews,
) -> Body {
    let read_at = boot_now();
    if hub.group.confirm_leadership().await.is_err() {
        return Body::Elsewhere(ServingElsewhere {
            request: request.request,
            leader_address: leader_peer_address(hub),
        });
    }
    let newest = hub.newest_config();
    let (entries, others) = take_presence(hub, hello, &request);
    let content = next_content(hub, hello, &request, &newest, &mut sent.config);
    if let Some(content) = &content {
        log_content(hub, hello, &request, &newest, content, read_at);
    }
    Body::Renewed(ServingRenewed {
        request: request.request,
        config_number: newest.number.0,
        content,
        entries,
        others,
        kept: next_kept(hub, &request, &mut sent.kept),
        silent: silent_names(hub),
    })
}

/// Returns the names of the endpoints that all entries are to leave out.
fn silent_names(hub: &ServingHub) -> Vec<String> {
    let soft = hub.soft();
    let silent = soft.silent_endpoints().into_iter();
    silent.map(ToString::to_string).collect()
}

/// What a connection has brought an entry so far.
#[derive(Debug, Default)]
pub(super) struct SentNews {
    config: ConfigSender,
    kept: LogPlace,
}

/// Takes which engines keep what the entry has had read, and returns what others have told since its last renewal.
fn next_kept(hub: &ServingHub, request: &RenewServing, place: &mut LogPlace) -> Vec<KeptPart> {
    let mut soft = hub.soft();
    for kept in &request.kept {
        soft.kept.push(kept_from_wire(kept));
    }
    let (rows, next) = soft.kept.since(*place);
    *place = next;
    rows.map(kept_to_wire).collect()
}

/// Returns what brings the entry to the newest configuration.
fn next_content(
    hub: &ServingHub,
    hello: &ServingHello,
    request: &RenewServing,
    newest: &ConfigDocument,
    sent: &mut ConfigSender,
) -> Option<serving_renewed::Content> {
    let held = ConfigNumber(request.config_number);
    if !hello.takes_deltas {
        let is_behind = held != newest.number;
        return is_behind.then(|| serving_renewed::Content::Document(newest.document.clone()));
    }
    let content = sent.next_update(
        held,
        newest,
        |number| hub.configs().recent.get(number).cloned(),
        |base, target| hub.configs().delta_between(base, target),
    );
    content.map(content_to_wire)
}

fn log_content(
    hub: &ServingHub,
    hello: &ServingHello,
    request: &RenewServing,
    newest: &ConfigDocument,
    content: &serving_renewed::Content,
    read_at: BootTime,
) {
    let (base, bytes) = match content {
        serving_renewed::Content::Document(document) => (None, document.len()),
        serving_renewed::Content::Delta(delta) => (Some(delta.base_number), delta.encoded_len()),
    };
    slog::info!(hub.log, "configuration sent"; "event" => event::CONFIG_SENT, "entry" => &hello.host,
        "number" => newest.number.0, "held" => request.config_number, "base" => base, "bytes" => bytes,
        "asked" => request.request, "answer_ms" => whole_millis(boot_now().since(read_at)));
    metrics::counter!("acacia_config_bytes_sent_total").increment(bytes as u64);
}

fn leader_peer_address(hub: &ServingHub) -> String {
    let control: Option<SocketAddr> = hub.leader_control_address();
    let peer = control.map(|control| SocketAddr::new(control.ip(), hub.settings.peer_address.port()));
    peer.map(|peer| peer.to_string()).unwrap_or_default()
}

fn gathered_row(entry: EntryStart, message: &WindowCounts) -> GatheredRow {
    let (window, counts) = counts_from_wire(message.clone());
    GatheredRow { entry, window, counts }
}

/// Notes what the entry has said, and returns how many entries serve and what the others have at the endpoints.
fn take_presence(hub: &ServingHub, hello: &ServingHello, request: &RenewServing) -> (u32, Vec<EndpointUse>) {
    let now = boot_now();
    let host: HostName = hello.host.as_str().into();
    let start = EntryStart(hello.start);
    let starts: Vec<GatheredRow> = request
        .counts
        .iter()
        .map(|message| gathered_row(start, message))
        .collect();
    let news: Vec<GatheredRow> = {
        let state = hub.group.read();
        starts
            .into_iter()
            .filter(|row| state.serving.gathered.has_new_counts(row))
            .collect()
    };
    let mut soft = hub.soft();
    soft.starts.extend(news);
    for demand in &request.demands {
        let traffic = soft.traffic.entry(demand.service.as_str().into()).or_default();
        traffic.calls += demand.calls;
        traffic.unread_tokens += demand.unread_tokens;
        traffic.output_tokens += demand.output_tokens;
        traffic.wait_us = traffic.wait_us.max(demand.wait_us);
    }
    let uses = request.uses.iter().map(use_from_wire).collect();
    let known = soft.entries.remove(&host);
    // A service for which nothing was asked since the last word is not named in this one.
    let mut paces = known.map(|row| row.paces).unwrap_or_default();
    let measured = request.demands.iter();
    paces.extend(measured.filter_map(|row| Some((row.service.as_str().into(), pace_from_wire(row.pace_us)?))));
    let presence = EntryPresence {
        heard_at: now,
        domain: hello.domain.as_str().into(),
        uses,
        silent: request.silent.iter().map(|name| name.as_str().into()).collect(),
        paces,
    };
    soft.entries.insert(host.clone(), presence);
    let entries = u32::try_from(soft.live_entries(now)).unwrap_or(u32::MAX);
    let others = soft.uses_beside(Some(&host));
    let others = others.iter().map(|(name, work)| use_to_wire(name, *work));
    (entries, others.collect())
}
