//! Commands of the replicated log, to and from the bytes of a log entry.

use acaciabay::core::claim::{ClaimHolder, ClaimKey, StoredAnswer};
use acaciabay::core::clock::WallTime;
use acaciabay::core::control_state::{ClaimEnd, ControlCommand};
use acaciabay::core::endpoint::EndpointIncarnation;
use acaciabay::core::key::KeyId;
use acaciabay::core::member::{EntryIncarnation, JoinNonce};
use acaciabay::core::order::{OrderNumber, OrderTarget};
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::start_counts::WindowNumber;
use acaciabay::core::table::{PoolRow, RouteRow, TableEdit, TableNumber};
use bytes::Bytes;
use prost::Message;

use crate::error::WireError;
use crate::generated::state::{self, control_command::Command};
use crate::need_message::{need_from_wire, need_to_wire};
use crate::serving_message::{gathered_from_wire, gathered_to_wire};
use crate::suspect_message::{update_from_wire, update_to_wire};
use crate::table_row::{
    all, digest_from_wire, digest_to_wire, key_from_wire, key_to_wire, pool_from_wire, pool_to_wire, report_from_wire,
    report_to_wire, route_from_wire, route_key_from_wire, route_key_to_wire, route_to_wire,
};

/// Encodes a command for the log.
pub fn command_to_bytes(command: &ControlCommand) -> Bytes {
    state::ControlCommand {
        command: Some(command_to_wire(command)),
    }
    .encode_to_vec()
    .into()
}

/// Decodes a command from the log.
///
/// # Errors
///
/// Fails when the bytes are not a command that this release knows.
pub fn command_from_bytes(bytes: Bytes) -> Result<ControlCommand, WireError> {
    let message = state::ControlCommand::decode(bytes)?;
    command_from_wire(message.command.ok_or(WireError::missing("command"))?)
}

fn command_to_wire(command: &ControlCommand) -> Command {
    match command {
        ControlCommand::EditRoutes(edit) => Command::EditRoutes(edit_routes_to_wire(edit)),
        ControlCommand::EditPools(edit) => Command::EditPools(edit_pools_to_wire(edit)),
        ControlCommand::IssueKey(row) => Command::IssueKey(key_to_wire(row)),
        ControlCommand::WithdrawKey(id) => Command::WithdrawKey(id.as_str().to_owned()),
        ControlCommand::JoinEntry { host, domain, nonce } => Command::JoinEntry(state::JoinEntry {
            host: host.to_string(),
            domain: domain.to_string(),
            nonce: nonce.0,
        }),
        ControlCommand::RemoveEntry(host) => Command::RemoveEntry(host.to_string()),
        ControlCommand::TakeClaim {
            now,
            key,
            holder,
            digest,
        } => Command::TakeClaim(state::TakeClaim {
            now_secs: now.as_secs(),
            key: Some(claim_key_to_wire(key)),
            holder: Some(holder_to_wire(*holder)),
            digest: digest_to_wire(digest),
        }),
        ControlCommand::EndClaim { key, holder, end } => Command::EndClaim(state::EndClaim {
            key: Some(claim_key_to_wire(key)),
            holder: Some(holder_to_wire(*holder)),
            end: Some(claim_end_to_wire(end)),
        }),
        ControlCommand::CountUsage(report) => Command::CountUsage(report_to_wire(report)),
        ControlCommand::SealWindow(window) => Command::SealWindow(*window),
        ControlCommand::AcknowledgeWindow(window) => Command::AcknowledgeWindow(*window),
        ControlCommand::IntendOrder {
            endpoint,
            incarnation,
            target,
        } => Command::IntendOrder(state::IntendOrder {
            endpoint: endpoint.to_string(),
            incarnation: incarnation.0,
            target: order_target_to_wire(target).into(),
        }),
        ControlCommand::SettleOrder { endpoint, number } => Command::SettleOrder(state::SettleOrder {
            endpoint: endpoint.to_string(),
            number: number.0,
        }),
        ControlCommand::Serving(command) => serving_to_wire(command),
    }
}

