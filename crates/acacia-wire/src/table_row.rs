//! Rows of the tables, keys and usage, to and from their messages.

use std::time::Duration;

use acaciabay::core::key::KeyRow;
use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::name::CustomerName;
use acaciabay::core::table::{EndpointPattern, PoolKind, PoolRow, RouteRow, RouteTarget, TableNumber};
use acaciabay::core::usage::{UsageFigures, UsageReport};
use acaciabay::util::digest::ContentDigest;
use acaciabay::util::number::whole_millis;
use bytes::Bytes;

use crate::error::WireError;
use crate::generated::state;

pub(crate) fn digest_to_wire(digest: &ContentDigest) -> Bytes {
    Bytes::copy_from_slice(&digest.0)
}

pub(crate) fn digest_from_wire(bytes: &Bytes) -> Result<ContentDigest, WireError> {
    let digest = <[u8; 32]>::try_from(&bytes[..]).map_err(|_source| WireError::invalid("digest"))?;
    Ok(ContentDigest(digest))
}

fn target_to_wire(target: &RouteTarget) -> state::RouteTarget {
    let target = match target {
        RouteTarget::Model(model) => state::route_target::Target::Model(model.to_string()),
        RouteTarget::Service(service) => state::route_target::Target::Service(service.to_string()),
    };
    state::RouteTarget { target: Some(target) }
}

fn target_from_wire(message: Option<state::RouteTarget>) -> Result<RouteTarget, WireError> {
    match message
        .and_then(|message| message.target)
        .ok_or(WireError::missing("target"))?
    {
        state::route_target::Target::Model(model) => Ok(RouteTarget::Model(model.as_str().into())),
        state::route_target::Target::Service(service) => Ok(RouteTarget::Service(service.as_str().into())),
    }
}

pub(crate) fn route_to_wire(row: &RouteRow) -> state::RouteRow {
    state::RouteRow {
        customer: row.customer.to_string(),
        target: Some(target_to_wire(&row.target)),
        pool: row.pool.to_string(),
        deadline_ms: whole_millis(row.deadline),
    }
}

pub(crate) fn route_from_wire(message: state::RouteRow) -> Result<RouteRow, WireError> {
    Ok(RouteRow {
        customer: message.customer.as_str().into(),
        target: target_from_wire(message.target)?,
        pool: message.pool.as_str().into(),
        deadline: Duration::from_millis(message.deadline_ms),
    })
}

pub(crate) fn route_key_to_wire((customer, target): &(CustomerName, RouteTarget)) -> state::RouteKey {
    state::RouteKey {
        customer: customer.to_string(),
        target: Some(target_to_wire(target)),
    }
}

pub(crate) fn route_key_from_wire(message: state::RouteKey) -> Result<(CustomerName, RouteTarget), WireError> {
    Ok((message.customer.as_str().into(), target_from_wire(message.target)?))
}

pub(crate) fn pool_to_wire(row: &PoolRow) -> state::PoolRow {
    let kind = match row.kind {
        PoolKind::Engine => state::PoolKind::Engine,
        PoolKind::Repeatable => state::PoolKind::Repeatable,
        PoolKind::AtMostOnce => state::PoolKind::AtMostOnce,
    };
    state::PoolRow {
        name: row.name.to_string(),
        kind: kind.into(),
        endpoints: row.endpoints.iter().map(|pattern| pattern.0.clone()).collect(),
    }
}

pub(crate) fn pool_from_wire(message: state::PoolRow) -> Result<PoolRow, WireError> {
    let kind = match message.kind() {
        state::PoolKind::Engine => PoolKind::Engine,
        state::PoolKind::Repeatable => PoolKind::Repeatable,
        state::PoolKind::AtMostOnce => PoolKind::AtMostOnce,
        state::PoolKind::Unspecified => return Err(WireError::missing("kind")),
    };
    let endpoints = message.endpoints.into_iter().map(EndpointPattern).collect();
    Ok(PoolRow {
        name: message.name.as_str().into(),
        kind,
        endpoints,
    })
}

pub(crate) fn key_to_wire(row: &KeyRow) -> state::KeyRow {
    state::KeyRow {
        digest: digest_to_wire(&row.digest),
        customer: row.customer.to_string(),
    }
}

pub(crate) fn key_from_wire(message: &state::KeyRow) -> Result<KeyRow, WireError> {
    Ok(KeyRow {
        digest: digest_from_wire(&message.digest)?,
        customer: message.customer.as_str().into(),
    })
}

pub(crate) fn usage_to_wire((customer, figures): (&CustomerName, &UsageFigures)) -> state::UsageRow {
    state::UsageRow {
        customer: customer.to_string(),
        prompt_tokens: figures.prompt_tokens,
        output_tokens: figures.output_tokens,
        calls: figures.calls,
    }
}

pub(crate) fn usage_from_wire(message: &state::UsageRow) -> (CustomerName, UsageFigures) {
    let figures = UsageFigures {
        prompt_tokens: message.prompt_tokens,
        output_tokens: message.output_tokens,
        calls: message.calls,
    };
    (message.customer.as_str().into(), figures)
}

pub(crate) fn report_to_wire(report: &UsageReport) -> state::UsageReport {
    state::UsageReport {
        incarnation: report.incarnation.0,
        sequence: report.sequence,
        rows: report
            .rows
            .iter()
            .map(|(customer, figures)| usage_to_wire((customer, figures)))
            .collect(),
    }
}

pub(crate) fn report_from_wire(message: &state::UsageReport) -> UsageReport {
    UsageReport {
        incarnation: EntryIncarnation(message.incarnation),
        sequence: message.sequence,
        rows: message.rows.iter().map(usage_from_wire).collect(),
    }
}

pub(crate) fn accepted_to_wire((number, digest): &(TableNumber, ContentDigest)) -> state::AcceptedWrite {
    state::AcceptedWrite {
        number: number.0,
        digest: digest_to_wire(digest),
    }
}

pub(crate) fn accepted_from_wire(message: &state::AcceptedWrite) -> Result<(TableNumber, ContentDigest), WireError> {
    Ok((TableNumber(message.number), digest_from_wire(&message.digest)?))
}

/// Converts each message of a list, stopping at the first that is wrong.
pub(crate) fn all<M, T>(
    messages: impl IntoIterator<Item = M>,
    convert: impl Fn(M) -> Result<T, WireError>,
) -> Result<Vec<T>, WireError> {
    messages.into_iter().map(convert).collect()
}
