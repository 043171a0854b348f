//! The configuration that an entry serves by, kept up to date by differences.

use std::collections::VecDeque;

use crate::core::key::{KeyId, KeyRow, KeyTable};
use crate::core::name::CustomerName;
use crate::core::name::PoolName;
use crate::core::table::{PoolRow, PoolTable, RouteRow, RouteTable, RouteTarget, TableNumber};

/// How many changes the control group keeps so that entries can catch up by differences.
///
/// At the target's 8,700 changes a day it covers more than five hours; an entry that was away longer, or that starts
/// anew, gets the whole configuration.
pub const MAX_HISTORY_CHANGES: usize = 2_048;

/// Counts the accepted changes of routes, pools and keys together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// One accepted change as entries learn of it.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigChange {
    /// Routes were added, replaced or removed.
    Routes {
        /// The number of the table after the change.
        number: TableNumber,
        /// Rows added or replaced.
        upserts: Vec<RouteRow>,
        /// Keys of rows removed.
        removals: Vec<(CustomerName, RouteTarget)>,
    },
    /// Pools were added, replaced or removed.
    Pools {
        /// The number of the table after the change.
        number: TableNumber,
        /// Rows added or replaced.
        upserts: Vec<PoolRow>,
        /// Names of pools removed.
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
    /// The version of the state.
    pub version: ConfigVersion,
    /// Where each customer's traffic goes.
    pub routes: RouteTable,
    /// Which endpoints serve it.
    pub pools: PoolTable,
    /// Which keys are in force.
    pub keys: KeyTable,
}

impl EntryConfig {
    /// Applies the changes that lead from `from` to later versions, one version each.
    ///
    /// Returns false, and changes nothing, when they do not start at the present version. Applying them all the same
    /// would leave out or repeat changes, and an older answer that arrives late would bring back a withdrawn key.
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

    /// Takes over a whole configuration unless it is older than the present one, and tells whether it did.
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

/// The latest changes, from which an entry catches up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigHistory {
    last: ConfigVersion,
    changes: VecDeque<ConfigChange>,
}

impl ConfigHistory {
    /// Starts an empty history at a version, as after reading a snapshot.
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

    /// Adds a change and drops the oldest beyond [`MAX_HISTORY_CHANGES`].
    pub fn push(&mut self, change: ConfigChange) {
        self.last = ConfigVersion(self.last.0 + 1);
        self.changes.push_back(change);
        if self.changes.len() > MAX_HISTORY_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes after `version`, or nothing when they are no longer kept.
    pub fn since(&self, version: ConfigVersion) -> Option<impl Iterator<Item = &ConfigChange>> {
        let missing = usize::try_from(self.last.0.checked_sub(version.0)?).ok()?;
        let start = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(start..))
    }
}
