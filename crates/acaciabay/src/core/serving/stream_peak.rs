//! The recent peak of the streams that run at a service.

use std::time::Duration;

use crate::core::clock::BootTime;

/// How fast the remembered peak fades: to a third within this time. Streams come in bursts of a few seconds, and a
/// change of stage takes as long.
const PEAK_MEMORY: Duration = Duration::from_secs(10);

/// What running streams take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamDemand {
    /// Streams that run at once.
    pub streams: f64,
    /// Tokens of memory that they hold.
    pub held_tokens: f64,
}

/// A demand that is followed upwards at once and downwards slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPeak {
    demand: StreamDemand,
    seen_at: BootTime,
}

impl StreamPeak {
    /// Takes what runs at present.
    pub fn see(&mut self, now: BootTime, present: StreamDemand) {
        let faded = (-now.since(self.seen_at).as_secs_f64() / PEAK_MEMORY.as_secs_f64()).exp();
        self.demand = StreamDemand {
            streams: present.streams.max(self.demand.streams * faded),
            held_tokens: present.held_tokens.max(self.demand.held_tokens * faded),
        };
        self.seen_at = now;
    }

    /// Returns the peak.
    pub const fn demand(&self) -> StreamDemand {
        self.demand
    }
}
