//! Asks other entries for connections to endpoints, and for what they find of an endpoint's port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ConnectionPath, NewConnection, connect_within};
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::generated::serving::RelayOutcome;
use acacia_wire::{RelayHandshake, RelayReply, RelayRequest, RelayedRest};
use acaciabay::core::endpoint_rest::RestRequest;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::broken_attempt::PortState;
use acaciabay::core::serving::endpoint_paths::PortWitnesses;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::relay_choice::RelayRefusal;
use futures::future::join_all;
use rand::Rng;
use tokio::net::TcpStream;

use super::endpoint_paths::{CONNECT_TIMEOUT, EndpointPaths, USER_TIMEOUT};

/// Time limit for the answer of one relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of relays that are asked for one connection.
const MAX_RELAYS_ASKED: usize = 3;
/// Number of relays that must find that an endpoint does not answer, if as many can say. One that has just been cut off
/// itself does not know it yet.
const MIN_AGREEING_RELAYS: usize = 2;

/// Why no connection over a relay was made.
#[derive(Debug)]
pub(super) enum RelayFailure {
    /// Relays found that the endpoint itself does not take it.
    Endpoint(PortState),
    /// No relay took it.
    NoRelay,
}

/// Counts a connection over a relay until it is dropped.
#[derive(Debug)]
struct RelayUse {
    paths: Arc<EndpointPaths>,
    relay: SocketAddr,
}

impl Drop for RelayUse {
    fn drop(&mut self) {
        self.paths.state.lock().relays.record_closed(self.relay);
    }
}

impl EndpointPaths {
    /// Returns what other entries find at a port that has refused a connection of this one. Several are asked at once: an
    /// endpoint that has ended may do so with a call that others are about to send.
    pub(super) async fn ask_witnesses(self: &Arc<Self>, address: SocketAddr) -> PortWitnesses {
        let relays = self.choose_relays(MAX_RELAYS_ASKED);
        let asked = relays.into_iter().map(|(relay, token)| async move {
            let request = self.relay_request(token, address);
            let outcome = tokio::time::timeout(RELAY_TIMEOUT, open_over(relay, &request)).await;
            outcome.ok()?.ok().map(|(reply, _connection)| reply.outcome)
        });
        let found = join_all(asked).await;
        let count = |outcome| found.iter().filter(|reply| **reply == Some(outcome)).count();
        PortWitnesses {
            opened: count(RelayOutcome::Opened),
            refused: count(RelayOutcome::Refused),
            silent: count(RelayOutcome::Silent),
        }
    }

    /// Chooses several different relays, as far as there are any, with the token to ask them with.
    fn choose_relays(&self, count: usize) -> Vec<(SocketAddr, u64)> {
        let state = self.state.lock();
        let draw = |count| rand::rng().random_range(0..count);
        let mut chosen = Vec::new();
        while chosen.len() < count
            && let Some(relay) = state.relays.choose(boot_now(), &chosen, draw)
        {
            chosen.push(relay);
        }
        chosen.into_iter().map(|relay| (relay, state.token)).collect()
    }

    /// Returns what an endpoint has asked for as this entry tells it to a relay.
    pub(super) fn relayed_rest(
        &self,
        (endpoint, incarnation): (&EndpointName, EndpointIncarnation),
        asked: RestRequest,
    ) -> RelayedRest {
        RelayedRest {
            token: self.state.lock().token,
            host: self.host.clone(),
            by_relay: false,
            endpoint: endpoint.clone(),
            incarnation,
            asked,
        }
    }

    /// Tells the entries whose connections to an endpoint this one carries what it has asked of this host. The one that has
    /// told it, `teller`, knows it.
    pub(super) fn tell_carried(&self, address: SocketAddr, rest: &RelayedRest, teller: Option<&str>) {
        let state = self.state.lock();
        let others = state
            .carried
            .entries_of(address)
            .filter(|entry| Some(entry.host.as_str()) != teller);
        for entry in others {
            self.tell_as_relay(entry.notice_address, rest);
        }
    }

    /// Tells an entry that asks for a connection why it gets none, so that it sends its calls elsewhere until the rest ends.
    pub(super) fn tell_asking(&self, request: &RelayRequest, rest: &RelayedRest) {
        if let Some(notice_address) = request.notice_address {
            self.tell_as_relay(notice_address, rest);
        }
    }

    fn tell_as_relay(&self, other: SocketAddr, rest: &RelayedRest) {
        let rest = RelayedRest {
            by_relay: true,
            ..rest.clone()
        };
        self.tell_rest(other, rest);
    }

