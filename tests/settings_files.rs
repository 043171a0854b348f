//! Each file in `tests/settings/bad` must be refused with exactly the findings in the `.txt` file beside it.
//!
//! The first word of a file's name says which kind of document it is.

use std::path::Path;

use acacia_settings::{ControlSettings, EntrySettings, Findings, StandinSettings, pools_from_json, routes_from_json};
use serde_json::Value;

fn check(path: &Path) -> datatest_stable::Result<()> {
    let document: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let expected = std::fs::read_to_string(path.with_extension("txt"))?;
    let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();

    let findings = findings_in(name, &document)?;

    assert_eq!(findings.to_string().trim(), expected.trim(), "findings in {name}");
    Ok(())
}

fn findings_in(name: &str, document: &Value) -> datatest_stable::Result<Findings> {
    let checked = match name.split('-').next() {
        Some("entry") => EntrySettings::from_json(document).map(drop),
        Some("control") => ControlSettings::from_json(document).map(drop),
        Some("standin") => StandinSettings::from_json(document).map(drop),
        Some("routes") => routes_from_json(document).map(drop),
        Some("pools") => pools_from_json(document).map(drop),
        _ => return Err(format!("no kind of document is called as {name} begins").into()),
    };
    checked.err().ok_or_else(|| format!("{name} has no findings").into())
}

datatest_stable::harness! {
    { test = check, root = "tests/settings/bad", pattern = r"\.json$" },
}
