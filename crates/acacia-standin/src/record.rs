//! What a stand-in has run, as tests read it.

use serde::{Deserialize, Serialize};

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It is under way, or was left by the caller.
    Started,
    /// It came to its end.
    Finished,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The id that came with the request.
    pub id: String,
    /// The path that was asked for.
    pub path: String,
    /// The body, as text.
    pub body: String,
    /// Whether an `Authorization` header arrived, which must never happen.
    pub saw_authorization: bool,
    /// The trace context that came with it.
    pub traceparent: String,
    /// Tokens generated.
    pub tokens: u64,
    /// How far it came.
    pub state: RunState,
}

/// One order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order's fencing number.
    pub number: u64,
    /// What the endpoint was told to be.
    pub target: String,
}

/// One usage window that has arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    /// Its number.
    pub window: u64,
    /// Its body, to the byte.
    pub body: String,
}

/// Everything a stand-in has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandinRecord {
    /// Runs in the order in which they began.
    pub runs: Vec<RunRecord>,
    /// Orders in the order in which they were carried out.
    pub orders: Vec<OrderRecord>,
    /// Usage windows in the order in which they arrived, repeated ones included.
    pub windows: Vec<WindowRecord>,
    /// Requests refused as not run.
    pub refused: u64,
}
