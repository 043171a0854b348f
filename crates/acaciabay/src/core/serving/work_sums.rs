//! Outstanding work at each endpoint, summed over all entries.
//!
//! The sum is updated by what changes: computed anew for each entry that asks, it would cost entries times entries.

use std::collections::BTreeMap;

use super::endpoint_load::EndpointWork;
use crate::core::name::EndpointName;

/// Sum of the work that entries have reported.
#[derive(Clone, Debug, Default)]
pub struct WorkSums {
    sums: BTreeMap<EndpointName, EndpointWork>,
}

impl WorkSums {
    /// Replaces the work of one entry.
    pub fn replace(&mut self, old: &[(EndpointName, EndpointWork)], new: &[(EndpointName, EndpointWork)]) {
        for (endpoint, work) in new {
            let sum = self.sums.entry(endpoint.clone()).or_default();
            *sum = sum.plus(*work);
        }
        for (endpoint, work) in old {
            if let Some(sum) = self.sums.get_mut(endpoint) {
                *sum = sum.minus(*work);
                if *sum == EndpointWork::default() {
                    self.sums.remove(endpoint);
                }
            }
        }
    }

    /// Returns the work of all entries at each endpoint, without that of an entry with the work `own`.
    pub fn without(&self, own: &[(EndpointName, EndpointWork)]) -> BTreeMap<EndpointName, EndpointWork> {
        let mut others = self.sums.clone();
        for (endpoint, work) in own {
            if let Some(other) = others.get_mut(endpoint) {
                *other = other.minus(*work);
                if *other == EndpointWork::default() {
                    others.remove(endpoint);
                }
            }
        }
        others
    }

    /// Returns the work of all entries at each endpoint.
    pub const fn all(&self) -> &BTreeMap<EndpointName, EndpointWork> {
        &self.sums
    }
}
