//! The permits and the demand of each entry at one endpoint that names a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_limit::{LimitReportRow, LimitVersion, PermitCounts};
use super::start_counts::EntryStart;
use crate::core::clock::BootTime;
use crate::util::number::round_up;

/// Time for which an entry is granted permits in advance, in seconds: two renewals.
const GRANT_TIME: f64 = 0.5;
/// Time constant with which the demand of an entry that asks for less is forgotten, in seconds.
const DEMAND_DECAY: f64 = 2.0;
/// Shortest and longest time over which demand is measured, in seconds. Entries that seldom ask are granted a permit for
/// each time that they do.
const DEMAND_TIMES: (f64, f64) = (0.1, 1.0);
/// Demand below which an entry is granted nothing, in requests a second.
const MIN_DEMAND: f64 = 0.1;
/// Time without a renewal after which the permits of an entry count as spent. They have expired long before.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a renewal after which an entry is forgotten.
const SHARE_RETENTION: Duration = Duration::from_secs(60);
/// Interval at which the shares are searched for entries that do not renew.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
pub(super) struct EntryShare {
    heard_at: BootTime,
    /// What the entry had counted when the share was created. What it then held unspent is taken to be spent.
    baseline: PermitCounts,
    /// Granted by the leader since then; spent and expired as the entry has reported.
    counts: PermitCounts,
    /// Newest state and number of permits that the entry has reported to know.
    known: LimitVersion,
    received: u64,
    asked: u64,
    asked_at: BootTime,
    /// Requests a second that the entry would send.
    demand: f64,
}

impl EntryShare {
    fn new(now: BootTime, row: &LimitReportRow, baseline: PermitCounts) -> Self {
        Self {
            heard_at: now,
            baseline,
            counts: PermitCounts::default(),
            known: row.state.version,
            received: baseline.granted,
            asked: row.asked,
            asked_at: now,
            demand: if row.asked > 0 { 1.0 / DEMAND_TIMES.1 } else { 0.0 },
        }
    }

    const fn outstanding(&self) -> u64 {
        self.counts
            .granted
            .saturating_sub(self.counts.spent + self.counts.expired)
    }

    /// Records what the entry reports. Returns how many permits have expired unspent since its last report.
    fn record(&mut self, now: BootTime, row: &LimitReportRow, reported: PermitCounts) -> u64 {
        self.known = row.state.version;
        self.received = reported.granted;
        let since = self.since_baseline(reported);
        self.counts.spent = self.counts.spent.max(since.spent);
        let expired = since
            .expired
            .saturating_sub(self.counts.expired)
            .min(self.outstanding());
        self.counts.expired += expired;
        self.measure_demand(now, row.asked);
        expired
    }

    /// Returns what has become of the permits that were granted since the baseline. Of what the entry has spent or let expire
    /// since then, the permits that it held before count first: otherwise they would flow back, and be granted again.
    const fn since_baseline(&self, reported: PermitCounts) -> PermitCounts {
        let before = self.baseline;
        let held = before.granted.saturating_sub(before.spent + before.expired);
        let expired = reported.expired.saturating_sub(before.expired);
        let spent = reported.spent.saturating_sub(before.spent);
        let own_expired = expired.saturating_sub(held);
        PermitCounts {
            granted: reported.granted.saturating_sub(before.granted),
            spent: (spent + expired).saturating_sub(held).saturating_sub(own_expired),
            expired: own_expired,
        }
    }

    /// Returns all permits that the entry was granted, as it counts them.
    const fn total(&self) -> u64 {
        self.baseline.granted + self.counts.granted
    }

    fn measure_demand(&mut self, now: BootTime, asked: u64) {
        let time = now.since(self.asked_at).as_secs_f64();
        let measured = asked.saturating_sub(self.asked) as f64 / time.clamp(DEMAND_TIMES.0, DEMAND_TIMES.1);
        self.demand = measured.max(self.demand * (-time / DEMAND_DECAY).exp());
        self.asked = asked;
        self.asked_at = now;
    }

