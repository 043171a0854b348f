//! The endpoints of a service that an entry tries first.
//!
//! Entries that choose among all endpoints by stale load information choose the same ones. Each entry therefore has a
//! slice of the endpoints, in which it knows most of the recent work, because few other entries try them first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::{DomainName, EndpointName, HostName, ServiceName};
use crate::util::number::round_up;
use crate::util::rendezvous;

/// Length of the line on which the endpoints of a service lie, in parts per million.
pub const LINE_PPM: u32 = 1_000_000;

/// Smallest slice of an entry as a fraction of an even one, so that an entry which was idle is not left with a single
/// endpoint when calls arrive.
const MIN_EVEN_FRACTION: f64 = 0.25;

/// Relative change of an entry's share of calls at which slices are divided anew. Random variation of the call rate stays
/// below it. Each boundary that moves makes an entry use endpoints of whose recent work it knows little.
const SHARE_CHANGE: f64 = 0.25;

/// Relative change of an endpoint's slowdown at which its length on the line changes.
const SLOWDOWN_CHANGE: f64 = 0.1;

/// A part of the line on which the endpoints of a service lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSlice {
    /// Beginning, in parts per million.
    pub start_ppm: u32,
    /// End, in parts per million; not below the beginning.
    pub end_ppm: u32,
}

impl LoadSlice {
    /// The slice that contains all endpoints.
    pub const WHOLE: Self = Self {
        start_ppm: 0,
        end_ppm: LINE_PPM,
    };

    fn length(self) -> f64 {
        f64::from(self.end_ppm.saturating_sub(self.start_ppm))
    }

    /// Returns a position in the slice, as a fraction of the line, for a random `fraction` from 0 to 1.
    pub fn position(self, fraction: f64) -> f64 {
        (f64::from(self.start_ppm) + fraction * self.length()) / f64::from(LINE_PPM)
    }

    /// Returns the fraction of a span of the line that lies in the slice.
    fn coverage_of(self, (start, end): (f64, f64)) -> f64 {
        let covered = end.min(f64::from(self.end_ppm)) - start.max(f64::from(self.start_ppm));
        (covered / (end - start)).clamp(0.0, 1.0)
    }

    fn contains(self, position: f64) -> bool {
        (f64::from(self.start_ppm)..f64::from(self.end_ppm)).contains(&position)
    }
}

/// Divides the line among the entries of a service in the order of their host names.
///
/// `demand` is the recent call rate of each entry, in any unit. Returns `before` unchanged if the entries are the same and
/// no share has changed by a quarter. Without any calls, all slices have the same size.
pub fn divide_slices(
    demand: &BTreeMap<HostName, f64>,
    before: &BTreeMap<HostName, LoadSlice>,
) -> BTreeMap<HostName, LoadSlice> {
    let shares = call_shares(demand);
    if is_close(&shares, before) {
        return before.clone();
    }
    let mut position = 0.0;
    let mut start_ppm = 0;
    let slices = shares.into_iter().map(|(host, share)| {
        position += share * f64::from(LINE_PPM);
        let end_ppm = u32::try_from(round_up(position))
            .unwrap_or(LINE_PPM)
            .clamp(start_ppm, LINE_PPM);
        let slice = LoadSlice { start_ppm, end_ppm };
        start_ppm = end_ppm;
        (host.clone(), slice)
    });
    slices.collect()
}

/// Returns each entry's share of the line. The shares add up to 1.
fn call_shares(demand: &BTreeMap<HostName, f64>) -> Vec<(&HostName, f64)> {
    let even = 1.0 / demand.len().max(1) as f64;
    let total: f64 = demand.values().sum();
    let share_of = |calls: f64| {
        if total > 0.0 {
            (calls / total).max(even * MIN_EVEN_FRACTION)
        } else {
            even
        }
    };
    let shares: Vec<_> = demand.iter().map(|(host, calls)| (host, share_of(*calls))).collect();
    let sum: f64 = shares.iter().map(|(_, share)| share).sum();
    shares.into_iter().map(|(host, share)| (host, share / sum)).collect()
}

/// Returns true if the slices still fit the shares.
fn is_close(shares: &[(&HostName, f64)], before: &BTreeMap<HostName, LoadSlice>) -> bool {
    let fits = |(host, share): &(&HostName, f64)| {
        before.get(*host).is_some_and(|slice| {
            let old = slice.length() / f64::from(LINE_PPM);
            (share - old).abs() < SHARE_CHANGE * old
        })
    };
    shares.len() == before.len() && shares.iter().all(fits)
}

