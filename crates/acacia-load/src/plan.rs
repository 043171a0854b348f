//! What a load consists of.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestShape {
    /// Words of the prompt.
    pub prompt_words: u64,
    /// Tokens asked for.
    pub output_tokens: u64,
    /// How long the caller waits for the whole answer, in milliseconds.
    pub deadline_ms: u64,
}

/// What one customer sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Its name, for the report.
    pub customer: String,
    /// Its key.
    pub key: String,
    /// Requests a second in the phases of the first shape, then of the second.
    pub rates: [f64; 2],
}

/// A whole load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Callers' addresses of the entries, used in turn as a balancer would.
    pub entries: Vec<SocketAddr>,
    /// The model asked for.
    pub model: String,
    /// The two kinds of request between which the mix swings.
    pub shapes: [RequestShape; 2],
    /// How long each kind is sent before the other one takes over, in milliseconds.
    pub phase_ms: u64,
    /// How long requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Requests sent before this time do not count, in milliseconds.
    pub warmup_ms: u64,
    /// How many different prompt starts each customer uses; requests with the same start can share an engine's cache.
    pub prefixes: u64,
    /// Who sends.
    pub customers: Vec<CustomerPlan>,
    /// Seed of arrivals and prompts.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns which of the two shapes is sent at a time after the start.
    pub fn phase_at(&self, elapsed: Duration) -> usize {
        let phase = elapsed.as_millis() / u128::from(self.phase_ms.max(1));
        usize::from(phase % 2 == 1)
    }
}
