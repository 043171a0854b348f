//! State of the leader that is not replicated: what endpoints report and entries send with their renewals.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{DomainName, EndpointName, HostName, ServiceName};
use acaciabay::core::serving::cached_parts::KeptLog;
use acaciabay::core::serving::config::ServingConfig;
use acaciabay::core::serving::endpoint_handles::HandleTable;
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::endpoint_registry::EndpointRegistry;
use acaciabay::core::serving::limit_ledger::LimitLedger;
use acaciabay::core::serving::load_slice::{SliceChange, SliceLedger};
use acaciabay::core::serving::relay_choice::{RelayOffer, select_relays};
use acaciabay::core::serving::retry_ledger::RetryLedger;
use acaciabay::core::serving::shared_suspicion::shared_suspicions;
use acaciabay::core::serving::speed_ledger::SpeedLedger;
use acaciabay::core::serving::start_counts::{EntryStart, GatheredRow};
use acaciabay::core::serving::unnamed_reports::UnnamedReports;
use acaciabay::core::serving::work_sums::WorkSums;

use super::allowances::LeaderAllowances;

/// Time without a renewal after which an entry no longer counts as serving. Its serving lease has ended long before.
pub(super) const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a renewal after which an entry no longer counts as a relay: four renewals.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that an entry sent with its last renewal.
#[derive(Clone, Debug)]
pub(super) struct EntryState {
    /// Run of the entry process.
    pub(super) start: EntryStart,
    /// Time at which this replica received the renewal.
    pub(super) heard_at: BootTime,
    /// Failure domain of the entry.
    pub(super) domain: DomainName,
    /// Outstanding work of the entry at each endpoint.
    pub(super) work: Vec<(EndpointName, EndpointWork)>,
    /// Endpoints that the entry has found silent.
    pub(super) silent: Vec<EndpointName>,
    /// Prefill time per token in milliseconds, as measured by the entry. A renewal names only services with calls since
    /// the last one, so the values of the others are kept from earlier renewals.
    pub(super) paces: BTreeMap<ServiceName, f64>,
    /// The entry's offer to relay connections of other entries, while it makes one.
    pub(super) relay: Option<RelayOffer>,
}

/// Demand for a service over all entries since the pool of the service was last planned on this replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceTraffic {
    pub(super) unread_tokens: u64,
    pub(super) output_tokens: u64,
    /// Longest wait for prefill that an entry has expected, in microseconds.
    pub(super) wait_us: u64,
}

/// Soft state, which is not replicated. After each start it is rebuilt from the reports of endpoints and the renewals
/// of entries.
#[derive(Debug, Default)]
pub(super) struct SoftState {
    pub(super) registry: EndpointRegistry,
    pub(super) handles: HandleTable,
    /// Reports of endpoints whose service the configuration does not name.
    pub(super) unnamed: UnnamedReports,
    entries: BTreeMap<HostName, EntryState>,
    work_sums: WorkSums,
    /// Counts of started calls that entries have reported and that are not committed yet.
    pub(super) uncommitted_counts: Vec<GatheredRow>,
    pub(super) traffic: BTreeMap<ServiceName, ServiceTraffic>,
    /// Calls of each service since its stages were last planned on this replica.
    pub(super) calls: BTreeMap<ServiceName, u64>,
    /// Services with an endpoint that has stated its pace.
    pub(super) paced_services: BTreeSet<ServiceName>,
    /// Speeds of the endpoints of uneven services. They are kept across terms: a process that leads again knows the lasting ones.
    pub(super) speeds: SpeedLedger,
    /// Slices of the services with uneven load.
    pub(super) slices: SliceLedger,
    /// Allowances of customers, since this replica leads.
    pub(super) allowances: LeaderAllowances,
    /// Limits of endpoints in the term in which this replica led last.
    pub(super) limits: Option<LimitLedger>,
    /// Slack of the retry limits in the term in which this replica led last.
    pub(super) retries: Option<RetryLedger>,
    /// Prompt parts that engines have cached, as announced by entries.
    pub(super) cached_parts: KeptLog,
    /// Configuration that was parsed last. It is reused while its number is the newest.
    pub(super) config: Option<Arc<ServingConfig>>,
}

