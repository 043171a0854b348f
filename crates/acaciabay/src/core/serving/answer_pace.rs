//! How long the engines of a service take until they begin to answer, so that one that is silent is told from one that is
//! busy.
//!
//! An engine that dies without a word leaves its connections open. Waited for as long as callers wait, it would take one
//! call after another with it.

use std::time::Duration;

/// Among how many answers the one is found that is slower than the others.
const SLOWEST_OF: f64 = 20.0;
/// By which part a slower answer raises the slow end; a faster one lowers it by so much less that it stays there.
const RISE: f64 = 0.2;
/// How many times the slow end an engine may take before it is doubted.
const DOUBT_FACTOR: f64 = 3.0;
/// How long an engine may be silent in any case: lost packets are sent again within this time.
const LEAST_DOUBT: Duration = Duration::from_millis(400);

/// The time to the first answer of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerPace {
    slow_ms: Option<f64>,
}

impl AnswerPace {
    /// Takes how long an engine took to begin to answer.
    pub fn note(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        let slow = self.slow_ms.get_or_insert(took);
        if took > *slow {
            *slow *= 1.0 + RISE;
        } else {
            *slow /= 1.0 + RISE / SLOWEST_OF;
        }
    }

    /// Returns after which silence an engine is doubted; nothing while no answer was measured.
    pub fn doubt_after(&self) -> Option<Duration> {
        let slow = Duration::from_secs_f64(self.slow_ms? / 1_000.0);
        Some(slow.mul_f64(DOUBT_FACTOR).max(LEAST_DOUBT))
    }
}
