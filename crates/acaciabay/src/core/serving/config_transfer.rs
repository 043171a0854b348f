//! How a replica hands configurations to an entry over one connection, each as a change of the one before.
//!
//! A connection keeps the order and loses nothing while it lasts, so what a replica has put on it will be held by the
//! entry before anything that follows. Neither side therefore needs the other's word for it: the replica never sends a
//! configuration twice on one connection, however often the entry asks while it is on its way, and the entry takes every
//! one that comes. A new connection begins anew. See `docs/design/machines.md`.

use std::collections::VecDeque;

use bytes::Bytes;

use super::config::ConfigNumber;
use crate::util::byte_delta::{ByteDelta, DeltaMismatch};

/// A configuration as its operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Its number; 0 while there is none.
    pub number: ConfigNumber,
    /// The document.
    pub document: Bytes,
}

/// What brings an entry to a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigUpdate {
    /// The whole document.
    Full(Bytes),
    /// What has changed since the configuration that this connection has brought before, or, if it has brought none,
    /// since the one that the entry held when it asked.
    Delta {
        /// The number of that one.
        base: ConfigNumber,
        /// What has changed.
        delta: ByteDelta,
    },
}

/// How many configurations that were replaced are kept: entries are behind by one change, a few of them by more.
const KEPT_CONFIGS: usize = 4;

/// The configurations that were in force last, as far as this process has seen them, the newest first.
///
/// With them a leader that has just been elected, or a connection that has just been made, starts with a change instead of
/// the whole document: all entries ask it at the same moment.
#[derive(Clone, Debug, Default)]
pub struct RecentConfigs {
    rows: VecDeque<ConfigDocument>,
}

impl RecentConfigs {
    /// Notes a configuration that has come into force.
    pub fn record(&mut self, config: ConfigDocument) {
        let is_newer = self.rows.front().is_none_or(|newest| newest.number < config.number);
        if is_newer {
            self.rows.truncate(KEPT_CONFIGS);
            self.rows.push_front(config);
        }
    }

    /// Returns a configuration by its number.
    pub fn get(&self, number: ConfigNumber) -> Option<&ConfigDocument> {
        self.rows.iter().find(|config| config.number == number)
    }
}

/// The last configuration that a replica has put on a connection.
#[derive(Clone, Debug, Default)]
pub struct ConfigSender {
    last: Option<ConfigDocument>,
}

impl ConfigSender {
    /// Returns what has to be sent so that an entry holds `newest`, which said that it held the number `held` when it
    /// asked; nothing if that is on its way or held already. `known` finds what was in force before.
    pub fn next_update(
        &mut self,
        held: ConfigNumber,
        newest: &ConfigDocument,
        known: impl FnOnce(ConfigNumber) -> Option<ConfigDocument>,
        delta_between: impl FnOnce(&ConfigDocument, &ConfigDocument) -> ByteDelta,
    ) -> Option<ConfigUpdate> {
        let last = self.last.replace(newest.clone());
        if last.as_ref().map_or(held, |last| last.number) == newest.number {
            return None;
        }
        Some(match last.or_else(|| known(held)) {
            Some(base) => ConfigUpdate::Delta {
                base: base.number,
                delta: delta_between(&base, newest),
            },
            None => ConfigUpdate::Full(newest.document.clone()),
        })
    }
}

/// Why a configuration cannot be taken; the connection has to begin anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigUpdateError {
    /// The change is one of a configuration that this connection has not brought.
    BaseMismatch {
        /// The number of that one.
        base: ConfigNumber,
    },
    /// The change does not fit the configuration that it is made for.
    DeltaMismatch,
    /// Nothing was sent, and nothing is held that this could mean.
    MissingUpdate,
}

impl std::fmt::Display for ConfigUpdateError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::BaseMismatch { base } => write!(f, "change of configuration {}, which did not come before", base.0),
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

/// The last configuration that a connection has brought to an entry.
///
/// It may be older than the one that the entry serves by, which may have come over another connection.
#[derive(Clone, Debug, Default)]
pub struct ConfigReceiver {
    last: Option<ConfigDocument>,
}

impl ConfigReceiver {
    /// Returns the configuration with this number, which an answer has brought or meant; `held` is what the entry held
    /// when it asked the question.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not follow from what came before it.
    pub fn receive(
        &mut self,
        number: ConfigNumber,
        content: Option<ConfigUpdate>,
        held: &ConfigDocument,
    ) -> Result<&ConfigDocument, ConfigUpdateError> {
        let document = match (content, &self.last) {
            (Some(ConfigUpdate::Full(document)), _) => document,
            (Some(ConfigUpdate::Delta { base, delta }), last) => {
                let last = last.as_ref().unwrap_or(held);
                if last.number != base {
                    return Err(ConfigUpdateError::BaseMismatch { base });
                }
                delta.apply(&last.document)?
            }
            (None, last) => {
                let last = last.as_ref().unwrap_or(held);
                if last.number != number {
                    return Err(ConfigUpdateError::MissingUpdate);
                }
                last.document.clone()
            }
        };
        Ok(self.last.insert(ConfigDocument { number, document }))
    }
}
