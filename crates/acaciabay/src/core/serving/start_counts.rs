//! Calls that began to run, by window of the wall clock and by customer.
//!
//! An entry keeps absolute counts and repeats them, so that a report that arrives twice, or at a leader that knows
//! nothing yet, changes nothing: the leader takes the highest count that it has heard of each entry.

use std::collections::BTreeMap;

use crate::core::name::CustomerName;

/// Numbers windows; window k begins k window lengths after the start of 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the window that contains a moment.
    pub const fn at(unix_millis: u64, length_millis: u64) -> Self {
        Self(unix_millis / length_millis)
    }
}

/// Counts by customer.
pub type CustomerCounts = BTreeMap<CustomerName, u64>;

/// The counts of one entry process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    windows: BTreeMap<WindowNumber, CustomerCounts>,
}

impl StartCounts {
    /// Counts a call that began.
    pub fn count(&mut self, window: WindowNumber, customer: &CustomerName) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
    }

    /// Returns the counts of all windows that are kept.
    pub fn windows(&self) -> impl Iterator<Item = (WindowNumber, &CustomerCounts)> {
        self.windows.iter().map(|(window, counts)| (*window, counts))
    }

    /// Forgets windows before this one.
    pub fn remove_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }
}

/// Identifies one start of an entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryStart(pub u64);

/// What one entry process has counted in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatheredRow {
    /// The process.
    pub entry: EntryStart,
    /// The window.
    pub window: WindowNumber,
    /// Its counts so far.
    pub counts: CustomerCounts,
}

/// The counts of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatheredCounts {
    windows: BTreeMap<WindowNumber, BTreeMap<EntryStart, CustomerCounts>>,
}

impl GatheredCounts {
    /// Takes a report; a lower count than one held is an old report.
    pub fn merge(&mut self, row: &GatheredRow) {
        let held = self
            .windows
            .entry(row.window)
            .or_default()
            .entry(row.entry)
            .or_default();
        for (customer, count) in &row.counts {
            let known = held.entry(customer.clone()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Tells whether a report says more than what is held.
    pub fn has_new_counts(&self, row: &GatheredRow) -> bool {
        let held = self
            .windows
            .get(&row.window)
            .and_then(|entries| entries.get(&row.entry));
        let known = |customer| held.and_then(|held| held.get(customer)).copied().unwrap_or_default();
        row.counts.iter().any(|(customer, count)| *count > known(customer))
    }

    /// Returns the sums of a window.
    pub fn totals(&self, window: WindowNumber) -> CustomerCounts {
        let mut totals = CustomerCounts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (customer, count) in counts {
                *totals.entry(customer.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = GatheredRow> {
        self.windows.iter().flat_map(|(window, entries)| {
            entries.iter().map(|(entry, counts)| GatheredRow {
                entry: *entry,
                window: *window,
                counts: counts.clone(),
            })
        })
    }

    /// Forgets a window and those before it.
    pub fn remove_through(&mut self, window: WindowNumber) {
        self.windows.retain(|known, _| *known > window);
    }
}
