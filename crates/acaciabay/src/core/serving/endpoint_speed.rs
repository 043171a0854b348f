//! How long work takes at each endpoint, as a factor of the usual of its service (the slowdown), as seen by one entry.
//!
//! Two factors are measured from the same prefills: the lasting one, and the one beyond the pace that the endpoint stated
//! meanwhile. A fresh stated pace is multiplied by the latter, so that it does not matter whether endpoints count their lasting
//! factor in, and a stated pace that is wrong is corrected by what is measured. With an old one, the lasting factor counts.

use std::collections::HashMap;
use std::time::Duration;

use super::endpoint_registry::EndpointIncarnation;
use super::load_report::StatedPace;
use super::speed_filter::SpeedFilter;
use crate::core::clock::BootTime;
use crate::core::name::EndpointName;

/// Smallest and largest slowdown that is used, whatever was stated or measured.
pub const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.2..=5.0;
/// Time for which a stated pace counts in full.
const STATED_VALIDITY: Duration = Duration::from_millis(600);
/// Time from the end of its validity until a stated pace no longer counts.
const STATED_DECAY: Duration = Duration::from_millis(400);
/// Time for which measured factors are kept that nobody confirms.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Time after that until they no longer count.
const HOLD_DECAY: Duration = Duration::from_secs(10);

/// Returns the part of a value that still counts, from 1 to 0: all of it for `hold`, and less and less during `decay`.
fn remaining(age: Duration, hold: Duration, decay: Duration) -> f64 {
    let over = age.saturating_sub(hold).as_secs_f64();
    (1.0 - over / decay.as_secs_f64()).max(0.0)
}

/// A pace that an endpoint has stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedReport {
    /// The pace.
    pub pace: StatedPace,
    /// Time at which the endpoint stated it, by this host's clock.
    pub at: BootTime,
}

impl StatedReport {
    /// Returns the report of a pace that was stated `age` before `now`.
    pub const fn aged(now: BootTime, pace: StatedPace, age: Duration) -> Self {
        Self {
            pace,
            at: BootTime::from_boot(now.since_boot().saturating_sub(age)),
        }
    }

    /// Returns the later one of two reports.
    pub fn newer(before: Option<Self>, report: Self) -> Self {
        before.filter(|before| before.at > report.at).unwrap_or(report)
    }

    fn freshness(self, now: BootTime) -> f64 {
        remaining(now.since(self.at), STATED_VALIDITY, STATED_DECAY)
    }
}

/// Sums over the prefills at one endpoint that had no known queue in front of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillSums {
    /// Number of prefills.
    pub prefills: u32,
    /// Measured time.
    pub took: Duration,
    /// Time that the service usually takes for them.
    pub expected: Duration,
    /// The same times the pace that the endpoint stated at the time of each.
    pub expected_stated: Duration,
}

impl PrefillSums {
    fn add(&mut self, other: &Self) {
        self.prefills = self.prefills.saturating_add(other.prefills);
        self.took = self.took.saturating_add(other.took);
        self.expected = self.expected.saturating_add(other.expected);
        self.expected_stated = self.expected_stated.saturating_add(other.expected_stated);
    }
}

/// What one entry reports of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its incarnation.
    pub birth: EndpointIncarnation,
    /// The pace that it stated last, if it did so since the last report.
    pub stated: Option<StatedReport>,
    /// Prefills since the last report.
    pub sums: PrefillSums,
}

/// What the leader tells all entries of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedRow {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its incarnation.
    pub birth: EndpointIncarnation,
    /// Its speed.
    pub speed: EndpointSpeed,
}

/// The speed of an endpoint at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSpeed {
    /// Logarithm of the lasting factor.
    pub lasting: f64,
    /// Logarithm of the factor beyond the stated pace.
    pub beyond_stated: f64,
    /// The pace that it stated last.
    pub stated: Option<StatedReport>,
}

