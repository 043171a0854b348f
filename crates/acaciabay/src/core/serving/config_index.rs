//! Finding a call's route and customer in the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use super::config::{CallRoute, CustomerRow, ServingConfig};
use crate::util::digest::ContentDigest;

/// A configuration arranged for look-ups, so that a call costs the same with hundreds of routes as with five.
#[derive(Clone, Debug)]
pub struct ConfigIndex {
    config: ServingConfig,
    by_host: HashMap<String, HashMap<String, Arc<CallRoute>>>,
    by_key: HashMap<ContentDigest, Arc<CustomerRow>>,
}

/// Why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// No route has the host and a prefix of the path.
    NoRoute,
    /// The route asks for a key, and none that is in force was sent.
    UnknownKey,
}

/// A call that the configuration admits.
#[derive(Clone, Debug)]
pub struct AdmittedCall {
    /// Its route.
    pub route: Arc<CallRoute>,
    /// The customer whose key it carries.
    pub customer: Option<Arc<CustomerRow>>,
}

impl AdmittedCall {
    /// Returns the rank of the call; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }
}

impl ConfigIndex {
    /// Arranges a configuration.
    pub fn new(config: ServingConfig) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<CallRoute>>> = HashMap::new();
        for route in &config.routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut by_key = HashMap::new();
        for customer in &config.customers {
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

    /// Returns the configuration as it was given.
    pub const fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Finds route and customer of a call.
    ///
    /// # Errors
    ///
    /// Refuses a call without a route, or without a key that the route asks for.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<AdmittedCall, AccessRefusal> {
        let route = self.route(host, path).ok_or(AccessRefusal::NoRoute)?;
        let customer = key.and_then(|key| self.by_key.get(&ContentDigest::of(key)));
        if customer.is_none() && !route.public && !self.config.customers.is_empty() {
            return Err(AccessRefusal::UnknownKey);
        }
        Ok(AdmittedCall {
            route: Arc::clone(route),
            customer: customer.cloned(),
        })
    }

    /// Finds the route of the host with the longest prefix of the path: every prefix ends with a slash, so only the
    /// starts of the path that do are looked up, the longest first.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<CallRoute>> {
        let prefixes = self.by_host.get(host)?;
        let slashes = path.char_indices().rev().filter(|(_, letter)| *letter == '/');
        slashes.into_iter().find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}
