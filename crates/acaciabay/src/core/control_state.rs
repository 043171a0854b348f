//! The state that the control group replicates, and the commands that change it.
//!
//! Every replica applies the same commands in the same order and must reach the same state. Commands therefore carry
//! every timestamp and number that they need, and [`ControlState::apply`] depends on nothing but the command and the
//! current state.

use crate::core::claim::{ClaimHolder, ClaimKey, ClaimOutcome, ClaimTable, StoredAnswer};
use crate::core::clock::WallTime;
use crate::core::endpoint::EndpointIncarnation;
use crate::core::entry_config::{ConfigChange, ConfigHistory, ConfigVersion, EntryConfig};
use crate::core::key::{KeyId, KeyRow};
use crate::core::member::{EntryIncarnation, EntryTable, JoinNonce};
use crate::core::name::{DomainName, EndpointName, HostName};
use crate::core::order::{OrderNumber, OrderRefusal, OrderTable, OrderTarget};
use crate::core::serving::serving_state::{ServingCommand, ServingOutcome, ServingState};
use crate::core::table::{NumberedTable, PoolRow, RouteRow, TableConflict, TableEdit, TableNumber, TableRow};
use crate::core::usage::{UsageReport, UsageTable};
use crate::util::digest::ContentDigest;

/// A command that changes the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCommand {
    /// Edits the routes.
    EditRoutes(TableEdit<RouteRow>),
    /// Edits the pools.
    EditPools(TableEdit<PoolRow>),
    /// Issues a key.
    IssueKey(KeyRow),
    /// Withdraws a key.
    WithdrawKey(KeyId),
    /// Grants an incarnation to an entry process.
    JoinEntry {
        /// The entry's host.
        host: HostName,
        /// The host's failure domain.
        domain: DomainName,
        /// The nonce that identifies this start of the process.
        nonce: JoinNonce,
    },
    /// Removes an entry host that was taken out of service.
    RemoveEntry(HostName),
    /// Takes a claim for a call that may run at most once.
    TakeClaim {
        /// The leader's wall-clock time when it proposed the command.
        now: WallTime,
        /// The claimed call.
        key: ClaimKey,
        /// The attempt that takes the claim.
        holder: ClaimHolder,
        /// The digest of the call.
        digest: ContentDigest,
    },
    /// Ends a claim.
    EndClaim {
        /// The claimed call.
        key: ClaimKey,
        /// The attempt that holds the claim.
        holder: ClaimHolder,
        /// The way in which the claim ends.
        end: ClaimEnd,
    },
    /// Counts a usage report.
    CountUsage(UsageReport),
    /// Seals the usage window with this number, so that its figures no longer change.
    SealWindow(u64),
    /// Records that the platform has acknowledged a usage window.
    AcknowledgeWindow(u64),
    /// Records the intent to send an order to an endpoint.
    IntendOrder {
        /// The endpoint that the order is for.
        endpoint: EndpointName,
        /// The incarnation of the endpoint that the order is for.
        incarnation: EndpointIncarnation,
        /// The target state of the endpoint.
        target: OrderTarget,
    },
    /// Records that an order is settled.
    SettleOrder {
        /// The endpoint that the order is for.
        endpoint: EndpointName,
        /// The number of the order.
        number: OrderNumber,
    },
    /// Changes the state for calls that are routed by host and path.
    Serving(ServingCommand),
}

/// The way in which a claim ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The endpoint answered.
    Answered(StoredAnswer),
    /// The call was written, but no answer arrived.
    Lost,
    /// The call was never written.
    Released,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// A table has this number now, and the configuration this version.
    Table {
        /// The table's number.
        number: TableNumber,
        /// A version of the configuration that contains the edit.
        version: ConfigVersion,
    },
    /// A table edit was refused.
    Conflict(TableConflict),
    /// A key was issued or withdrawn; `changed` is false if the command had no effect.
    Key {
        /// True if the command changed anything.
        changed: bool,
        /// The version of the configuration after the command.
        version: ConfigVersion,
    },
    /// An entry process joined and was granted this incarnation.
    Joined(EntryIncarnation),
    /// A request for a claim was processed with this outcome.
    Claim(ClaimOutcome),
    /// An order was recorded under this number, or was refused.
    Order(Result<OrderNumber, OrderRefusal>),
    /// A [`ControlCommand::Serving`] command was applied with this outcome.
    Serving(ServingOutcome),
    /// The command was applied and returns no result.
    Done,
}

/// The complete replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    /// Routes, pools and keys.
    pub config: EntryConfig,
    /// The most recent changes of `config`.
    pub history: ConfigHistory,
    /// Entry hosts and their incarnations.
    pub entries: EntryTable,
    /// Claims of calls that may run at most once.
    pub claims: ClaimTable,
    /// Usage of all customers, in open and sealed windows.
    pub usage: UsageTable,
    /// Orders to endpoints.
    pub orders: OrderTable,
    /// Configuration and duties for calls that are routed by host and path.
    pub serving: ServingState,
}

