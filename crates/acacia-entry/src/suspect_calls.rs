//! Calls under which endpoints have ended, as this entry knows them.
//!
//! An attempt whose connection ends is examined: whether the endpoint ended, or only the connection. The calls that ran on an
//! endpoint that ended are reported to the leader with the next renewal. Until it has judged them, this entry judges them by
//! itself. Both interfaces of the entry ask here before each send.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use acacia_http::connect_within;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint::EndpointRow;
use acaciabay::core::name::{CustomerName, EndpointName};
use acaciabay::core::serving::broken_attempt::{
    BreakExamination, BreakVerdict, BrokenAttempt, CallIdentity, EndpointSighting, PortState,
};
use acaciabay::core::serving::call_fingerprint::{CallContent, CallFingerprint};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::prompt::{PromptPart, list_parts};
use acaciabay::core::serving::suspect_table::{EndingEvidence, EndpointEnding, SuspectTable};
use acaciabay::core::serving::suspect_view::{CallStanding, NewQuarantines, SuspectAnswer, SuspectReport, SuspectView};
use acaciabay::util::number::whole_millis;
use futures::future::join_all;
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Interval at which breaks are examined while there are any.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of parts of a prompt that are examined. Parts near its beginning are shared by more prompts.
const MAX_PARTS: usize = 32;

/// Time for which a suspect call waits to be allowed. The leader answers within a few milliseconds; a call that is answered
/// whole elsewhere meanwhile frees the others.
const TRIAL_PATIENCE: Duration = Duration::from_millis(300);

/// Interval at which the leader is asked again.
const TRIAL_INTERVAL: Duration = Duration::from_millis(20);

/// Fingerprint of a call. It is computed when it is first needed, since most calls never need it.
#[derive(Debug, Default)]
pub(crate) struct LazyFingerprint(OnceLock<Option<CallFingerprint>>);

/// A call that is sent to endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedCall<'call> {
    pub(crate) content: CallContent<'call>,
    /// Name of the route, for logs and operators.
    pub(crate) route: &'call str,
    pub(crate) fingerprint: &'call LazyFingerprint,
    /// Parts that its prompt shares with others.
    pub(crate) parts: &'call [PromptPart],
}

/// An attempt to send a call to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt<'call> {
    pub(crate) endpoint: &'call EndpointName,
    pub(crate) incarnation: EndpointIncarnation,
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: BootTime,
}

impl<'call> SentAttempt<'call> {
    /// Describes an attempt at an endpoint that reports to the entries themselves.
    pub(crate) const fn to_row(endpoint: &'call EndpointName, row: &EndpointRow, sent_at: BootTime) -> Self {
        Self {
            endpoint,
            incarnation: EndpointIncarnation(row.incarnation.0),
            address: row.address,
            sent_at,
        }
    }
}

/// Permission to send a suspect call. It ends when it is dropped, but not before it is known whether an endpoint has ended
/// under the call.
#[derive(Debug)]
pub(crate) struct CallTrial {
    tracker: Arc<SuspectTracker>,
    fingerprint: CallFingerprint,
}

impl Drop for CallTrial {
    fn drop(&mut self) {
        self.tracker.end_trial(self.fingerprint);
    }
}

#[derive(Debug, Default)]
struct TrackerState {
    view: SuspectView,
    breaks: BreakExamination,
    /// Trials that end with the examination of a break.
    ending_trials: BTreeSet<CallFingerprint>,
}

/// Tracker of suspect calls, shared by the tasks of an entry.
#[derive(Debug)]
pub(crate) struct SuspectTracker {
    state: Mutex<TrackerState>,
    log: Logger,
    break_recorded: Notify,
    /// Counter of the times at which the leader was to be told something at once. A counter, because a notification is lost
    /// on a session that is just sending.
    reports_due: watch::Sender<u64>,
    /// Notified when the leader has answered a report or sent a table.
    news: Notify,
}