    /// Returns how many of `level` permits the entry is granted, if all entries together ask for `total_demand`.
    fn wanted(&self, level: f64, total_demand: f64) -> u64 {
        if self.demand < MIN_DEMAND {
            return 0;
        }
        let wanted = round_up(self.demand * GRANT_TIME).saturating_sub(self.outstanding());
        let fair = round_up(level * self.demand / total_demand);
        wanted.min(fair).min(round_up(level.floor()))
    }
}

/// What an entry is granted, and whether it knows all of it already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShareGrant {
    /// Permits that are new.
    pub(super) new: u64,
    /// All permits of the term.
    pub(super) total: u64,
    /// True if the entry has reported to know the state in force and all permits.
    pub(super) is_known: bool,
}

/// The shares of all entries. The sums over them are kept, since each renewal needs them and there are hundreds of
/// entries.
#[derive(Clone, Debug)]
pub(super) struct ShareTable {
    shares: BTreeMap<EntryStart, EntryShare>,
    outstanding: u64,
    demand: f64,
    swept_at: BootTime,
}

impl ShareTable {
    pub(super) const fn new(now: BootTime) -> Self {
        Self {
            shares: BTreeMap::new(),
            outstanding: 0,
            demand: 0.0,
            swept_at: now,
        }
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns the permits that entries hold unspent, as far as they have reported.
    pub(super) const fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Returns the requests a second that all entries would send.
    pub(super) const fn demand(&self) -> f64 {
        self.demand
    }

    /// Records what an entry reports. Returns how many of its permits have expired unspent since its last report.
    pub(super) fn record(
        &mut self,
        now: BootTime,
        entry: EntryStart,
        row: &LimitReportRow,
        reported: PermitCounts,
    ) -> u64 {
        // Where the entry or this table has forgotten what it counted, the count begins anew.
        let is_forgotten = self
            .shares
            .get(&entry)
            .is_none_or(|share| reported.granted < share.received);
        if is_forgotten {
            let before = self.shares.insert(entry, EntryShare::new(now, row, reported));
            let (outstanding, demand) = before.map_or((0, 0.0), |share| (share.outstanding(), share.demand));
            self.outstanding -= outstanding;
            self.demand += self.shares[&entry].demand - demand;
        }
        self.change(entry, |share| share.record(now, row, reported))
            .unwrap_or(0)
    }

    /// Grants an entry its part of `level` permits. Returns `None` if the entry has reported nothing yet.
    pub(super) fn grant(
        &mut self,
        now: BootTime,
        entry: EntryStart,
        level: f64,
        version: LimitVersion,
    ) -> Option<ShareGrant> {
        let total_demand = self.demand;
        self.change(entry, |share| {
            share.heard_at = now;
            let new = share.wanted(level, total_demand);
            share.counts.granted += new;
            ShareGrant {
                new,
                total: share.total(),
                is_known: share.known == version && share.received == share.total(),
            }
        })
    }

    /// Takes the permits of entries that do not renew to be spent, if it is time to search for them.
    pub(super) fn sweep(&mut self, now: BootTime) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for share in self.shares.values_mut() {
            if now.since(share.heard_at) >= ENTRY_TIMEOUT {
                share.counts.spent += share.outstanding();
                share.demand = 0.0;
            }
        }
        self.shares
            .retain(|_, share| now.since(share.heard_at) < SHARE_RETENTION);
        self.outstanding = self.shares.values().map(EntryShare::outstanding).sum();
        self.demand = self.shares.values().map(|share| share.demand).sum();
    }

    /// Changes the share of an entry and keeps the sums.
    fn change<T>(&mut self, entry: EntryStart, act: impl FnOnce(&mut EntryShare) -> T) -> Option<T> {
        let share = self.shares.get_mut(&entry)?;
        let (outstanding, demand) = (share.outstanding(), share.demand);
        let outcome = act(share);
        self.outstanding = self.outstanding + share.outstanding() - outstanding;
        self.demand += share.demand - demand;
        Some(outcome)
    }
}
