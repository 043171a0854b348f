//! What is wrong with a document, all of it at once.

use std::fmt;
use std::path::Path;

use anyhow::Context;
use serde_json::Value;

/// One mistake in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where the mistake is, as a JSON path such as `/pools/2/endpoints`.
    pub place: String,
    /// What was expected and what was found.
    pub message: String,
}

/// All mistakes in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds a mistake.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.list.push(Finding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Returns the mistakes in the order in which they were found.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `value` when nothing is wrong, or else the mistakes.
    ///
    /// # Errors
    ///
    /// Fails with itself when there is at least one mistake, or when the document yielded no value.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.list.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}: {}", finding.place, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Reads a JSON file and turns it into a checked value.
///
/// # Errors
///
/// Fails when the file cannot be read, is not JSON, or has findings; each line of the error then starts with the
/// file's name and the JSON path.
pub fn read_document<T>(path: &Path, check: impl FnOnce(&Value) -> Result<T, Findings>) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path).with_context(|| format!("failed to read `{}`", path.display()))?;
    let value: Value =
        serde_json::from_str(&text).with_context(|| format!("failed to parse `{}` as JSON", path.display()))?;
    check(&value).map_err(|findings| {
        let lines: Vec<_> = findings.list().iter().map(|finding| line_of(path, finding)).collect();
        anyhow::anyhow!(lines.join("\n"))
    })
}

fn line_of(path: &Path, finding: &Finding) -> String {
    format!("{}: {}: {}", path.display(), finding.place, finding.message)
}
