//! Estimate of how many endpoints a service needs, from its prefill load.

use std::time::Duration;

use super::service_need::RecordedNeed;
use super::stream_peak::StreamDemand;
use crate::core::clock::BootTime;
use crate::util::number::round_up;

/// Time constant with which the peak of the prefill load decays: to about a third within this time.
const PEAK_DECAY: Duration = Duration::from_secs(15);
/// Time constant with which the peak decays that the number of endpoints follows. It is longer, because a mix that swings
/// back needs them again sooner than ordered ones arrive.
const POOL_PEAK_DECAY: Duration = Duration::from_secs(30);
/// Fraction of the distance to a higher measurement by which the peak rises at once. Endpoints are not ordered for a
/// burst of half a second.
const PEAK_RISE: f64 = 0.4;
/// Time for which the need must stay smaller before endpoints are given back.
const SHRINK_DELAY: Duration = Duration::from_secs(10);
/// Fraction of the need below which a measurement shows that the need was far too high. It is below what remains of a peak
/// while a load that swings by half is low, so that such a load keeps its endpoints.
const EXCESS_FRACTION: f64 = 0.5;
/// Time for which a measurement must stay below [`EXCESS_FRACTION`] before the need of an uneven service follows it.
const EXCESS_DELAY: Duration = Duration::from_secs(5);
/// Target utilization of the prefill engines at the decayed peak.
const TARGET_UTILIZATION: f64 = 0.7;

/// Divisor of the initial endpoints that gives the reserve added to them. At the start no engine has cached a shared
/// part, and until each part has been prefilled once, prefill takes about twice as long as later.
const INITIAL_RESERVE_DIVISOR: u32 = 2;

/// Prefill load since the previous measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadingMeasure {
    /// Prompt tokens that had to be prefilled because no engine had cached them.
    pub unread_tokens: u64,
    /// Prefill time per token in milliseconds, or 0 before the first measurement.
    pub pace: f64,
}

/// What the need of a service is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum NeedBasis {
    /// The endpoints that have reported so far.
    #[default]
    Reported,
    /// All endpoints at the start.
    Started,
    /// All endpoints at the start, since the measured need has not been smaller for long enough.
    Estimated,
    /// The measured need.
    Measured,
}

/// The need of one service for endpoints, tracked over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingNeed {
    tokens_per_second: f64,
    pool_tokens_per_second: f64,
    readers: f64,
    measured_at: Option<BootTime>,
    needed: u32,
    needed_now: u32,
    smaller_since: Option<BootTime>,
    basis: NeedBasis,
    is_uneven: bool,
    /// Prefill time per token in milliseconds as of the last measurement, or 0 before the first one.
    pace: f64,
    excess_since: Option<BootTime>,
}

impl ReadingNeed {
    /// Sets whether the service is uneven. The need of such a service has no reserve at the start, and follows a
    /// measurement far below it without the usual delay.
    pub const fn set_uneven(&mut self, is_uneven: bool) {
        self.is_uneven = is_uneven;
    }

    /// Continues from what an earlier duty holder has recorded, with its peaks decayed by the age of the record at the
    /// group's wall time `wall_ms`. Returns false, without an effect, if the record must not be used.
    pub fn restore(&mut self, now: BootTime, wall_ms: u64, recorded: &RecordedNeed) -> bool {
        let Some(age) = recorded.usable_age(wall_ms) else {
            return false;
        };
        self.tokens_per_second = recorded.tokens_per_second * remaining(age, PEAK_DECAY);
        self.pool_tokens_per_second = recorded.pool_tokens_per_second * remaining(age, POOL_PEAK_DECAY);
        self.pace = recorded.pace;
        self.readers = engines_for(self.tokens_per_second, self.pace);
        // Before the first own measurement, less would be needed only because nobody has measured.
        self.needed = recorded.needed;
        self.needed_now = recorded.needed;
        self.measured_at = Some(now);
        self.is_uneven = true;
        self.basis = NeedBasis::Measured;
        true
    }

    /// Returns what the next duty holder needs to know, measured at the group's wall time `wall_ms`, or `None` while the need
    /// is still the number of endpoints at the start. The next holder would take that number for a measured one.
    pub fn record(&self, wall_ms: u64, streams: StreamDemand, decode_engines: u32) -> Option<RecordedNeed> {
        (self.basis == NeedBasis::Measured).then_some(RecordedNeed {
            tokens_per_second: self.tokens_per_second,
            pool_tokens_per_second: self.pool_tokens_per_second,
            pace: self.pace,
            streams,
            decode_engines,
            needed: self.needed,
            measured_ms: wall_ms,
        })
    }

