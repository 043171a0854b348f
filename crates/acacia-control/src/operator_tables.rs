//! Operator requests that read and write the routes and pools tables.

use acacia_runtime::event;
use acacia_settings::{Findings, pools_from_json, pools_to_json, routes_from_json, routes_to_json};
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::table::{NumberedTable, TableEdit, TableNumber, TableRow};
use acaciabay::ops::check_tables::{TableWarning, check_pools, check_routes};
use acaciabay::util::digest::ContentDigest;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::daemon::Control;
use crate::operator_api::{OperatorRefusal, OperatorRequest, OperatorResult, unexpected_outcome};

/// The tables that operators edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableName {
    Routes,
    Pools,
}

impl TableName {
    pub(crate) fn parse(text: &str) -> Result<Self, OperatorRefusal> {
        match text {
            "routes" => Ok(Self::Routes),
            "pools" => Ok(Self::Pools),
            _ => Err(OperatorRefusal::new(
                StatusCode::NOT_FOUND,
                "no_such_table",
                "expected `routes` or `pools`",
            )),
        }
    }
}

/// Numbers of rows that an edit adds or replaces and of rows that it removes, for the response to the operator.
#[derive(Clone, Copy, Debug)]
struct EditSize {
    upserts: usize,
    removals: usize,
}

/// A table write that has been checked and can be proposed.
#[derive(Debug)]
struct PlannedWrite {
    command: ControlCommand,
    size: EditSize,
    warnings: Vec<TableWarning>,
    /// The current number of the table.
    current: TableNumber,
    /// True if the same write has been accepted before. It then succeeds although the table has a later number.
    is_resend: bool,
}

pub(crate) async fn read_table(control: &Control, name: TableName) -> OperatorResult {
    control.group.confirm_leadership().await?;
    let state = control.group.read();
    let (number, rows) = match name {
        TableName::Routes => (state.config.routes.number(), routes_to_json(state.config.routes.rows())),
        TableName::Pools => (state.config.pools.number(), pools_to_json(state.config.pools.rows())),
    };
    Ok(json!({"number": number.0, "rows": rows}))
}

pub(crate) async fn write_table(control: &Control, name: TableName, request: &OperatorRequest) -> OperatorResult {
    let expected = TableNumber(request.number("expect")?);
    let document = request.json()?;
    control.group.confirm_leadership().await?;
    let plan = plan_write(control, name, expected, &document)?;
    if !plan.is_resend && plan.current != expected {
        return Err(conflict_refusal(expected, plan.current));
    }
    let mut answer = json!({
        "upserts": plan.size.upserts,
        "removals": plan.size.removals,
        "warnings": plan.warnings.iter().map(warning_to_json).collect::<Vec<_>>(),
    });
    if request.parameter("dry_run") == Some("true") {
        answer["number"] = json!(plan.current.0);
        return Ok(answer);
    }
    match control.group.propose(plan.command).await? {
        CommandOutcome::Table { number, version } => {
            slog::info!(control.log, "table changed"; "event" => event::CHANGE_ACCEPTED,
                "table" => ?name, "number" => number.0, "version" => version.0);
            answer["number"] = json!(number.0);
            answer["version"] = json!(version.0);
            Ok(answer)
        }
        CommandOutcome::Conflict(other) => Err(conflict_refusal(expected, other.current)),
        other => Err(unexpected_outcome(&other)),
    }
}

fn plan_write(
    control: &Control,
    name: TableName,
    expected: TableNumber,
    document: &Value,
) -> Result<PlannedWrite, OperatorRefusal> {
    let digest = ContentDigest::of(document.to_string());
    let state = control.group.read();
    match name {
        TableName::Routes => {
            let rows = routes_from_json(document).map_err(|findings| findings_refusal(&findings))?;
            let warnings = check_routes(&state.config, &rows);
            let edit = state.config.routes.diff(expected, digest, rows);
            Ok(planned_write(
                &state.config.routes,
                edit,
                warnings,
                ControlCommand::EditRoutes,
            ))
        }
        TableName::Pools => {
            let rows = pools_from_json(document).map_err(|findings| findings_refusal(&findings))?;
            let warnings = check_pools(&state.config, &rows);
            let edit = state.config.pools.diff(expected, digest, rows);
            Ok(planned_write(
                &state.config.pools,
                edit,
                warnings,
                ControlCommand::EditPools,
            ))
        }
    }
}

fn planned_write<R: TableRow>(
    table: &NumberedTable<R>,
    edit: TableEdit<R>,
    warnings: Vec<TableWarning>,
    into_command: impl FnOnce(TableEdit<R>) -> ControlCommand,
) -> PlannedWrite {
    PlannedWrite {
        size: EditSize {
            upserts: edit.upserts.len(),
            removals: edit.removals.len(),
        },
        is_resend: table.find_resend(edit.expected, &edit.digest).is_some(),
        command: into_command(edit),
        warnings,
        current: table.number(),
    }
}

fn conflict_refusal(expected: TableNumber, current: TableNumber) -> OperatorRefusal {
    let message = format!(
        "table is at number {}, not at {}; read it again and repeat the edit",
        current.0, expected.0
    );
    OperatorRefusal::new(StatusCode::CONFLICT, "conflict", message).with_detail(json!({"current": current.0}))
}

fn findings_refusal(findings: &Findings) -> OperatorRefusal {
    let list = findings
        .list()
        .iter()
        .map(|finding| json!({"place": finding.place, "message": finding.message}));
    let detail = json!({"findings": list.collect::<Vec<_>>()});
    let message = findings.to_string();
    OperatorRefusal::new(StatusCode::UNPROCESSABLE_ENTITY, "bad_table", message).with_detail(detail)
}

fn warning_to_json(warning: &TableWarning) -> Value {
    json!({"place": warning.place, "message": warning.message})
}
