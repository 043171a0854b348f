//! Reports of endpoints whose service the configuration does not name.
//!
//! Such a report may come from an endpoint that has started before the configuration that names its service, or from
//! another writer that uses an endpoint's name. It must not replace what is known of the endpoint with that name, and its
//! sequence number says nothing about that endpoint's own. So it is kept beside the registry until its service is named.

use std::collections::HashMap;

use super::endpoint_registry::{REPORT_TIMEOUT, ServingEndpoint};
use crate::core::clock::BootTime;
use crate::core::name::{EndpointName, ServiceName};

/// Maximum number of kept reports. Endpoints repeat theirs about once a second, so one that is dropped is not lost.
const MAX_REPORTS: usize = 4_096;

/// The last report of each endpoint whose service is not named.
#[derive(Clone, Debug, Default)]
pub struct UnnamedReports {
    rows: HashMap<EndpointName, (BootTime, ServingEndpoint)>,
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

    /// Returns true if no report is kept.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Drops the report with this name, if there is one.
    pub fn forget(&mut self, name: &EndpointName) {
        self.rows.remove(name);
    }

    /// Removes and returns the reports whose services are named by now, except for those that are no longer repeated.
    pub fn take_named(
        &mut self,
        now: BootTime,
        is_named: impl Fn(&ServiceName) -> bool,
    ) -> Vec<(EndpointName, ServingEndpoint)> {
        let named = self.rows.extract_if(|_, (_, endpoint)| is_named(&endpoint.service));
        let recent = named.filter(|(_, (reported_at, _))| now.since(*reported_at) < REPORT_TIMEOUT);
        recent.map(|(name, (_, endpoint))| (name, endpoint)).collect()
    }
}
