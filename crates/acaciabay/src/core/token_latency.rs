//! Token latencies of a pool's engines, as measured by the entries, and the throttling that the leader bases on them.
//!
//! The memory of an engine limits the number of requests that it can hold, but not the number that it can serve in
//! time. With many small requests, all streams become slow before the memory is full, and then all of them miss their
//! deadlines. The leader therefore grants less of a pool while the pool's engines are slower than the targets, and more
//! again afterwards.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Target for the mean time between tokens in a pool. The service target is 30 ms at the 95th percentile.
const TARGET_TOKEN_GAP: Duration = Duration::from_millis(22);
/// Target for the mean time from sending a request to its first token. Together with the queueing time, it makes up the
/// service target of 1.2 s.
const TARGET_FIRST_TOKEN: Duration = Duration::from_millis(500);
/// Weight of a new measurement in an entry's moving averages.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Time after which an estimate without new measurements decays to half of its value.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Interval between two adjustments by the leader. It allows the effect of one adjustment to show before the next.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum fraction of a pool that is granted, however slow the pool is.
const MIN_FACTOR: f64 = 0.05;
/// Range of the factor by which one adjustment changes the granted fraction.
const STEP_RANGE: std::ops::RangeInclusive<f64> = 0.8..=1.2;

/// Maximum ratio of the granted fraction to the fraction in use while the engines are slow.
const IN_USE_HEADROOM: f64 = 1.25;

/// The measurements of one entry since its previous report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenLatencyReport {
    /// The sum of the times between tokens.
    pub gap_sum: Duration,
    /// The number of measured times between tokens.
    pub gaps: u64,
    /// The sum of the times to the first token.
    pub first_sum: Duration,
    /// The number of measured times to the first token.
    pub firsts: u64,
}

impl TokenLatencyReport {
    /// Adds the measurements of another report.
    pub fn add(&mut self, other: &Self) {
        self.gap_sum += other.gap_sum;
        self.gaps += other.gaps;
        self.first_sum += other.first_sum;
        self.firsts += other.firsts;
    }
}

/// An estimator of the token latencies of one pool in one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenLatencyEstimator {
    report: TokenLatencyReport,
    mean_gap: f64,
    mean_first: f64,
    updated_at: BootTime,
}

impl TokenLatencyEstimator {
    /// Records the time between two tokens.
    pub fn record_token_gap(&mut self, now: BootTime, gap: Duration) {
        self.updated_at = now;
        self.report.gap_sum += gap;
        self.report.gaps += 1;
        self.mean_gap += (gap.as_secs_f64() - self.mean_gap) * SMOOTHING_FACTOR;
    }

    /// Records the time from sending a request to its first token.
    pub fn record_first_token(&mut self, now: BootTime, first: Duration) {
        self.updated_at = now;
        self.report.first_sum += first;
        self.report.firsts += 1;
        self.mean_first += (first.as_secs_f64() - self.mean_first) * SMOOTHING_FACTOR;
    }

    /// Returns the measurements since the previous call.
    pub fn take_report(&mut self) -> TokenLatencyReport {
        std::mem::take(&mut self.report)
    }

    /// Estimates the time from sending a request to the end of an answer of `output_tokens` tokens.
    ///
    /// The estimate decays while there are no new measurements. Requests are refused because of it, so a high estimate
    /// that did not decay would cause the refusal of every request whose answer could lower it.
    pub fn expected_service_time(&self, now: BootTime, output_tokens: u64) -> Duration {
        let age = now.since(self.updated_at).as_secs_f64() / ESTIMATE_HALF_LIFE.as_secs_f64();
        let seconds = (self.mean_first + self.mean_gap * output_tokens as f64) * 0.5_f64.powf(age);
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }
}

/// The fraction of a pool that the leader grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolThrottle {
    factor: f64,
    pending: TokenLatencyReport,
    adjusted_at: BootTime,
}

impl PoolThrottle {
    /// Creates a throttle that grants the whole pool.
    pub fn new(now: BootTime) -> Self {
        Self {
            factor: 1.0,
            pending: TokenLatencyReport::default(),
            adjusted_at: now,
        }
    }

    /// Adds the measurements of an entry.
    pub fn observe(&mut self, report: &TokenLatencyReport) {
        self.pending.add(report);
    }

    /// Adjusts the granted fraction, given that `used` pieces of `capacity` are in use.
    ///
    /// The fraction grows even if the granted pieces are not all in use. Usage can stay well below the grant because
    /// each customer is limited to its own part, and a fraction that grew only with usage would never recover.
    pub fn adjust(&mut self, now: BootTime, used: u64, capacity: u32) {
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let pending = std::mem::take(&mut self.pending);
        let worst_ratio = latency_ratio(pending.gap_sum, pending.gaps, TARGET_TOKEN_GAP).max(latency_ratio(
            pending.first_sum,
            pending.firsts,
            TARGET_FIRST_TOKEN,
        ));
        let step = (1.0 / worst_ratio.max(f64::MIN_POSITIVE)).clamp(*STEP_RANGE.start(), *STEP_RANGE.end());
        let in_use = used as f64 / f64::from(capacity.max(1));
        // While the engines are slow, start from the usage that made them slow: the granted fraction may be far larger.
        let base = if step < 1.0 {
            self.factor.min(in_use * IN_USE_HEADROOM)
        } else {
            self.factor
        };
        self.factor = (base * step).clamp(MIN_FACTOR, 1.0);
    }

    /// Returns the number of pieces that are granted of a pool with `capacity` pieces.
    pub fn granted(&self, capacity: u32) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the result is a fraction of the capacity"
        )]
        let granted = (f64::from(capacity) * self.factor).ceil() as u32;
        granted.min(capacity)
    }
}

/// Returns the mean as a multiple of the target, or 0 without measurements.
fn latency_ratio(sum: Duration, count: u64, target: Duration) -> f64 {
    if count == 0 {
        return 0.0;
    }
    sum.as_secs_f64() / count as f64 / target.as_secs_f64()
}
