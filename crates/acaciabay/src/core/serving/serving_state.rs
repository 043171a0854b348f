//! Replicated state for calls that are routed by host and path: the configuration, the holder of the duties, the usage
//! windows, and the required capacity of services.
//!
//! The duties are the tasks that only one host may perform at a time, such as reporting usage to the platform and
//! ordering endpoints. A usage window is a period of wall-clock time for which the calls of each customer are counted
//! and billed.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::config::ConfigNumber;
use super::duty::{DutyTable, FenceNumber};
use super::service_need::RecordedNeed;
use super::start_counts::{CustomerCounts, GatheredCounts, GatheredRow, WindowNumber};
use super::suspect_table::{SuspectTable, SuspectUpdate};
use crate::core::name::{HostName, ServiceName};

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
    /// Assigns all duties to a host under a new fencing number.
    AssumeDuties {
        /// Host that takes the duties.
        holder: HostName,
    },
    /// Merges the counts of started calls that entries report, so that they survive a restart of all processes. Counts
    /// for windows that can no longer be sealed are ignored.
    GatherStarts {
        /// Rows to merge into the stored counts.
        rows: Vec<GatheredRow>,
    },
    /// Seals the counts of started calls in a window: fixes the totals that are reported to the platform, before they
    /// are first reported. Counts for earlier windows that are not sealed yet are discarded.
    SealStarts {
        /// Window to seal.
        window: WindowNumber,
    },
    /// Removes a sealed window after the platform has accepted its counts of started calls.
    SettleStarts {
        /// Accepted window.
        window: WindowNumber,
    },
    /// Changes the record of the calls under which endpoints have ended.
    UpdateSuspects(SuspectUpdate),
    /// Replaces the recorded required capacity of a service.
    RecordNeed {
        /// Service that was measured.
        service: ServiceName,
        /// Measurement.
        need: RecordedNeed,
    },
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingOutcome {
    /// Number of the configuration in force.
    Config(ConfigNumber),
    /// Fencing number of the new assignment.
    Fence(FenceNumber),
    /// The command was applied and has no result value.
    Done,
}

/// State that results from the committed commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingState {
    /// Number of the configuration in force, if there is one.
    pub config_number: Option<ConfigNumber>,
    /// Configuration in force, as the operator sent it.
    pub document: Bytes,
    /// Current assignment of the duties.
    pub duties: DutyTable,
    /// Counts that entries have reported for windows after `last_sealed`.
    pub gathered: GatheredCounts,
    /// Windows that are sealed but not yet accepted by the platform.
    pub sealed: BTreeMap<WindowNumber, CustomerCounts>,
    /// Highest window that was ever sealed; 0 also if there is none yet.
    pub last_sealed: WindowNumber,
    /// Calls under which endpoints have ended.
    pub suspects: SuspectTable,
    /// Required capacity of the services for which it was recorded.
    pub needs: BTreeMap<ServiceName, RecordedNeed>,
}

impl ServingState {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &ServingCommand) -> ServingOutcome {
        match command {
            ServingCommand::PutConfig { number, document } => {
                let held = self.config_number.filter(|held| held >= number);
                if held.is_none() {
                    self.config_number = Some(*number);
                    self.document = document.clone();
                }
                ServingOutcome::Config(held.unwrap_or(*number))
            }
            ServingCommand::AssumeDuties { holder } => ServingOutcome::Fence(self.duties.assume(holder)),
            ServingCommand::GatherStarts { rows } => {
                for row in rows.iter().filter(|row| row.window > self.last_sealed) {
                    self.gathered.merge(row);
                }
                ServingOutcome::Done
            }
            ServingCommand::SealStarts { window } => {
                // A window is sealed only once. If it were reported again with other counts, the platform would bill
                // the same calls twice.
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
            ServingCommand::UpdateSuspects(update) => {
                self.suspects.apply(update);
                ServingOutcome::Done
            }
            ServingCommand::RecordNeed { service, need } => {
                self.needs.insert(service.clone(), *need);
                ServingOutcome::Done
            }
        }
    }
}
