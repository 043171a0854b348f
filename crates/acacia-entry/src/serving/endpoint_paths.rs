//! Connections to endpoints, directly or over another entry.
//!
//! A connection attempt that does not succeed soon is made over a relay as well, and the first connection is used. Nothing of
//! a call is sent before, so that this is safe for every call. Whichever path leads to the endpoint is remembered in a
//! [`PathTable`].

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ConnectFailure, ConnectionPath, Connector, NewConnection, connect_from};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::broken_attempt::PortState;
use acaciabay::core::serving::carried_entries::CarriedTable;
use acaciabay::core::serving::endpoint_paths::{PathChange, PathFault, PathOrder, PathTable, WaitNumber};
use acaciabay::core::serving::relay_choice::RelayTable;
use acaciabay::util::number::whole_millis;
use anyhow::anyhow;
use futures::FutureExt;
use futures::future::{BoxFuture, join_all};
use parking_lot::Mutex;
use slog::Logger;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::relay_client::RelayFailure;

/// Time limit for connecting to an endpoint. Within a region this takes milliseconds. A lost packet is retransmitted
/// only after a second, by which time another endpoint can have answered.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which sent data may remain unacknowledged before the kernel closes a connection. An endpoint may be silent for a
/// second and go on.
pub(super) const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a connection attempt that has not succeeded is made over a relay as well: many times the usual one.
const HEDGE_DELAY: Duration = Duration::from_millis(80);
/// Time limit for the attempt that a relay makes. It ends before that of the entry which has asked, [`CONNECT_TIMEOUT`].
const RELAYED_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for a connection over any relay.
const RELAYS_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which it is decided whether paths have to be checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Paths to the endpoints, shared by all tasks of an entry.
#[derive(Debug)]
pub(super) struct EndpointPaths {
    /// Host of this entry, for the logs of relays.
    pub(super) host: String,
    /// Where this entry hears what endpoints have asked of the relays that it uses.
    pub(super) notice_address: Option<SocketAddr>,
    source: Option<IpAddr>,
    pub(super) state: Mutex<PathState>,
    /// Counts the changes of what the entry reaches as a whole.
    changes: watch::Sender<u64>,
    /// Counts the paths that were lost.
    losses: watch::Sender<u64>,
    pub(super) log: Logger,
}

#[derive(Debug, Default)]
pub(super) struct PathState {
    paths: PathTable,
    pub(super) relays: RelayTable,
    /// Entries for which this one is a relay.
    pub(super) carried: CarriedTable,
    /// Token by which relays know the entries of this system.
    pub(super) token: u64,
    /// The token before, which relays accept from entries that have not heard of the newest.
    earlier_token: Option<u64>,
}

/// Marks a call that waits for an endpoint until it is dropped.
#[derive(Debug)]
pub(super) struct EndpointWait<'paths> {
    paths: &'paths EndpointPaths,
    number: WaitNumber,
}

impl Drop for EndpointWait<'_> {
    fn drop(&mut self) {
        self.paths.state.lock().paths.end_wait(self.number);
    }
}

/// Connector over the paths of an entry.
#[derive(Clone, Debug)]
pub(super) struct PathConnector(pub(super) Arc<EndpointPaths>);

impl Connector for PathConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<NewConnection, ConnectFailure>> {
        self.0.connect(address).boxed()
    }

    fn may_use(&self, address: SocketAddr, path: ConnectionPath, idle_since: BootTime) -> bool {
        let state = self.0.state.lock();
        match path {
            ConnectionPath::Direct => state.paths.may_use_kept(address, idle_since),
            ConnectionPath::Relayed { relay, .. } => state.paths.is_lost(address) && state.relays.is_listed(relay),
        }
    }

    fn record_broken(&self, address: SocketAddr) {
        self.0.state.lock().paths.record_broken(boot_now(), address);
    }

    fn lost(&self, address: SocketAddr) -> BoxFuture<'_, ()> {
        self.0.wait_until_lost(address).boxed()
    }

    fn record_arrival(&self) {
        let now = boot_now();
        let change = self.0.state.lock().paths.record_heard(now);
        self.0.announce(change);
    }
}