fn serving_to_wire(command: &ServingCommand) -> Command {
    match command {
        ServingCommand::PutConfig { number, document } => Command::PutConfig(state::PutConfig {
            number: number.0,
            document: document.clone(),
        }),
        ServingCommand::AssumeDuties { holder } => Command::AssumeDuties(holder.to_string()),
        ServingCommand::GatherStarts { rows } => Command::GatherStarts(state::GatherStarts {
            rows: rows.iter().map(gathered_to_wire).collect(),
        }),
        ServingCommand::SealStarts { window } => Command::SealStarts(window.0),
        ServingCommand::SettleStarts { window } => Command::SettleStarts(window.0),
        ServingCommand::UpdateSuspects(update) => Command::JudgeCalls(update_to_wire(update)),
        ServingCommand::RecordNeed { service, need } => Command::RecordNeed(need_to_wire(service, need)),
    }
}

fn command_from_wire(command: Command) -> Result<ControlCommand, WireError> {
    Ok(match command {
        Command::EditRoutes(edit) => ControlCommand::EditRoutes(edit_routes_from_wire(edit)?),
        Command::EditPools(edit) => ControlCommand::EditPools(edit_pools_from_wire(edit)?),
        Command::IssueKey(row) => ControlCommand::IssueKey(key_from_wire(&row)?),
        Command::WithdrawKey(id) => ControlCommand::WithdrawKey(KeyId::new(id)),
        Command::JoinEntry(join) => ControlCommand::JoinEntry {
            host: join.host.as_str().into(),
            domain: join.domain.as_str().into(),
            nonce: JoinNonce(join.nonce),
        },
        Command::RemoveEntry(host) => ControlCommand::RemoveEntry(host.as_str().into()),
        Command::TakeClaim(take) => ControlCommand::TakeClaim {
            now: WallTime::from_secs(take.now_secs),
            key: claim_key_from_wire(take.key)?,
            holder: holder_from_wire(take.holder)?,
            digest: digest_from_wire(&take.digest)?,
        },
        Command::EndClaim(ended) => ControlCommand::EndClaim {
            key: claim_key_from_wire(ended.key)?,
            holder: holder_from_wire(ended.holder)?,
            end: claim_end_from_wire(ended.end)?,
        },
        Command::CountUsage(report) => ControlCommand::CountUsage(report_from_wire(&report)),
        Command::SealWindow(window) => ControlCommand::SealWindow(window),
        Command::AcknowledgeWindow(window) => ControlCommand::AcknowledgeWindow(window),
        Command::IntendOrder(intent) => ControlCommand::IntendOrder {
            target: order_target_from_wire(intent.target())?,
            endpoint: intent.endpoint.as_str().into(),
            incarnation: EndpointIncarnation(intent.incarnation),
        },
        Command::SettleOrder(settled) => ControlCommand::SettleOrder {
            endpoint: settled.endpoint.as_str().into(),
            number: OrderNumber(settled.number),
        },
        Command::PutConfig(put) => ControlCommand::Serving(ServingCommand::PutConfig {
            number: ConfigNumber(put.number),
            document: put.document,
        }),
        Command::AssumeDuties(holder) => ControlCommand::Serving(ServingCommand::AssumeDuties {
            holder: holder.as_str().into(),
        }),
        Command::GatherStarts(gather) => ControlCommand::Serving(ServingCommand::GatherStarts {
            rows: all(gather.rows, gathered_from_wire)?,
        }),
        Command::SealStarts(window) => ControlCommand::Serving(ServingCommand::SealStarts {
            window: WindowNumber(window),
        }),
        Command::SettleStarts(window) => ControlCommand::Serving(ServingCommand::SettleStarts {
            window: WindowNumber(window),
        }),
        Command::JudgeCalls(update) => {
            ControlCommand::Serving(ServingCommand::UpdateSuspects(update_from_wire(update)?))
        }
        Command::RecordNeed(message) => {
            let (service, need) = need_from_wire(&message);
            ControlCommand::Serving(ServingCommand::RecordNeed { service, need })
        }
    })
}

fn edit_routes_to_wire(edit: &TableEdit<RouteRow>) -> state::EditRoutes {
    state::EditRoutes {
        expected: edit.expected.0,
        digest: digest_to_wire(&edit.digest),
        upserts: edit.upserts.iter().map(route_to_wire).collect(),
        removals: edit.removals.iter().map(route_key_to_wire).collect(),
    }
}

