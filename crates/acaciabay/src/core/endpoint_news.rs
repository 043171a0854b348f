//! Endpoint reports in the order in which the leader learned of them, so that each entry is told only what is new to it.

use std::collections::BTreeMap;

use crate::core::clock::BootTime;
use crate::core::endpoint::{EndpointRow, EndpointTable};
use crate::core::name::EndpointName;

/// An endpoint table that remembers when each row last changed, counted in reports.
#[derive(Clone, Debug, Default)]
pub struct EndpointNews {
    table: EndpointTable,
    last: u64,
    by_mark: BTreeMap<u64, EndpointName>,
    marks: BTreeMap<EndpointName, u64>,
}

impl EndpointNews {
    /// Takes over a report unless a later one is known.
    pub fn report(&mut self, name: &EndpointName, row: EndpointRow) {
        if !self.table.report(name, row) {
            return;
        }
        self.last += 1;
        if let Some(before) = self.marks.insert(name.clone(), self.last) {
            self.by_mark.remove(&before);
        }
        self.by_mark.insert(self.last, name.clone());
    }

    /// Drops endpoints that have been silent for long.
    pub fn forget_silent(&mut self, now: BootTime) {
        self.table.forget_silent(now);
        let table = &self.table;
        self.by_mark.retain(|_, name| table.get(name).is_some());
        self.marks.retain(|name, _| table.get(name).is_some());
    }

    /// Returns the mark of the latest report.
    pub const fn mark(&self) -> u64 {
        self.last
    }

    /// Returns the endpoints that have reported after `mark`; a mark of another leader's count yields all.
    pub fn since(&self, mark: u64) -> impl Iterator<Item = (&EndpointName, &EndpointRow)> {
        let mark = if mark > self.last { 0 } else { mark };
        let names = self.by_mark.range(mark + 1..).map(|(_, name)| name);
        names.filter_map(|name| self.table.get(name).map(|row| (name, row)))
    }

    /// Returns the endpoints themselves.
    pub const fn table(&self) -> &EndpointTable {
        &self.table
    }
}
