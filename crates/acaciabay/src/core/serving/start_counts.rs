//! Counts of calls that have started to run, by wall-clock window and customer.
//!
//! An entry reports the total of each window so far, not the increase since its last report, and repeats it. The
//! control group keeps the highest count that each entry process has reported for each window and customer, so a
//! duplicate or late report changes nothing, and a new leader gets the full counts from the next report.

use std::collections::BTreeMap;

use crate::core::name::CustomerName;

/// Number of a window. Window k begins k window lengths after the start of 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the window that contains a point in time.
    pub const fn at(unix_millis: u64, length_millis: u64) -> Self {
        Self(unix_millis / length_millis)
    }
}

/// Counts by customer.
pub type CustomerCounts = BTreeMap<CustomerName, u64>;

/// Counts of the calls that one entry process has started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    windows: BTreeMap<WindowNumber, CustomerCounts>,
}

impl CallCounts {
    /// Counts a call that has started.
    pub fn count(&mut self, window: WindowNumber, customer: &CustomerName) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
    }

    /// Returns the counts of all windows that are kept.
    pub fn windows(&self) -> impl Iterator<Item = (WindowNumber, &CustomerCounts)> {
        self.windows.iter().map(|(window, counts)| (*window, counts))
    }

    /// Removes all windows before `window`.
    pub fn remove_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }
}

/// Identifies one run of an entry process. A restarted process has another identifier, because its counts begin at 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryStart(pub u64);

/// Report of the counts of one entry process in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatheredRow {
    /// Entry process that counted.
    pub entry: EntryStart,
    /// Window of the counts.
    pub window: WindowNumber,
    /// Totals of the window so far.
    pub counts: CustomerCounts,
}

/// Reported counts of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatheredCounts {
    windows: BTreeMap<WindowNumber, BTreeMap<EntryStart, CustomerCounts>>,
}

impl GatheredCounts {
    /// Merges a report. A count lower than the stored one comes from an old report and is ignored.
    pub fn merge(&mut self, row: &GatheredRow) {
        let stored_counts = self
            .windows
            .entry(row.window)
            .or_default()
            .entry(row.entry)
            .or_default();
        for (customer, count) in &row.counts {
            let stored = stored_counts.entry(customer.clone()).or_default();
            *stored = (*stored).max(*count);
        }
    }

    /// Returns true if a report contains a count higher than the stored one.
    pub fn has_new_counts(&self, row: &GatheredRow) -> bool {
        let stored_counts = self
            .windows
            .get(&row.window)
            .and_then(|entries| entries.get(&row.entry));
        let stored = |customer| {
            stored_counts
                .and_then(|counts| counts.get(customer))
                .copied()
                .unwrap_or_default()
        };
        row.counts.iter().any(|(customer, count)| *count > stored(customer))
    }

    /// Returns the totals of a window over all entries.
    pub fn totals(&self, window: WindowNumber) -> CustomerCounts {
        let mut totals = CustomerCounts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (customer, count) in counts {
                *totals.entry(customer.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Returns the stored counts as one report per entry process and window.
    pub fn rows(&self) -> impl Iterator<Item = GatheredRow> {
        self.windows.iter().flat_map(|(window, entries)| {
            entries.iter().map(|(entry, counts)| GatheredRow {
                entry: *entry,
                window: *window,
                counts: counts.clone(),
            })
        })
    }

    /// Returns the entry processes that have reported counts.
    pub fn entries(&self) -> impl Iterator<Item = EntryStart> {
        self.windows.values().flat_map(|entries| entries.keys().copied())
    }

    /// Removes `window` and all windows before it.
    pub fn remove_through(&mut self, window: WindowNumber) {
        self.windows.retain(|stored, _| *stored > window);
    }
}
