//! How sure an entry is that the configuration it holds is the newest.
//!
//! A serving lease says that no key was withdrawn; it is longer than a change may take to come into force, so that entries
//! go on through an election. What a configuration allows is therefore served by the lease alone. That it does *not* allow
//! something is only said while the configuration is known to be the newest: a caller who is sent away for good by an old
//! one does not come back, and has done nothing wrong. See `docs/design/machines.md`.

use std::time::Duration;

use super::config::ConfigNumber;
use crate::core::clock::BootTime;

/// Which part of the time within which a change has to be in force a confirmation lasts. The rest covers the way of the
/// question that it answers, and of the caller's answer.
const CONFIRMATION_FRACTION: f64 = 0.75;

/// What an entry was told of the newest configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    announced: ConfigNumber,
    announced_at: BootTime,
    confirmed_at: Option<BootTime>,
}

impl ConfigFreshness {
    /// Notes that a replica has told the number of a committed configuration; tells whether that is news.
    pub fn record_announced(&mut self, now: BootTime, number: ConfigNumber) -> bool {
        let is_newer = number > self.announced;
        if is_newer {
            self.announced = number;
            self.announced_at = now;
        }
        is_newer
    }

    /// Notes that a leader has confirmed the configuration held as the newest, when it was asked at `asked_at`.
    pub fn record_confirmed(&mut self, asked_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Returns the highest number that was told.
    pub const fn announced(&self) -> ConfigNumber {
        self.announced
    }

    /// Returns when the entry first heard of a configuration newer than the one of this number.
    pub fn behind_since(&self, held: ConfigNumber) -> Option<BootTime> {
        (self.announced > held).then_some(self.announced_at)
    }

    /// Returns how long ago the configuration was last confirmed; nothing if it never was.
    pub fn time_since_confirmed(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Tells whether a call may be denied by the configuration of the number `held`, where a change has to be in force
    /// within `in_force`.
    pub fn may_deny(&self, now: BootTime, held: ConfigNumber, in_force: Duration) -> bool {
        let time_since_confirmed = self.time_since_confirmed(now);
        let is_confirmed = time_since_confirmed.is_some_and(|ago| ago < in_force.mul_f64(CONFIRMATION_FRACTION));
        is_confirmed && self.behind_since(held).is_none()
    }
}
