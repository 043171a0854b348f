//! The buckets of all customers with an allowance, as the leader keeps them.
//!
//! Nothing of it is replicated. A new leader assumes that all buckets were empty when its predecessor confirmed the last
//! reports, or owed what entries know from their last rows, and charges what entries have admitted since then.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::allowance::{
    AllowanceRow, COST_CLASSES, CustomerUse, OfferedCost, UsageAllowance, UsageReport, UsageRow, admission_probability,
};
use super::start_counts::EntryStart;
use crate::core::clock::BootTime;
use crate::core::name::CustomerName;

/// Time over which a deviation of a bucket from empty is corrected. Shorter than a few reports, it would overshoot.
const CORRECTION_TIME: Duration = Duration::from_millis(400);
/// Age of the use that entries have reported on average, which is charged in advance.
const REPORT_AGE: Duration = Duration::from_millis(150);
/// Windows over which the offered pace is measured. The short one sees a rise early, the long one holds it through a
/// pause between two reports.
const SHORT_WINDOW: Duration = Duration::from_millis(300);
const LONG_WINDOW: Duration = Duration::from_secs(1);
/// Rows of customers that offer less than this multiple of their rate are not sent.
const LISTED_LOAD: f64 = 0.6;
/// Largest headroom, so that a customer that rests does not get an unlimited one.
const MAX_HEADROOM: f64 = 4.0;
/// Part of the tolerance that may be used up while the calls of a customer come unevenly. The rest covers use that has
/// not been reported yet.
const USABLE_TOLERANCE: f64 = 0.2;
/// Range of the cost scale, and number of halvings by which it is found to a thousandth.
const SCALE_RANGE: (f64, f64) = (0.1, 1e8);
const SCALE_STEPS: u32 = 15;
/// Time within which all entries that know an earlier leader report to a new one. What an entry knows that comes later is
/// too old.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);
/// Longest time without a leader for which a bucket fills up. The serving leases of entries last no longer.
const MAX_OUTAGE: Duration = Duration::from_secs(4);
/// Time without a report after which the counters of an entry are dropped.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);

/// How far all entries together may exceed an allowance in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of what the allowance admits in a window.
    pub ratio: f64,
    /// Units beyond that.
    pub slack: f64,
}

impl AllowanceTolerance {
    /// Returns how many units the bucket may owe.
    fn usable(&self, allowance: &UsageAllowance) -> f64 {
        let admitted = allowance.rate * self.window.as_secs_f64() + allowance.burst;
        USABLE_TOLERANCE * (self.ratio * admitted + self.slack)
    }
}

/// Use that a report has added.
#[derive(Clone, Copy, Debug)]
struct UseSample {
    at: BootTime,
    offered: OfferedCost,
    taken: f64,
}

/// Offered pace of each cost class, in units a second.
type ClassPaces = [f64; COST_CLASSES];

#[derive(Clone, Debug)]
struct CustomerBucket {
    level: f64,
    /// All units taken from the bucket.
    charged: f64,
    /// Units that it owed when this leader took over.
    debt: f64,
    refilled_at: BootTime,
    samples: VecDeque<UseSample>,
}

