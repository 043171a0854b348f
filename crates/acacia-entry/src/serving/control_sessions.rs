//! Sessions with the replicas of the control group, over which the entry renews its lease and receives the
//! configuration and the state of the endpoints.
//!
//! The entry keeps a session with every voter, because each replica forwards the reports that endpoints send to it.
//! It requests the lease from the leader only, or from all replicas while it does not know the leader
//! ([`ReplicaTracker`]).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acacia_http::connect_within;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{ServingFrame, ServingHello, ServingRenewed};
use acacia_wire::{
    CONNECT_TIMEOUT, FrameReader, FrameWriter, MESSAGE_REVISION, ORIGINS_REVISION, kept_from_wire,
    newer_config_from_wire, slice_from_wire, split_frames, suspect_answer_from_wire, use_from_wire,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::endpoint_handles::ReceivedHandles;
use acaciabay::core::serving::endpoint_speed::SpeedSource;
use acaciabay::core::serving::replica_tracker::{LEADER_TIMEOUT, ReplicaTracker};
use acaciabay::util::number::whole_millis;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::config_install::{ReceivedConfig, ReplicaSession};
use super::endpoint_news::{
    apply_allowances, apply_endpoint_news, apply_limit_states, apply_reports, apply_resting_engines, apply_suspects,
};
use super::endpoint_speeds::apply_speeds;
use super::renewal_message::renewal_frame;
use super::shared::EntryShared;
use super::stream_origins::MAX_QUEUED_FRAMES;

/// Interval between renewals of the lease. A dozen of them fit into the shortest lease in use, and the load that
/// entries report to each other is at most two intervals old.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which sent data may remain unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without received data after which a session counts as lost. Replicas send a message every half second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a lost connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// Manager of the sessions with all replicas, with the state that they share.
#[derive(Debug)]
pub(super) struct SessionManager {
    shared: Arc<EntryShared>,
    /// Random identifier of this start of the process.
    start_id: u64,
    replicas: Mutex<ReplicaTracker>,
    /// Notified when a replica has reported the voters.
    voters_reported: Notify,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Counter of the events upon which a renewal is requested at once: the announcement of a newer configuration, or a
    /// replica that became leader.
    renewal_triggers: watch::Sender<u64>,
    /// Number of connections to replicas since the start.
    connections: AtomicU64,
}

impl SessionManager {
    pub(super) fn new(shared: Arc<EntryShared>, start_id: u64, seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self {
            shared,
            start_id,
            replicas: Mutex::default(),
            voters_reported: Notify::new(),
            seeds,
            renewal_triggers: watch::Sender::new(0),
            connections: AtomicU64::new(0),
        }
    }

    /// Opens and closes sessions as voters and seeds change, until `stop` is cancelled.
    pub(super) async fn run_sessions(self: Arc<Self>, stop: CancellationToken) {
        let mut seeds = self.seeds.clone();
        let mut sessions: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
        loop {
            let voters_reported = self.voters_reported.notified();
            let wanted = self.session_targets(&seeds.borrow_and_update());
            sessions.retain(|address, session| {
                let keep = wanted.contains(address);
                if !keep {
                    session.abort();
                    self.replicas.lock().mark_disconnected(*address);
                    self.shared.state().group_clock.remove(address);
                    slog::info!(self.shared.log, "session with a replica closed"; "event" => event::CONTROL_LOST,
                        "replica" => %address, "reason" => "no replica names it");
                }
                keep
            });
            for address in wanted {
                let this = Arc::clone(&self);
                let session = sessions.entry(address);
                session.or_insert_with(|| tokio::spawn(async move { this.maintain_session(address).await }));
            }
            tokio::select! {
                () = stop.cancelled() => break,
                () = voters_reported => {}
                Ok(()) = seeds.changed() => {}
            }
        }
        for session in sessions.values() {
            session.abort();
        }
    }

    /// Returns the replicas to keep sessions with: the reported voters and the seeds. If every voter has been replaced,
    /// only the seeds lead back to the group.
    fn session_targets(&self, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let port = self.shared.settings.peer_port;
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        self.replicas.lock().session_targets(seeds)
    }

    async fn maintain_session(self: Arc<Self>, address: SocketAddr) {
        let mut was_open = false;
        loop {
            let ended = self.run_session(address, &mut was_open).await;
            self.replicas.lock().mark_disconnected(address);
            self.shared.state().group_clock.remove(&address);
            if std::mem::take(&mut was_open) {
                slog::warn!(self.shared.log, "session with a replica lost"; "event" => event::CONTROL_LOST,
                    "replica" => %address, "reason" => ended.err().map(|error| error.to_string()));
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn run_session(&self, address: SocketAddr, was_open: &mut bool) -> std::io::Result<()> {
        let stream = connect_within(address, CONNECT_TIMEOUT, TCP_USER_TIMEOUT).await?;
        let (reader, mut writer) = split_frames(stream);
        let settings = &self.shared.settings;
        let hello = ServingHello {
            host: settings.host.clone(),
            domain: settings.failure_domain.clone(),
            start: self.start_id,
            entry: true,
            takes_deltas: true,
            revision: MESSAGE_REVISION,
        };
        writer.send(Frame::ServingHello(hello)).await?;
        *was_open = true;
        slog::info!(self.shared.log, "session with a replica opened"; "event" => event::CONTROL_FOUND,
            "replica" => %address);
        let source = SpeedSource(self.connections.fetch_add(1, Ordering::Relaxed));
        let session = Mutex::new(ReplicaSession::new(source));
        let (origins, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        let _origins = self.shared.origins.guard_session(address);
        tokio::select! {
            ended = self.read_frames(address, reader, &session, origins) => ended,
            ended = self.send_renewals(address, writer, &session, queue) => ended,
        }
    }

    async fn send_renewals(
        &self,
        address: SocketAddr,
        mut writer: FrameWriter<TcpStream>,
        session: &Mutex<ReplicaSession>,
        mut origins: mpsc::Receiver<Frame>,
    ) -> std::io::Result<()> {
        let mut renewal_triggers = self.renewal_triggers.subscribe();
        let mut reports_due = self.shared.suspects.reports_due();
        let mut permits_due = self.shared.reports_due.subscribe();
        let mut path_changes = self.shared.paths.changes();
        loop {
            renewal_triggers.mark_unchanged();
            reports_due.mark_unchanged();
            permits_due.mark_unchanged();
            path_changes.mark_unchanged();
            let now = boot_now();
            self.clear_overdue_leader(now, address, session);
            let should_ask = self.replicas.lock().should_ask(now, address);
            if should_ask && session.lock().renewals.can_request(now) {
                let held = self.shared.state().config.clone();
                let config_number = held.number;
                let number = session.lock().renewals.record_request(now, held);
                self.log_config_request(now, address, number);
                writer
                    .send(renewal_frame(now, &self.shared, number, config_number))
                    .await?;
            }
            let renewal_due = tokio::time::sleep(RENEWAL_INTERVAL);
            tokio::pin!(renewal_due);
            loop {
                tokio::select! {
                    () = &mut renewal_due => break,
                    _ = renewal_triggers.changed() => break,
                    _ = reports_due.changed() => break,
                    _ = permits_due.changed() => break,
                    _ = path_changes.changed() => break,
                    Some(frame) = origins.recv() => write_queued(&mut writer, frame, &mut origins).await?,
                }
            }
        }
    }

    /// Makes every session check at once if it has to request a renewal. A session that is sending does so afterwards.
    fn trigger_renewals(&self) {
        self.renewal_triggers.send_modify(|count| *count += 1);
    }

    /// Clears the presumed leader if it is this replica and its answer is overdue. All replicas are then asked.
    fn clear_overdue_leader(&self, now: BootTime, address: SocketAddr, session: &Mutex<ReplicaSession>) {
        let session = session.lock();
        let Some(overdue) = session.renewals.overdue(now) else {
            return;
        };
        if self.replicas.lock().clear_leader(address) {
            slog::info!(self.shared.log, "leader does not answer"; "event" => event::CONTROL_LOST,
                "replica" => %address, "asked" => overdue.number,
                "waited_ms" => whole_millis(now.since(overdue.requested_at)));
        }
    }

    /// Records the number of a committed configuration that a replica has announced, and asks for it if it is higher than
    /// that of the held one.
    fn handle_announcement(&self, address: SocketAddr, number: ConfigNumber) {
        let mut state = self.shared.state();
        if Some(number) <= state.config.number {
            return;
        }
        if state.freshness.record_announced(boot_now(), number) {
            slog::info!(self.shared.log, "newer configuration announced"; "event" => event::CONFIG_TOLD,
                "number" => number.0, "held" => state.config.number.map(|held| held.0), "replica" => %address);
        }
        drop(state);
        self.trigger_renewals();
    }

    fn log_config_request(&self, now: BootTime, address: SocketAddr, renewal: u64) {
        let state = self.shared.state();
        let held = state.config.number;
        if let Some(announced_at) = state.freshness.behind_since(held) {
            slog::info!(self.shared.log, "newer configuration requested"; "event" => event::CONFIG_ASKED,
                "asked" => renewal, "told" => state.freshness.announced().map(|told| told.0), "held" => held.map(|held| held.0),
                "replica" => %address,
                "told_ms" => whole_millis(now.since(announced_at)));
        }
    }

    fn log_late_renewal(&self, now: BootTime, address: SocketAddr, renewal: u64, received: &ReceivedConfig) {
        let took = now.since(received.requested_at);
        if took >= LEADER_TIMEOUT {
            metrics::counter!("acacia_renewals_late_total").increment(1);
            slog::info!(self.shared.log, "renewal answered late"; "event" => event::RENEWAL_LATE,
                "asked" => renewal, "took_ms" => whole_millis(took), "number" => received.config.number.map(|number| number.0),
                "bytes" => received.bytes, "replica" => %address);
        }
    }

    async fn read_frames(
        &self,
        address: SocketAddr,
        mut reader: FrameReader<TcpStream>,
        session: &Mutex<ReplicaSession>,
        origins: mpsc::Sender<Frame>,
    ) -> std::io::Result<()> {
        let mut origins = Some(origins);
        let mut handles = ReceivedHandles::default();
        while let Some(frame) = reader.next_within(SILENCE_TIMEOUT).await? {
            let Frame::Serving(ServingFrame { body: Some(body) }) = frame else {
                return Err(std::io::ErrorKind::InvalidData.into());
            };
            match body {
                Body::Renewed(renewed) => self.handle_renewal(address, session, renewed)?,
                Body::Elsewhere(elsewhere) => {
                    session.lock().renewals.complete(elsewhere.request);
                    let named: Option<SocketAddr> = elsewhere.leader_address.parse().ok();
                    self.replicas.lock().record_not_leader(address, named);
                }
                Body::News(news) => apply_endpoint_news(&self.shared, &news, &mut handles),
                Body::Reported(reports) => apply_reports(&self.shared, &reports, &handles),
                Body::Replicas(replicas) => {
                    let voters: BTreeSet<_> = replicas.addresses.iter().filter_map(|text| text.parse().ok()).collect();
                    if !voters.is_empty() {
                        let count = {
                            let mut replicas = self.replicas.lock();
                            replicas.record_voters(address, voters);
                            replicas.voter_count()
                        };
                        self.shared.origins.record_voters(count);
                        self.voters_reported.notify_one();
                    }
                }
                Body::AnnouncedConfig(number) => self.handle_announcement(address, ConfigNumber(number)),
                Body::NewerConfig(number) => {
                    if let Some(number) = newer_config_from_wire(number) {
                        self.handle_announcement(address, number);
                    }
                }
                Body::Leads(_) => {
                    self.replicas.lock().record_leader_claim(address);
                    slog::info!(self.shared.log, "leader found"; "event" => event::CONTROL_FOUND,
                        "replica" => %address, "reason" => "it says that it leads");
                    self.trigger_renewals();
                }
                Body::Suspects(suspects) => apply_suspects(&self.shared, suspects),
                Body::Allowances(table) => apply_allowances(&self.shared, &table),
                Body::Limits(table) => apply_limit_states(&self.shared, &table),
                Body::Resting(resting) => apply_resting_engines(&self.shared, &resting),
                Body::Alive(sign) => {
                    let now = boot_now();
                    self.shared.state().group_clock.record(now, address, sign.wall_ms);
                    if sign.revision >= ORIGINS_REVISION
                        && let Some(queue) = origins.take()
                    {
                        self.shared.origins.attach(now, address, queue);
                    }
                }
                Body::OriginAnswer(answer) => self.shared.origins.receive(address, &answer),
                Body::Renew(_) | Body::Origin(_) | Body::OriginQuery(_) => {
                    return Err(std::io::ErrorKind::InvalidData.into());
                }
            }
        }
        Ok(())
    }

    /// Handles the answer to a renewal: installs the configuration in it, applies the reports of other entries and
    /// extends the lease.
    fn handle_renewal(
        &self,
        address: SocketAddr,
        session: &Mutex<ReplicaSession>,
        renewed: ServingRenewed,
    ) -> std::io::Result<()> {
        let now = boot_now();
        let ServingRenewed {
            entries,
            others,
            kept,
            silent,
            suspects,
            limits,
            relay_token,
            relays,
            retries,
            speeds,
            slices,
            ..
        } = renewed;
        let number = renewed.config_number.map(ConfigNumber);
        let received = session
            .lock()
            .receive_answer(now, renewed.request, number, renewed.content)?;
        self.log_late_renewal(now, address, renewed.request, &received);
        self.replicas.lock().record_confirmed(now, address);
        self.shared.install_config(&received)?;
        // The lease is not confirmed without them: the entry would serve what the others hold back.
        let suspects = suspect_answer_from_wire(suspects);
        self.shared
            .suspects
            .apply_answer(suspects.map_err(|_malformed| std::io::ErrorKind::InvalidData)?);
        if let Some(limits) = limits {
            self.shared.apply_limits(received.requested_at, &limits)?;
        }
        self.shared.apply_retry_grants(now, received.requested_at, &retries);
        self.shared.paths.record_token(relay_token);
        if let Some(relays) = relays {
            let addresses = relays.addresses.iter().filter_map(|address| address.parse().ok());
            self.shared.paths.replace_relays(now, addresses);
        }
        // A report was due while this renewal was on its way.
        let has_unreported = {
            let state = self.shared.state();
            state.limits.has_unreported() || state.has_retry_demands(now)
        };
        if has_unreported || self.shared.suspects.has_unreported() {
            self.trigger_renewals();
        }
        let source = session.lock().speed_source;
        let mut state = self.shared.state();
        // Before the return below: the replica tells each change over a connection once.
        apply_speeds(&self.shared.log, &mut state, now, source, &speeds);
        state.allowances.confirm(received.requested_at);
        // Another replica has meanwhile sent a newer configuration, so this answer confirms an outdated one.
        if state.config.number != received.config.number {
            return Ok(());
        }
        state.entry_count = entries;
        state.loads.set_peer_work(now, others.iter().map(use_from_wire));
        let slices: BTreeMap<_, _> = slices.iter().map(slice_from_wire).collect();
        for (service, slice) in &slices {
            if state.slices.get(service) != Some(slice) {
                slog::info!(self.shared.log, "slice changed"; "event" => event::SLICE_CHANGED,
                    "service" => service.as_str(), "start_ppm" => slice.start_ppm, "end_ppm" => slice.end_ppm);
            }
        }
        state.slices = slices;
        state.loads.set_peer_suspicions(silent.iter().map(EndpointName::new));
        for kept in &kept {
            state.record_cached_part(&kept_from_wire(kept));
        }
        let is_behind = state.freshness.behind_since(state.config.number).is_some();
        drop(state);
        self.shared.confirm_lease(received.requested_at);
        if is_behind {
            self.trigger_renewals();
        }
        Ok(())
    }
}

/// Writes a frame, and all others that wait behind it, in one piece.
async fn write_queued(
    writer: &mut FrameWriter<TcpStream>,
    first: Frame,
    queue: &mut mpsc::Receiver<Frame>,
) -> std::io::Result<()> {
    writer.feed(first).await?;
    while let Ok(frame) = queue.try_recv() {
        writer.feed(frame).await?;
    }
    writer.flush().await
}
