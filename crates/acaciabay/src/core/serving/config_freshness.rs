//! Tracking of whether the configuration that an entry holds is known to be the newest.
//!
//! A key that is withdrawn has to stop working within a given time. A serving lease ends before that time has passed
//! since its request, so an entry with a lease may accept every key in the configuration that it holds. The lease lasts
//! longer than a change of the configuration may take to come into force, so that entries keep serving through an
//! election. An entry with a lease may therefore hold a configuration that lacks a new route or a new key.
//!
//! Calls that the held configuration allows are served. A call that it does not allow is denied only while the
//! configuration is known to be the newest. Otherwise the call may be valid, and a denied caller does not retry, so the
//! entry asks it to retry instead. See `docs/design/machines.md`.

use std::time::Duration;

use super::config::ConfigNumber;
use crate::core::clock::BootTime;

/// Validity of a confirmation, as a fraction of the time within which a change has to be in force. The rest covers the
/// transit time of the request that led to the confirmation, and of the answer to the caller.
const CONFIRMATION_FRACTION: f64 = 0.75;

/// Announcements and confirmations of configurations that an entry has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    announced: Option<ConfigNumber>,
    announced_at: BootTime,
    confirmed_at: Option<BootTime>,
}

impl ConfigFreshness {
    /// Records that a replica has announced the number of a committed configuration. Returns true if it is higher than
    /// all announced before.
    pub fn record_announced(&mut self, now: BootTime, number: ConfigNumber) -> bool {
        let is_newer = Some(number) > self.announced;
        if is_newer {
            self.announced = Some(number);
            self.announced_at = now;
        }
        is_newer
    }

    /// Records that a leader has confirmed the held configuration as the newest, in answer to a request sent at
    /// `asked_at`.
    pub fn record_confirmed(&mut self, asked_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Returns the highest announced number, if any was announced.
    pub const fn announced(&self) -> Option<ConfigNumber> {
        self.announced
    }

    /// Returns when the entry first heard of a configuration newer than the one of this number, or of any at all if it holds
    /// none.
    pub fn behind_since(&self, held: Option<ConfigNumber>) -> Option<BootTime> {
        (self.announced > held).then_some(self.announced_at)
    }

    /// Returns the time since the confirmed request was sent, or `None` if there was no confirmation. It is not counted
    /// from the answer, because a change may have been committed while the answer was in transit.
    pub fn time_since_confirmed(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns true if a call may be denied by the configuration with the number `held`, given that a change has to be
    /// in force within `change_deadline` of its commit.
    pub fn may_deny(&self, now: BootTime, held: Option<ConfigNumber>, change_deadline: Duration) -> bool {
        let time_since_confirmed = self.time_since_confirmed(now);
        let is_confirmed = time_since_confirmed.is_some_and(|ago| ago < change_deadline.mul_f64(CONFIRMATION_FRACTION));
        is_confirmed && self.behind_since(held).is_none()
    }
}