impl CustomerBucket {
    fn refill(&mut self, now: BootTime, allowance: &UsageAllowance) {
        let added = allowance.rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + added).min(allowance.burst.max(self.level));
        self.refilled_at = now;
    }

    /// Removes what exceeds the burst. A new leader must not do so before it has charged the use of all entries.
    fn cap(&mut self, allowance: &UsageAllowance) {
        self.level = self.level.min(allowance.burst);
    }

    fn assume_debt(&mut self, debt: f64) {
        let added = (debt - self.debt).max(0.0);
        self.debt += added;
        self.level -= added;
    }

    fn record(&mut self, sample: UseSample) {
        self.level -= sample.taken;
        self.charged += sample.taken;
        self.samples.push_back(sample);
    }

    fn expire(&mut self, now: BootTime) {
        while self
            .samples
            .front()
            .is_some_and(|first| now.since(first.at) >= LONG_WINDOW)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the offered pace over the short or the long window, whichever is higher.
    fn offered_paces(&self, now: BootTime) -> ClassPaces {
        let over = |window: Duration| {
            let mut paces = ClassPaces::default();
            for sample in self.samples.iter().filter(|sample| now.since(sample.at) < window) {
                for (pace, units) in paces.iter_mut().zip(sample.offered.0) {
                    *pace += units as f64 / window.as_secs_f64();
                }
            }
            paces
        };
        let (short, long) = (over(SHORT_WINDOW), over(LONG_WINDOW));
        if short.iter().sum::<f64>() > long.iter().sum() {
            short
        } else {
            long
        }
    }

    /// Returns the admitted pace over the short or the long window, whichever is higher.
    fn admitted_pace(&self, now: BootTime) -> f64 {
        let over = |window: Duration| {
            let recent = self.samples.iter().filter(|sample| now.since(sample.at) < window);
            recent.map(|sample| sample.taken).sum::<f64>().max(0.0) / window.as_secs_f64()
        };
        over(SHORT_WINDOW).max(over(LONG_WINDOW))
    }
}

#[derive(Clone, Debug)]
struct EntryUse {
    reported_at: BootTime,
    customers: BTreeMap<CustomerName, CustomerUse>,
}

/// Buckets of all customers with an allowance, and the use that each entry has reported. A replica that becomes leader
/// begins with a new ledger.
#[derive(Clone, Debug)]
pub struct AllowanceLedger {
    tolerance: AllowanceTolerance,
    began_at: BootTime,
    /// Time at which all buckets are assumed to have been empty, or `None` if they were full when the ledger began.
    empty_at: Option<BootTime>,
    buckets: BTreeMap<CustomerName, CustomerBucket>,
    entries: BTreeMap<EntryStart, EntryUse>,
}

