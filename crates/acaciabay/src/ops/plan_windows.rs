//! Which usage windows are fixed now.
//!
//! A window is fixed once, and what arrives later is never billed. Entries report several times a second, so shortly after
//! its end a window is complete, unless an entry is cut off: then the window waits for it as long as there is still time to
//! send it.

use std::time::Duration;

use crate::core::serving::start_counts::WindowNumber;
use crate::util::number::whole_millis;

/// After which part of the time until a window is due it is fixed if every entry has reported since it ended.
const EARLY_PART: f64 = 0.35;
/// After which part it is fixed in any case; the rest is for sending it, and sending it again.
const LATE_PART: f64 = 0.7;
/// Windows that are further behind were due long ago; a group that starts over does not report them.
const MOST_BEHIND: u64 = 12;

/// What the windows are judged by.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    /// The wall clock, in milliseconds since 1970.
    pub wall_millis: u64,
    /// The length of a window in milliseconds.
    pub length_millis: u64,
    /// Within which time after its end a window is due.
    pub due: Duration,
}

/// Returns the windows after `last_sealed` to fix now, in order. `longest_silence` is for how long the entry that was
/// heard least lately has not reported.
pub fn plan_windows(
    clock: &WindowClock,
    last_sealed: WindowNumber,
    longest_silence: Duration,
) -> impl Iterator<Item = WindowNumber> {
    let complete = clock.ended_before(clock.due.mul_f64(EARLY_PART).max(longest_silence));
    let overdue = clock.ended_before(clock.due.mul_f64(LATE_PART));
    let last = complete.max(overdue);
    let next = if last_sealed.0 == 0 { last } else { last_sealed.0 + 1 };
    (next.max(last.saturating_sub(MOST_BEHIND))..=last).map(WindowNumber)
}

impl WindowClock {
    /// Returns the number of the last window that had ended this long ago.
    fn ended_before(&self, ago: Duration) -> u64 {
        let millis = whole_millis(ago);
        let moment = self.wall_millis.saturating_sub(millis);
        // The window that contains that moment had not ended by then; the one before it had.
        WindowNumber::at(moment, self.length_millis.max(1)).0.saturating_sub(1)
    }
}
