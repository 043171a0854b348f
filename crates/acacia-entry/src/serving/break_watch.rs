//! Examination of attempts whose connection ended: whether the endpoint ended, and which calls it then ran.
//!
//! These calls are reported to the leader at once. Until it has judged them, this entry judges them by itself.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::connect_within;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::broken_attempt::{BreakVerdict, BrokenAttempt, PortState};
use acaciabay::core::serving::suspect_table::{EndingEvidence, EndpointEnding};
use acaciabay::util::number::whole_millis;
use futures::future::join_all;
use tokio_util::sync::CancellationToken;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;
use super::shared::{EntryShared, EntryState};

/// Interval at which breaks are examined while there are any.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Records that the connection of an attempt ended before the answer was complete.
pub(super) fn record_break(call: &AcceptedCall, chosen: &ChosenEndpoint, sent_at: BootTime) {
    let Some(identity) = call.identity() else {
        return;
    };
    let broken = BrokenAttempt {
        call: identity,
        endpoint: chosen.name.clone(),
        incarnation: chosen.endpoint.incarnation,
        address: chosen.endpoint.address,
        sent_at,
        broken_at: boot_now(),
        port: PortState::Unknown,
    };
    call.shared.state().breaks.add(broken);
    call.shared.break_recorded.notify_one();
}

/// Examines breaks until `stop` is cancelled.
pub(super) async fn examine_breaks(shared: Arc<EntryShared>, stop: CancellationToken) {
    loop {
        let is_idle = {
            let state = shared.state();
            state.breaks.is_empty() && !state.suspects.has_uncommitted()
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = shared.break_recorded.notified(), if is_idle => {}
            () = tokio::time::sleep(EXAMINATION_INTERVAL), if !is_idle => {}
        }
        let unknown = shared.state().breaks.unknown_ports();
        attempt_connections(&shared, unknown).await;
        apply_decided(&shared, boot_now());
    }
}

/// Records the breaks whose examination has a result, and holds back the calls that they may prove to be the cause.
fn apply_decided(shared: &EntryShared, now: BootTime) {
    let mut state = shared.state();
    let state = &mut *state;
    let mut has_ended = false;
    for (broken, verdict) in state.breaks.take_decided(now, &state.registry) {
        log_break(shared, now, &broken, verdict);
        if verdict == BreakVerdict::Ended {
            has_ended = true;
            let evidence = evidence_of(state, now, broken);
            if !state.suspects.record_ending(now, evidence) {
                slog::warn!(shared.log, "evidence dropped"; "event" => event::EVIDENCE_DROPPED);
            }
        }
    }
    state.suspects.judge();
    for fingerprint in state.suspects.take_newly_held_back() {
        slog::info!(shared.log, "call held back"; "event" => event::CALL_HELD_BACK,
            "fingerprint" => %fingerprint, "by" => "this entry");
    }
    if has_ended {
        shared.renewal_due.notify_waiters();
    }
}

fn evidence_of(state: &EntryState, now: BootTime, broken: BrokenAttempt) -> EndingEvidence {
    let now_ms = state.wall_millis(now);
    let wall_ms = |time: BootTime| now_ms.saturating_sub(whole_millis(now.since(time)));
    EndingEvidence {
        ending: EndpointEnding {
            sent_ms: wall_ms(broken.sent_at),
            ended_ms: wall_ms(broken.broken_at),
            endpoint: broken.endpoint,
            incarnation: broken.incarnation,
            recorded_ms: 0,
        },
        call: broken.call,
    }
}

/// Attempts a connection to each address. A crashed process does not listen, while one that only ended a single
/// connection does.
async fn attempt_connections(shared: &EntryShared, addresses: BTreeSet<SocketAddr>) {
    let attempted_at = boot_now();
    let attempts = addresses
        .into_iter()
        .map(async |address| (address, port_state(address).await));
    for (address, port) in join_all(attempts).await {
        shared.state().breaks.record_port(attempted_at, address, port);
    }
}

async fn port_state(address: SocketAddr) -> PortState {
    match connect_within(address, CONNECT_TIMEOUT, CONNECT_TIMEOUT).await {
        Ok(_connection) => PortState::Open,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => PortState::Refused,
        Err(_timeout) => PortState::Silent,
    }
}

fn log_break(shared: &EntryShared, now: BootTime, broken: &BrokenAttempt, verdict: BreakVerdict) {
    let call = &broken.call;
    slog::info!(shared.log, "broken attempt examined"; "event" => event::BREAK_EXAMINED,
        "fingerprint" => %call.fingerprint, "route" => &call.route,
        "customer" => call.customer.as_ref().map(CustomerName::as_str),
        "endpoint" => broken.endpoint.as_str(), "birth" => broken.incarnation.0, "port" => ?broken.port,
        "ran_ms" => whole_millis(broken.broken_at.since(broken.sent_at)),
        "after_ms" => whole_millis(now.since(broken.broken_at)), "verdict" => ?verdict);
    if verdict == BreakVerdict::Ended {
        metrics::counter!("acacia_attempts_ended_with_endpoint_total").increment(1);
    }
}