impl AllowanceLedger {
    /// Creates the ledger of a replica that has become leader at `now`.
    pub const fn new(now: BootTime, tolerance: AllowanceTolerance) -> Self {
        Self {
            tolerance,
            began_at: now,
            empty_at: None,
            buckets: BTreeMap::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Charges the use that an entry has reported. `allowance_of` returns the allowance in force of a customer.
    pub fn record(
        &mut self,
        now: BootTime,
        entry: EntryStart,
        report: &UsageReport,
        allowance_of: impl Fn(&CustomerName) -> Option<UsageAllowance>,
    ) {
        let is_taken_over = !self.entries.contains_key(&entry) && now.since(self.began_at) < TAKEOVER_TIME;
        if let Some(unconfirmed_for) = report.unconfirmed_for.filter(|_| is_taken_over) {
            self.assume_empty(now, unconfirmed_for, &allowance_of);
        }
        let known = self.entries.entry(entry).or_insert_with(|| EntryUse {
            reported_at: now,
            customers: BTreeMap::new(),
        });
        known.reported_at = now;
        for row in &report.rows {
            let before = known.customers.insert(row.customer.clone(), row.total);
            let Some(allowance) = allowance_of(&row.customer) else {
                continue;
            };
            let sample = sample_of(now, row, before);
            let bucket = self
                .buckets
                .entry(row.customer.clone())
                .or_insert_with(|| first_bucket(now, self.empty_at, &allowance));
            bucket.refill(now, &allowance);
            if is_taken_over {
                bucket.assume_debt(row.debt as f64);
            }
            bucket.record(sample);
        }
    }

    /// Returns the rows that entries have to know, in the order of the customers' names.
    pub fn rows(
        &mut self,
        now: BootTime,
        allowance_of: impl Fn(&CustomerName) -> Option<UsageAllowance>,
    ) -> Vec<AllowanceRow> {
        self.entries
            .retain(|_, known| now.since(known.reported_at) < ENTRY_RETENTION);
        self.buckets.retain(|customer, _| allowance_of(customer).is_some());
        let mut rows = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            let Some(allowance) = allowance_of(customer) else {
                continue;
            };
            bucket.refill(now, &allowance);
            if now.since(self.began_at) >= TAKEOVER_TIME {
                bucket.cap(&allowance);
            }
            bucket.expire(now);
            let tolerated = self.tolerance.usable(&allowance);
            rows.extend(row_of(now, customer, bucket, &allowance, tolerated));
        }
        rows
    }

    /// Moves the time at which all buckets were empty forward to the last report that the entry knows to be confirmed.
    fn assume_empty(
        &mut self,
        now: BootTime,
        unconfirmed_for: Duration,
        allowance_of: &impl Fn(&CustomerName) -> Option<UsageAllowance>,
    ) {
        let confirmed_at = BootTime::from_boot(now.since_boot().saturating_sub(unconfirmed_for));
        let is_known = self.empty_at.is_some_and(|empty_at| empty_at >= confirmed_at);
        if is_known {
            return;
        }
        for (customer, bucket) in &mut self.buckets {
            if let Some(allowance) = allowance_of(customer) {
                let filled = filled_since(confirmed_at, now, &allowance);
                bucket.level = bucket.level.min(filled - bucket.charged - bucket.debt);
            }
        }
        self.empty_at = Some(confirmed_at);
    }
}

fn filled_since(empty_at: BootTime, now: BootTime, allowance: &UsageAllowance) -> f64 {
    allowance.rate * now.since(empty_at).min(MAX_OUTAGE).as_secs_f64()
}

fn first_bucket(now: BootTime, empty_at: Option<BootTime>, allowance: &UsageAllowance) -> CustomerBucket {
    CustomerBucket {
        level: empty_at.map_or(allowance.burst, |empty_at| filled_since(empty_at, now, allowance)),
        charged: 0.0,
        debt: 0.0,
        refilled_at: now,
        samples: VecDeque::new(),
    }
}

/// Returns what a row adds to what the entry reported before to this leader, or the unconfirmed use if it reported
/// nothing yet. Units that an entry has given back are negative.
fn sample_of(now: BootTime, row: &UsageRow, before: Option<CustomerUse>) -> UseSample {
    let unconfirmed = row.unconfirmed;
    UseSample {
        at: now,
        offered: before.map_or(unconfirmed.offered, |before| row.total.offered.since(&before.offered)),
        taken: before.map_or(unconfirmed.taken as f64, |before| {
            row.total.taken as f64 - before.taken as f64
        }),
    }
}

fn row_of(
    now: BootTime,
    customer: &CustomerName,
    bucket: &CustomerBucket,
    allowance: &UsageAllowance,
    tolerated: f64,
) -> Option<AllowanceRow> {
    let paces = bucket.offered_paces(now);
    let offered: f64 = paces.iter().sum();
    let admitted = bucket.admitted_pace(now);
    let expected = bucket.level + tolerated - admitted * REPORT_AGE.as_secs_f64();
    let payable = (allowance.rate + expected / CORRECTION_TIME.as_secs_f64()).max(0.0);
    let is_listed = offered > payable || offered > LISTED_LOAD * allowance.rate;
    is_listed.then(|| AllowanceRow {
        customer: customer.clone(),
        cost_scale: cost_scale(&paces, payable, allowance),
        level: bucket.level,
        headroom: (allowance.rate / admitted).min(MAX_HEADROOM),
    })
}

/// Returns the scale of costs under which entries admit what the bucket can pay, or infinity if that is everything.
fn cost_scale(paces: &ClassPaces, payable: f64, allowance: &UsageAllowance) -> f64 {
    let admitted_at = |scale: f64| {
        let classes = paces.iter().enumerate();
        let admitted = classes.map(|(class, pace)| pace * admission_probability(allowance.class_cost(class), scale));
        admitted.sum::<f64>()
    };
    if paces.iter().sum::<f64>() <= payable {
        return f64::INFINITY;
    }
    let (mut low, mut high) = SCALE_RANGE;
    for _step in 0..SCALE_STEPS {
        let middle = (low * high).sqrt();
        if admitted_at(middle) < payable {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
