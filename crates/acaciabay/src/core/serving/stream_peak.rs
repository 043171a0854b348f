//! Decaying peak of the streams that run at a service.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Time constant with which the peak decays: to about a third within this time. Streams come in bursts of a few
/// seconds, and an engine takes as long to change its stage.
const PEAK_DECAY: Duration = Duration::from_secs(10);

/// Resources that running streams occupy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamDemand {
    /// Number of concurrent streams.
    pub streams: f64,
    /// KV memory that they hold, in tokens.
    pub held_tokens: f64,
}

impl StreamDemand {
    /// Returns the demand once `prompts` that are being prefilled have become streams, each as large as a present one. A
    /// change of stage takes seconds, in which these streams start.
    #[must_use]
    pub fn with_starting(self, prompts: f64) -> Self {
        let held_by_stream = if self.streams > 0.0 {
            self.held_tokens / self.streams
        } else {
            0.0
        };
        Self {
            streams: self.streams + prompts,
            held_tokens: self.held_tokens + held_by_stream * prompts,
        }
    }

    /// Returns what remains of this demand, if it is a peak, after `since`.
    fn faded(self, since: Duration) -> Self {
        let fraction = (-since.as_secs_f64() / PEAK_DECAY.as_secs_f64()).exp();
        Self {
            streams: self.streams * fraction,
            held_tokens: self.held_tokens * fraction,
        }
    }
}

/// Peak of the stream demand. It follows a rise at once and a fall slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPeak {
    demand: StreamDemand,
    updated_at: BootTime,
}

impl StreamPeak {
    /// Updates the peak with the current demand.
    pub fn see(&mut self, now: BootTime, present: StreamDemand) {
        let faded = self.demand.faded(now.since(self.updated_at));
        self.demand = StreamDemand {
            streams: present.streams.max(faded.streams),
            held_tokens: present.held_tokens.max(faded.held_tokens),
        };
        self.updated_at = now;
    }

    /// Returns the peak at `now`, from one that was recorded `age` ago.
    pub fn restored(now: BootTime, age: Duration, recorded: StreamDemand) -> Self {
        Self {
            demand: recorded.faded(age),
            updated_at: now,
        }
    }

    /// Returns the peak as of the last update.
    pub const fn demand(&self) -> StreamDemand {
        self.demand
    }
}
