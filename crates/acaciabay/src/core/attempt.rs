//! Progress of one attempt to run a request at an endpoint.

/// The state of an attempt. An attempt passes through the states in this order only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request has been written to the connection to the endpoint.
    Unsent,
    /// Bytes may have reached the endpoint, so it may be running the request.
    Written,
    /// The endpoint has started to answer.
    Started,
    /// The answer is complete.
    Ended,
}

/// The execution status that is certain for a request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint cannot have run the request.
    NotRun,
    /// The endpoint may have run the request.
    Unknown,
    /// The endpoint ran at least part of the request.
    Partial,
    /// The request ran to completion.
    Complete,
}

impl AttemptState {
    /// Returns the execution status of a request whose attempt stops in this state.
    ///
    /// A refusal may state "not run" only on this basis: once a byte has been written, the lack of an answer does not
    /// prove that the endpoint did not run the request.
    pub const fn execution_status(self) -> ExecutionStatus {
        match self {
            Self::Unsent => ExecutionStatus::NotRun,
            Self::Written => ExecutionStatus::Unknown,
            Self::Started => ExecutionStatus::Partial,
            Self::Ended => ExecutionStatus::Complete,
        }
    }
}
