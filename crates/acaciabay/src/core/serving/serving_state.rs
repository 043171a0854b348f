//! The part of the replicated state that serves calls by host and path: configuration, duties, usage windows.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::config::ConfigNumber;
use super::duty::{DutyTable, FenceNumber};
use super::start_counts::{CustomerCounts, GatheredCounts, GatheredRow, WindowNumber};
use crate::core::name::HostName;

/// A change of the state.
#[derive(Clone, Debug, PartialEq)]
pub enum ServingCommand {
    /// Puts a configuration in force if its number is higher than the one held.
    PutConfig {
        /// Its number.
        number: ConfigNumber,
        /// The document as the operator sent it, to be read back unchanged.
        document: Bytes,
    },
    /// Gives all duties to a host.
    AssumeDuties {
        /// The host.
        holder: HostName,
    },
    /// Keeps what entries have counted, so that it outlives all processes.
    GatherStarts {
        /// The rows that are new.
        rows: Vec<GatheredRow>,
    },
    /// Fixes the counts of a window, before they are first reported.
    SealStarts {
        /// The window.
        window: WindowNumber,
    },
    /// Records that a window was taken by the platform.
    SettleStarts {
        /// The window.
        window: WindowNumber,
    },
}

/// What a command came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingOutcome {
    /// The number of the configuration in force.
    Config(ConfigNumber),
    /// The fence number given.
    Fence(FenceNumber),
    /// There is nothing to tell.
    Done,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingState {
    /// The number of the configuration in force; 0 while there is none.
    pub config_number: ConfigNumber,
    /// The configuration in force, as it was sent.
    pub document: Bytes,
    /// Who acts for the system.
    pub duties: DutyTable,
    /// What entries have counted in windows that are not fixed yet.
    pub gathered: GatheredCounts,
    /// Windows that are fixed and not taken yet.
    pub sealed: BTreeMap<WindowNumber, CustomerCounts>,
    /// The highest window that was ever fixed.
    pub last_sealed: WindowNumber,
}

impl ServingState {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &ServingCommand) -> ServingOutcome {
        match command {
            ServingCommand::PutConfig { number, document } => {
                if *number > self.config_number {
                    self.config_number = *number;
                    self.document = document.clone();
                }
                ServingOutcome::Config(self.config_number)
            }
            ServingCommand::AssumeDuties { holder } => ServingOutcome::Fence(self.duties.assume(holder)),
            ServingCommand::GatherStarts { rows } => {
                for row in rows.iter().filter(|row| row.window > self.last_sealed) {
                    self.gathered.merge(row);
                }
                ServingOutcome::Done
            }
            ServingCommand::SealStarts { window } => {
                // The first counts stand: a second report of the same window with others would be billed twice.
                if *window > self.last_sealed {
                    self.last_sealed = *window;
                    self.sealed.insert(*window, self.gathered.totals(*window));
                    self.gathered.remove_through(*window);
                }
                ServingOutcome::Done
            }
            ServingCommand::SettleStarts { window } => {
                self.sealed.remove(window);
                ServingOutcome::Done
            }
        }
    }
}
