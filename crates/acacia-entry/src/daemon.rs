//! Starting and stopping the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ServerBounds, listen, serve_http};
use acacia_runtime::admin::serve_admin;
use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_runtime::event;
use acacia_runtime::intake_log::watch_intake;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_runtime::trace::SpanRecorder;
use acacia_settings::{CallerLimits, EntrySettings};
use acaciabay::core::serving::broken_attempt::BrokenAttempt;
use anyhow::Context;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::caller_http::answer_caller;
use crate::control_link::ControlLink;
use crate::endpoint_http::{answer_endpoint, show_endpoints};
use crate::lease_keeper::keep_lease;
use crate::shared::Entry;
use crate::suspect_calls::direct_port_states;
use crate::usage_sender::UsageSender;

/// How often the state of the lease is looked at for the log and the metrics.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// An entry process that has started.
#[derive(Debug)]
pub struct RunningEntry {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where endpoints report.
    pub endpoint_address: SocketAddr,
    /// Where health and metrics are read.
    pub admin_address: SocketAddr,
    whole: JoinHandle<()>,
}

impl RunningEntry {
    /// Waits until the process has finished all requests and delivered all usage after it was asked to stop.
    ///
    /// # Errors
    ///
    /// Fails when one of its tasks panicked.
    pub async fn finished(self) -> anyhow::Result<()> {
        self.whole.await.context("entry failed")
    }
}

/// The listeners of an entry.
#[derive(Debug)]
struct EntryListeners {
    callers: TcpListener,
    endpoints: TcpListener,
    admin: TcpListener,
}

/// Starts an entry that runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails when an address is taken.
pub async fn start(
    settings: EntrySettings,
    stop: CancellationToken,
    page: MetricsPage,
    log: Logger,
) -> anyhow::Result<RunningEntry> {
    let spans = SpanRecorder::open(settings.trace_file.as_deref(), "acacia-entry", &settings.host, &log)?;
    let listeners = EntryListeners {
        callers: listen(settings.caller_address).await?,
        endpoints: listen(settings.endpoint_address).await?,
        admin: listen(settings.admin_address).await?,
    };
    let caller_address = listeners.callers.local_addr()?;
    let endpoint_address = listeners.endpoints.local_addr()?;
    let admin_address = listeners.admin.local_addr()?;
    slog::info!(log, "entry started"; "event" => event::STARTED,
        "callers" => %caller_address, "endpoints" => %endpoint_address, "admin" => %admin_address);
    let whole = tokio::spawn(run(settings, listeners, stop, page, (log, spans)));
    Ok(RunningEntry {
        caller_address,
        endpoint_address,
        admin_address,
        whole,
    })
}

/// Runs the entry and stops it in the order that loses nothing: callers first, then usage, then everything else.
async fn run(
    settings: EntrySettings,
    listeners: EntryListeners,
    stop: CancellationToken,
    page: MetricsPage,
    (log, spans): (Logger, SpanRecorder),
) {
    let bounds = server_bounds(&settings.limits);
    let (link, link_driver) = ControlLink::open(settings.host.clone(), settings.control_addresses.clone(), log.clone());
    let (usage, usage_driver) = UsageSender::open(link.clone(), log.clone());
    let entry = Arc::new(Entry::new(settings, log.clone(), spans, stop.clone(), link, usage));
    let after_callers = CancellationToken::new();
    let driving = tokio::spawn(link_driver.run());
    let billing = tokio::spawn(usage_driver.run());
    let keeping = tokio::spawn(keep_lease(Arc::clone(&entry)));
    let intake = Arc::clone(&entry.intake);
    let intake = tokio::spawn(watch_intake(intake, "callers", log.clone(), after_callers.clone()));
    let watching = tokio::spawn(watch_lease(Arc::clone(&entry), after_callers.clone()));
    let examining = tokio::spawn(examine_breaks(Arc::clone(&entry), after_callers.clone()));
    let admin = {
        let entry = Arc::clone(&entry);
        let shown = Arc::clone(&entry);
        let is_ready = move || !entry.stop.is_cancelled() && entry.may_serve(boot_now());
        let inspect = move |path: &str| match path {
            "/endpoints" => Some(show_endpoints(&shown)),
            "/shares" => Some(shown.admission.show()),
            _ => None,
        };
        tokio::spawn(serve_admin(
            listeners.admin,
            after_callers.clone(),
            page,
            is_ready,
            inspect,
        ))
    };
    let endpoints = {
        let entry = Arc::clone(&entry);
        let answer = move |request| answer_endpoint(Arc::clone(&entry), request);
        tokio::spawn(serve_http(
            listeners.endpoints,
            ServerBounds::default(),
            after_callers.clone(),
            answer,
        ))
    };
    let answer = {
        let entry = Arc::clone(&entry);
        move |request| answer_caller(Arc::clone(&entry), request)
    };
    // Said when the process is asked to stop, since finishing what callers have begun may take minutes.
    let asked = stop.clone();
    let announce = async {
        asked.cancelled().await;
        slog::info!(log, "entry stopping"; "event" => event::STOPPING);
    };
    tokio::join!(serve_http(listeners.callers, bounds, stop, answer), announce);
    after_callers.cancel();
    for task in [admin, endpoints, intake, watching, examining] {
        let _panicked = task.await;
    }
    keeping.abort();
    let _aborted = keeping.await;
    // Dropping the last sender lets the usage task deliver what is left and end.
    drop(entry);
    let _panicked = billing.await;
    driving.abort();
    slog::info!(log, "entry stopped"; "event" => event::STOPPED);
}

fn server_bounds(limits: &CallerLimits) -> ServerBounds {
    ServerBounds {
        head_bytes: limits.head_bytes,
        head_timeout: limits.head_timeout,
        connections: limits.connections,
        unsent_bytes: None,
        flushes_breaks: false,
    }
}

/// Examines the attempts whose endpoint may have ended.
async fn examine_breaks(entry: Arc<Entry>, stop: CancellationToken) {
    let tracker = Arc::clone(&entry.suspects);
    let sighting = |broken: &BrokenAttempt| entry.endpoints.lock().table.sighting(broken);
    let wall_ms = |_now| wall_nanos() / 1_000_000;
    tracker
        .examine_breaks(sighting, direct_port_states, wall_ms, stop)
        .await;
}

/// Logs when the lease runs out; nothing else happens at that moment, since every request looks at the lease itself.
async fn watch_lease(entry: Arc<Entry>, stop: CancellationToken) {
    let mut held = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(WATCH_INTERVAL) => {}
        }
        let holds = entry.may_serve(boot_now());
        metrics::gauge!("acacia_serving_lease").set(f64::from(u8::from(holds)));
        if held && !holds {
            slog::warn!(entry.log, "serving lease lost"; "event" => event::LEASE_LOST);
        }
        held = holds;
    }
}
