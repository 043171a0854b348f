//! Admission of calls at one entry under the allowances of their customers.
//!
//! A customer without a row from the leader is far below its allowance, and its calls are admitted without further
//! checks. An entry that hears no leader goes on at the pace at which it admitted before, and refuses what lies beyond.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::allowance::{AllowanceRow, CustomerUse, UsageAllowance, UsageReport, UsageRow, admission_probability};
use crate::core::clock::BootTime;
use crate::core::name::CustomerName;
use crate::util::number::round_up;

/// Time since the last confirmed report after which the entry relies on its own pace.
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the first report to a new leader until the use of all entries is charged.
const TAKEOVER_TIME: Duration = Duration::from_millis(350);
/// Time over which the entry measures its own pace.
const PACE_WINDOW: Duration = Duration::from_secs(4);
/// Largest multiple of its own pace that an entry admits without news.
const MAX_HEADROOM: f64 = 3.0;
/// Calls that it admits beyond it of a customer that was below its allowance, because the pace of a few calls is
/// uncertain.
const FREE_CALLS: f64 = 2.0;
/// Time without news within which the chance falls to zero that an entry admits the first call of a customer.
const RARE_CALLS_TIME: Duration = Duration::from_secs(2);
/// Number of reports that may wait for their confirmation.
const MAX_UNCONFIRMED_REPORTS: usize = 16;
/// Shortest and longest delay before a refused call is sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// The retry delays of calls that are refused together differ by up to this fraction.
const RETRY_SPREAD: f64 = 0.5;

/// Call of a customer with an allowance.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceCall<'call> {
    /// Customer of the call.
    pub customer: &'call CustomerName,
    /// Allowance of the customer.
    pub allowance: &'call UsageAllowance,
    /// Cost of the call in units of the allowance.
    pub cost: u64,
    /// Uniformly distributed number from 0 to 1 (exclusive).
    pub draw: f64,
}

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AllowanceDecision {
    /// The call may run. Its cost has been taken.
    Admitted,
    /// The allowance is used up.
    Exhausted(AllowanceRefusal),
    /// The call costs more than the allowance can ever pay.
    TooLarge,
}

/// Inputs of the refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRefusal {
    /// Time after which the bucket should have room for the call.
    pub retry_after: Duration,
    /// Units in the bucket, as the leader last reported.
    pub level: f64,
    /// Probability with which the leader lets entries admit such a call.
    pub probability: f64,
    /// Time since the last confirmed report, or `None` if there was none.
    pub news_age: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct CustomerGate {
    total: CustomerUse,
    confirmed: CustomerUse,
    /// Costs of calls admitted within [`PACE_WINDOW`].
    admitted: VecDeque<(BootTime, u64)>,
    /// Units admitted since the news timed out.
    taken_alone: u64,
}

impl CustomerGate {
    /// Returns the pace at which the entry admitted calls before `end`, in units a second.
    fn pace_before(&self, end: BootTime) -> f64 {
        let earlier = self.admitted.iter().filter(|(at, _)| *at <= end);
        let recent = earlier.filter(|(at, _)| end.since(*at) < PACE_WINDOW);
        recent.map(|(_, cost)| *cost as f64).sum::<f64>() / PACE_WINDOW.as_secs_f64()
    }

    /// Returns true if a call is admitted without news since `last_news`.
    fn admits_alone(
        &self,
        now: BootTime,
        last_news: BootTime,
        call: &AllowanceCall<'_>,
        row: Option<&AllowanceRow>,
    ) -> bool {
        let alone = now.since(last_news + NEWS_TIMEOUT).as_secs_f64();
        // What was admitted later may be a flood of which no leader has heard.
        let pace = self.pace_before(last_news);
        let taken = self.taken_alone as f64;
        match row {
            Some(row) if row.is_limited() => {
                let typical_cost = call.allowance.typical_cost(call.cost);
                call.draw < admission_probability(typical_cost, row.cost_scale) && taken <= row.headroom * pace * alone
            }
            Some(_) | None if pace > 0.0 => {
                let headroom = row.map_or(MAX_HEADROOM, |row| row.headroom.min(MAX_HEADROOM));
                taken <= headroom * pace * alone + FREE_CALLS * call.cost as f64
            }
            // Many entries may each see the first call of a flood.
            Some(_) | None => taken == 0.0 && call.draw * RARE_CALLS_TIME.as_secs_f64() >= alone,
        }
    }

    fn expire(&mut self, end: BootTime) {
        while self
            .admitted
            .front()
            .is_some_and(|(at, _)| end.since(*at) >= PACE_WINDOW)
        {
            self.admitted.pop_front();
        }
    }
}

/// Report that waits for its confirmation.
#[derive(Clone, Debug)]
struct SentReport {
    sent_at: BootTime,
    totals: Vec<(CustomerName, CustomerUse)>,
}