impl SoftState {
    /// Removes the entries whose last renewal is at least [`ENTRY_TIMEOUT`] ago, and returns the number of the
    /// remaining entries.
    pub(super) fn live_entries(&mut self, now: BootTime) -> usize {
        let sums = &mut self.work_sums;
        self.entries.retain(|_, row| {
            let is_live = now.since(row.heard_at) < ENTRY_TIMEOUT;
            if !is_live {
                sums.replace(&row.work, &[]);
            }
            is_live
        });
        self.entries.len()
    }

    /// Divides the endpoints of services with uneven load among the entries. Returns what has changed.
    pub(super) fn divide_slices(&mut self, now: BootTime) -> Vec<SliceChange> {
        let live: Vec<&HostName> = self
            .entries
            .iter()
            .filter(|(_, row)| now.since(row.heard_at) < ENTRY_TIMEOUT)
            .map(|(host, _)| host)
            .collect();
        self.slices.divide(now, &live)
    }

    /// Returns the state that an entry sent with its last renewal.
    pub(super) fn entry(&self, host: &HostName) -> Option<&EntryState> {
        self.entries.get(host)
    }

    /// Replaces the state of an entry.
    pub(super) fn set_entry(&mut self, host: &HostName, state: EntryState) {
        let old = self.entries.get(host).map_or(&[][..], |old| &old.work);
        self.work_sums.replace(old, &state.work);
        self.entries.insert(host.clone(), state);
    }

    /// Returns the prefill time per token of a service in milliseconds: the median over the entries, or 0 before the
    /// first measurement.
    pub(super) fn prefill_ms_per_token(&self, service: &ServiceName) -> f64 {
        let known = self.entries.values().filter_map(|row| row.paces.get(service));
        let mut paces: Vec<f64> = known.copied().collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied().unwrap_or(0.0)
    }

    /// Removes timed-out entries as [`Self::live_entries`] does, and returns the longest time since the last renewal of
    /// a remaining entry, or zero if none remains.
    pub(super) fn longest_silence(&mut self, now: BootTime) -> Duration {
        self.live_entries(now);
        let silences = self.entries.values().map(|row| now.since(row.heard_at));
        silences.max().unwrap_or_default()
    }

    /// Returns true if all these entry processes have sent a renewal to this replica.
    pub(super) fn has_heard(&self, mut starts: impl Iterator<Item = EntryStart>) -> bool {
        let heard: BTreeSet<EntryStart> = self.entries.values().map(|row| row.start).collect();
        starts.all(|start| heard.contains(&start))
    }

    /// Removes endpoints that have not reported for a long time.
    pub(super) fn forget_silent(&mut self, now: BootTime) {
        let Self {
            registry,
            handles,
            speeds,
            ..
        } = self;
        registry.remove_expired(now);
        speeds.retain(|endpoint| registry.get(endpoint).is_some());
        handles.retain_registered(registry);
    }

    /// Returns true if any entry has a running call at an endpoint.
    pub(super) fn has_calls(&self) -> bool {
        self.entries.values().any(|row| !row.work.is_empty())
    }

    /// Returns the endpoints that all entries should avoid, since entries in several failure domains find them silent.
    pub(super) fn silent_endpoints(&self) -> BTreeSet<&EndpointName> {
        let rows = self.entries.values();
        shared_suspicions(rows.flat_map(|row| row.silent.iter().map(|endpoint| (&row.domain, endpoint))))
    }

    /// Returns the relays that an entry is told.
    pub(super) fn relays_for(&self, now: BootTime, host: &HostName, domain: &DomainName) -> Vec<&RelayOffer> {
        let live = self
            .entries
            .values()
            .filter(|row| now.since(row.heard_at) < RELAY_TIMEOUT);
        select_relays(host, domain, live.filter_map(|row| row.relay.as_ref()))
    }

    /// Returns the work that all entries except `host` have at each endpoint.
    pub(super) fn work_except(&self, host: &HostName) -> BTreeMap<EndpointName, EndpointWork> {
        let own = self.entries.get(host).map_or(&[][..], |row| &row.work);
        self.work_sums.without(own)
    }

    /// Returns the work that all entries have at each endpoint.
    pub(super) const fn work(&self) -> &BTreeMap<EndpointName, EndpointWork> {
        self.work_sums.all()
    }
}