/// Time constant of the average of an entry's calls. At the call rates of one entry, a shorter one varies by more than
/// [`SHARE_CHANGE`] at random.
const DEMAND_TIME: Duration = Duration::from_secs(10);

/// Time between two divisions of a service. An entry that has joined waits for it.
const DIVISION_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the first report for which a leader gives every entry all endpoints. It has not heard of all entries yet, and
/// slices of only some of them would soon move.
const FIRST_REPORTS_TIME: Duration = Duration::from_secs(1);

/// Recent calls of one entry, with an exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCalls {
    calls: f64,
    counted_at: BootTime,
}

impl RecentCalls {
    fn at(self, now: BootTime) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64();
        self.calls * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceSlices {
    began_at: BootTime,
    divided_at: Option<BootTime>,
    calls: BTreeMap<HostName, RecentCalls>,
    slices: BTreeMap<HostName, LoadSlice>,
}

/// A new division of a service's endpoints among the entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceChange {
    /// The service.
    pub service: ServiceName,
    /// Number of entries.
    pub entries: usize,
    /// Length of the smallest slice, in parts per million.
    pub smallest_ppm: u32,
    /// Length of the largest slice, in parts per million.
    pub largest_ppm: u32,
}

/// The slices of all services with uneven load, at the leader.
#[derive(Clone, Debug, Default)]
pub struct SliceLedger {
    services: BTreeMap<ServiceName, ServiceSlices>,
}

impl SliceLedger {
    /// Records the calls of a service that an entry has reported.
    pub fn record(&mut self, now: BootTime, service: &ServiceName, host: &HostName, calls: u64) {
        let row = self.services.entry(service.clone()).or_insert_with(|| ServiceSlices {
            began_at: now,
            ..ServiceSlices::default()
        });
        let recent = row.calls.entry(host.clone()).or_default();
        *recent = RecentCalls {
            calls: recent.at(now) + calls as f64,
            counted_at: now,
        };
    }

    /// Returns true if no calls of any service were recorded.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Divides the endpoints of the services among the live entries, in order of their names, where that is due.
    /// Returns what has changed.
    pub fn divide(&mut self, now: BootTime, live: &[&HostName]) -> Vec<SliceChange> {
        let mut changes = Vec::new();
        for (service, row) in &mut self.services {
            let is_due = |at: BootTime| now.since(at) >= DIVISION_INTERVAL;
            if now.since(row.began_at) < FIRST_REPORTS_TIME || !row.divided_at.is_none_or(is_due) {
                continue;
            }
            row.divided_at = Some(now);
            row.calls.retain(|host, _| live.binary_search(&host).is_ok());
            let calls = |host: &HostName| row.calls.get(host).map_or(0.0, |calls| calls.at(now));
            let demand: BTreeMap<_, _> = live.iter().map(|host| ((*host).clone(), calls(host))).collect();
            let slices = divide_slices(&demand, &row.slices);
            if slices != row.slices {
                let lengths = || slices.values().map(|slice| slice.end_ppm - slice.start_ppm);
                changes.push(SliceChange {
                    service: service.clone(),
                    entries: slices.len(),
                    smallest_ppm: lengths().min().unwrap_or(0),
                    largest_ppm: lengths().max().unwrap_or(0),
                });
                row.slices = slices;
            }
        }
        changes
    }

    /// Returns the slices of an entry: all endpoints of a service while it has none.
    pub fn slices_of(&self, host: &HostName) -> impl Iterator<Item = (&ServiceName, LoadSlice)> {
        let rows = self.services.iter();
        rows.map(|(service, row)| (service, row.slices.get(host).copied().unwrap_or(LoadSlice::WHOLE)))
    }
}

/// An endpoint as it is laid out on the line.
#[derive(Clone, Copy, Debug)]
pub struct LineEndpoint<'table> {
    /// Its name.
    pub name: &'table EndpointName,
    /// Its failure domain.
    pub domain: &'table DomainName,
    /// Lasting time of work there as a multiple of the usual; above 0.
    pub slowdown: f64,
}

/// How the endpoints of a service are laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineLayout {
    /// All of them on one line.
    Together,
    /// Those of each failure domain on a line of their own. A slice then has endpoints in each domain, so that a stream can be
    /// decoded in the domain of its prefill engine without leaving the slice.
    ByDomain,
}

#[derive(Clone, Copy, Debug)]
struct LineRow {
    slowdown: f64,
    hash: u64,
    is_member: bool,
    /// Fraction of the endpoint's length that lies in the slice.
    coverage: f64,
}