/// Use of all customers with an allowance at one entry.
#[derive(Clone, Debug, Default)]
pub struct AllowanceGate {
    customers: BTreeMap<CustomerName, CustomerGate>,
    rows: BTreeMap<CustomerName, AllowanceRow>,
    sent: VecDeque<SentReport>,
    /// Time at which the last confirmed report was sent.
    confirmed_at: Option<BootTime>,
    /// Last confirmation before the news timed out, and the time at which the next leader knows the use of all entries.
    takeover: Option<(BootTime, BootTime)>,
}

impl AllowanceGate {
    /// Admits or refuses a call.
    pub fn admit(&mut self, now: BootTime, call: &AllowanceCall<'_>) -> AllowanceDecision {
        let gate = self.customers.entry(call.customer.clone()).or_default();
        if !call.allowance.can_ever_pay(call.cost) {
            // It is not counted either: an absurd cost would leave no room for the customer's other calls.
            return AllowanceDecision::TooLarge;
        }
        gate.total.offered.add(call.cost);
        let row = self.rows.get(call.customer);
        let news_age = self.confirmed_at.map(|confirmed_at| now.since(confirmed_at));
        let typical_cost = call.allowance.typical_cost(call.cost);
        let probability = row.map_or(1.0, |row| admission_probability(typical_cost, row.cost_scale));
        let alone_since = alone_since(now, self.confirmed_at, self.takeover);
        let is_admitted = match alone_since {
            Some(last_news) => gate.admits_alone(now, last_news, call, row),
            // Without any confirmation the entry has no lease either.
            None => self.confirmed_at.is_some() && call.draw < probability,
        };
        if !is_admitted {
            let level = row.map_or(0.0, |row| row.level);
            return AllowanceDecision::Exhausted(AllowanceRefusal {
                retry_after: retry_delay(call, level),
                level,
                probability,
                news_age,
            });
        }
        gate.total.taken += call.cost;
        gate.admitted.push_back((now, call.cost));
        if alone_since.is_some() {
            gate.taken_alone += call.cost;
        } else {
            gate.taken_alone = 0;
            gate.expire(now);
        }
        AllowanceDecision::Admitted
    }

    /// Gives back the cost of an admitted call that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, cost: u64) {
        if let Some(gate) = self.customers.get_mut(customer) {
            gate.total.taken = gate.total.taken.saturating_sub(cost);
        }
    }

    /// Returns the report to send at `now`: all customers with unconfirmed use.
    pub fn report(&mut self, now: BootTime) -> UsageReport {
        let changed = self.customers.iter().filter(|(_, gate)| gate.total != gate.confirmed);
        let rows: Vec<UsageRow> = changed
            .map(|(customer, gate)| UsageRow {
                customer: customer.clone(),
                total: gate.total,
                unconfirmed: CustomerUse {
                    offered: gate.total.offered.since(&gate.confirmed.offered),
                    taken: gate.total.taken.saturating_sub(gate.confirmed.taken),
                },
                debt: self.rows.get(customer).map_or(0, |row| round_up(-row.level)),
            })
            .collect();
        if self.sent.len() == MAX_UNCONFIRMED_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport {
            sent_at: now,
            totals: rows.iter().map(|row| (row.customer.clone(), row.total)).collect(),
        });
        UsageReport {
            unconfirmed_for: self.confirmed_at.map(|confirmed_at| now.since(confirmed_at)),
            rows,
        }
    }

    /// Records that the leader has confirmed the report sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: BootTime) {
        while self.sent.front().is_some_and(|report| report.sent_at <= sent_at) {
            let Some(report) = self.sent.pop_front() else { break };
            if report.sent_at != sent_at {
                continue;
            }
            for (customer, total) in report.totals {
                if let Some(gate) = self.customers.get_mut(&customer) {
                    gate.confirmed = total;
                }
            }
        }
        if let Some(last_news) = alone_since(sent_at, self.confirmed_at, None) {
            self.takeover = Some((last_news, sent_at + TAKEOVER_TIME));
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Replaces the rows by those of the leader.
    pub fn set_rows(&mut self, rows: impl IntoIterator<Item = AllowanceRow>) {
        self.rows = rows.into_iter().map(|row| (row.customer.clone(), row)).collect();
    }
}

/// Returns the time of the last confirmation if the entry has to rely on its own pace.
fn alone_since(
    now: BootTime,
    confirmed_at: Option<BootTime>,
    takeover: Option<(BootTime, BootTime)>,
) -> Option<BootTime> {
    let timed_out = confirmed_at.filter(|confirmed_at| now.since(*confirmed_at) >= NEWS_TIMEOUT);
    let taken_over = takeover.filter(|(_, until)| now < *until);
    timed_out.or(taken_over.map(|(last_news, _)| last_news))
}

/// Returns the time until the bucket has room for a call.
fn retry_delay(call: &AllowanceCall<'_>, level: f64) -> Duration {
    let missing = (call.cost as f64 - level).max(0.0);
    let seconds = missing / call.allowance.rate.max(f64::MIN_POSITIVE) * (1.0 + RETRY_SPREAD * call.draw);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_RETRY_DELAY)
        .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
