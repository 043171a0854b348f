//! Per-service estimate of the time to first answer, used to tell a dead engine from a busy one.
//!
//! An engine that dies without closing its connections leaves them open. If entries waited for it until the caller's
//! deadline, every call sent to it would be lost.

use std::time::Duration;

/// The estimate follows the slowest one in this many answers, that is, the 95th percentile.
const SLOWEST_OF: f64 = 20.0;
/// Relative step by which an answer above the estimate raises it. An answer below lowers it by a step `SLOWEST_OF`
/// times smaller, so that the estimate settles at the percentile.
const RISE: f64 = 0.2;
/// Multiple of the estimate that an engine may take to answer before it is suspected.
const DOUBT_FACTOR: f64 = 3.0;
/// Lower bound of the suspicion timeout. Lost packets are retransmitted within this time.
const LEAST_DOUBT: Duration = Duration::from_millis(400);

/// Running estimate of the 95th percentile of one service's time to first answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerPace {
    slow_ms: Option<f64>,
}

impl AnswerPace {
    /// Records the time that an engine took to begin its answer.
    pub fn note(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        let slow = self.slow_ms.get_or_insert(took);
        if took > *slow {
            *slow *= 1.0 + RISE;
        } else {
            *slow /= 1.0 + RISE / SLOWEST_OF;
        }
    }

    /// Returns the time without an answer after which an engine is suspected, or `None` before the first measurement.
    pub fn doubt_after(&self) -> Option<Duration> {
        let slow = Duration::from_secs_f64(self.slow_ms? / 1_000.0);
        Some(slow.mul_f64(DOUBT_FACTOR).max(LEAST_DOUBT))
    }
}