impl SuspectTracker {
    pub(crate) fn new(log: Logger) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            log,
            break_recorded: Notify::new(),
            reports_due: watch::Sender::new(0),
            news: Notify::new(),
        })
    }

    /// Returns a receiver that changes when the leader is to be told something at once.
    pub(crate) fn reports_due(&self) -> watch::Receiver<u64> {
        self.reports_due.subscribe()
    }

    fn request_report(&self) {
        self.reports_due.send_modify(|count| *count += 1);
    }

    /// Returns true if the leader has to be told something that no report has contained yet.
    pub(crate) fn has_unreported(&self) -> bool {
        self.state.lock().view.has_unreported()
    }

    /// Returns what the leader has to be told with the next renewal.
    pub(crate) fn take_report(&self) -> SuspectReport {
        self.state.lock().view.take_report()
    }

    /// Applies the leader's answer to a report.
    pub(crate) fn apply_answer(&self, answer: SuspectAnswer) {
        let quarantined = self.state.lock().view.apply_answer(boot_now(), answer);
        self.log_quarantined(&quarantined);
        self.news.notify_waiters();
    }

    /// Replaces the table by a later version that the leader has sent without being asked.
    pub(crate) fn apply_published(&self, table: SuspectTable) {
        let quarantined = self.state.lock().view.apply_published(table);
        self.log_quarantined(&quarantined);
        self.news.notify_waiters();
    }

    fn log_quarantined(&self, new: &NewQuarantines) {
        for parts in &new.parts {
            slog::info!(self.log, "prompt parts held back"; "event" => event::PARTS_HELD_BACK,
                "parts" => list_parts(parts));
        }
        for call in &new.calls {
            slog::info!(self.log, "call held back"; "event" => event::CALL_HELD_BACK,
                "fingerprint" => %call.fingerprint, "route" => &call.route, "by" => "group");
        }
    }

    /// Returns the fingerprint of a call, or `None` while the entry does not have the key.
    fn fingerprint(&self, call: &TrackedCall<'_>) -> Option<CallFingerprint> {
        *call.fingerprint.0.get_or_init(|| {
            let key = self.state.lock().view.key()?;
            Some(key.fingerprint(&call.content))
        })
    }

    /// Returns the fingerprint of a call that may be suspect, and `None` for any other without computing it.
    fn possible_suspect(&self, call: &TrackedCall<'_>) -> Option<CallFingerprint> {
        let CallContent { customer, body, .. } = call.content;
        let may_know = {
            let state = self.state.lock();
            let body_bytes = body.len() as u64;
            state.view.may_know(customer, body_bytes) || state.breaks.may_contain(customer, body_bytes)
        };
        may_know.then(|| self.fingerprint(call)).flatten()
    }

    /// Returns the standing of a call.
    pub(crate) fn standing(&self, call: &TrackedCall<'_>) -> CallStanding {
        if self.state.lock().view.holds_back(call.parts) {
            return CallStanding::Quarantined;
        }
        match self.possible_suspect(call) {
            Some(fingerprint) => self.state.lock().view.standing(&fingerprint),
            None => CallStanding::Unsuspected,
        }
    }

    /// Waits until the leader allows this entry to send a suspect call. Returns `None` at once for any other call, and after
    /// a while if another entry tries the call. Whether the call may be sent is for [`standing`](Self::standing) to say.
    pub(crate) async fn request_trial(self: &Arc<Self>, call: &TrackedCall<'_>) -> Option<CallTrial> {
        if self.standing(call) != CallStanding::Suspected {
            return None;
        }
        let fingerprint = self.possible_suspect(call)?;
        let waiting = self.wait_for_trial(call, fingerprint);
        // After a timeout, the caller of this function refuses the call.
        let is_allowed = tokio::time::timeout(TRIAL_PATIENCE, waiting).await.unwrap_or(false);
        is_allowed.then(|| CallTrial {
            tracker: Arc::clone(self),
            fingerprint,
        })
    }

    /// Returns true once the leader allows the call, and false once it is no longer suspected.
    async fn wait_for_trial(&self, call: &TrackedCall<'_>, fingerprint: CallFingerprint) -> bool {
        loop {
            let news = self.news.notified();
            if self.standing(call) != CallStanding::Suspected {
                return false;
            }
            if self.state.lock().view.begin_trial(boot_now(), fingerprint) {
                return true;
            }
            self.request_report();
            news.await;
            // The answer to a report that was on its way does not know of the call yet.
            tokio::time::sleep(TRIAL_INTERVAL).await;
        }
    }

    fn end_trial(&self, fingerprint: CallFingerprint) {
        let mut state = self.state.lock();
        if state.breaks.contains(&fingerprint) {
            state.ending_trials.insert(fingerprint);
            return;
        }
        state.view.end_trial(fingerprint);
        drop(state);
        self.request_report();
        self.news.notify_waiters();
    }

    /// Records that an endpoint has answered a call whole, which refutes what speaks against the call.
    pub(crate) fn record_whole_answer(&self, call: &TrackedCall<'_>) {
        let Some(fingerprint) = self.possible_suspect(call) else {
            return;
        };
        let mut state = self.state.lock();
        state.breaks.forget(&fingerprint);
        if state.view.record_whole_answer(fingerprint) {
            drop(state);
            self.request_report();
        }
    }

    /// Records that an endpoint has answered a call whole and with success, so that no part of its prompt ends endpoints.
    pub(crate) fn record_sound_parts(&self, call: &TrackedCall<'_>) {
        let is_news = self.state.lock().view.record_sound_parts(call.parts);
        if is_news {
            self.request_report();
        }
    }

    /// Records that the connection of an attempt ended before the answer was complete.
    pub(crate) fn record_break(&self, call: &TrackedCall<'_>, sent: SentAttempt<'_>) {
        // Without the key, nothing can be said of the call later. The entry gets the key with its first lease.
        let Some(fingerprint) = self.fingerprint(call) else {
            return;
        };
        let broken = BrokenAttempt {
            call: CallIdentity {
                fingerprint,
                customer: call.content.customer.cloned(),
                route: call.route.to_owned(),
                body_bytes: call.content.body.len() as u64,
            },
            parts: call.parts.iter().take(MAX_PARTS).map(|part| part.id).collect(),
            endpoint: sent.endpoint.clone(),
            incarnation: sent.incarnation,
            address: sent.address,
            sent_at: sent.sent_at,
            broken_at: boot_now(),
            port: PortState::Unknown,
        };
        self.state.lock().breaks.add(broken);
        self.break_recorded.notify_one();
    }

    /// Examines breaks until `stop` is cancelled. `sighting` returns what is known of the endpoint of a break, `port_states`
    /// attempts a connection to each of some endpoints, and `wall_ms` returns the time in milliseconds since 1970.
    pub(crate) async fn examine_breaks<F: Future<Output = Vec<(SocketAddr, PortState)>>>(
        self: Arc<Self>,
        sighting: impl Fn(&BrokenAttempt) -> EndpointSighting,
        port_states: impl Fn(BTreeSet<SocketAddr>) -> F,
        wall_ms: impl Fn(BootTime) -> u64,
        stop: CancellationToken,
    ) {
        loop {
            let is_idle = self.state.lock().breaks.is_empty();
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.break_recorded.notified(), if is_idle => {}
                () = tokio::time::sleep(EXAMINATION_INTERVAL), if !is_idle => {}
                // The verdict waits for what this entry tells of an ending that it has just heard of.
                () = self.news.notified(), if !is_idle => {}
            }
            self.attempt_connections(&port_states).await;
            let now = boot_now();
            self.apply_decided(now, wall_ms(now), &sighting);
        }
    }

    /// Attempts a connection to each endpoint at which a connection has ended. A crashed process does not listen, while one
    /// that only ended a single connection does.
    async fn attempt_connections<F: Future<Output = Vec<(SocketAddr, PortState)>>>(
        &self,
        port_states: impl Fn(BTreeSet<SocketAddr>) -> F,
    ) {
        let attempted_at = boot_now();
        let addresses: BTreeSet<SocketAddr> = self.state.lock().breaks.due_ports(attempted_at);
        if addresses.is_empty() {
            return;
        }
        for (address, port) in port_states(addresses).await {
            self.state.lock().breaks.record_port(attempted_at, address, port);
        }
    }

    /// Records the breaks whose examination has a result, and holds back the calls that they may prove to be the cause.
    fn apply_decided(&self, now: BootTime, now_ms: u64, sighting: impl Fn(&BrokenAttempt) -> EndpointSighting) {
        // `sighting` takes a lock under which others ask this tracker, so it is not called under the tracker's own.
        let breaks: Vec<BrokenAttempt> = self.state.lock().breaks.breaks().cloned().collect();
        let sightings: Vec<_> = breaks.iter().map(|broken| (broken, sighting(broken))).collect();
        let mut state = self.state.lock();
        let TrackerState { view, breaks, .. } = &mut *state;
        let sighting_of = |broken: &BrokenAttempt| {
            let seen = sightings.iter().find(|(seen, _)| *seen == broken);
            seen.map(|(_, sighting)| EndpointSighting {
                has_ended: sighting.has_ended || view.has_ended(&broken.endpoint, broken.incarnation),
                ..*sighting
            })
        };
        let decided = breaks.take_decided(now, sighting_of);
        let mut has_ended = false;
        for (broken, verdict) in decided {
            self.log_break(now, &broken, verdict);
            if state.ending_trials.remove(&broken.call.fingerprint) {
                state.view.end_trial(broken.call.fingerprint);
            }
            if verdict == BreakVerdict::Ended {
                has_ended = true;
                let evidence = evidence_of(now, now_ms, broken);
                if !state.view.record_ending(now, evidence) {
                    slog::warn!(self.log, "evidence dropped"; "event" => event::EVIDENCE_DROPPED);
                }
            }
        }
        if !has_ended {
            return;
        }
        state.view.judge();
        for fingerprint in state.view.take_newly_held_back() {
            slog::info!(self.log, "call held back"; "event" => event::CALL_HELD_BACK,
                "fingerprint" => %fingerprint, "by" => "this entry");
        }
        drop(state);
        self.request_report();
    }

    fn log_break(&self, now: BootTime, broken: &BrokenAttempt, verdict: BreakVerdict) {
        let call = &broken.call;
        slog::info!(self.log, "broken attempt examined"; "event" => event::BREAK_EXAMINED,
            "fingerprint" => %call.fingerprint, "parts" => list_parts(&broken.parts), "route" => &call.route,
            "customer" => call.customer.as_ref().map(CustomerName::as_str),
            "endpoint" => broken.endpoint.as_str(), "birth" => broken.incarnation.0, "port" => ?broken.port,
            "ran_ms" => whole_millis(broken.broken_at.since(broken.sent_at)),
            "after_ms" => whole_millis(now.since(broken.broken_at)), "verdict" => ?verdict);
        if verdict == BreakVerdict::Ended {
            metrics::counter!("acacia_attempts_ended_with_endpoint_total").increment(1);
        }
    }
}

/// Attempts a connection to each of some endpoints by the direct path.
pub(crate) async fn direct_port_states(addresses: BTreeSet<SocketAddr>) -> Vec<(SocketAddr, PortState)> {
    let attempts = addresses.into_iter();
    join_all(attempts.map(|address| async move { (address, direct_port_state(address).await) })).await
}

async fn direct_port_state(address: SocketAddr) -> PortState {
    match connect_within(address, CONNECT_TIMEOUT, CONNECT_TIMEOUT).await {
        Ok(_connection) => PortState::Open,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => PortState::Refused,
        Err(_timeout) => PortState::Silent,
    }
}

fn evidence_of(now: BootTime, now_ms: u64, broken: BrokenAttempt) -> EndingEvidence {
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
        parts: broken.parts,
    }
}
