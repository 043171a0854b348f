//! Tracking of whether the configuration that an entry holds is known to be the newest.
//!
//! A serving lease guarantees that no key was withdrawn. It lasts longer than a change may take to come into force, so
//! that entries keep serving through an election. Calls that the configuration allows are therefore served under the
//! lease alone. A call is denied only while the configuration is known to be the newest: a caller that a stale
//! configuration denies does not retry, although its call is valid. See `docs/design/machines.md`.

use std::time::Duration;

use super::config::ConfigNumber;
use crate::core::clock::BootTime;

/// Fraction of the time within which a change has to be in force for which a confirmation is valid. The rest covers the
/// transit time of the request that led to the confirmation, and of the answer to the caller.
const CONFIRMATION_FRACTION: f64 = 0.75;

/// Announcements and confirmations of configurations that an entry has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    announced: ConfigNumber,
    announced_at: BootTime,
    confirmed_at: Option<BootTime>,
}

impl ConfigFreshness {
    /// Records that a replica has announced the number of a committed configuration. Returns true if it is higher than
    /// all announced before.
    pub fn record_announced(&mut self, now: BootTime, number: ConfigNumber) -> bool {
        let is_newer = number > self.announced;
        if is_newer {
            self.announced = number;
            self.announced_at = now;
        }
        is_newer
    }

    /// Records that a leader has confirmed the held configuration as the newest, in answer to a request sent at
    /// `asked_at`.
    pub fn record_confirmed(&mut self, asked_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Returns the highest announced number.
    pub const fn announced(&self) -> ConfigNumber {
        self.announced
    }

    /// Returns when the entry first heard of a configuration newer than the one of this number.
    pub fn behind_since(&self, held: ConfigNumber) -> Option<BootTime> {
        (self.announced > held).then_some(self.announced_at)
    }

    /// Returns the time since the configuration was last confirmed, or `None` if it never was.
    pub fn time_since_confirmed(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns true if a call may be denied by the configuration `held`, given that a change has to be in force within
    /// `in_force`.
    pub fn may_deny(&self, now: BootTime, held: ConfigNumber, in_force: Duration) -> bool {
        let time_since_confirmed = self.time_since_confirmed(now);
        let is_confirmed = time_since_confirmed.is_some_and(|ago| ago < in_force.mul_f64(CONFIRMATION_FRACTION));
        is_confirmed && self.behind_since(held).is_none()
    }
}