    /// Sets the need to the number of endpoints that the operators have started, plus a reserve, until the first
    /// measurement. `is_final` means that all endpoints have reported; later calls are then ignored, so that endpoints
    /// ordered in the meantime are not counted. `has_calls` means that calls are already running: an earlier leader has
    /// planned before, and the endpoints include its reserve.
    pub const fn start_with(&mut self, endpoints: u32, is_final: bool, has_calls: bool) {
        match self.basis {
            NeedBasis::Reported => {}
            NeedBasis::Started | NeedBasis::Estimated | NeedBasis::Measured => return,
        }
        let reserve = if has_calls || self.is_uneven {
            0
        } else {
            endpoints.div_ceil(INITIAL_RESERVE_DIVISOR)
        };
        self.needed = endpoints + reserve;
        if is_final {
            self.basis = NeedBasis::Started;
        }
    }

    /// Applies a measurement. `decode_engines` is the number of decode engines that are needed in addition to the
    /// prefill engines.
    pub fn measure(&mut self, now: BootTime, measure: ReadingMeasure, decode_engines: u32) {
        let since = self.measured_at.replace(now).map(|measured_at| now.since(measured_at));
        let Some(since) = since.filter(|since| !since.is_zero()) else {
            return;
        };
        let rate = measure.unread_tokens as f64 / since.as_secs_f64();
        self.tokens_per_second = next_peak(self.tokens_per_second, rate, since, PEAK_DECAY);
        self.pool_tokens_per_second = next_peak(self.pool_tokens_per_second, rate, since, POOL_PEAK_DECAY);
        if measure.pace > 0.0 {
            self.pace = measure.pace;
        } else if !self.is_uneven || self.pace <= 0.0 {
            return;
        }
        if !self.is_measured() {
            self.basis = NeedBasis::Estimated;
        }
        self.readers = engines_for(self.tokens_per_second, self.pace);
        let wanted = u32::try_from(round_up(engines_for(self.pool_tokens_per_second, self.pace)))
            .unwrap_or(u32::MAX)
            .saturating_add(decode_engines);
        self.needed_now = wanted;
        let is_smaller = wanted < self.needed;
        let smaller_since = if is_smaller {
            Some(*self.smaller_since.get_or_insert(now))
        } else {
            None
        };
        let is_settled = smaller_since.is_none_or(|smaller_since| now.since(smaller_since) >= SHRINK_DELAY);
        let has_excess = self.has_excess(now, wanted);
        if is_settled || has_excess {
            self.needed = wanted;
            self.smaller_since = None;
            self.excess_since = None;
            self.basis = NeedBasis::Measured;
        }
    }

    /// Returns true once the need of an uneven service has been far above `wanted` for some time.
    fn has_excess(&mut self, now: BootTime, wanted: u32) -> bool {
        let is_excess = self.is_uneven && f64::from(wanted) < EXCESS_FRACTION * f64::from(self.needed);
        if !is_excess {
            self.excess_since = None;
            return false;
        }
        let excess_since = *self.excess_since.get_or_insert(now);
        now.since(excess_since) >= EXCESS_DELAY
    }

    /// Returns the number of endpoints to provide. It falls only after the need has stayed smaller for some time.
    pub const fn needed(&self) -> u32 {
        self.needed
    }

    /// Returns the number of endpoints that the current peak calls for, or 0 before the first measurement. Unlike
    /// [`needed`], it falls without delay as the peak decays.
    ///
    /// [`needed`]: Self::needed
    pub const fn needed_now(&self) -> u32 {
        self.needed_now
    }

    /// Returns the number of prefill engines that the current peak calls for, as a fraction and without decode engines.
    pub const fn readers(&self) -> f64 {
        self.readers
    }

    /// Returns `true` once the need is based on a measurement.
    pub const fn is_measured(&self) -> bool {
        matches!(self.basis, NeedBasis::Estimated | NeedBasis::Measured)
    }
}

fn engines_for(tokens_per_second: f64, pace: f64) -> f64 {
    tokens_per_second * pace / 1_000.0 / TARGET_UTILIZATION
}

/// Returns the fraction of a peak that remains after `since`.
fn remaining(since: Duration, decay: Duration) -> f64 {
    (-since.as_secs_f64() / decay.as_secs_f64()).exp()
}

/// Returns the decaying peak after a measurement.
fn next_peak(peak: f64, rate: f64, since: Duration, decay: Duration) -> f64 {
    let faded = peak * remaining(since, decay);
    faded + PEAK_RISE * (rate - faded).max(0.0)
}
