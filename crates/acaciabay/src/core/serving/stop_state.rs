//! Acceptance of calls by an entry that was asked to stop.

use std::time::Duration;

use crate::core::clock::BootTime;

/// Time for which calls are still accepted after the stop request. The balancer polls once a second and acts on two
/// answers, so it still sends calls here for about two seconds, and this time is longer than that.
///
/// The balancer may go on sending calls here even later, while too few other hosts are ready. Such a call has so little
/// time left before the process has to end that a long answer would be cut off. It is refused, so that its caller
/// retries and reaches another host.
const ACCEPT_DURATION: Duration = Duration::from_millis(2_900);

/// State of an entry with regard to stopping: the time of the stop request, if there was one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopState(Option<BootTime>);

impl StopState {
    /// Records a stop request. Later requests have no effect.
    pub fn request_stop(&mut self, now: BootTime) {
        self.0.get_or_insert(now);
    }

    /// Returns true if a new call is accepted.
    pub fn accepts_calls(self, now: BootTime) -> bool {
        self.0
            .is_none_or(|requested_at| now.since(requested_at) < ACCEPT_DURATION)
    }
}
