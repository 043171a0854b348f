//! How far one attempt to run a request at an endpoint has come.

/// The states of an attempt, in the only order in which they can be passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request has been handed to the endpoint's connection.
    Unsent,
    /// Bytes may have reached the endpoint, which may be running the request.
    Written,
    /// The endpoint has begun to answer.
    Started,
    /// The answer is whole.
    Ended,
}

/// What may be told about a request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint cannot have run the request.
    NotRun,
    /// The endpoint may have run the request.
    Unknown,
    /// The endpoint ran at least a part of the request.
    Partial,
    /// The request ran to its end.
    Complete,
}

impl AttemptState {
    /// Returns what is true of a request whose attempt stops in this state.
    ///
    /// A refusal that says "not run" rests on this alone: once a byte was written, silence proves nothing.
    pub const fn execution_status(self) -> ExecutionStatus {
        match self {
            Self::Unsent => ExecutionStatus::NotRun,
            Self::Written => ExecutionStatus::Unknown,
            Self::Started => ExecutionStatus::Partial,
            Self::Ended => ExecutionStatus::Complete,
        }
    }
}