/// The endpoints of a service, or of one of its stages, on the line, and which of them lie in the entry's slice.
#[derive(Clone, Debug)]
pub struct EngineLine {
    slice: LoadSlice,
    rows: HashMap<EndpointName, LineRow>,
}

impl EngineLine {
    /// Lays out the endpoints.
    ///
    /// An endpoint is in the slice that contains its middle, so that it is in the slice of one entry only. A slice that contains
    /// no middle has the endpoint around its own middle; with more entries than endpoints, some share one.
    pub fn new(endpoints: &[LineEndpoint<'_>], layout: LineLayout, slice: LoadSlice) -> Self {
        let mut groups: BTreeMap<Option<&DomainName>, Vec<(u64, LineEndpoint<'_>)>> = BTreeMap::new();
        for endpoint in endpoints {
            let group = match layout {
                LineLayout::Together => None,
                LineLayout::ByDomain => Some(endpoint.domain),
            };
            let hash = rendezvous::hash(endpoint.name.as_str().as_bytes());
            groups.entry(group).or_default().push((hash, *endpoint));
        }
        let mut rows = HashMap::with_capacity(endpoints.len());
        for group in groups.values_mut() {
            group.sort_unstable_by_key(|(hash, endpoint)| (*hash, endpoint.name));
            let members = members_of(group, slice);
            rows.extend(
                group
                    .iter()
                    .zip(members)
                    .map(|((hash, endpoint), (is_member, coverage))| {
                        let row = LineRow {
                            slowdown: endpoint.slowdown,
                            hash: *hash,
                            is_member,
                            coverage,
                        };
                        (endpoint.name.clone(), row)
                    }),
            );
        }
        Self { slice, rows }
    }

    /// Returns true if the line need not be laid out anew for these endpoints and this slice: the endpoints are the same, and
    /// no slowdown differs by more than a tenth.
    pub fn fits(&self, endpoints: &[LineEndpoint<'_>], slice: LoadSlice) -> bool {
        let is_same = |endpoint: &LineEndpoint<'_>| {
            let row = self.rows.get(endpoint.name);
            row.is_some_and(|row| (endpoint.slowdown - row.slowdown).abs() <= SLOWDOWN_CHANGE * row.slowdown)
        };
        self.slice == slice && self.rows.len() == endpoints.len() && endpoints.iter().all(is_same)
    }

    /// Returns true if the endpoint lies in the slice.
    pub fn contains(&self, name: &EndpointName) -> bool {
        self.rows.get(name).is_some_and(|row| row.is_member)
    }

    /// Returns the fraction of an endpoint's length that lies in the slice.
    pub fn coverage(&self, name: &EndpointName) -> f64 {
        self.rows.get(name).map_or(0.0, |row| row.coverage)
    }

    /// Returns the slice.
    pub const fn slice(&self) -> LoadSlice {
        self.slice
    }

    /// Returns the value by which endpoints are ordered on the line.
    pub fn rank(&self, name: &EndpointName) -> u64 {
        self.rows.get(name).map_or(0, |row| row.hash)
    }

    /// Returns a pseudo-random number from 0 to 1 that differs by endpoint and by `draw`.
    pub fn fraction(&self, name: &EndpointName, draw: u64) -> f64 {
        let hash = self.rows.get(name).map_or(0, |row| row.hash);
        rendezvous::fraction(rendezvous::combine_hashes(draw, hash))
    }
}

/// Returns for each endpoint of a sorted group whether it is in the slice, and which fraction of it.
fn members_of(group: &[(u64, LineEndpoint<'_>)], slice: LoadSlice) -> Vec<(bool, f64)> {
    let lengths = group.iter().map(|(_, endpoint)| 1.0 / endpoint.slowdown);
    let unit = f64::from(LINE_PPM) / lengths.clone().sum::<f64>();
    let mut end = 0.0;
    let spans: Vec<(f64, f64)> = lengths
        .map(|length| {
            let start = end;
            end += length * unit;
            (start, end)
        })
        .collect();
    let mut members: Vec<bool> = spans
        .iter()
        .map(|(start, end)| slice.contains(f64::midpoint(*start, *end)))
        .collect();
    if !members.contains(&true) {
        let middle = f64::from(slice.start_ppm) + slice.length() / 2.0;
        let around = spans.iter().position(|(_, end)| middle < *end);
        if let Some(member) = around.or(spans.len().checked_sub(1)) {
            members[member] = true;
        }
    }
    let coverages = spans.iter().map(|span| slice.coverage_of(*span));
    members.into_iter().zip(coverages).collect()
}
