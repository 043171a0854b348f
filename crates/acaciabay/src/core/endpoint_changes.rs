//! An index of endpoint reports by revision, which lets the leader send each entry only the reports that are new to it.
//!
//! An entry may subscribe to only some of the endpoints. When a report arrives, it is indexed under each entry that
//! subscribes to its endpoint, or in one shared index if all entries subscribe to all endpoints (a full mesh). Scanning
//! all reports instead, each time an entry renews its lease, used a whole CPU core of the leader at 350 entries and
//! 2,000 endpoints (`docs/CAPACITY.md`).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::endpoint::{EndpointRow, EndpointTable};
use crate::core::member::EntryTable;
use crate::core::name::{EndpointName, HostName};
use crate::core::subset_plan::SubsetPlan;

/// Minimum interval between two scans for endpoints that have stopped reporting.
const SILENCE_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint table with the revision of the latest report of each endpoint.
///
/// The revision of a report is its position in the order in which this table has stored reports, counted from 1.
#[derive(Clone, Debug, Default)]
pub struct EndpointChanges {
    table: EndpointTable,
    revision: u64,
    /// The revision of the latest report of each endpoint, from which the indexes are rebuilt.
    latest_revisions: HashMap<EndpointName, u64>,
    subsets: SubsetPlan,
    /// The index for all entries, used while the subset plan is a full mesh.
    shared: ChangeIndex,
    /// The index for each entry, used while the subset plan is not a full mesh.
    by_entry: HashMap<HostName, ChangeIndex>,
    last_silence_scan_at: BootTime,
}

/// Endpoints by the revision of their latest report.
#[derive(Clone, Debug, Default)]
struct ChangeIndex {
    by_revision: BTreeMap<u64, EndpointName>,
    /// The reverse of `by_revision`, for the replacement and removal of an endpoint.
    revisions: HashMap<EndpointName, u64>,
}

impl ChangeIndex {
    fn insert(&mut self, revision: u64, name: &EndpointName) {
        if let Some(before) = self.revisions.insert(name.clone(), revision) {
            self.by_revision.remove(&before);
        }
        self.by_revision.insert(revision, name.clone());
    }

    fn remove(&mut self, name: &EndpointName) {
        if let Some(revision) = self.revisions.remove(name) {
            self.by_revision.remove(&revision);
        }
    }
}

impl EndpointChanges {
    /// Sets the entries that serve, and rebuilds all indexes if these entries have changed.
    pub fn set_entries(&mut self, entries: &EntryTable) {
        if !self.subsets.set_entries(entries) {
            return;
        }
        self.shared = ChangeIndex::default();
        self.by_entry.clear();
        for (name, revision) in &self.latest_revisions {
            index_revision(&mut self.subsets, &mut self.shared, &mut self.by_entry, *revision, name);
        }
    }

    /// Stores and indexes a report unless a later one is known.
    pub fn report(&mut self, name: &EndpointName, row: EndpointRow) {
        if !self.table.report(name, row) {
            return;
        }
        self.revision += 1;
        self.latest_revisions.insert(name.clone(), self.revision);
        index_revision(
            &mut self.subsets,
            &mut self.shared,
            &mut self.by_entry,
            self.revision,
            name,
        );
    }

    /// Removes endpoints that have stopped reporting from the table and the indexes, at most once per
    /// `SILENCE_SCAN_INTERVAL`.
    pub fn forget_silent(&mut self, now: BootTime) {
        if now.since(self.last_silence_scan_at) < SILENCE_SCAN_INTERVAL {
            return;
        }
        self.last_silence_scan_at = now;
        self.table.forget_silent(now);
        let table = &self.table;
        let removed: Vec<EndpointName> = self
            .latest_revisions
            .keys()
            .filter(|name| table.get(name).is_none())
            .cloned()
            .collect();
        for name in removed {
            self.latest_revisions.remove(&name);
            self.shared.remove(&name);
            for index in self.by_entry.values_mut() {
                index.remove(&name);
            }
        }
    }

    /// Returns the revision of the latest report.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the endpoints that an entry subscribes to and whose latest report is later than `revision`, the revision
    /// up to which the entry knows the reports.
    ///
    /// A `revision` above the current one was counted by another leader. It is treated as 0, so that all endpoints that
    /// the entry subscribes to are returned.
    pub fn since(&self, entry: &HostName, revision: u64) -> impl Iterator<Item = (&EndpointName, &EndpointRow)> {
        let revision = if revision > self.revision { 0 } else { revision };
        let index = if self.subsets.is_full_mesh() {
            Some(&self.shared)
        } else {
            self.by_entry.get(entry)
        };
        let names = index
            .into_iter()
            .flat_map(move |index| index.by_revision.range(revision + 1..))
            .map(|(_, name)| name);
        names.filter_map(|name| self.table.get(name).map(|row| (name, row)))
    }

    /// Returns the table of endpoints.
    pub const fn table(&self) -> &EndpointTable {
        &self.table
    }
}

fn index_revision(
    subsets: &mut SubsetPlan,
    shared: &mut ChangeIndex,
    by_entry: &mut HashMap<HostName, ChangeIndex>,
    revision: u64,
    name: &EndpointName,
) {
    if subsets.is_full_mesh() {
        shared.insert(revision, name);
        return;
    }
    for entry in subsets.subscribers(name) {
        by_entry.entry(entry.clone()).or_default().insert(revision, name);
    }
}
