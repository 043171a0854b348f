//! Estimate of the prefill time per token of a service's engines, without queueing time.
//!
//! The need for engines is the incoming work multiplied by this pace. In a burst, most prompts meet a queue that their
//! entry does not know of yet, and their queueing time would be counted as work. The estimate therefore follows the
//! fastest tenth of the prompts that have no known queue in front of them: it falls quickly and rises slowly.

use std::time::Duration;

/// Minimum number of tokens for a usable measurement. The time for fewer tokens depends more on the network than on the
/// engine.
const MIN_MEASURED_TOKENS: u64 = 1_000;

/// Measured time that an engine took to prefill a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillTime {
    /// Tokens that were queued at the engine before the prompt, as far as the entry knew.
    pub queued: u64,
    /// Tokens of the prompt that the engine had not cached.
    pub unread: u64,
    /// Time from sending the prompt to the answer.
    pub took: Duration,
}

impl PrefillTime {
    /// Returns the time per token in milliseconds, or `None` if there were too few tokens.
    pub(super) fn pace(self) -> Option<f64> {
        let tokens = self.queued + self.unread;
        (tokens >= MIN_MEASURED_TOKENS).then(|| self.took.as_secs_f64() * 1_000.0 / tokens as f64)
    }
}

/// The pace of one service: prefill time per token in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillPace(Option<f64>);

impl PrefillPace {
    /// Relative step by which a slower measurement raises the pace.
    const RISE: f64 = 0.005;
    /// Relative step by which a faster measurement lowers the pace. It is ten times `RISE`, so that the pace settles
    /// where about a tenth of the measurements are faster.
    const FALL: f64 = 0.05;

    /// Applies a measurement. Ignores it if the prompt had a known queue in front of it.
    pub fn record(&mut self, reading: PrefillTime) {
        let Some(measured) = reading.pace().filter(|_| reading.queued == 0) else {
            return;
        };
        let moved = self.0.map(|pace| {
            if measured > pace {
                pace * (1.0 + Self::RISE)
            } else {
                pace / (1.0 + Self::FALL)
            }
        });
        self.0 = Some(moved.unwrap_or(measured));
    }

    /// Returns the pace, or `None` before the first measurement.
    pub const fn get(self) -> Option<f64> {
        self.0
    }
}
