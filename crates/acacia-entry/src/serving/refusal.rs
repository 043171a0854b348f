//! What a caller is told whose call is not answered by an endpoint.

use std::time::Duration;

/// Why a call is not answered.
///
/// [`NotRun`](Self::NotRun) is a promise: no endpoint has run the call, and none will. It may be made only where nothing
/// was sent that could run it, or where every endpoint that got it has said itself that it did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// The request head cannot be used.
    BadHead(&'static str),
    /// The request head is larger than callers may send.
    HeadTooLarge,
    /// The request body is larger than callers may send.
    BodyTooLarge,
    /// The request body did not arrive in time, or not whole.
    BodyLate,
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or not in force.
    UnknownKey,
    /// The call has not run and will not; the caller may come back after this time.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// An endpoint may have run the call, and its answer is lost.
    AnswerLost,
    /// The time ran out while an endpoint may have been running the call.
    TimedOut,
}

impl CallRefusal {
    /// Returns the reason as a word for logs and metrics.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::BadHead(reason) | Self::NotRun { reason, .. } => reason,
            Self::HeadTooLarge => "head too large",
            Self::BodyTooLarge => "body too large",
            Self::BodyLate => "body late",
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::AnswerLost => "answer lost",
            Self::TimedOut => "timed out",
        }
    }
}

/// When a caller may come back whom this entry cannot serve at the moment, while others can or it will soon.
pub(super) const SOON: Duration = Duration::from_millis(250);
/// When a caller may come back whose call found no endpoint: endpoints report once a second.
pub(super) const NO_ENDPOINT: Duration = Duration::from_millis(700);

/// Returns the promise that a call has not run.
pub(super) const fn not_run(reason: &'static str, retry_after: Duration) -> CallRefusal {
    CallRefusal::NotRun { reason, retry_after }
}
