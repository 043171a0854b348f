//! How fast a pool's engines answer, as entries see it, and what the leader makes of it.
//!
//! An engine's memory says how many requests it can hold, not how many it can serve in time: with enough small requests
//! every stream is slow before the memory is full, and then all of them miss their deadlines together. The leader
//! therefore shrinks what it grants of a pool while its engines are slower than they should be, and lets it grow again.

use std::time::Duration;

use crate::core::clock::BootTime;

/// The mean time between tokens that a pool is held to. The target is 30 ms for 95 in 100.
const TARGET_TOKEN_GAP: Duration = Duration::from_millis(22);
/// The mean time from sending a request to its first token that a pool is held to. With the wait for a turn it makes
/// the 1.2 s of the target.
const TARGET_FIRST_TOKEN: Duration = Duration::from_millis(500);
/// How much of a new figure goes into an entry's own estimate.
const SMOOTHING_FACTOR: f64 = 0.05;
/// How long an estimate takes to fade to its half.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_millis(500);
/// How often the leader looks at the pace. What it changed before has to show first.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// The smallest part of a pool that is granted, however slow it is.
const MIN_FACTOR: f64 = 0.05;
/// The least and the most by which the granted part changes at a time.
const STEP_RANGE: std::ops::RangeInclusive<f64> = 0.8..=1.2;

/// How far above what is in use the granted part may stay when the engines are slow.
const IN_USE_HEADROOM: f64 = 1.25;

/// Figures of one entry since it last told them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenLatencyReport {
    /// The sum of times between tokens.
    pub gap_sum: Duration,
    /// How many there were.
    pub gaps: u64,
    /// The sum of times to first tokens.
    pub first_sum: Duration,
    /// How many there were.
    pub firsts: u64,
}

impl TokenLatencyReport {
    /// Adds another entry's figures.
    pub fn add(&mut self, other: &Self) {
        self.gap_sum += other.gap_sum;
        self.gaps += other.gaps;
        self.first_sum += other.first_sum;
        self.firsts += other.firsts;
    }
}

/// Measures the pace of one pool in one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenLatencyEstimator {
    report: TokenLatencyReport,
    mean_gap: f64,
    mean_first: f64,
    updated_at: BootTime,
}

impl TokenLatencyEstimator {
    /// Notes the time between two tokens.
    pub fn record_token_gap(&mut self, now: BootTime, gap: Duration) {
        self.updated_at = now;
        self.report.gap_sum += gap;
        self.report.gaps += 1;
        self.mean_gap += (gap.as_secs_f64() - self.mean_gap) * SMOOTHING_FACTOR;
    }

    /// Notes the time from sending a request to its first token.
    pub fn record_first_token(&mut self, now: BootTime, first: Duration) {
        self.updated_at = now;
        self.report.first_sum += first;
        self.report.firsts += 1;
        self.mean_first += (first.as_secs_f64() - self.mean_first) * SMOOTHING_FACTOR;
    }

    /// Returns the figures since the last call.
    pub fn take_report(&mut self) -> TokenLatencyReport {
        std::mem::take(&mut self.report)
    }

    /// Estimates how long an answer of so many tokens takes from sending to its end.
    ///
    /// The estimate fades while nothing new is learned. It decides who is refused, and a high one that stayed would
    /// refuse every request whose answer could lower it.
    pub fn expected_service_time(&self, now: BootTime, output_tokens: u64) -> Duration {
        let age = now.since(self.updated_at).as_secs_f64() / ESTIMATE_HALF_LIFE.as_secs_f64();
        let seconds = (self.mean_first + self.mean_gap * output_tokens as f64) * 0.5_f64.powf(age);
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }
}

/// The part of a pool that the leader grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolThrottle {
    factor: f64,
    pending: TokenLatencyReport,
    adjusted_at: BootTime,
}

impl PoolThrottle {
    /// Starts with the whole pool.
    pub fn new(now: BootTime) -> Self {
        Self {
            factor: 1.0,
            pending: TokenLatencyReport::default(),
            adjusted_at: now,
        }
    }

    /// Takes an entry's figures.
    pub fn observe(&mut self, report: &TokenLatencyReport) {
        self.pending.add(report);
    }

    /// Adjusts the granted part, given what of the pool is in use.
    ///
    /// It grows whether or not what is granted is used: what is in use may stay well below it because customers are held
    /// to their parts, and a part that did not grow for that reason would never grow again.
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
        // When the engines are slow, what is in use shows what is too much; the granted part may be larger by far.
        let base = if step < 1.0 {
            self.factor.min(in_use * IN_USE_HEADROOM)
        } else {
            self.factor
        };
        self.factor = (base * step).clamp(MIN_FACTOR, 1.0);
    }

    /// Returns how many pieces of a pool are granted.
    pub fn granted(&self, capacity: u32) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of the capacity"
        )]
        let granted = (f64::from(capacity) * self.factor).ceil() as u32;
        granted.min(capacity)
    }
}

/// Returns the mean as a multiple of the target, or 0 without figures.
fn latency_ratio(sum: Duration, count: u64, target: Duration) -> f64 {
    if count == 0 {
        return 0.0;
    }
    sum.as_secs_f64() / count as f64 / target.as_secs_f64()
}
