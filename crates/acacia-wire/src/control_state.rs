//! The whole replicated state, to and from the bytes of a snapshot.

use std::collections::BTreeMap;

use acaciabay::core::claim::{ClaimKey, ClaimRow, ClaimState, ClaimTable};
use acaciabay::core::clock::WallTime;
use acaciabay::core::control_state::ControlState;
use acaciabay::core::endpoint::EndpointIncarnation;
use acaciabay::core::entry_config::{ConfigChange, ConfigHistory, ConfigVersion, EntryConfig};
use acaciabay::core::key::{KeyId, KeyTable};
use acaciabay::core::member::{EntryIncarnation, EntryRow, EntryTable, JoinNonce};
use acaciabay::core::name::{CustomerName, EndpointName, HostName};
use acaciabay::core::order::{OrderNumber, OrderRow, OrderTable};
use acaciabay::core::table::{PoolTable, RouteTable, TableNumber};
use acaciabay::core::usage::{UsageFigures, UsageSnapshot, UsageTable, UsageWindow};
use bytes::Bytes;
use prost::Message;

use crate::control_command::{
    claim_key_from_wire, claim_key_to_wire, holder_from_wire, holder_to_wire, order_target_from_wire,
    order_target_to_wire, stored_answer_from_wire, stored_answer_to_wire,
};
use crate::error::WireError;
use crate::generated::state::{self, claim_row, config_change::Change};
use crate::serving_message::{serving_state_from_wire, serving_state_to_wire};
use crate::table_row::{
    accepted_from_wire, accepted_to_wire, all, digest_from_wire, digest_to_wire, key_from_wire, key_to_wire,
    pool_from_wire, pool_to_wire, route_from_wire, route_key_from_wire, route_key_to_wire, route_to_wire,
    usage_from_wire, usage_to_wire,
};

/// Encodes the state for a snapshot.
pub fn state_to_bytes(state: &ControlState) -> Bytes {
    let message = state::ControlState {
        config: Some(config_to_wire(&state.config)),
        accepted_routes: state.config.routes.accepted().map(accepted_to_wire).collect(),
        accepted_pools: state.config.pools.accepted().map(accepted_to_wire).collect(),
        last_entry_incarnation: state.entries.last().0,
        entries: state.entries.rows().map(entry_to_wire).collect(),
        claims: state.claims.rows().map(claim_to_wire).collect(),
        usage: Some(usage_table_to_wire(&state.usage)),
        last_order: state.orders.last().0,
        orders: state.orders.rows().map(order_to_wire).collect(),
        serving: Some(serving_state_to_wire(&state.serving)),
    };
    message.encode_to_vec().into()
}

/// Decodes the state from a snapshot.
///
/// The history of changes is not part of it: entries that are behind the snapshot get the whole configuration.
///
/// # Errors
///
/// Fails when the bytes are not a state that this release knows.
pub fn state_from_bytes(bytes: Bytes) -> Result<ControlState, WireError> {
    let message = state::ControlState::decode(bytes)?;
    let config = config_from_wire(message.config.ok_or(WireError::missing("config"))?)?;
    let accepted_routes = all(&message.accepted_routes, accepted_from_wire)?;
    let accepted_pools = all(&message.accepted_pools, accepted_from_wire)?;
    let routes = RouteTable::restore(config.routes.number(), config.routes.rows().cloned(), accepted_routes);
    let pools = PoolTable::restore(config.pools.number(), config.pools.rows().cloned(), accepted_pools);
    let entries = message.entries.iter().map(entry_from_wire);
    Ok(ControlState {
        history: ConfigHistory::starting_at(config.version),
        config: EntryConfig {
            version: config.version,
            routes,
            pools,
            keys: config.keys,
        },
        entries: EntryTable::restore(EntryIncarnation(message.last_entry_incarnation), entries),
        claims: ClaimTable::restore(all(message.claims, claim_from_wire)?),
        usage: usage_table_from_wire(message.usage.ok_or(WireError::missing("usage"))?),
        orders: OrderTable::restore(OrderNumber(message.last_order), all(&message.orders, order_from_wire)?),
        // A snapshot of an earlier release has none.
        serving: message
            .serving
            .map(serving_state_from_wire)
            .transpose()?
            .unwrap_or_default(),
    })
}

