//! What the leader knows of the entries: who serves by which version, and until when at the most.
//!
//! The table is soft state of one leader. A new leader does not know which leases its predecessor confirmed, so it
//! counts every entry as serving by an old version until those leases must have run out.

use std::collections::BTreeMap;

use crate::core::clock::BootTime;
use crate::core::entry_config::ConfigVersion;
use crate::core::member::{EntryIncarnation, EntryTable};
use crate::core::name::HostName;
use crate::core::serving_lease::{LEASE_DRIFT, SERVING_LEASE};

/// What the leader last confirmed to one entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresenceRow {
    /// The entry process.
    pub incarnation: EntryIncarnation,
    /// The version that it said it serves by.
    pub version: ConfigVersion,
    /// When the leader confirmed it.
    pub confirmed_at: BootTime,
}

/// Everything that this leader has confirmed since it became leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PresenceTable {
    leader_since: BootTime,
    rows: BTreeMap<HostName, PresenceRow>,
}

impl PresenceTable {
    /// Starts anew, as a replica does that has just become leader.
    pub const fn starting_at(leader_since: BootTime) -> Self {
        Self {
            leader_since,
            rows: BTreeMap::new(),
        }
    }

    /// Returns since when this leader leads.
    pub const fn leader_since(&self) -> BootTime {
        self.leader_since
    }

    /// Notes that an entry's lease was confirmed.
    pub fn confirm(&mut self, host: &HostName, row: PresenceRow) {
        self.rows.insert(host.clone(), row);
    }

    /// Returns what was last confirmed to a host.
    pub fn get(&self, host: &HostName) -> Option<&PresenceRow> {
        self.rows.get(host)
    }

    /// Tells whether a host's lease may still run at `now`, and so whether it may serve.
    pub fn may_serve(&self, host: &HostName, now: BootTime) -> bool {
        let confirmed_at = self.rows.get(host).map_or(self.leader_since, |row| row.confirmed_at);
        now < confirmed_at + SERVING_LEASE + LEASE_DRIFT
    }

    /// Returns the hosts that may still serve by a version older than `version`.
    ///
    /// When none is left, the change with that version is in force everywhere: every other host either serves by it
    /// or refuses all requests until it has asked again.
    pub fn lagging_hosts(&self, version: ConfigVersion, now: BootTime, entries: &EntryTable) -> Vec<HostName> {
        let lagging = entries.rows().filter(|(host, _)| {
            let up_to_date = self.rows.get(*host).is_some_and(|row| row.version >= version);
            !up_to_date && self.may_serve(host, now)
        });
        lagging.map(|(host, _)| host.clone()).collect()
    }
}
