//! Aggregation of the entries' suspicions: an endpoint that several failure domains find silent is avoided by all
//! entries.
//!
//! With hundreds of entries, each one sends a given endpoint a call only every few seconds. If every entry had to
//! detect a dead endpoint by itself, hundreds of calls would be lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::name::{DomainName, EndpointName};

/// Minimum number of failure domains that must find an endpoint silent. If only one does, the network between them may
/// be at fault.
const MIN_DOMAINS: usize = 2;

/// Returns the endpoints that entries in several failure domains suspect.
pub fn shared_suspicions<'entry>(
    suspicions: impl Iterator<Item = (&'entry DomainName, &'entry EndpointName)>,
) -> BTreeSet<&'entry EndpointName> {
    let mut domains: BTreeMap<&EndpointName, BTreeSet<&DomainName>> = BTreeMap::new();
    for (domain, endpoint) in suspicions {
        domains.entry(endpoint).or_default().insert(domain);
    }
    let shared = domains.into_iter().filter(|(_, domains)| domains.len() >= MIN_DOMAINS);
    shared.map(|(endpoint, _)| endpoint).collect()
}