    /// Tells another entry what an endpoint has asked for: a relay, in an answer that came over it, or one whose connections
    /// this entry carries. One that does not hear of it is told by the next answer.
    pub(super) fn tell_rest(&self, other: SocketAddr, rest: RelayedRest) {
        let log = self.log.clone();
        tokio::spawn(async move {
            let told = tokio::time::timeout(RELAY_TIMEOUT, tell_over(other, &rest)).await;
            if !matches!(told, Ok(Ok(()))) {
                slog::info!(log, "entry was not told of a rest"; "event" => event::RELAY_UNAVAILABLE, "relay" => %other,
                    "endpoint" => rest.endpoint.as_str(), "by_relay" => rest.by_relay, "outcome" => ?told);
            }
        });
    }

    fn relay_request(&self, token: u64, address: SocketAddr) -> RelayRequest {
        RelayRequest {
            token,
            host: self.host.clone(),
            connection: rand::rng().random(),
            address,
            notice_address: self.notice_address,
        }
    }

    pub(super) async fn connect_over_relay(
        self: &Arc<Self>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<NewConnection, RelayFailure> {
        let connected = tokio::time::timeout(timeout, self.ask_relays(address)).await;
        connected.unwrap_or(Err(RelayFailure::NoRelay))
    }

    /// Asks one relay after the other for a connection.
    async fn ask_relays(self: &Arc<Self>, address: SocketAddr) -> Result<NewConnection, RelayFailure> {
        let mut unreachable = Vec::new();
        for (relay, token) in self.choose_relays(MAX_RELAYS_ASKED) {
            let request = self.relay_request(token, address);
            let opening = tokio::time::timeout(RELAY_TIMEOUT, open_over(relay, &request)).await;
            match opening {
                Ok(Ok((reply, stream))) if reply.outcome == RelayOutcome::Opened => {
                    return Ok(self.relayed_connection(relay, &request, reply, stream));
                }
                Ok(Ok((reply, _))) if reply.outcome == RelayOutcome::Refused => unreachable.push(PortState::Refused),
                Ok(Ok((reply, _))) if reply.outcome == RelayOutcome::Silent => unreachable.push(PortState::Silent),
                refused => {
                    let outcome = refused.map(|opened| opened.map(|(reply, _)| reply.outcome));
                    self.record_relay_refusal(relay, &request, &outcome);
                }
            }
            if unreachable.len() >= MIN_AGREEING_RELAYS {
                break;
            }
        }
        let is_refused = unreachable.iter().all(|state| *state == PortState::Refused);
        Err(match unreachable.as_slice() {
            [] => RelayFailure::NoRelay,
            [..] if is_refused => RelayFailure::Endpoint(PortState::Refused),
            [..] => RelayFailure::Endpoint(PortState::Silent),
        })
    }

    fn relayed_connection(
        self: &Arc<Self>,
        relay: SocketAddr,
        request: &RelayRequest,
        reply: RelayReply,
        stream: TcpStream,
    ) -> NewConnection {
        self.state.lock().relays.record_opened(relay);
        slog::info!(self.log, "connection opened over a relay"; "event" => event::RELAY_USED, "relay" => %relay,
            "address" => %request.address, "connection" => request.connection);
        metrics::counter!("acacia_relayed_connections_total").increment(1);
        NewConnection {
            stream,
            path: ConnectionPath::Relayed {
                relay,
                connection: request.connection,
                resets_breaks: reply.resets_breaks,
            },
            lifetime: Some(Arc::new(RelayUse {
                paths: Arc::clone(self),
                relay,
            })),
        }
    }

    fn record_relay_refusal(
        &self,
        relay: SocketAddr,
        request: &RelayRequest,
        outcome: &Result<std::io::Result<RelayOutcome>, tokio::time::error::Elapsed>,
    ) {
        let refusal = match outcome {
            Ok(Ok(RelayOutcome::Resting)) => RelayRefusal::EndpointRests,
            _ => RelayRefusal::Unavailable,
        };
        self.state.lock().relays.record_refusal(boot_now(), relay, refusal);
        slog::info!(self.log, "relay took no connection"; "event" => event::RELAY_UNAVAILABLE, "relay" => %relay,
            "address" => %request.address, "connection" => request.connection, "outcome" => ?outcome);
        metrics::counter!("acacia_relay_refusals_total").increment(1);
    }
}

async fn tell_over(other: SocketAddr, rest: &RelayedRest) -> std::io::Result<()> {
    let stream = connect_within(other, CONNECT_TIMEOUT, USER_TIMEOUT).await?;
    RelayHandshake::new(stream).tell_rest(rest).await
}

async fn open_over(relay: SocketAddr, request: &RelayRequest) -> std::io::Result<(RelayReply, TcpStream)> {
    let stream = connect_within(relay, CONNECT_TIMEOUT, USER_TIMEOUT).await?;
    let mut handshake = RelayHandshake::new(stream);
    let reply = handshake.request(request).await?;
    let (stream, early) = handshake.finish();
    if !early.is_empty() {
        // An endpoint says nothing before it is asked.
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    Ok((reply, stream))
}
