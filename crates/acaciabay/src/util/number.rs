//! Whole numbers from estimates and times.

use std::time::Duration;

/// Returns the least whole number that is not below `value`; 0 for what is negative or no number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such a cast saturates, which is what an estimate beyond all bounds should do"
)]
pub fn round_up(value: f64) -> u64 {
    value.ceil() as u64
}

/// Returns the whole milliseconds of a time, as messages and logs carry them.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
