//! Average rate of a service's calls.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Time constant of the average.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Average rate of calls, with an exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallRate {
    rate: f64,
    recorded_at: BootTime,
}

impl CallRate {
    /// Records the calls since the last record.
    pub fn record(&mut self, now: BootTime, calls: u64) {
        let time = now.since(self.recorded_at).as_secs_f64();
        if time > 0.0 {
            let weight = 1.0 - (-time / AVERAGING_TIME.as_secs_f64()).exp();
            self.rate += weight * (calls as f64 / time - self.rate);
        }
        self.recorded_at = now;
    }

    /// Returns the calls a second.
    pub const fn per_second(&self) -> f64 {
        self.rate
    }
}
