//! Reads the fields of a JSON object and notes every mistake with its path.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::finding::Findings;

/// Reads one object of a document.
///
/// Each method reads one field and returns nothing when it is missing or wrong, after noting why. Call
/// [`ObjectReader::finish`] at the end, so that unknown fields are noted too: a misspelt optional field would
/// otherwise be ignored, and the operator would believe that it is in force.
#[derive(Debug)]
pub struct ObjectReader<'doc> {
    path: String,
    fields: Option<&'doc Map<String, Value>>,
    known: Vec<&'static str>,
}

impl<'doc> ObjectReader<'doc> {
    /// Starts to read `value`, which stands at `path`.
    pub fn new(value: &'doc Value, path: impl Into<String>, findings: &mut Findings) -> Self {
        let path = path.into();
        let fields = value.as_object();
        if fields.is_none() {
            findings.add(place_of(&path), format!("expected an object, found {}", kind_of(value)));
        }
        Self {
            path,
            fields,
            known: Vec::new(),
        }
    }

    /// Reads a field that must be there.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        convert: impl FnOnce(&'doc Value) -> Result<T, String>,
    ) -> Option<T> {
        let missing = self.fields.is_some_and(|fields| !fields.contains_key(name));
        if missing {
            findings.add(self.place(name), "missing");
        }
        self.optional(name, findings, convert)
    }

    /// Reads a field that may be left out.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        convert: impl FnOnce(&'doc Value) -> Result<T, String>,
    ) -> Option<T> {
        self.known.push(name);
        let value = self.fields?.get(name)?;
        match convert(value) {
            Ok(value) => Some(value),
            Err(message) => {
                findings.add(self.place(name), message);
                None
            }
        }
    }

    /// Reads a list whose items are checked one by one, each at its own path.
    pub fn items<T>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        mut convert: impl FnMut(&'doc Value, String, &mut Findings) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items = self.required(name, findings, as_list)?;
        let place = self.place(name);
        let count = items.len();
        let converted: Vec<T> = items
            .iter()
            .enumerate()
            .filter_map(|(index, item)| convert(item, format!("{place}/{index}"), findings))
            .collect();
        (converted.len() == count).then_some(converted)
    }

    /// Reads an object inside this one; a missing one reads as empty.
    #[must_use]
    pub fn child(&mut self, name: &'static str, findings: &mut Findings) -> Self {
        self.known.push(name);
        let path = self.place(name);
        match self.fields.and_then(|fields| fields.get(name)) {
            Some(value) => Self::new(value, path, findings),
            None => Self {
                path,
                fields: None,
                known: Vec::new(),
            },
        }
    }

    /// Notes every field that no method has read.
    pub fn finish(self, findings: &mut Findings) {
        for name in self.fields.into_iter().flat_map(Map::keys) {
            if !self.known.contains(&name.as_str()) {
                let known = self.known.join("`, `");
                findings.add(self.place(name), format!("unknown field; known here are `{known}`"));
            }
        }
    }

    fn place(&self, name: &str) -> String {
        format!("{}/{name}", self.path)
    }
}

fn place_of(path: &str) -> &str {
    if path.is_empty() { "/" } else { path }
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Reads a list.
pub fn as_list(value: &Value) -> Result<&Vec<Value>, String> {
    value
        .as_array()
        .ok_or_else(|| format!("expected a list, found {}", kind_of(value)))
}

/// Reads a text.
pub fn as_text(value: &Value) -> Result<&str, String> {
    value
        .as_str()
        .ok_or_else(|| format!("expected a string, found {}", kind_of(value)))
}

/// Reads a name: not empty, at most 200 bytes, without control characters.
pub fn as_name(value: &Value) -> Result<&str, String> {
    const LONGEST_NAME: usize = 200;
    let text = as_text(value)?;
    if text.is_empty() {
        return Err("expected a name, found an empty string".to_owned());
    }
    if text.len() > LONGEST_NAME {
        return Err(format!("expected at most {LONGEST_NAME} bytes, found {}", text.len()));
    }
    if text.chars().any(char::is_control) {
        return Err("expected a name without control characters".to_owned());
    }
    Ok(text)
}

/// Reads `true` or `false`.
pub fn as_flag(value: &Value) -> Result<bool, String> {
    value
        .as_bool()
        .ok_or_else(|| format!("expected true or false, found {}", kind_of(value)))
}

/// Reads an IP address with a port.
pub fn as_address(value: &Value) -> Result<SocketAddr, String> {
    let text = as_text(value)?;
    text.parse()
        .map_err(|_source| format!("expected an IP address with a port, such as 127.0.0.1:7000, found `{text}`"))
}

/// Reads a whole number within bounds.
pub fn as_count(range: RangeInclusive<u64>) -> impl FnOnce(&Value) -> Result<u64, String> {
    move |value| {
        let number = value.as_u64().filter(|number| range.contains(number));
        number.ok_or_else(|| {
            format!(
                "expected a whole number from {} to {}, found {value}",
                range.start(),
                range.end()
            )
        })
    }
}

/// Reads a number of milliseconds within bounds.
pub fn as_millis(range: RangeInclusive<u64>) -> impl FnOnce(&Value) -> Result<Duration, String> {
    move |value| as_count(range)(value).map(Duration::from_millis)
}

/// Reads a number within bounds, which may have a fraction.
pub fn as_number(range: RangeInclusive<f64>) -> impl FnOnce(&Value) -> Result<f64, String> {
    move |value| {
        let number = value.as_f64().filter(|number| range.contains(number));
        number.ok_or_else(|| {
            format!(
                "expected a number from {} to {}, found {value}",
                range.start(),
                range.end()
            )
        })
    }
}

/// Reads a number of seconds within bounds, which may have a fraction.
pub fn as_seconds(range: RangeInclusive<f64>) -> impl FnOnce(&Value) -> Result<Duration, String> {
    move |value| as_number(range)(value).map(Duration::from_secs_f64)
}