pub(crate) fn config_to_wire(config: &EntryConfig) -> state::EntryConfig {
    state::EntryConfig {
        version: config.version.0,
        route_number: config.routes.number().0,
        routes: config.routes.rows().map(route_to_wire).collect(),
        pool_number: config.pools.number().0,
        pools: config.pools.rows().map(pool_to_wire).collect(),
        keys: config.keys.rows().map(|(_, row)| key_to_wire(row)).collect(),
    }
}

pub(crate) fn config_from_wire(message: state::EntryConfig) -> Result<EntryConfig, WireError> {
    let mut keys = KeyTable::default();
    for row in all(&message.keys, key_from_wire)? {
        keys.issue(&row);
    }
    let routes = all(message.routes, route_from_wire)?;
    let pools = all(message.pools, pool_from_wire)?;
    Ok(EntryConfig {
        version: ConfigVersion(message.version),
        routes: RouteTable::restore(TableNumber(message.route_number), routes, []),
        pools: PoolTable::restore(TableNumber(message.pool_number), pools, []),
        keys,
    })
}

pub(crate) fn change_to_wire(change: &ConfigChange) -> state::ConfigChange {
    let change = match change {
        ConfigChange::Routes {
            number,
            upserts,
            removals,
        } => Change::Routes(state::RouteChange {
            number: number.0,
            upserts: upserts.iter().map(route_to_wire).collect(),
            removals: removals.iter().map(route_key_to_wire).collect(),
        }),
        ConfigChange::Pools {
            number,
            upserts,
            removals,
        } => Change::Pools(state::PoolChange {
            number: number.0,
            upserts: upserts.iter().map(pool_to_wire).collect(),
            removals: removals.iter().map(ToString::to_string).collect(),
        }),
        ConfigChange::KeyIssued(row) => Change::KeyIssued(key_to_wire(row)),
        ConfigChange::KeyWithdrawn(id) => Change::KeyWithdrawn(id.as_str().to_owned()),
    };
    state::ConfigChange { change: Some(change) }
}

pub(crate) fn change_from_wire(message: state::ConfigChange) -> Result<ConfigChange, WireError> {
    Ok(match message.change.ok_or(WireError::missing("change"))? {
        Change::Routes(routes) => ConfigChange::Routes {
            number: TableNumber(routes.number),
            upserts: all(routes.upserts, route_from_wire)?,
            removals: all(routes.removals, route_key_from_wire)?,
        },
        Change::Pools(pools) => ConfigChange::Pools {
            number: TableNumber(pools.number),
            upserts: all(pools.upserts, pool_from_wire)?,
            removals: pools.removals.iter().map(|name| name.as_str().into()).collect(),
        },
        Change::KeyIssued(row) => ConfigChange::KeyIssued(key_from_wire(&row)?),
        Change::KeyWithdrawn(id) => ConfigChange::KeyWithdrawn(KeyId::new(id)),
    })
}

fn entry_to_wire((host, row): (&HostName, &EntryRow)) -> state::EntryRow {
    state::EntryRow {
        host: host.to_string(),
        domain: row.domain.to_string(),
        incarnation: row.incarnation.0,
        nonce: row.nonce.0,
    }
}

fn entry_from_wire(message: &state::EntryRow) -> (HostName, EntryRow) {
    let row = EntryRow {
        domain: message.domain.as_str().into(),
        incarnation: EntryIncarnation(message.incarnation),
        nonce: JoinNonce(message.nonce),
    };
    (message.host.as_str().into(), row)
}

