//! The leader's view of the entries: the configuration version that each one uses, and when its lease ends at the
//! latest.
//!
//! The table is soft state of a single leader. A new leader does not know which leases its predecessor confirmed, so it
//! assumes that every entry uses an old version until those leases must have expired.

use std::collections::BTreeMap;

use crate::core::clock::BootTime;
use crate::core::entry_config::ConfigVersion;
use crate::core::member::{EntryIncarnation, EntryTable};
use crate::core::name::HostName;
use crate::core::serving_lease::{LEASE_DRIFT, SERVING_LEASE};

/// The latest lease confirmation that the leader sent to an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresenceRow {
    /// The entry process.
    pub incarnation: EntryIncarnation,
    /// The configuration version that the entry reported to use.
    pub version: ConfigVersion,
    /// The time at which the leader confirmed the lease.
    pub confirmed_at: BootTime,
}

/// The lease confirmations that this leader has sent since it became leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PresenceTable {
    leader_since: BootTime,
    rows: BTreeMap<HostName, PresenceRow>,
}

impl PresenceTable {
    /// Creates an empty table for a replica that became leader at `leader_since`.
    pub const fn starting_at(leader_since: BootTime) -> Self {
        Self {
            leader_since,
            rows: BTreeMap::new(),
        }
    }

    /// Returns the time at which this replica became leader.
    pub const fn leader_since(&self) -> BootTime {
        self.leader_since
    }

    /// Records that an entry's lease was confirmed.
    pub fn confirm(&mut self, host: &HostName, row: PresenceRow) {
        self.rows.insert(host.clone(), row);
    }

    /// Returns the latest confirmation sent to a host.
    pub fn get(&self, host: &HostName) -> Option<&PresenceRow> {
        self.rows.get(host)
    }

    /// Returns true if a host's lease may still be valid at `now`, so that the host may serve requests.
    pub fn may_serve(&self, host: &HostName, now: BootTime) -> bool {
        let confirmed_at = self.rows.get(host).map_or(self.leader_since, |row| row.confirmed_at);
        now < confirmed_at + SERVING_LEASE + LEASE_DRIFT
    }

    /// Returns the hosts that may still serve requests under a version older than `version`.
    ///
    /// If there are none, the change with that version is in force everywhere: every other host either uses it or
    /// refuses all requests until its lease is confirmed again.
    pub fn lagging_hosts(&self, version: ConfigVersion, now: BootTime, entries: &EntryTable) -> Vec<HostName> {
        let lagging = entries.rows().filter(|(host, _)| {
            let up_to_date = self.rows.get(*host).is_some_and(|row| row.version >= version);
            !up_to_date && self.may_serve(host, now)
        });
        lagging.map(|(host, _)| host.clone()).collect()
    }
}