impl EndpointPaths {
    pub(super) fn new(
        host: String,
        notice_address: Option<SocketAddr>,
        source: Option<IpAddr>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            host,
            notice_address,
            source,
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            losses: watch::Sender::new(0),
            log,
        })
    }

    /// Returns a receiver that changes when the entry is cut off from all endpoints, or reaches one again.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns true while the entry is cut off from all endpoints.
    pub(super) fn is_cut(&self) -> bool {
        self.state.lock().paths.is_cut()
    }

    /// Returns true if this entry can tell that an endpoint fails from the loss of its own path to it.
    pub(super) fn may_judge(&self, now: BootTime) -> bool {
        let paths = &self.state.lock().paths;
        paths.has_heard_lately(now) && paths.lost_count() == 0
    }

    /// Returns true if the path of a call that was sent then has been lost since.
    pub(super) fn was_lost_after(&self, sent_at: BootTime, address: SocketAddr) -> bool {
        self.state.lock().paths.was_lost_after(sent_at, address)
    }

    /// Returns true if the direct path to an endpoint is lost.
    pub(super) fn is_lost(&self, address: SocketAddr) -> bool {
        self.state.lock().paths.is_lost(address)
    }

    /// Waits until open direct connections to an endpoint may no longer be used.
    async fn wait_until_lost(&self, address: SocketAddr) {
        let mut losses = self.losses.subscribe();
        while self.state.lock().paths.may_use_open(address) {
            if losses.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Marks a call as waiting for an endpoint until the returned value is dropped.
    pub(super) fn begin_wait(&self, now: BootTime, address: SocketAddr) -> EndpointWait<'_> {
        let number = self.state.lock().paths.begin_wait(now, address);
        EndpointWait { paths: self, number }
    }

    /// Returns true if the leader is to be asked for the relays.
    pub(super) fn wants_relays(&self, now: BootTime) -> bool {
        let state = self.state.lock();
        state.relays.is_outdated(now, state.paths.lost_count() > 0)
    }

    /// Replaces the relays by those that the leader has named.
    pub(super) fn replace_relays(&self, now: BootTime, relays: impl IntoIterator<Item = SocketAddr>) {
        self.state.lock().relays.replace(now, relays);
    }

    /// Records the token that the leader has told.
    pub(super) fn record_token(&self, token: u64) {
        let mut state = self.state.lock();
        if token != state.token {
            state.earlier_token = (state.token != 0).then_some(state.token);
            state.token = token;
        }
    }

    /// Returns true if a token is that of a leader that this entry knows.
    pub(super) fn knows_token(&self, token: u64) -> bool {
        let state = self.state.lock();
        token != 0 && (token == state.token || Some(token) == state.earlier_token)
    }

    /// Connects to an endpoint for another entry.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not take the connection.
    pub(super) async fn connect_for_other(&self, address: SocketAddr) -> Result<TcpStream, PortState> {
        self.connect_directly(address, RELAYED_CONNECT_TIMEOUT).await
    }

    async fn connect_directly(&self, address: SocketAddr, timeout: Duration) -> Result<TcpStream, PortState> {
        match connect_from(self.source, address, timeout, USER_TIMEOUT).await {
            Ok(stream) => {
                let change = self.state.lock().paths.record_reached(boot_now(), address);
                self.announce(change);
                Ok(stream)
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => Err(PortState::Refused),
            Err(_silent) => Err(PortState::Silent),
        }
    }

    /// Returns the states of endpoints' ports.
    ///
    /// A port that refuses connections is that of an endpoint that has ended, or the network refuses them. Other entries are
    /// asked which of the two it is. Where they cannot tell, the endpoints' own reports have to.
    pub(super) async fn port_states(self: &Arc<Self>, addresses: BTreeSet<SocketAddr>) -> Vec<(SocketAddr, PortState)> {
        let attempts = addresses
            .into_iter()
            .map(|address| async move { (address, self.port_state(address).await) });
        join_all(attempts).await
    }

    async fn port_state(self: &Arc<Self>, address: SocketAddr) -> PortState {
        match self.connect_directly(address, CONNECT_TIMEOUT).await {
            Ok(_connection) => return PortState::Open,
            Err(PortState::Refused) => {}
            Err(state) => return state,
        }
        let witnesses = self.ask_witnesses(address).await;
        if witnesses.opened > 0 {
            return match self.connect_unless_refused(address).await {
                Some(_connection) => PortState::Open,
                None => PortState::Silent,
            };
        }
        let lost = self.state.lock().paths.lost_count();
        let state = witnesses.judge_refusal(lost);
        if state != PortState::Refused {
            slog::info!(self.log, "refused port doubted"; "event" => event::PORT_DOUBTED, "address" => %address,
                "refused" => witnesses.refused, "silent" => witnesses.silent, "lost" => lost);
        }
        state
    }

    /// Connects to an endpoint that has refused a connection which others got. One that has just started refuses those that
    /// came too early; only if it refuses again, the path of this entry is lost.
    async fn connect_unless_refused(&self, address: SocketAddr) -> Option<TcpStream> {
        match self.connect_directly(address, CONNECT_TIMEOUT).await {
            Ok(stream) => Some(stream),
            Err(state) => {
                self.record_lost(address, path_fault(state));
                None
            }
        }
    }

    async fn connect(self: &Arc<Self>, address: SocketAddr) -> Result<NewConnection, ConnectFailure> {
        let order = self.state.lock().paths.order(boot_now(), address);
        match order {
            PathOrder::DirectFirst => self.connect_direct_first(address).await,
            PathOrder::RelayFirst => match self.connect_over_relay(address, RELAYS_TIMEOUT).await {
                Ok(connection) => Ok(connection),
                Err(RelayFailure::Endpoint(state)) => Err(endpoint_failure(state)),
                Err(RelayFailure::NoRelay) if self.is_cut() => Err(path_failure()),
                Err(RelayFailure::NoRelay) => {
                    let direct = self.connect_directly(address, CONNECT_TIMEOUT).await;
                    direct.map(direct_connection).map_err(|_lost| path_failure())
                }
            },
        }
    }

    async fn connect_direct_first(self: &Arc<Self>, address: SocketAddr) -> Result<NewConnection, ConnectFailure> {
        let mut direct = std::pin::pin!(self.connect_directly(address, CONNECT_TIMEOUT));
        let early = tokio::select! {
            connected = &mut direct => Some(connected),
            () = tokio::time::sleep(HEDGE_DELAY) => None,
        };
        let direct_state = match early {
            Some(Ok(stream)) => return Ok(direct_connection(stream)),
            Some(Err(state)) => Some(state),
            None => None,
        };
        // An endpoint that nobody reaches must not hold the call longer than the direct attempt would.
        let relayed_timeout = CONNECT_TIMEOUT.saturating_sub(HEDGE_DELAY);
        let mut relayed = std::pin::pin!(self.connect_over_relay(address, relayed_timeout));
        let relayed = if direct_state.is_some() {
            relayed.await
        } else {
            tokio::select! {
                connected = &mut direct => match connected {
                    Ok(stream) => return Ok(direct_connection(stream)),
                    Err(_silent) => relayed.await,
                },
                relayed = &mut relayed => match relayed {
                    Ok(connection) => Ok(connection),
                    Err(failure) => match direct.await {
                        Ok(stream) => return Ok(direct_connection(stream)),
                        Err(_silent) => Err(failure),
                    },
                },
            }
        };
        match relayed {
            Ok(connection) if direct_state == Some(PortState::Refused) => {
                let direct = self.connect_unless_refused(address).await;
                Ok(direct.map_or(connection, direct_connection))
            }
            Ok(connection) => {
                self.record_lost(address, path_fault(direct_state.unwrap_or(PortState::Silent)));
                Ok(connection)
            }
            Err(RelayFailure::Endpoint(state)) => Err(endpoint_failure(state)),
            Err(RelayFailure::NoRelay) if self.is_lost(address) => Err(path_failure()),
            Err(RelayFailure::NoRelay) => Err(endpoint_failure(direct_state.unwrap_or(PortState::Silent))),
        }
    }

    pub(super) fn record_lost(&self, address: SocketAddr, fault: PathFault) {
        let change = self.state.lock().paths.record_lost(boot_now(), address, fault);
        slog::info!(self.log, "path to an endpoint lost"; "event" => event::PATH_LOST, "address" => %address,
            "fault" => ?fault);
        metrics::counter!("acacia_paths_lost_total").increment(1);
        self.announce(change);
        self.losses.send_modify(|count| *count += 1);
    }

    fn announce(&self, change: Option<PathChange>) {
        match change {
            None => return,
            Some(PathChange::Cut) => {
                let lost = self.state.lock().paths.lost_count();
                slog::warn!(self.log, "cut off from all endpoints"; "event" => event::PATHS_CUT, "lost" => lost);
                metrics::gauge!("acacia_cut_off").set(1.0);
            }
            Some(PathChange::Restored { lasted }) => {
                slog::warn!(self.log, "endpoints reached again"; "event" => event::PATHS_RESTORED,
                    "lasted_ms" => whole_millis(lasted));
                metrics::gauge!("acacia_cut_off").set(0.0);
            }
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Forgets lost paths that no call has needed for a while.
    pub(super) fn remove_expired(&self, now: BootTime) {
        let change = self.state.lock().paths.remove_expired(now);
        self.announce(change);
    }

    /// Checks paths while calls wait and no endpoint gives a sign of life, and tries those that are lost, until `stop` is
    /// cancelled. `open` opens a connection to an endpoint and keeps it for later calls.
    pub(super) async fn check_overdue_paths<F: Future<Output = ()>>(
        &self,
        open: impl Fn(SocketAddr) -> F,
        stop: CancellationToken,
    ) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            let (checks, trials) = {
                let mut state = self.state.lock();
                (state.paths.due_checks(boot_now()), state.paths.due_trials(boot_now()))
            };
            let checking = join_all(checks.into_iter().map(&open));
            // Whether the endpoint was reached is recorded; the connection was only needed to know.
            let trying = join_all(
                trials
                    .into_iter()
                    .map(|address| self.connect_directly(address, CONNECT_TIMEOUT)),
            );
            let (_checked, _tried) = futures::join!(checking, trying);
        }
    }
}

const fn path_fault(direct: PortState) -> PathFault {
    match direct {
        PortState::Refused => PathFault::Refused,
        PortState::Silent | PortState::Unknown | PortState::Open => PathFault::Silent,
    }
}

const fn direct_connection(stream: TcpStream) -> NewConnection {
    NewConnection {
        stream,
        path: ConnectionPath::Direct,
        lifetime: None,
    }
}

fn endpoint_failure(state: PortState) -> ConnectFailure {
    ConnectFailure {
        is_path_lost: false,
        source: anyhow!("the endpoint's port is {state:?}"),
    }
}

fn path_failure() -> ConnectFailure {
    ConnectFailure {
        is_path_lost: true,
        source: anyhow!("no path leads to the endpoint"),
    }
}
