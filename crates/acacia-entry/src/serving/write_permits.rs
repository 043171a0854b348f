//! Permits of one attempt, confirmed once more when its connection is open: what bounds the requests that arrive in a time
//! must not count one that was counted long before it is written.

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::endpoint_limit::LimitVersion;
use parking_lot::Mutex;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;
use super::retry_permits::RetryPermit;

/// Time after which a request that waited for its connection needs another permit of the endpoint's limit: many times what a
/// connection takes to open.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// The permits of one attempt.
#[derive(Debug)]
pub(super) struct WritePermits<'call> {
    call: &'call AcceptedCall,
    chosen: &'call ChosenEndpoint,
    retry: Option<&'call RetryPermit>,
    limit: Mutex<LimitPermit>,
    /// Why nothing was written, if what the endpoint wants stands against it.
    withheld: Mutex<Option<WithheldReason>>,
}

/// Why a request is not sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WithheldReason {
    /// The endpoint has a limit, and the entry no permit for it.
    LimitReached,
    /// The endpoint has asked for rest, or leaves.
    AtRest,
}

/// What allowed the attempt under the limit of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitPermit {
    /// Time at which it was acquired.
    pub(super) at: BootTime,
    /// Version of the limit that the entry knew then.
    pub(super) version: LimitVersion,
    /// False if the endpoint had no limit.
    pub(super) is_limited: bool,
}

impl<'call> WritePermits<'call> {
    /// Creates the permits of an attempt that `limit` allows under the limit of its endpoint.
    pub(super) const fn new(
        call: &'call AcceptedCall,
        chosen: &'call ChosenEndpoint,
        retry: Option<&'call RetryPermit>,
        limit: LimitPermit,
    ) -> Self {
        Self {
            call,
            chosen,
            retry,
            limit: Mutex::new(limit),
            withheld: Mutex::new(None),
        }
    }

    /// Returns true if the attempt may be written at `now`.
    pub(super) fn confirm(&self, now: BootTime) -> bool {
        // A retry that is confirmed counts as sent.
        if !self.call.shared.may_write(now, self.chosen) {
            *self.withheld.lock() = Some(WithheldReason::AtRest);
            return false;
        }
        if !self.retry.is_none_or(|retry| retry.confirm(now)) {
            return false;
        }
        let confirmed = self.confirm_limit(now);
        *self.withheld.lock() = confirmed.err();
        confirmed.is_ok()
    }

    /// Returns why nothing was written, if what the endpoint wants stood against it and not the limit on retries.
    pub(super) fn withheld(&self) -> Option<WithheldReason> {
        *self.withheld.lock()
    }

    /// Returns the version of the limit that was known when the attempt was written.
    pub(super) fn known_limit(&self) -> LimitVersion {
        self.limit.lock().version
    }

    /// Records that nothing was written.
    pub(super) fn mark_unsent(&self) {
        if let Some(retry) = self.retry {
            retry.mark_unsent();
        }
    }

    fn confirm_limit(&self, now: BootTime) -> Result<(), WithheldReason> {
        let mut limit = self.limit.lock();
        let is_fresh = now.since(limit.at) < PERMIT_TIMEOUT;
        if !is_fresh || (!limit.is_limited && self.call.shared.is_limited(self.chosen)) {
            *limit = self.call.shared.acquire_permit(now, self.chosen)?;
        }
        Ok(())
    }
}
