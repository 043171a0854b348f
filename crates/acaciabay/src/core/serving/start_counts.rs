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

    /// Returns when the window ends, in milliseconds since 1970.
    pub const fn end_millis(self, length_millis: u64) -> u64 {
        (self.0 + 1) * length_millis
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
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }
}

/// Identifies one start of an entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryStart(pub u64);

/// The counts of all entries, as the leader has heard them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatheredCounts {
    windows: BTreeMap<WindowNumber, BTreeMap<(EntryStart, CustomerName), u64>>,
}

impl GatheredCounts {
    /// Takes a report; a lower count than one heard before is an old report.
    pub fn report(
        &mut self,
        entry: EntryStart,
        window: WindowNumber,
        counts: impl IntoIterator<Item = (CustomerName, u64)>,
    ) {
        let known = self.windows.entry(window).or_default();
        for (customer, count) in counts {
            let held = known.entry((entry, customer)).or_default();
            *held = (*held).max(count);
        }
    }

    /// Returns the sums of a window.
    pub fn sums(&self, window: WindowNumber) -> CustomerCounts {
        let mut sums = CustomerCounts::new();
        for ((_, customer), count) in self.windows.get(&window).into_iter().flatten() {
            *sums.entry(customer.clone()).or_default() += count;
        }
        sums
    }

    /// Returns the first window that anything was heard of.
    pub fn first(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// Forgets windows before this one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }
}