impl ControlState {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &ControlCommand) -> CommandOutcome {
        match command {
            ControlCommand::EditRoutes(edit) => self.edit_routes(edit),
            ControlCommand::EditPools(edit) => self.edit_pools(edit),
            ControlCommand::IssueKey(row) => self.issue_key(row),
            ControlCommand::WithdrawKey(id) => self.withdraw_key(id),
            ControlCommand::JoinEntry { host, domain, nonce } => self.join_entry(host, domain, *nonce),
            ControlCommand::RemoveEntry(host) => self.remove_entry(host),
            ControlCommand::TakeClaim {
                now,
                key,
                holder,
                digest,
            } => CommandOutcome::Claim(self.claims.take(*now, key, *holder, *digest)),
            ControlCommand::EndClaim { key, holder, end } => self.end_claim(key, *holder, end),
            ControlCommand::CountUsage(report) => {
                self.usage.count(report);
                CommandOutcome::Done
            }
            ControlCommand::SealWindow(window) => {
                self.usage.seal(*window);
                CommandOutcome::Done
            }
            ControlCommand::AcknowledgeWindow(window) => {
                self.usage.acknowledge(*window);
                CommandOutcome::Done
            }
            ControlCommand::IntendOrder {
                endpoint,
                incarnation,
                target,
            } => CommandOutcome::Order(self.orders.intend(endpoint, *incarnation, target)),
            ControlCommand::SettleOrder { endpoint, number } => {
                self.orders.settle(endpoint, *number);
                CommandOutcome::Done
            }
            ControlCommand::Serving(command) => CommandOutcome::Serving(self.serving.apply(command)),
        }
    }

    /// Returns the committed version of the configuration.
    pub const fn version(&self) -> ConfigVersion {
        self.config.version
    }

    fn edit_routes(&mut self, edit: &TableEdit<RouteRow>) -> CommandOutcome {
        let applied = apply_edit(&mut self.config.routes, edit);
        self.finish_edit(applied, |number| {
            let TableEdit { upserts, removals, .. } = edit.clone();
            ConfigChange::Routes {
                number,
                upserts,
                removals,
            }
        })
    }

    fn edit_pools(&mut self, edit: &TableEdit<PoolRow>) -> CommandOutcome {
        let applied = apply_edit(&mut self.config.pools, edit);
        self.finish_edit(applied, |number| {
            let TableEdit { upserts, removals, .. } = edit.clone();
            ConfigChange::Pools {
                number,
                upserts,
                removals,
            }
        })
    }

    /// Records the change that an edit made. A resend makes no change, so none is recorded for it.
    fn finish_edit(
        &mut self,
        applied: Result<AppliedEdit, TableConflict>,
        change: impl FnOnce(TableNumber) -> ConfigChange,
    ) -> CommandOutcome {
        let AppliedEdit { number, is_new } = match applied {
            Ok(applied) => applied,
            Err(conflict) => return CommandOutcome::Conflict(conflict),
        };
        if is_new {
            self.record(change(number));
        }
        CommandOutcome::Table {
            number,
            version: self.version(),
        }
    }

    fn issue_key(&mut self, row: &KeyRow) -> CommandOutcome {
        let known = self.config.keys.get(&KeyId::of(&row.digest)).is_some();
        let issued = self.config.keys.issue(row);
        if issued && !known {
            self.record(ConfigChange::KeyIssued(row.clone()));
        }
        CommandOutcome::Key {
            changed: issued && !known,
            version: self.version(),
        }
    }

    fn withdraw_key(&mut self, id: &KeyId) -> CommandOutcome {
        let changed = self.config.keys.withdraw(id);
        if changed {
            self.record(ConfigChange::KeyWithdrawn(id.clone()));
        }
        CommandOutcome::Key {
            changed,
            version: self.version(),
        }
    }

    fn join_entry(&mut self, host: &HostName, domain: &DomainName, nonce: JoinNonce) -> CommandOutcome {
        let previous = self
            .entries
            .rows()
            .find(|(known, _)| *known == host)
            .map(|(_, row)| row.incarnation);
        let granted = self.entries.join(host, domain, nonce);
        if let Some(ended) = previous.filter(|incarnation| *incarnation != granted) {
            self.claims.mark_holder_unknown(ended);
        }
        CommandOutcome::Joined(granted)
    }

    fn remove_entry(&mut self, host: &HostName) -> CommandOutcome {
        let removed = self
            .entries
            .rows()
            .find(|(known, _)| *known == host)
            .map(|(_, row)| row.incarnation);
        self.entries.remove(host);
        if let Some(ended) = removed {
            self.claims.mark_holder_unknown(ended);
        }
        CommandOutcome::Done
    }

    fn end_claim(&mut self, key: &ClaimKey, holder: ClaimHolder, end: &ClaimEnd) -> CommandOutcome {
        match end {
            ClaimEnd::Answered(answer) => self.claims.finish(key, holder, answer.clone()),
            ClaimEnd::Lost => self.claims.mark_unknown(key, holder),
            ClaimEnd::Released => self.claims.release(key, holder),
        }
        CommandOutcome::Done
    }

    fn record(&mut self, change: ConfigChange) {
        self.history.push(change);
        self.config.version = self.history.version();
    }
}

/// The result of an accepted edit.
#[derive(Clone, Copy, Debug)]
struct AppliedEdit {
    number: TableNumber,
    is_new: bool,
}

fn apply_edit<R: TableRow>(table: &mut NumberedTable<R>, edit: &TableEdit<R>) -> Result<AppliedEdit, TableConflict> {
    let before = table.number();
    let number = table.apply(edit)?;
    Ok(AppliedEdit {
        number,
        is_new: number > before,
    })
}
