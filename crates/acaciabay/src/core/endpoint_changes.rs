//! Endpoint reports in the order in which the leader learned of them, so that each entry is told only what is new to it.
//!
//! A report is filed under each entry that hears of the endpoint when it arrives. Looking through all reports at each
//! renewal instead took a leader a whole core at 350 entries and 2,000 endpoints (`docs/CAPACITY.md`).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::endpoint::{EndpointRow, EndpointTable};
use crate::core::member::EntryTable;
use crate::core::name::{EndpointName, HostName};
use crate::core::subset_plan::SubsetPlan;

/// How often silent endpoints are looked for.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint table that remembers when each row last changed, counted in reports.
#[derive(Clone, Debug, Default)]
pub struct EndpointChanges {
    table: EndpointTable,
    last: u64,
    latest: HashMap<EndpointName, u64>,
    subsets: SubsetPlan,
    /// For every entry, while each hears of every endpoint.
    all: ChangeIndex,
    /// For each entry, once there are more of them.
    by_entry: HashMap<HostName, ChangeIndex>,
    forgotten_at: BootTime,
}

/// Endpoints by when they were last heard of.
#[derive(Clone, Debug, Default)]
struct ChangeIndex {
    by_mark: BTreeMap<u64, EndpointName>,
    marks: HashMap<EndpointName, u64>,
}

impl ChangeIndex {
    fn file(&mut self, mark: u64, name: &EndpointName) {
        if let Some(before) = self.marks.insert(name.clone(), mark) {
            self.by_mark.remove(&before);
        }
        self.by_mark.insert(mark, name.clone());
    }

    fn forget(&mut self, name: &EndpointName) {
        if let Some(mark) = self.marks.remove(name) {
            self.by_mark.remove(&mark);
        }
    }
}

impl EndpointChanges {
    /// Takes over which entries serve; files everything anew when they have changed.
    pub fn follow(&mut self, entries: &EntryTable) {
        if !self.subsets.follow(entries) {
            return;
        }
        self.all = ChangeIndex::default();
        self.by_entry.clear();
        for (name, mark) in &self.latest {
            file(&mut self.subsets, &mut self.all, &mut self.by_entry, *mark, name);
        }
    }

    /// Takes over a report unless a later one is known.
    pub fn report(&mut self, name: &EndpointName, row: EndpointRow) {
        if !self.table.report(name, row) {
            return;
        }
        self.last += 1;
        self.latest.insert(name.clone(), self.last);
        file(&mut self.subsets, &mut self.all, &mut self.by_entry, self.last, name);
    }

    /// Drops endpoints that have been silent for long.
    pub fn forget_silent(&mut self, now: BootTime) {
        if now.since(self.forgotten_at) < FORGET_INTERVAL {
            return;
        }
        self.forgotten_at = now;
        self.table.forget_silent(now);
        let table = &self.table;
        let gone: Vec<EndpointName> = self
            .latest
            .keys()
            .filter(|name| table.get(name).is_none())
            .cloned()
            .collect();
        for name in gone {
            self.latest.remove(&name);
            self.all.forget(&name);
            for index in self.by_entry.values_mut() {
                index.forget(&name);
            }
        }
    }

    /// Returns the mark of the latest report.
    pub const fn mark(&self) -> u64 {
        self.last
    }

    /// Returns the endpoints that an entry hears of and that have reported after `mark`; a mark of another leader's
    /// count yields all.
    pub fn since(&self, host: &HostName, mark: u64) -> impl Iterator<Item = (&EndpointName, &EndpointRow)> {
        let mark = if mark > self.last { 0 } else { mark };
        let index = if self.subsets.is_trivial() {
            Some(&self.all)
        } else {
            self.by_entry.get(host)
        };
        let names = index
            .into_iter()
            .flat_map(move |index| index.by_mark.range(mark + 1..))
            .map(|(_, name)| name);
        names.filter_map(|name| self.table.get(name).map(|row| (name, row)))
    }

    /// Returns the endpoints themselves.
    pub const fn table(&self) -> &EndpointTable {
        &self.table
    }
}

fn file(
    subsets: &mut SubsetPlan,
    all: &mut ChangeIndex,
    by_entry: &mut HashMap<HostName, ChangeIndex>,
    mark: u64,
    name: &EndpointName,
) {
    if subsets.is_trivial() {
        all.file(mark, name);
        return;
    }
    for host in subsets.hearers(name) {
        by_entry.entry(host.clone()).or_default().file(mark, name);
    }
}
