//! Choice of the usage windows to seal.
//!
//! A window is sealed once, and usage that is reported later is never billed. Entries report several times a second, so
//! a window is complete shortly after its end unless an entry is cut off. The window then waits for that entry as long
//! as enough time remains to deliver it.

use std::time::Duration;

use crate::core::serving::start_counts::WindowNumber;
use crate::util::number::whole_millis;

/// Fraction of the delivery deadline after which a window is sealed if every entry has reported since the window ended.
const MIN_SEAL_FRACTION: f64 = 0.35;
/// Fraction of the delivery deadline after which a window is sealed in any case. The rest is for delivery and retries.
const MAX_SEAL_FRACTION: f64 = 0.7;
/// Largest number of windows before the latest one that may still be sealed. Older windows were due long ago, and a
/// group that starts over does not report them.
const MAX_WINDOWS_BEHIND: u64 = 12;

/// The current time and the timing of usage windows.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    /// The wall-clock time in milliseconds since the Unix epoch.
    pub wall_millis: u64,
    /// The length of a window in milliseconds.
    pub length_millis: u64,
    /// The time after the end of a window within which it must be delivered.
    pub due: Duration,
}

/// Returns the windows after `last_sealed` to seal now, in order.
///
/// `longest_silence` is the time since the last report of the entry that has been silent longest.
pub fn plan_windows(
    clock: &WindowClock,
    last_sealed: WindowNumber,
    longest_silence: Duration,
) -> impl Iterator<Item = WindowNumber> {
    let complete = clock.ended_before(clock.due.mul_f64(MIN_SEAL_FRACTION).max(longest_silence));
    let overdue = clock.ended_before(clock.due.mul_f64(MAX_SEAL_FRACTION));
    let last = complete.max(overdue);
    let first = if last_sealed.0 == 0 { last } else { last_sealed.0 + 1 };
    (first.max(last.saturating_sub(MAX_WINDOWS_BEHIND))..=last).map(WindowNumber)
}

impl WindowClock {
    /// Returns the number of the last window that ended at least `age` before the current time.
    fn ended_before(&self, age: Duration) -> u64 {
        let millis = whole_millis(age);
        let cutoff = self.wall_millis.saturating_sub(millis);
        // The window that contains the cutoff had not ended by then, but the previous one had.
        WindowNumber::at(cutoff, self.length_millis.max(1)).0.saturating_sub(1)
    }
}
