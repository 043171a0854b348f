//! The two tables as operators write them: a JSON list of rows.

use std::collections::BTreeSet;
use std::time::Duration;

use acaciabay::core::table::{EndpointPattern, PoolKind, PoolRow, RouteRow, RouteTarget, TableRow};
use acaciabay::util::number::whole_millis;
use serde_json::{Value, json};

use crate::finding::Findings;
use crate::object_reader::{ObjectReader, as_list, as_millis, as_name, as_text};

/// The deadline of a route that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);

/// Checks a routes document.
///
/// # Errors
///
/// Fails with every finding, two rows with the same customer and target included.
pub fn routes_from_json(document: &Value) -> Result<Vec<RouteRow>, Findings> {
    rows_from_json(document, read_route)
}

/// Checks a pools document.
///
/// # Errors
///
/// Fails with every finding, two pools of the same name included.
pub fn pools_from_json(document: &Value) -> Result<Vec<PoolRow>, Findings> {
    rows_from_json(document, read_pool)
}

/// Writes routes in the form that [`routes_from_json`] reads.
pub fn routes_to_json<'row>(rows: impl Iterator<Item = &'row RouteRow>) -> Value {
    rows.map(route_to_json).collect()
}

/// Writes pools in the form that [`pools_from_json`] reads.
pub fn pools_to_json<'row>(rows: impl Iterator<Item = &'row PoolRow>) -> Value {
    rows.map(pool_to_json).collect()
}

fn rows_from_json<R: TableRow>(
    document: &Value,
    read: impl Fn(&Value, &str, &mut Findings) -> Option<R>,
) -> Result<Vec<R>, Findings> {
    let mut findings = Findings::default();
    let items = match as_list(document) {
        Ok(items) => items.as_slice(),
        Err(message) => {
            findings.add("/", message);
            &[]
        }
    };
    let mut keys = BTreeSet::new();
    let mut rows = Vec::new();
    for (index, item) in items.iter().enumerate() {
        let path = format!("/{index}");
        let Some(row) = read(item, &path, &mut findings) else {
            continue;
        };
        if !keys.insert(row.key()) {
            findings.add(path, "an earlier row has the same key");
        }
        rows.push(row);
    }
    findings.into_result(Some(rows))
}

fn read_route(value: &Value, path: &str, findings: &mut Findings) -> Option<RouteRow> {
    let mut reader = ObjectReader::new(value, path, findings);
    let customer = reader.required("customer", findings, as_name);
    let model = reader.optional("model", findings, as_name);
    let service = reader.optional("service", findings, as_name);
    let pool = reader.required("pool", findings, as_name);
    let deadline = reader.optional("deadline_ms", findings, as_millis(1..=3_600_000));
    reader.finish(findings);
    let target = match (model, service) {
        (Some(model), None) => RouteTarget::Model(model.into()),
        (None, Some(service)) => RouteTarget::Service(service.into()),
        _ => {
            findings.add(path, "expected either `model` or `service`");
            return None;
        }
    };
    Some(RouteRow {
        customer: customer?.into(),
        target,
        pool: pool?.into(),
        deadline: deadline.unwrap_or(DEFAULT_DEADLINE),
    })
}

fn read_pool(value: &Value, path: &str, findings: &mut Findings) -> Option<PoolRow> {
    let mut reader = ObjectReader::new(value, path, findings);
    let name = reader.required("name", findings, as_name);
    let kind = reader.required("kind", findings, as_kind);
    let endpoints = reader.items("endpoints", findings, |item, place, findings| {
        as_name(item).map_err(|message| findings.add(place, message)).ok()
    });
    reader.finish(findings);
    let patterns = endpoints?
        .into_iter()
        .map(|text| EndpointPattern(text.to_owned()))
        .collect();
    Some(PoolRow {
        name: name?.into(),
        kind: kind?,
        endpoints: patterns,
    })
}

fn as_kind(value: &Value) -> Result<PoolKind, String> {
    match as_text(value)? {
        "engine" => Ok(PoolKind::Engine),
        "repeatable" => Ok(PoolKind::Repeatable),
        "at_most_once" => Ok(PoolKind::AtMostOnce),
        other => Err(format!(
            "expected `engine`, `repeatable` or `at_most_once`, found `{other}`"
        )),
    }
}

fn route_to_json(row: &RouteRow) -> Value {
    let deadline = whole_millis(row.deadline);
    let (field, target) = match &row.target {
        RouteTarget::Model(model) => ("model", model.as_str()),
        RouteTarget::Service(service) => ("service", service.as_str()),
    };
    json!({"customer": row.customer.as_str(), field: target, "pool": row.pool.as_str(), "deadline_ms": deadline})
}

fn pool_to_json(row: &PoolRow) -> Value {
    let kind = match row.kind {
        PoolKind::Engine => "engine",
        PoolKind::Repeatable => "repeatable",
        PoolKind::AtMostOnce => "at_most_once",
    };
    let endpoints: Vec<_> = row.endpoints.iter().map(|pattern| pattern.0.as_str()).collect();
    json!({"name": row.name.as_str(), "kind": kind, "endpoints": endpoints})
}
