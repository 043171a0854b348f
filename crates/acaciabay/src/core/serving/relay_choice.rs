//! The other entries over which an entry may reach endpoints that it does not reach by itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, HostName};
use crate::util::rendezvous;

/// Number of relays that one entry is told. It chooses among several so that the load spreads, and the list stays small
/// however many entries there are.
pub const MAX_RELAYS: usize = 8;
/// Relays of the own failure domain among them, if there are as many. The others remain when the domain is cut off.
const MAX_NEAR_RELAYS: usize = 4;
/// Time for which a relay that did not take a connection is not asked.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Age from which on the list is asked for again while nothing is lost.
const LIST_LIFETIME: Duration = Duration::from_secs(5);
/// Age from which on the list is asked for again while relays are in use or none is known. Relays that stop are then left
/// soon, and the first ones are known soon after a start.
const SHORT_LIST_LIFETIME: Duration = Duration::from_millis(500);

/// An entry that offers to relay connections to endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayOffer {
    /// Host of the entry.
    pub host: HostName,
    /// Failure domain of the entry.
    pub domain: DomainName,
    /// Address at which it takes connections.
    pub address: SocketAddr,
    /// Hash of the host, by which each entry ranks the offers.
    hash: u64,
}

impl RelayOffer {
    /// Creates an offer.
    pub fn new(host: HostName, domain: DomainName, address: SocketAddr) -> Self {
        Self {
            hash: rendezvous::hash(host.as_str().as_bytes()),
            host,
            domain,
            address,
        }
    }
}

/// Selects the relays that an entry is told: near ones first, the same ones as long as the offers stay the same, and
/// different ones for each entry.
pub fn select_relays<'offer>(
    host: &HostName,
    domain: &DomainName,
    offers: impl Iterator<Item = &'offer RelayOffer>,
) -> Vec<&'offer RelayOffer> {
    let key = rendezvous::hash(host.as_str().as_bytes());
    let mut offers: Vec<&RelayOffer> = offers.filter(|offer| offer.host != *host).collect();
    offers.sort_unstable_by_key(|offer| rendezvous::combine_hashes(key, offer.hash));
    let (near, far): (Vec<_>, Vec<_>) = offers.into_iter().partition(|offer| offer.domain == *domain);
    let near_count = MAX_NEAR_RELAYS.max(MAX_RELAYS.saturating_sub(far.len()));
    let near = near.into_iter().take(near_count);
    near.chain(far).take(MAX_RELAYS).collect()
}

/// Why a relay did not take a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRefusal {
    /// It cannot relay at present, or has not answered.
    Unavailable,
    /// The endpoint has asked the relay's host for rest, or leaves. The relay is as good as any for other endpoints.
    EndpointRests,
}

/// A relay as the entry that uses it knows it.
#[derive(Clone, Copy, Debug, Default)]
struct RelayRow {
    /// Open connections over it.
    open: usize,
    refused_until: BootTime,
}

/// Relays that one entry knows, with what it has sent over each of them.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    rows: BTreeMap<SocketAddr, RelayRow>,
    told_at: Option<BootTime>,
}

impl RelayTable {
    /// Replaces the list. Connections over relays that are no longer listed are not used again.
    pub fn replace(&mut self, now: BootTime, relays: impl IntoIterator<Item = SocketAddr>) {
        let relays = relays.into_iter();
        let rows = relays.map(|address| (address, self.rows.get(&address).copied().unwrap_or_default()));
        self.rows = rows.collect();
        self.told_at = Some(now);
    }

    /// Returns true if the list is to be asked for again.
    pub fn is_outdated(&self, now: BootTime, is_in_use: bool) -> bool {
        let is_short = is_in_use || self.rows.is_empty();
        let lifetime = if is_short { SHORT_LIST_LIFETIME } else { LIST_LIFETIME };
        self.told_at.is_none_or(|told_at| now.since(told_at) >= lifetime)
    }

    /// Returns true if a relay is listed, so that connections over it may be used.
    pub fn is_listed(&self, relay: SocketAddr) -> bool {
        self.rows.contains_key(&relay)
    }

    /// Chooses a relay that is not among `tried`: of two that `draw` picks, the one with fewer connections. `draw` returns a
    /// number below its argument.
    pub fn choose(
        &self,
        now: BootTime,
        tried: &[SocketAddr],
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<SocketAddr> {
        let rows = self.rows.iter();
        let open: Vec<(&SocketAddr, &RelayRow)> = rows
            .filter(|(address, row)| !tried.contains(address) && now >= row.refused_until)
            .collect();
        if open.is_empty() {
            return None;
        }
        let (first, second) = (open[draw(open.len())], open[draw(open.len())]);
        let chosen = if second.1.open < first.1.open { second } else { first };
        Some(*chosen.0)
    }

    /// Records that a relay did not take a connection. If it cannot relay, it is left alone for a while, and the list is asked for
    /// again, since it may be outdated.
    pub fn record_refusal(&mut self, now: BootTime, relay: SocketAddr, refusal: RelayRefusal) {
        match refusal {
            RelayRefusal::EndpointRests => return,
            RelayRefusal::Unavailable => self.told_at = None,
        }
        if let Some(row) = self.rows.get_mut(&relay) {
            row.refused_until = now + REFUSAL_PAUSE;
        }
    }

    /// Records that a connection over a relay was opened.
    pub fn record_opened(&mut self, relay: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&relay) {
            row.open += 1;
        }
    }

    /// Records that a connection over a relay has ended.
    pub fn record_closed(&mut self, relay: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&relay) {
            row.open = row.open.saturating_sub(1);
        }
    }
}
