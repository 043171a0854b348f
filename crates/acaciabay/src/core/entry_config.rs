//! The configuration of an entry, kept up to date by incremental changes.

use std::collections::VecDeque;

use crate::core::key::{KeyId, KeyRow, KeyTable};
use crate::core::name::CustomerName;
use crate::core::name::PoolName;
use crate::core::table::{PoolRow, PoolTable, RouteRow, RouteTable, RouteTarget, TableNumber};

/// Number of changes that the control group keeps so that entries can catch up incrementally.
///
/// At the target load of 8,700 changes a day, this covers more than five hours. An entry that was disconnected for
/// longer, or that has just started, gets the whole configuration.
pub const MAX_HISTORY_CHANGES: usize = 2_048;

/// The version of a configuration: the number of accepted changes of routes, pools and keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// An accepted change, in the form in which it is sent to entries.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigChange {
    /// Routes were added, replaced or removed.
    Routes {
        /// The number of the table after the change.
        number: TableNumber,
        /// The rows that were added or replaced.
        upserts: Vec<RouteRow>,
        /// The keys of the rows that were removed.
        removals: Vec<(CustomerName, RouteTarget)>,
    },
    /// Pools were added, replaced or removed.
    Pools {
        /// The number of the table after the change.
        number: TableNumber,
        /// The rows that were added or replaced.
        upserts: Vec<PoolRow>,
        /// The names of the pools that were removed.
        removals: Vec<PoolName>,
    },
    /// A key was issued.
    KeyIssued(KeyRow),
    /// A key was withdrawn.
    KeyWithdrawn(KeyId),
}

/// Routes, pools and keys at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryConfig {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The routes of all customers.
    pub routes: RouteTable,
    /// The pools that the routes refer to.
    pub pools: PoolTable,
    /// The keys that are in force.
    pub keys: KeyTable,
}

impl EntryConfig {
    /// Applies consecutive changes that start at version `from`. Each change increments the version by one.
    ///
    /// Returns false and changes nothing if `from` is not the current version. Applying the changes anyway would skip
    /// or repeat some of them, and a delayed answer could restore a withdrawn key.
    pub fn apply_changes(&mut self, from: ConfigVersion, changes: &[ConfigChange]) -> bool {
        if from != self.version {
            return false;
        }
        for change in changes {
            self.apply_change(change);
            self.version = ConfigVersion(self.version.0 + 1);
        }
        true
    }

    /// Replaces the configuration unless `whole` is older, and returns true if it was replaced.
    pub fn replace(&mut self, whole: Self) -> bool {
        if whole.version < self.version {
            return false;
        }
        *self = whole;
        true
    }

    fn apply_change(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Routes {
                number,
                upserts,
                removals,
            } => self.routes.apply_accepted(*number, upserts, removals),
            ConfigChange::Pools {
                number,
                upserts,
                removals,
            } => self.pools.apply_accepted(*number, upserts, removals),
            ConfigChange::KeyIssued(row) => {
                self.keys.issue(row);
            }
            ConfigChange::KeyWithdrawn(id) => {
                self.keys.withdraw(id);
            }
        }
    }
}

/// The most recent changes, from which entries catch up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigHistory {
    last: ConfigVersion,
    changes: VecDeque<ConfigChange>,
}

impl ConfigHistory {
    /// Creates an empty history at a version, for example after a snapshot was loaded.
    pub const fn starting_at(version: ConfigVersion) -> Self {
        Self {
            last: version,
            changes: VecDeque::new(),
        }
    }

    /// Returns the version after the latest change.
    pub const fn version(&self) -> ConfigVersion {
        self.last
    }

    /// Appends a change, and removes the oldest one if there are more than [`MAX_HISTORY_CHANGES`].
    pub fn push(&mut self, change: ConfigChange) {
        self.last = ConfigVersion(self.last.0 + 1);
        self.changes.push_back(change);
        if self.changes.len() > MAX_HISTORY_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes after `version`, or `None` if some of them are no longer kept or `version` is in the future.
    pub fn since(&self, version: ConfigVersion) -> Option<impl Iterator<Item = &ConfigChange>> {
        let missing = usize::try_from(self.last.0.checked_sub(version.0)?).ok()?;
        let start = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(start..))
    }
}
