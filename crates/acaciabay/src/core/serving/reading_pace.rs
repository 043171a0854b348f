//! How fast the engines of a service read prompts, without what waits before them.
//!
//! The need for engines is the work that comes times this pace. In a burst most prompts meet a queue that their entry has
//! not heard of yet, and the time that they wait there would be taken for work. So the pace is that of the fastest tenth
//! of the prompts before which nothing is known to wait: it falls at once and rises slowly.

use std::time::Duration;

/// Prompts with fewer tokens say more about the network than about the engine.
const LEAST_MEASURED: u64 = 1_000;

/// What an engine took to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadingTime {
    /// Tokens that it had before it.
    pub queued: u64,
    /// Tokens of the prompt that it had not read before.
    pub unread: u64,
    /// From the send to the answer.
    pub took: Duration,
}

impl ReadingTime {
    /// Returns how many milliseconds the engine took for a token; nothing where there were too few.
    pub(super) fn pace(self) -> Option<f64> {
        let tokens = self.queued + self.unread;
        (tokens >= LEAST_MEASURED).then(|| self.took.as_secs_f64() * 1_000.0 / tokens as f64)
    }
}

/// The pace of one service, in milliseconds for a token of a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingPace(Option<f64>);

impl ReadingPace {
    /// The part by which a slower reading raises it.
    const RISE: f64 = 0.005;
    /// The part by which a faster reading lowers it; ten times as much, so that about a tenth of them are faster.
    const FALL: f64 = 0.05;

    /// Takes a measurement, if nothing is known to have waited before the prompt.
    pub fn note(&mut self, reading: ReadingTime) {
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

    /// Returns the pace, if anything was measured.
    pub const fn get(self) -> Option<f64> {
        self.0
    }
}
