//! Reports of endpoints whose service the configuration does not name.
//!
//! Such a report may come from an endpoint that has started before the configuration that names its service, or from
//! another writer that uses an endpoint's name. It must not replace what is known of the endpoint with that name, and its
//! sequence number says nothing about that endpoint's own. So it is kept beside the registry until its service is named.

use std::collections::BTreeMap;

use super::endpoint_registry::{REPORT_TIMEOUT, ServingEndpoint};
use crate::core::clock::BootTime;
use crate::core::name::{EndpointName, ServiceName};

/// Maximum number of kept reports. Endpoints repeat theirs about once a second, so one that is dropped is not lost.
const MAX_REPORTS: usize = 4_096;

/// The last report of each endpoint whose service is not named.
#[derive(Clone, Debug, Default)]
pub struct UnnamedReports {
    rows: BTreeMap<EndpointName, (BootTime, ServingEndpoint)>,
}

impl UnnamedReports {
    /// Keeps a report in place of an earlier one with the same name. Reports beyond the maximum are dropped.
    pub fn keep(&mut self, now: BootTime, name: &EndpointName, endpoint: ServingEndpoint) {
        if self.rows.len() >= MAX_REPORTS {
            self.rows
                .retain(|_, (reported_at, _)| now.since(*reported_at) < REPORT_TIMEOUT);
        }
        if self.rows.len() < MAX_REPORTS || self.rows.contains_key(name) {
            self.rows.insert(name.clone(), (now, endpoint));
        }
    }

    /// Drops the report with this name. Returns true if there was one.
    pub fn forget(&mut self, name: &EndpointName) -> bool {
        self.rows.remove(name).is_some()
    }

    /// Removes and returns the reports whose services are named by now, except for those that are no longer repeated.
    pub fn take_named(
        &mut self,
        now: BootTime,
        is_named: impl Fn(&ServiceName) -> bool,
    ) -> Vec<(EndpointName, ServingEndpoint)> {
        let (named, others): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.rows)
            .into_iter()
            .partition(|(_, (_, endpoint))| is_named(&endpoint.service));
        self.rows = others;
        let named = named
            .into_iter()
            .map(|(name, (reported_at, endpoint))| (name, reported_at, endpoint));
        named
            .filter(|(_, reported_at, _)| now.since(*reported_at) < REPORT_TIMEOUT)
            .map(|(name, _, endpoint)| (name, endpoint))
            .collect()
    }
}