fn claim_to_wire((key, row): (&ClaimKey, &ClaimRow)) -> state::ClaimRow {
    let claim = match &row.state {
        ClaimState::Running => claim_row::State::Running(state::Nothing {}),
        ClaimState::Finished(answer) => claim_row::State::Finished(stored_answer_to_wire(answer)),
        ClaimState::Unknown => claim_row::State::Unknown(state::Nothing {}),
        ClaimState::Expired => claim_row::State::Expired(state::Nothing {}),
    };
    state::ClaimRow {
        key: Some(claim_key_to_wire(key)),
        holder: Some(holder_to_wire(row.holder)),
        digest: digest_to_wire(&row.digest),
        claimed_at_secs: row.claimed_at.as_secs(),
        state: Some(claim),
    }
}

fn claim_from_wire(message: state::ClaimRow) -> Result<(ClaimKey, ClaimRow), WireError> {
    let claim = match message.state.ok_or(WireError::missing("claim state"))? {
        claim_row::State::Running(state::Nothing {}) => ClaimState::Running,
        claim_row::State::Finished(answer) => ClaimState::Finished(stored_answer_from_wire(answer)?),
        claim_row::State::Unknown(state::Nothing {}) => ClaimState::Unknown,
        claim_row::State::Expired(state::Nothing {}) => ClaimState::Expired,
    };
    let row = ClaimRow {
        holder: holder_from_wire(message.holder)?,
        digest: digest_from_wire(&message.digest)?,
        state: claim,
        claimed_at: WallTime::from_secs(message.claimed_at_secs),
    };
    Ok((claim_key_from_wire(message.key)?, row))
}

fn usage_table_to_wire(usage: &UsageTable) -> state::UsageTable {
    let parts = usage.snapshot();
    state::UsageTable {
        counted: parts.counted.iter().map(counted_to_wire).collect(),
        open: parts.open.iter().map(usage_to_wire).collect(),
        total: parts.total.iter().map(usage_to_wire).collect(),
        sealed: parts.sealed.iter().map(window_to_wire).collect(),
        last_window: parts.last_window,
    }
}

fn usage_table_from_wire(message: state::UsageTable) -> UsageTable {
    let counted = message
        .counted
        .iter()
        .map(|row| (EntryIncarnation(row.incarnation), row.sequence))
        .collect();
    let figures = |rows: Vec<state::UsageRow>| -> BTreeMap<CustomerName, UsageFigures> {
        rows.iter().map(usage_from_wire).collect()
    };
    UsageTable::restore(UsageSnapshot {
        counted,
        open: figures(message.open),
        total: figures(message.total),
        sealed: message.sealed.iter().map(window_from_wire).collect(),
        last_window: message.last_window,
    })
}

const fn counted_to_wire((incarnation, sequence): (&EntryIncarnation, &u64)) -> state::CountedReport {
    state::CountedReport {
        incarnation: incarnation.0,
        sequence: *sequence,
    }
}

fn window_to_wire(window: &UsageWindow) -> state::UsageWindow {
    state::UsageWindow {
        window: window.window,
        rows: window
            .rows
            .iter()
            .map(|(customer, figures)| usage_to_wire((customer, figures)))
            .collect(),
        acknowledged: window.acknowledged,
    }
}

fn window_from_wire(message: &state::UsageWindow) -> UsageWindow {
    UsageWindow {
        window: message.window,
        rows: message.rows.iter().map(usage_from_wire).collect(),
        acknowledged: message.acknowledged,
    }
}

fn order_to_wire((endpoint, row): (&EndpointName, &OrderRow)) -> state::OrderRow {
    state::OrderRow {
        endpoint: endpoint.to_string(),
        number: row.number.0,
        incarnation: row.incarnation.0,
        target: order_target_to_wire(&row.target).into(),
        settled: row.settled,
    }
}

fn order_from_wire(message: &state::OrderRow) -> Result<(EndpointName, OrderRow), WireError> {
    let row = OrderRow {
        number: OrderNumber(message.number),
        incarnation: EndpointIncarnation(message.incarnation),
        target: order_target_from_wire(message.target())?,
        settled: message.settled,
    };
    Ok((message.endpoint.as_str().into(), row))
}
