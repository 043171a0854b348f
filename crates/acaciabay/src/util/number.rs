//! Saturating conversions of estimates and durations to integers.

use std::time::Duration;

/// Rounds `value` up to an integer; negative values and NaN yield 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer casts saturate, which is the right result for an estimate out of range"
)]
pub fn round_up(value: f64) -> u64 {
    value.ceil() as u64
}

/// Rounds `value` to the nearest integer; NaN yields 0.
#[expect(
    clippy::cast_possible_truncation,
    reason = "float-to-integer casts saturate, which is the right result for an estimate out of range"
)]
pub fn rounded(value: f64) -> i64 {
    value.round() as i64
}

/// Longest time that a figure from outside or an estimate stands for, a century. Several of them can be added to a present
/// time, or multiplied by a factor.
pub const MAX_TIME: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Converts seconds to a time of at most [`MAX_TIME`]; negative values and NaN yield zero.
pub fn bounded_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_TIME.as_secs_f64()))
}

/// Converts a duration to whole milliseconds, the unit used in messages and logs.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
