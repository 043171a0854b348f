//! Which endpoints all entries leave out because some of them have found them silent.
//!
//! With hundreds of entries each one sends an endpoint a call every few seconds. Had each to find out by itself that it is
//! dead, a dead endpoint would take hundreds of calls with it.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::name::{DomainName, EndpointName};

/// From how many failure domains an endpoint has to be found silent. Seen from one alone it may be the network between.
const LEAST_DOMAINS: usize = 2;

/// Returns the endpoints that entries in several failure domains suspect.
pub fn shared_suspicions<'entry>(
    suspicions: impl Iterator<Item = (&'entry DomainName, &'entry EndpointName)>,
) -> BTreeSet<&'entry EndpointName> {
    let mut domains: BTreeMap<&EndpointName, BTreeSet<&DomainName>> = BTreeMap::new();
    for (domain, endpoint) in suspicions {
        domains.entry(endpoint).or_default().insert(domain);
    }
    let shared = domains
        .into_iter()
        .filter(|(_, domains)| domains.len() >= LEAST_DOMAINS);
    shared.map(|(endpoint, _)| endpoint).collect()
}
