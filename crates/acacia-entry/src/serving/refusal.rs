//! Reasons for which the entry answers a call itself instead of an endpoint.

use std::time::Duration;

/// Reason for which a call is refused.
///
/// [`NotRun`](Self::NotRun) guarantees that no endpoint has run the call and none will. It may be used only if the call
/// reached no endpoint, or if every endpoint that received it stated that it did not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// The request head is malformed.
    BadHead(&'static str),
    /// The request head exceeds the size limit.
    HeadTooLarge,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The request body arrived late or incomplete.
    BodyLate,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or not valid.
    UnknownKey,
    /// The call has not run and will not run. The caller may retry it.
    NotRun {
        /// Reason for logs and metrics.
        reason: &'static str,
        /// Delay before the retry.
        retry_after: Duration,
    },
    /// The allowance of the customer is used up. The call has not run and will not run.
    OverAllowance {
        /// Time until the allowance should have room for the call.
        retry_after: Duration,
    },
    /// The call costs more than the allowance of the customer can ever pay. It has not run and will not run.
    LargerThanAllowance,
    /// Endpoints have ended while they ran the call, under whatever identifier it was sent. It has not run under this
    /// identifier and will not run.
    Quarantined,
    /// An endpoint may have run the call, but its answer was lost.
    AnswerLost,
    /// The deadline passed while an endpoint may have been running the call.
    TimedOut,
}

impl CallRefusal {
    /// Returns the reason as a short text for logs and metric labels.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::BadHead(reason) | Self::NotRun { reason, .. } => reason,
            Self::HeadTooLarge => "head too large",
            Self::BodyTooLarge => "body too large",
            Self::BodyLate => "body late",
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::OverAllowance { .. } => "allowance used up",
            Self::LargerThanAllowance => "call larger than the allowance",
            Self::Quarantined => "quarantined",
            Self::AnswerLost => "answer lost",
            Self::TimedOut => "timed out",
        }
    }
}

/// Retry delay of a call that this entry cannot serve now, but that another entry can, or this one soon.
pub(super) const SHORT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay of a call for which there is no endpoint. Endpoints report once a second.
pub(super) const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Reason for which a call is refused while the entry is cut off from all endpoints and no relay takes it.
pub(super) const NO_PATH: &str = "no path to the endpoints";
/// Reason for which a call is refused while no engine has memory for it.
pub(super) const NO_MEMORY: &str = "engines have no memory free";
/// Reason for which a call is refused while all endpoints that could serve it have asked for rest.
pub(super) const AT_REST: &str = "all endpoints rest";
/// Reason of the refusal of a call that would have to be sent again, which the limit of its service does not allow.
pub(super) const NO_RETRY: &str = "no second send left";

/// Reason for which a stream is not continued while no engine of the version that has begun it can.
pub(super) const NO_ENGINE_OF_VERSION: &str = "no engine of the version that began the stream";

/// Reason for which a stream is not continued if it is not known which version has begun it.
pub(super) const UNKNOWN_ORIGIN: &str = "not known which version began the stream";

/// Retry delay of a call that the leader is about to judge.
pub(super) const JUDGEMENT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay of a quarantined call. Only an operator or a change of the endpoints can help it.
pub const QUARANTINE_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Returns the refusal of a call that has not run and will not run.
pub(super) const fn not_run(reason: &'static str, retry_after: Duration) -> CallRefusal {
    CallRefusal::NotRun { reason, retry_after }
}
