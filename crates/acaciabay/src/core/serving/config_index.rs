//! Lookup of a call's route and customer in the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use super::config::{CallRoute, CustomerRow, ServingConfig};
use crate::util::digest::ContentDigest;

/// Configuration indexed for lookups, so that the cost of a lookup does not depend on the number of routes.
#[derive(Clone, Debug)]
pub struct ConfigIndex {
    config: ServingConfig,
    by_host: HashMap<String, HashMap<String, Arc<CallRoute>>>,
    by_key: HashMap<ContentDigest, Arc<CustomerRow>>,
}

/// Reason why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// No route matches the host and a prefix of the path.
    NoRoute,
    /// The route requires a key, and the call has none or one that belongs to no customer.
    UnknownKey,
}

/// Call that the configuration admits.
#[derive(Clone, Debug)]
pub struct AdmittedCall {
    /// Route of the call.
    pub route: Arc<CallRoute>,
    /// Customer that owns the call's key. `None` if the call has no key or an unknown one, which is admitted only on a
    /// public route or if the configuration requires no keys.
    pub customer: Option<Arc<CustomerRow>>,
}

impl AdmittedCall {
    /// Returns the priority of the call; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }
}

impl ConfigIndex {
    /// Builds the index of a configuration.
    pub fn new(config: ServingConfig) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<CallRoute>>> = HashMap::new();
        for route in &config.routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut by_key = HashMap::new();
        for customer in config.customer_rows() {
            let row = Arc::new(customer.clone());
            for key in &customer.keys {
                by_key.insert(*key, Arc::clone(&row));
            }
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the indexed configuration.
    pub const fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns the route and the customer of a call.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches, or if the route requires a key and the call has no valid one.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<AdmittedCall, AccessRefusal> {
        let route = self.route(host, path).ok_or(AccessRefusal::NoRoute)?;
        let customer = key.and_then(|key| self.by_key.get(&ContentDigest::of(key)));
        if customer.is_none() && !route.public && self.config.requires_keys() {
            return Err(AccessRefusal::UnknownKey);
        }
        Ok(AdmittedCall {
            route: Arc::clone(route),
            customer: customer.cloned(),
        })
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    ///
    /// The prefixes of routes end with a slash. The path is therefore cut after each of its slashes, from the last to
    /// the first, and the first cut that is the prefix of a route is the longest match.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<CallRoute>> {
        let prefixes = self.by_host.get(host)?;
        let slashes = path.char_indices().rev().filter(|(_, character)| *character == '/');
        slashes.into_iter().find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}
