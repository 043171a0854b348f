//! Per-service estimate of the time to first answer, used to tell a dead engine from a busy one.
//!
//! An engine that dies without closing its connections leaves them open. If entries waited for it until the caller's
//! deadline, every call sent to it would be lost.

use std::time::Duration;

use crate::util::number::bounded_time;

/// The estimate follows the slowest one in this many answers, that is, the 95th percentile.
const ANSWERS_PER_SLOW_ONE: f64 = 20.0;
/// Relative step by which an answer above the estimate raises it. An answer below lowers it by a step
/// `ANSWERS_PER_SLOW_ONE` times smaller, so that the estimate settles at the percentile.
const RISE_STEP: f64 = 0.2;
/// Multiple of the estimate that an engine may take to answer before it is suspected.
const SUSPICION_FACTOR: f64 = 3.0;
/// Lower bound of the suspicion timeout. Lost packets are retransmitted within this time.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(400);

/// Running estimate of the 95th percentile of one service's time to first answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerLatency {
    p95_ms: Option<f64>,
}

impl AnswerLatency {
    /// Records the time that an engine took to begin its answer.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        let p95 = self.p95_ms.get_or_insert(took);
        if took > *p95 {
            *p95 *= 1.0 + RISE_STEP;
        } else {
            *p95 /= 1.0 + RISE_STEP / ANSWERS_PER_SLOW_ONE;
        }
    }

    /// Returns the time without an answer after which an engine is suspected, or `None` before the first measurement.
    pub fn suspicion_timeout(&self) -> Option<Duration> {
        let p95 = bounded_time(self.p95_ms? / 1_000.0);
        Some(p95.mul_f64(SUSPICION_FACTOR).max(MIN_SUSPICION_TIMEOUT))
    }
}
