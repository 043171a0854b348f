//! Transfer of configurations from a replica to an entry over one connection.
//!
//! The first update on a connection is a delta against the configuration that the entry holds, or the complete document
//! if the replica does not have that configuration. Each later update is a delta against the previous one.
//!
//! A connection preserves order and loses nothing while it is open, so the entry has received every configuration that
//! was sent earlier by the time it reads a later message. Neither side needs acknowledgements. The replica sends each
//! configuration only once per connection, however often the entry asks while it is in transit. The entry keeps every
//! configuration that it receives as the base of the next delta, even if it already uses a newer one from another
//! connection. A new connection starts without this state. See `docs/design/machines.md`.

use std::collections::VecDeque;

use bytes::Bytes;

use super::config::ConfigNumber;
use crate::util::byte_delta::{ByteDelta, DeltaMismatch};

/// Configuration document as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Version number, or `None` if there is no configuration yet.
    pub number: Option<ConfigNumber>,
    /// Content of the document.
    pub document: Bytes,
}

/// Content of an answer from which an entry obtains the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigUpdate {
    /// Complete document.
    Full(Bytes),
    /// Delta against the last configuration sent on this connection or, if none was sent, against the one that the
    /// entry held when it asked.
    Delta {
        /// Number of the configuration that the delta applies to, or `None` if it applies to the empty document.
        base: Option<ConfigNumber>,
        /// Difference between the two documents.
        delta: ByteDelta,
    },
}

/// Number of replaced configurations to keep. An entry that needs an update usually lacks only the last change, and
/// sometimes several.
const KEPT_CONFIGS: usize = 4;

/// The most recent configurations that this process has seen in force, newest first.
///
/// Only the leader sends configurations, but every replica records them: after an election all entries ask the new
/// leader at the same moment, and it can answer with deltas instead of complete documents. The same applies to the
/// first update on any other new connection.
#[derive(Clone, Debug, Default)]
pub struct RecentConfigs {
    rows: VecDeque<ConfigDocument>,
}

impl RecentConfigs {
    /// Records a configuration that has come into force. Ignores it unless it is newer than all recorded ones.
    pub fn record(&mut self, config: ConfigDocument) {
        let is_newer = self.rows.front().is_none_or(|newest| newest.number < config.number);
        if is_newer {
            self.rows.truncate(KEPT_CONFIGS);
            self.rows.push_front(config);
        }
    }

    /// Returns the configuration with this number.
    pub fn get(&self, number: Option<ConfigNumber>) -> Option<&ConfigDocument> {
        self.rows.iter().find(|config| config.number == number)
    }
}

/// Sending side of a connection: the last configuration that a replica has sent on it.
#[derive(Clone, Debug, Default)]
pub struct ConfigSender {
    last: Option<ConfigDocument>,
}

impl ConfigSender {
    /// Returns the update that has to be sent so that an entry gets `newest`, or `None` if the entry already has it or
    /// it is in transit.
    ///
    /// `held` is the number that the entry reported when it asked, or `None` if it held nothing. It matters only for the first update on a
    /// connection. `lookup` returns the configuration with a given number, if it is still available. `delta_between`
    /// computes the delta that turns the first configuration into the second.
    pub fn next_update(
        &mut self,
        held: Option<ConfigNumber>,
        newest: &ConfigDocument,
        lookup: impl FnOnce(Option<ConfigNumber>) -> Option<ConfigDocument>,
        delta_between: impl FnOnce(&ConfigDocument, &ConfigDocument) -> ByteDelta,
    ) -> Option<ConfigUpdate> {
        let last = self.last.replace(newest.clone());
        if last.as_ref().map_or(held, |last| last.number) == newest.number {
            return None;
        }
        Some(match last.or_else(|| lookup(held)) {
            Some(base) => ConfigUpdate::Delta {
                base: base.number,
                delta: delta_between(&base, newest),
            },
            None => ConfigUpdate::Full(newest.document.clone()),
        })
    }
}

/// Error in the sequence of updates. The connection has to be opened anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigUpdateError {
    /// The delta applies to another configuration than the last one that the connection has delivered or, if it has
    /// delivered none, than the one that the entry held when it asked.
    BaseMismatch {
        /// Number of the configuration that the delta applies to.
        base: Option<ConfigNumber>,
    },
    /// The delta has the right base number, but cannot be applied to the content of that configuration.
    DeltaMismatch,
    /// The answer contains no update, but its number differs from that of the last configuration that the connection
    /// has delivered or, if it has delivered none, of the one that the entry held when it asked.
    MissingUpdate,
}

impl std::fmt::Display for ConfigUpdateError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::BaseMismatch { base: Some(base) } => {
                write!(f, "change of configuration {}, which did not come before", base.0)
            }
            Self::BaseMismatch { base: None } => f.write_str("change of no configuration, and one is held"),
            Self::DeltaMismatch => f.write_str("change does not fit its configuration"),
            Self::MissingUpdate => f.write_str("no configuration was sent, and another is held"),
        }
    }
}

impl std::error::Error for ConfigUpdateError {}

impl From<DeltaMismatch> for ConfigUpdateError {
    fn from(_mismatch: DeltaMismatch) -> Self {
        Self::DeltaMismatch
    }
}

/// Receiving side of a connection: the last configuration that an entry has received on it.
///
/// It may be older than the configuration in use, which may have arrived over another connection.
#[derive(Clone, Debug, Default)]
pub struct ConfigReceiver {
    last: Option<ConfigDocument>,
}

impl ConfigReceiver {
    /// Processes an answer and returns the configuration `number` that it names as the newest.
    ///
    /// An answer with `content` delivers that configuration. One without confirms the last configuration of this
    /// connection or, if there is none, `held`: the configuration that the entry held when it sent the request.
    ///
    /// # Errors
    ///
    /// Returns an error if a delta has another base or cannot be applied to it, or if an answer without content has
    /// another number than the configuration that it would confirm.
    pub fn receive(
        &mut self,
        number: Option<ConfigNumber>,
        content: Option<ConfigUpdate>,
        held: &ConfigDocument,
    ) -> Result<&ConfigDocument, ConfigUpdateError> {
        let document = match (content, &self.last) {
            (Some(ConfigUpdate::Full(document)), _) => document,
            (Some(ConfigUpdate::Delta { base, delta }), last) => {
                let current = last.as_ref().unwrap_or(held);
                if current.number != base {
                    return Err(ConfigUpdateError::BaseMismatch { base });
                }
                delta.apply(&current.document)?
            }
            (None, last) => {
                let current = last.as_ref().unwrap_or(held);
                if current.number != number {
                    return Err(ConfigUpdateError::MissingUpdate);
                }
                current.document.clone()
            }
        };
        Ok(self.last.insert(ConfigDocument { number, document }))
    }
}
