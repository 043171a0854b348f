//! Required capacity of a service as replicated state, so that it outlives the leader that has measured it.

use std::time::Duration;

use super::stream_peak::StreamDemand;
use crate::core::clock::BootTime;

/// Age beyond which a record says nothing about the present load.
const MAX_RECORD_AGE: Duration = Duration::from_secs(60);
/// Shortest interval between two records of a service. Each record is a command in the replicated log.
const MIN_RECORD_INTERVAL: Duration = Duration::from_secs(2);
/// Longest interval between two records of a service while calls run, so that a record of a steady load is never old.
const MAX_RECORD_INTERVAL: Duration = Duration::from_secs(10);
/// Relative change of a value beyond which it is recorded again.
const RECORDED_CHANGE: f64 = 0.1;
/// Prefill tokens a second below which a change is not recorded: a small part of what one engine prefills. The peaks of a
/// service without calls decay forever, and would otherwise be recorded forever.
const RECORDED_TOKEN_RATE: f64 = 1_000.0;

/// The required capacity of a service as its leader has measured it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecordedNeed {
    /// Peak of the prefill load in tokens a second, which the stages follow.
    pub tokens_per_second: f64,
    /// Peak of the prefill load in tokens a second, which the number of endpoints follows. It decays more slowly.
    pub pool_tokens_per_second: f64,
    /// Prefill time per token in milliseconds.
    pub pace: f64,
    /// Peak of the running streams.
    pub streams: StreamDemand,
    /// Decode engines that the streams need.
    pub decode_engines: u32,
    /// Endpoints that the load needs, without those that are spread over failure domains on top of them.
    pub needed: u32,
    /// Wall time of the control group at the measurement, in milliseconds since 1970.
    pub measured_ms: u64,
}

impl RecordedNeed {
    /// Returns the time since the measurement, or `None` if the record must not be used: it is too old, it is from the
    /// future because a clock has jumped, or a value is not a possible measurement.
    pub fn usable_age(&self, wall_ms: u64) -> Option<Duration> {
        let age = Duration::from_millis(wall_ms.checked_sub(self.measured_ms)?);
        let is_possible = self.measures().iter().all(|value| value.is_finite() && *value >= 0.0);
        (age <= MAX_RECORD_AGE && is_possible).then_some(age)
    }

    const fn measures(&self) -> [f64; 5] {
        [
            self.tokens_per_second,
            self.pool_tokens_per_second,
            self.pace,
            self.streams.streams,
            self.streams.held_tokens,
        ]
    }

    /// Returns true if a value differs from the one in `recorded` by more than a tenth.
    fn differs_from(&self, recorded: &Self) -> bool {
        let pairs = [
            (self.tokens_per_second, recorded.tokens_per_second, RECORDED_TOKEN_RATE),
            (
                self.pool_tokens_per_second,
                recorded.pool_tokens_per_second,
                RECORDED_TOKEN_RATE,
            ),
            (self.pace, recorded.pace, 0.0),
            (f64::from(self.decode_engines), f64::from(recorded.decode_engines), 0.0),
            (f64::from(self.needed), f64::from(recorded.needed), 0.0),
        ];
        pairs
            .iter()
            .any(|(value, recorded, least)| (value - recorded).abs() > (RECORDED_CHANGE * recorded).max(*least))
    }
}

/// Decides when the duty holder records the need of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct NeedRecorder {
    last: Option<(BootTime, RecordedNeed)>,
}

impl NeedRecorder {
    /// Returns true if `need` is to be recorded now. `has_calls` means that calls are running.
    pub fn is_due(&self, now: BootTime, need: &RecordedNeed, has_calls: bool) -> bool {
        let Some((recorded_at, recorded)) = &self.last else {
            return true;
        };
        let since = now.since(*recorded_at);
        let is_changed = since >= MIN_RECORD_INTERVAL && need.differs_from(recorded);
        is_changed || (has_calls && since >= MAX_RECORD_INTERVAL)
    }

    /// Notes that `need` has been proposed as the record.
    pub const fn note_recorded(&mut self, now: BootTime, need: RecordedNeed) {
        self.last = Some((now, need));
    }
}