impl EndpointSpeed {
    /// Returns the slowdown, within [`SLOWDOWN_RANGE`]. `held` is the part of the measured factors that still counts.
    pub fn slowdown(&self, now: BootTime, held: f64) -> f64 {
        let lasting = self.lasting * held;
        let log = self.stated.map_or(lasting, |stated| {
            let fresh = stated.freshness(now);
            let at_present = stated.pace.factor().ln() + self.beyond_stated * held;
            fresh * at_present + (1.0 - fresh) * lasting
        });
        log.exp().clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end())
    }
}

/// Estimate of an endpoint's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimate {
    lasting: SpeedFilter,
    beyond_stated: SpeedFilter,
    stated: Option<StatedReport>,
}

impl SpeedEstimate {
    /// Returns the speed.
    pub const fn speed(&self) -> EndpointSpeed {
        EndpointSpeed {
            lasting: self.lasting.mean(),
            beyond_stated: self.beyond_stated.mean(),
            stated: self.stated,
        }
    }

    /// Records a pace that the endpoint has stated, unless a newer one is known.
    pub fn record_stated(&mut self, report: StatedReport) {
        self.stated = Some(StatedReport::newer(self.stated, report));
    }

    /// Records prefills. Returns false if the sums are impossible.
    pub fn record_prefills(&mut self, now: BootTime, sums: &PrefillSums) -> bool {
        let is_possible =
            sums.prefills > 0 && !sums.took.is_zero() && !sums.expected.is_zero() && !sums.expected_stated.is_zero();
        if is_possible {
            let took = sums.took.as_secs_f64();
            let record = |filter: &mut SpeedFilter, expected: Duration| {
                filter.record(now, (took / expected.as_secs_f64()).ln(), sums.prefills);
            };
            record(&mut self.lasting, sums.expected);
            record(&mut self.beyond_stated, sums.expected_stated);
        }
        is_possible
    }

    fn replace(&mut self, now: BootTime, speed: &EndpointSpeed) {
        self.lasting = SpeedFilter::shared(now, speed.lasting);
        self.beyond_stated = SpeedFilter::shared(now, speed.beyond_stated);
        if let Some(stated) = speed.stated {
            self.record_stated(stated);
        }
    }
}

/// Number of the connection over which a leader has told speeds. The connections of an entry have different numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedSource(pub u64);

#[derive(Clone, Copy, Debug, Default)]
struct SpeedTableRow {
    birth: EndpointIncarnation,
    estimate: SpeedEstimate,
    /// Source that told the factors last.
    source: Option<SpeedSource>,
    /// Time at which the factors were last told or measured, or their source last heard of before another one.
    held_at: BootTime,
}

/// Speeds of the endpoints that this entry has measured or been told of.
#[derive(Clone, Debug, Default)]
pub struct EndpointSpeeds {
    rows: HashMap<EndpointName, SpeedTableRow>,
    source: Option<SpeedSource>,
    /// Time at which the source was last heard of. It tells changes only: what it told before still holds then.
    heard_at: BootTime,
}

impl EndpointSpeeds {
    /// Returns how long work takes at an endpoint as a factor of the usual of its service.
    pub fn slowdown(&self, now: BootTime, name: &EndpointName) -> f64 {
        self.rows.get(name).map_or(1.0, |row| {
            let held = remaining(now.since(self.held_at(row)), HOLD_TIME, HOLD_DECAY);
            row.estimate.speed().slowdown(now, held)
        })
    }

    /// Returns the lasting slowdown of an endpoint, without what it states at present.
    pub fn lasting_slowdown(&self, now: BootTime, name: &EndpointName) -> f64 {
        self.rows.get(name).map_or(1.0, |row| {
            let held = remaining(now.since(self.held_at(row)), HOLD_TIME, HOLD_DECAY);
            let speed = EndpointSpeed {
                stated: None,
                ..row.estimate.speed()
            };
            speed.slowdown(now, held)
        })
    }

    /// Returns the factor that the endpoint states at present, or 1 if it states none.
    pub fn stated_factor(&self, now: BootTime, name: &EndpointName) -> f64 {
        let stated = self.rows.get(name).and_then(|row| row.estimate.stated);
        stated.map_or(1.0, |stated| (stated.pace.factor().ln() * stated.freshness(now)).exp())
    }

