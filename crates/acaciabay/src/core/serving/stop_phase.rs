//! What an entry that was asked to stop still takes.

use std::time::Duration;

use crate::core::clock::BootTime;

/// How long calls are still taken after the stop was asked for: the balancer asks once a second, believes two answers, and
/// may go on sending callers here while too few other hosts are ready. A call that is taken later has so little of the
/// time left in which the process may stop that a long answer would be cut; refused, its caller finds another host.
const ACCEPT_DURATION: Duration = Duration::from_millis(2_900);

/// When an entry was asked to stop, if it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopPhase(Option<BootTime>);

impl StopPhase {
    /// Notes that the stop is asked for; a later request changes nothing.
    pub fn request_stop(&mut self, now: BootTime) {
        self.0.get_or_insert(now);
    }

    /// Tells whether a new call is taken.
    pub fn accepts_calls(self, now: BootTime) -> bool {
        self.0
            .is_none_or(|requested_at| now.since(requested_at) < ACCEPT_DURATION)
    }
}
