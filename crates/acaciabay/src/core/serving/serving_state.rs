//! Part of the replicated state that serves calls by host and path: configuration, duties and usage windows.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::config::ConfigNumber;
use super::duty::{DutyTable, FenceNumber};
use super::start_counts::{CustomerCounts, GatheredCounts, GatheredRow, WindowNumber};
use crate::core::name::HostName;

/// Command that changes the state.
#[derive(Clone, Debug, PartialEq)]
pub enum ServingCommand {
    /// Puts a configuration in force if its number is higher than the current one.
    PutConfig {
        /// Number of the configuration.
        number: ConfigNumber,
        /// Document as the operator sent it, so that it can be read back unchanged.
        document: Bytes,
    },
    /// Assigns all duties to a host.
    AssumeDuties {
        /// Host that takes the duties.
        holder: HostName,
    },
    /// Stores the counts that entries report, so that they survive a restart of all processes.
    GatherStarts {
        /// Rows to merge into the stored counts.
        rows: Vec<GatheredRow>,
    },
    /// Seals the counts of a window before they are first reported to the platform.
    SealStarts {
        /// Window to seal.
        window: WindowNumber,
    },
    /// Records that the platform has accepted the report of a window.
    SettleStarts {
        /// Accepted window.
        window: WindowNumber,
    },
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingOutcome {
    /// Number of the configuration in force.
    Config(ConfigNumber),
    /// Fencing number of the new assignment.
    Fence(FenceNumber),
    /// No further result.
    Done,
}

/// State that results from the committed commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingState {
    /// Number of the configuration in force; 0 if there is none.
    pub config_number: ConfigNumber,
    /// Configuration in force, as the operator sent it.
    pub document: Bytes,
    /// Current assignment of the duties.
    pub duties: DutyTable,
    /// Counts that entries have reported for windows that are not sealed yet.
    pub gathered: GatheredCounts,
    /// Windows that are sealed but not yet accepted by the platform.
    pub sealed: BTreeMap<WindowNumber, CustomerCounts>,
    /// Highest window that was ever sealed.
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
                // The first counts are final: a second report of the same window with other counts would be billed
                // twice.
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
