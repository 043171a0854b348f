//! Short numbers that stand for endpoints in the messages of one replica.
//!
//! Most reports of an endpoint say nothing new. A replica passes such a report on as a number of two bytes instead of a
//! row, and collects the numbers for a while, so that the cost of a report does not grow with the number of sessions.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::endpoint_registry::{EndpointIncarnation, EndpointRegistry};
use crate::core::clock::BootTime;
use crate::core::name::EndpointName;

/// Number of an endpoint in the messages of one replica, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHandle(pub u32);

/// Handles that a replica has assigned, and the endpoints that have reported nothing new since the last message.
#[derive(Clone, Debug, Default)]
pub struct HandleTable {
    by_name: HashMap<EndpointName, EndpointHandle>,
    names: HashMap<EndpointHandle, EndpointName>,
    last: u32,
    reported: BTreeSet<EndpointHandle>,
}

impl HandleTable {
    /// Returns the handle of an endpoint, if a row with it was sent.
    pub fn get(&self, name: &EndpointName) -> Option<EndpointHandle> {
        self.by_name.get(name).copied()
    }

    /// Returns the handle of an endpoint whose row is sent to all sessions, and assigns one if it has none.
    pub fn assign(&mut self, name: &EndpointName) -> EndpointHandle {
        if let Some(handle) = self.by_name.get(name) {
            return *handle;
        }
        self.last += 1;
        let handle = EndpointHandle(self.last);
        self.by_name.insert(name.clone(), handle);
        self.names.insert(handle, name.clone());
        handle
    }

    /// Returns the endpoint behind a handle.
    pub fn name(&self, handle: EndpointHandle) -> Option<&EndpointName> {
        self.names.get(&handle)
    }

    /// Records a report without news.
    pub fn record_report(&mut self, handle: EndpointHandle) {
        self.reported.insert(handle);
    }

    /// Returns the endpoints that have reported nothing new since the last call.
    pub fn take_reported(&mut self) -> BTreeSet<EndpointHandle> {
        std::mem::take(&mut self.reported)
    }

    /// Removes the handles of endpoints that are no longer registered.
    pub fn retain_registered(&mut self, registry: &EndpointRegistry) {
        self.by_name.retain(|name, _| registry.get(name).is_some());
        self.names.retain(|_, name| registry.get(name).is_some());
    }
}

/// Endpoints behind the handles of one session, as the receiver of its messages knows them.
#[derive(Clone, Debug, Default)]
pub struct ReceivedHandles {
    endpoints: BTreeMap<EndpointHandle, (EndpointName, EndpointIncarnation)>,
}

impl ReceivedHandles {
    /// Records the handle of a received row.
    pub fn record(&mut self, handle: EndpointHandle, name: EndpointName, incarnation: EndpointIncarnation) {
        self.endpoints.insert(handle, (name, incarnation));
    }

    /// Records in a registry that the endpoints behind these handles have reported nothing new.
    pub fn apply_reports(
        &self,
        now: BootTime,
        handles: impl IntoIterator<Item = EndpointHandle>,
        registry: &mut EndpointRegistry,
    ) {
        let reported = handles.into_iter().filter_map(|handle| self.get(handle));
        for (name, incarnation) in reported {
            registry.record_unchanged(now, name, incarnation);
        }
    }

    /// Returns the endpoint behind a handle, and the incarnation of the row that brought it.
    pub fn get(&self, handle: EndpointHandle) -> Option<(&EndpointName, EndpointIncarnation)> {
        let (name, incarnation) = self.endpoints.get(&handle)?;
        Some((name, *incarnation))
    }
}
