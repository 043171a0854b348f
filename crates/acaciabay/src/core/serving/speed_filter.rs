//! Estimate of one endpoint's factor of time from measurements, with its uncertainty.
//!
//! A scalar Kalman filter on the logarithm of the factor: uncertain at first, it follows the first few measurements as
//! far as the limit for each of them allows, and once certain it smooths. A moving average with one weight does either the one
//! or the other (`docs/design/endpoint-speed.md`).

use crate::core::clock::BootTime;

/// Variance of the logarithm before the first measurement: factors from 0.4 to 2.7 are usual.
const INITIAL_VARIANCE: f64 = 0.25;
/// Variance of a single measurement: prompts that meet a queue which their entry does not know of, and parts that are cached
/// or not cached against the entry's belief.
const MEASUREMENT_VARIANCE: f64 = 0.09;
/// Variance that is added each second, because endpoints change. At five measurements a second, each of them then has a
/// weight of about 0.15, so that an endpoint whose speed jumps is followed after about ten.
const DRIFT_VARIANCE_PER_SECOND: f64 = 0.012;
/// Variance of a factor that the leader has sent, from the measurements of all entries.
const SHARED_VARIANCE: f64 = 0.016;
/// Largest change by one measurement: a tenth. A single wrong one cannot drive traffic away.
const MAX_STEP: f64 = 0.095;
/// Largest logarithm: the largest factor times the largest stated pace, which a lying endpoint may make necessary.
const MAX_LOG: f64 = 6.2;
/// Largest number of prefills that one report counts for.
const MAX_PREFILLS: u32 = 64;

/// An estimate of the logarithm of a factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedFilter {
    mean: f64,
    variance: f64,
    at: BootTime,
}

impl Default for SpeedFilter {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: INITIAL_VARIANCE,
            at: BootTime::default(),
        }
    }
}

impl SpeedFilter {
    /// Returns the filter that begins with a factor which other entries have measured.
    pub const fn shared(now: BootTime, mean: f64) -> Self {
        Self {
            mean: mean.clamp(-MAX_LOG, MAX_LOG),
            variance: SHARED_VARIANCE,
            at: now,
        }
    }

    /// Returns the logarithm of the factor.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Applies the mean of so many measurements, each of which moves the factor by a tenth at most. What is not finite is
    /// ignored.
    pub fn record(&mut self, now: BootTime, measured: f64, prefills: u32) {
        if !measured.is_finite() || prefills == 0 {
            return;
        }
        let count = f64::from(prefills.min(MAX_PREFILLS));
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.variance = (self.variance + DRIFT_VARIANCE_PER_SECOND * elapsed).min(INITIAL_VARIANCE);
        let gain = self.variance / (self.variance + MEASUREMENT_VARIANCE / count);
        let innovation = measured - self.mean;
        let limit = MAX_STEP * count;
        let step = (gain * innovation).clamp(-limit, limit);
        // A measurement that counts only in part makes the estimate only in part more certain. Otherwise the filter would
        // be certain of a wrong factor after a few limited steps.
        let weight = if innovation.abs() > f64::EPSILON {
            step / innovation
        } else {
            gain
        };
        self.mean = (self.mean + step).clamp(-MAX_LOG, MAX_LOG);
        self.variance *= 1.0 - weight;
    }
}
