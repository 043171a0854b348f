//! What can be wrong with a message.

use std::fmt;

/// A message that cannot be turned into the library's types.
#[derive(Debug)]
pub struct WireError {
    kind: WireErrorKind,
}

#[derive(Debug)]
enum WireErrorKind {
    Missing(&'static str),
    Invalid(&'static str),
    Decode(prost::DecodeError),
}

impl WireError {
    pub(crate) const fn missing(field: &'static str) -> Self {
        Self {
            kind: WireErrorKind::Missing(field),
        }
    }

    pub(crate) const fn invalid(field: &'static str) -> Self {
        Self {
            kind: WireErrorKind::Invalid(field),
        }
    }

    /// Tells whether the bytes were not a message at all, rather than one with a wrong field.
    pub const fn is_malformed(&self) -> bool {
        matches!(self.kind, WireErrorKind::Decode(_))
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            WireErrorKind::Missing(field) => write!(f, "message lacks `{field}`"),
            WireErrorKind::Invalid(field) => write!(f, "message has an invalid `{field}`"),
            WireErrorKind::Decode(_) => f.write_str("failed to decode message"),
        }
    }
}

impl std::error::Error for WireError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            WireErrorKind::Decode(source) => Some(source),
            WireErrorKind::Missing(_) | WireErrorKind::Invalid(_) => None,
        }
    }
}

impl From<prost::DecodeError> for WireError {
    fn from(source: prost::DecodeError) -> Self {
        Self {
            kind: WireErrorKind::Decode(source),
        }
    }
}
