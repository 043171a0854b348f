//! How many endpoints a service needs, from what has to be read.

use std::time::Duration;

use crate::core::clock::BootTime;
use crate::util::number::round_up;

/// How fast the remembered peak of what has to be read fades: to a third within this time.
const PEAK_MEMORY: Duration = Duration::from_secs(15);
/// How much of the way to a higher measurement the peak goes at once: a burst of half a second is not what endpoints
/// are ordered for.
const PEAK_STEP: f64 = 0.4;
/// How long a smaller need has to last before endpoints are given back.
const SHRINK_TIME: Duration = Duration::from_secs(10);
/// The part of their time that engines should be busy reading, at the peak that is remembered.
const READING_FILL: f64 = 0.7;

/// The reserve at the start, as one in this many: no engine has read a shared part yet, and until each is read once
/// reading takes about twice as long as later.
const START_RESERVE: u32 = 2;

/// What has to be read, as measured since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadingMeasure {
    /// Tokens of prompts that no engine had read before.
    pub unread_tokens: u64,
    /// Milliseconds that an engine takes for a token; 0 while nothing was measured.
    pub pace: f64,
}

/// The need of one service over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingNeed {
    tokens_per_second: f64,
    readers: f64,
    looked_at: Option<BootTime>,
    needed: u32,
    needed_now: u32,
    less_since: Option<BootTime>,
    is_started: bool,
    is_measured: bool,
}

impl ReadingNeed {
    /// Takes what the operators have started with for the need until something is measured. `is_final` says that all
    /// endpoints have reported; what is ordered meanwhile is not counted again after that. `has_calls` says that calls run
    /// already: another leader planned before this one, and its reserve is among the endpoints.
    pub const fn start_with(&mut self, endpoints: u32, is_final: bool, has_calls: bool) {
        if self.is_measured || self.is_started {
            return;
        }
        let reserve = if has_calls {
            0
        } else {
            endpoints.div_ceil(START_RESERVE)
        };
        self.needed = endpoints + reserve;
        self.is_started = is_final;
    }

    /// Takes a measurement. `makers` is how many engines make tokens beside those that read.
    pub fn measure(&mut self, now: BootTime, measure: ReadingMeasure, makers: u32) {
        let since = self.looked_at.replace(now).map(|looked_at| now.since(looked_at));
        let Some(since) = since.filter(|since| !since.is_zero()) else {
            return;
        };
        let rate = measure.unread_tokens as f64 / since.as_secs_f64();
        let faded = self.tokens_per_second * (-since.as_secs_f64() / PEAK_MEMORY.as_secs_f64()).exp();
        self.tokens_per_second = faded + PEAK_STEP * (rate - faded).max(0.0);
        if measure.pace <= 0.0 {
            return;
        }
        self.is_measured = true;
        self.readers = self.tokens_per_second * measure.pace / 1_000.0 / READING_FILL;
        let wanted = u32::try_from(round_up(self.readers))
            .unwrap_or(u32::MAX)
            .saturating_add(makers);
        self.needed_now = wanted;
        let is_less = wanted < self.needed;
        let less_since = if is_less {
            Some(*self.less_since.get_or_insert(now))
        } else {
            None
        };
        if less_since.is_none_or(|less_since| now.since(less_since) >= SHRINK_TIME) {
            self.needed = wanted;
            self.less_since = None;
        }
    }

    /// Returns how many endpoints the work needs.
    pub const fn needed(&self) -> u32 {
        self.needed
    }

    /// Returns how many endpoints the work of the last seconds needs; 0 until it was measured.
    pub const fn needed_now(&self) -> u32 {
        self.needed_now
    }

    /// Returns how many engines reading needs at present, without those that make tokens.
    pub const fn readers(&self) -> f64 {
        self.readers
    }

    /// Tells whether the need was measured.
    pub const fn is_measured(&self) -> bool {
        self.is_measured
    }
}
