//! Usage accounting, which counts each report once, however often it is sent.

use std::collections::BTreeMap;

use crate::core::member::EntryIncarnation;
use crate::core::name::CustomerName;

/// The tokens and calls that a customer has consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageFigures {
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub output_tokens: u64,
    /// The number of calls of plain services.
    pub calls: u64,
}

impl UsageFigures {
    /// Adds other figures to these figures.
    pub const fn add(&mut self, other: &Self) {
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
        self.calls += other.calls;
    }
}

/// A usage report of an entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The entry process that sent the report.
    pub incarnation: EntryIncarnation,
    /// The number of the report, assigned by the process. Numbers start at 1 and increase by one.
    pub sequence: u64,
    /// The figures since the previous report.
    pub rows: Vec<(CustomerName, UsageFigures)>,
}

/// A sealed usage window, in the form in which it is sent to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageWindow {
    /// The number of the window. Numbers start at 1 and increase by one.
    pub window: u64,
    /// The figures of each customer.
    pub rows: Vec<(CustomerName, UsageFigures)>,
    /// True if the platform has acknowledged the window.
    pub acknowledged: bool,
}

/// The open window, and the sealed windows that the platform has not acknowledged yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageTable {
    counted: BTreeMap<EntryIncarnation, u64>,
    open: BTreeMap<CustomerName, UsageFigures>,
    total: BTreeMap<CustomerName, UsageFigures>,
    sealed: Vec<UsageWindow>,
    last_window: u64,
}

/// The contents of a [`UsageTable`], for snapshots.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageSnapshot {
    /// The highest report number counted for each entry process.
    pub counted: BTreeMap<EntryIncarnation, u64>,
    /// The figures that are not part of a sealed window yet.
    pub open: BTreeMap<CustomerName, UsageFigures>,
    /// The total figures of all time.
    pub total: BTreeMap<CustomerName, UsageFigures>,
    /// The windows that the platform has not acknowledged.
    pub sealed: Vec<UsageWindow>,
    /// The number of the last sealed window.
    pub last_window: u64,
}

impl UsageTable {
    /// Rebuilds the table from a snapshot.
    pub fn restore(snapshot: UsageSnapshot) -> Self {
        let UsageSnapshot {
            counted,
            open,
            total,
            sealed,
            last_window,
        } = snapshot;
        Self {
            counted,
            open,
            total,
            sealed,
            last_window,
        }
    }

    /// Returns a copy of the table's contents, for a snapshot.
    pub fn snapshot(&self) -> UsageSnapshot {
        UsageSnapshot {
            counted: self.counted.clone(),
            open: self.open.clone(),
            total: self.total.clone(),
            sealed: self.sealed.clone(),
            last_window: self.last_window,
        }
    }

    /// Counts a report unless it was counted before, and returns true if it was counted now.
    ///
    /// Entries send their reports in order and wait for each answer, so the highest counted number identifies all
    /// reports that were counted.
    pub fn count(&mut self, report: &UsageReport) -> bool {
        let counted = self.counted.entry(report.incarnation).or_default();
        if report.sequence <= *counted {
            return false;
        }
        *counted = report.sequence;
        for (customer, figures) in &report.rows {
            self.open.entry(customer.clone()).or_default().add(figures);
            self.total.entry(customer.clone()).or_default().add(figures);
        }
        true
    }

    /// Seals the open figures as the next window. Figures of later reports belong to the window after it.
    ///
    /// A window without figures is not sealed. The caller passes the expected number, so that a leader that proposes
    /// the same command twice does not seal two windows.
    pub fn seal(&mut self, window: u64) -> Option<&UsageWindow> {
        if window != self.last_window + 1 || self.open.is_empty() {
            return None;
        }
        self.last_window = window;
        let rows = std::mem::take(&mut self.open).into_iter().collect();
        self.sealed.push(UsageWindow {
            window,
            rows,
            acknowledged: false,
        });
        self.sealed.last()
    }

    /// Removes a window that the platform has acknowledged.
    pub fn acknowledge(&mut self, window: u64) {
        self.sealed.retain(|sealed| sealed.window != window);
    }

    /// Returns the windows that the platform has not acknowledged, oldest first.
    pub fn pending(&self) -> &[UsageWindow] {
        &self.sealed
    }

    /// Returns the number of the last sealed window.
    pub const fn last_window(&self) -> u64 {
        self.last_window
    }

    /// Returns the total figures of all time for each customer.
    pub fn totals(&self) -> impl Iterator<Item = (&CustomerName, &UsageFigures)> {
        self.total.iter()
    }
}
