//! Whole numbers from estimates.

/// Returns the least whole number that is not below `value`; 0 for what is negative or no number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such a cast saturates, which is what an estimate beyond all bounds should do"
)]
pub fn round_up(value: f64) -> u64 {
    value.ceil() as u64
}