    /// Records a pace that this entry has read in an answer.
    pub fn record_stated(&mut self, name: &EndpointName, birth: EndpointIncarnation, report: StatedReport) {
        if let Some(row) = self.row(name, birth) {
            row.estimate.record_stated(report);
        }
    }

    /// Records prefills that this entry has measured.
    pub fn record_prefills(
        &mut self,
        now: BootTime,
        name: &EndpointName,
        birth: EndpointIncarnation,
        sums: &PrefillSums,
    ) {
        if let Some(row) = self.row(name, birth)
            && row.estimate.record_prefills(now, sums)
        {
            row.held_at = now;
        }
    }

    /// Applies an answer of the leader: the rows that have changed since the last one from this source.
    pub fn apply(&mut self, now: BootTime, source: SpeedSource, rows: impl IntoIterator<Item = SpeedRow>) {
        if self.source != Some(source) {
            // What another source has told is kept from the time at which that one was last heard of.
            let (before, heard_at) = (self.source, self.heard_at);
            let told_before = self.rows.values_mut().filter(|row| row.source == before);
            for row in told_before.filter(|row| row.source.is_some()) {
                row.held_at = row.held_at.max(heard_at);
            }
            self.source = Some(source);
        }
        self.heard_at = now;
        for told in rows {
            if let Some(row) = self.row(&told.endpoint, told.birth) {
                row.estimate.replace(now, &told.speed);
                row.source = Some(source);
                row.held_at = now;
            }
        }
    }

    /// Drops what was recorded of an earlier incarnation of an endpoint.
    pub fn record_incarnation(&mut self, name: &EndpointName, birth: EndpointIncarnation) {
        if self.rows.get(name).is_some_and(|row| row.birth < birth) {
            self.rows.remove(name);
        }
    }

    /// Drops endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.rows.retain(|name, _| is_known(name));
    }

    fn held_at(&self, row: &SpeedTableRow) -> BootTime {
        let is_confirmed = row.source.is_some() && row.source == self.source;
        if is_confirmed {
            row.held_at.max(self.heard_at)
        } else {
            row.held_at
        }
    }

    /// Returns the row of an incarnation, which replaces that of an earlier one, or `None` if a later one is known.
    fn row(&mut self, name: &EndpointName, birth: EndpointIncarnation) -> Option<&mut SpeedTableRow> {
        if !self.rows.contains_key(name) {
            self.rows.insert(name.clone(), SpeedTableRow::default());
        }
        let row = self.rows.get_mut(name)?;
        if row.birth < birth {
            *row = SpeedTableRow {
                birth,
                ..SpeedTableRow::default()
            };
        }
        (row.birth == birth).then_some(row)
    }
}

/// What this entry has observed and not yet reported.
#[derive(Clone, Debug, Default)]
pub struct PaceOutbox {
    rows: HashMap<EndpointName, PaceReport>,
}

impl PaceOutbox {
    /// Queues a pace that an endpoint has stated.
    pub fn record_stated(&mut self, name: &EndpointName, birth: EndpointIncarnation, report: StatedReport) {
        if let Some(row) = self.row(name, birth) {
            row.stated = Some(StatedReport::newer(row.stated, report));
        }
    }

    /// Queues measured prefills.
    pub fn record_prefills(&mut self, name: &EndpointName, birth: EndpointIncarnation, sums: &PrefillSums) {
        if let Some(row) = self.row(name, birth) {
            row.sums.add(sums);
        }
    }

    /// Returns what is queued and empties the queue.
    pub fn take(&mut self) -> impl Iterator<Item = PaceReport> + use<> {
        std::mem::take(&mut self.rows).into_values()
    }

    fn row(&mut self, name: &EndpointName, birth: EndpointIncarnation) -> Option<&mut PaceReport> {
        let row = self.rows.entry(name.clone()).or_insert_with(|| PaceReport {
            endpoint: name.clone(),
            birth,
            stated: None,
            sums: PrefillSums::default(),
        });
        if row.birth < birth {
            row.birth = birth;
            row.stated = None;
            row.sums = PrefillSums::default();
        }
        // A late answer of an earlier process says nothing about the one that runs now.
        (row.birth == birth).then_some(row)
    }
}