fn edit_routes_from_wire(message: state::EditRoutes) -> Result<TableEdit<RouteRow>, WireError> {
    Ok(TableEdit {
        expected: TableNumber(message.expected),
        digest: digest_from_wire(&message.digest)?,
        upserts: all(message.upserts, route_from_wire)?,
        removals: all(message.removals, route_key_from_wire)?,
    })
}

fn edit_pools_to_wire(edit: &TableEdit<PoolRow>) -> state::EditPools {
    state::EditPools {
        expected: edit.expected.0,
        digest: digest_to_wire(&edit.digest),
        upserts: edit.upserts.iter().map(pool_to_wire).collect(),
        removals: edit.removals.iter().map(ToString::to_string).collect(),
    }
}

fn edit_pools_from_wire(message: state::EditPools) -> Result<TableEdit<PoolRow>, WireError> {
    Ok(TableEdit {
        expected: TableNumber(message.expected),
        digest: digest_from_wire(&message.digest)?,
        upserts: all(message.upserts, pool_from_wire)?,
        removals: message.removals.iter().map(|name| name.as_str().into()).collect(),
    })
}

pub(crate) fn claim_key_to_wire(key: &ClaimKey) -> state::ClaimKey {
    state::ClaimKey {
        customer: key.customer.to_string(),
        key: key.key.to_string(),
    }
}

pub(crate) fn claim_key_from_wire(message: Option<state::ClaimKey>) -> Result<ClaimKey, WireError> {
    let message = message.ok_or(WireError::missing("claim key"))?;
    Ok(ClaimKey {
        customer: message.customer.as_str().into(),
        key: message.key.as_str().into(),
    })
}

pub(crate) const fn holder_to_wire(holder: ClaimHolder) -> state::ClaimHolder {
    state::ClaimHolder {
        incarnation: holder.incarnation.0,
        attempt: holder.attempt,
    }
}

pub(crate) fn holder_from_wire(message: Option<state::ClaimHolder>) -> Result<ClaimHolder, WireError> {
    let message = message.ok_or(WireError::missing("claim holder"))?;
    Ok(ClaimHolder {
        incarnation: EntryIncarnation(message.incarnation),
        attempt: message.attempt,
    })
}

pub(crate) fn stored_answer_to_wire(answer: &StoredAnswer) -> state::StoredAnswer {
    state::StoredAnswer {
        status: answer.status.into(),
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}

pub(crate) fn stored_answer_from_wire(message: state::StoredAnswer) -> Result<StoredAnswer, WireError> {
    let status = u16::try_from(message.status).map_err(|_source| WireError::invalid("status"))?;
    Ok(StoredAnswer {
        status,
        content_type: message.content_type,
        body: message.body,
    })
}

pub(crate) fn claim_end_to_wire(end: &ClaimEnd) -> state::ClaimEnd {
    let end = match end {
        ClaimEnd::Answered(answer) => state::claim_end::End::Answered(stored_answer_to_wire(answer)),
        ClaimEnd::Lost => state::claim_end::End::Lost(state::Nothing {}),
        ClaimEnd::Released => state::claim_end::End::Released(state::Nothing {}),
    };
    state::ClaimEnd { end: Some(end) }
}

pub(crate) fn claim_end_from_wire(message: Option<state::ClaimEnd>) -> Result<ClaimEnd, WireError> {
    match message
        .and_then(|message| message.end)
        .ok_or(WireError::missing("claim end"))?
    {
        state::claim_end::End::Answered(answer) => Ok(ClaimEnd::Answered(stored_answer_from_wire(answer)?)),
        state::claim_end::End::Lost(state::Nothing {}) => Ok(ClaimEnd::Lost),
        state::claim_end::End::Released(state::Nothing {}) => Ok(ClaimEnd::Released),
    }
}

pub(crate) const fn order_target_to_wire(target: &OrderTarget) -> state::OrderTarget {
    match target {
        OrderTarget::Serve => state::OrderTarget::Serve,
        OrderTarget::Drain => state::OrderTarget::Drain,
    }
}

pub(crate) const fn order_target_from_wire(target: state::OrderTarget) -> Result<OrderTarget, WireError> {
    match target {
        state::OrderTarget::Serve => Ok(OrderTarget::Serve),
        state::OrderTarget::Drain => Ok(OrderTarget::Drain),
        state::OrderTarget::Unspecified => Err(WireError::missing("order target")),
    }
}
