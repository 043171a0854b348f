//! Faults that a test switches on.

use serde::{Deserialize, Serialize};

/// What the stand-in does wrong from now on. Each count says how many more requests it applies to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Break the connection of a stream after `after_tokens`.
    pub cut_streams: u32,
    /// End a stream in order in the middle of a chunk after `after_tokens`, with neither a length nor HTTP chunks.
    pub end_streams: u32,
    /// Stop sending on a stream after `after_tokens`, but keep its connection open.
    pub silence_streams: u32,
    /// Put another request's id into the chunks of a stream.
    pub cross_streams: u32,
    /// Leave out one chunk of a stream after `after_tokens`.
    pub skip_chunks: u32,
    /// The place in a stream at which the faults above strike.
    pub after_tokens: u64,
    /// Run a request and break the connection before answering.
    pub lose_answers: u32,
    /// Run a request and end its answer in order in the middle, with neither a length nor HTTP chunks.
    pub cut_answers: u32,
    /// Run a request and answer only after this time.
    pub delay_answers_ms: u64,
    /// Refuse a request as not run.
    pub refuse: u32,
    /// Text of `Retry-After` in these refusals; empty for none.
    pub retry_after: String,
    /// Say in all answers to requests that it leaves, and go on reporting that it serves.
    pub leave_quietly: bool,
    /// Carry an order out, but break the connection before answering.
    pub lose_order_answers: u32,
    /// Stop reporting.
    pub stop_reports: bool,
    /// End the process while a request runs whose body contains this text; empty for none.
    pub end_under: String,
}

impl FaultPlan {
    /// Uses up one of the counted faults and tells whether it strikes.
    pub(crate) const fn strike(count: &mut u32) -> bool {
        if *count == 0 {
            return false;
        }
        *count -= 1;
        true
    }
}
