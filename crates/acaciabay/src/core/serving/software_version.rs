//! Versions of the software of endpoints. What two versions write does not fit together, so a stream that one version
//! has begun is continued only by the same one. `docs/design/stream-versions.md` gives the reasons.

use std::fmt;
use std::sync::Arc;

/// Version of an endpoint's software, as the endpoint reports it. Versions have no order; they are compared byte by byte.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Maximum length in bytes. Versions are kept for each stream.
    pub const MAX_BYTES: usize = 64;

    /// Creates a version from its text. Returns `None` for a text that is empty or longer than [`Self::MAX_BYTES`]: the
    /// version of that endpoint is unknown.
    pub fn from_text(text: &str) -> Option<Self> {
        let is_usable = !text.is_empty() && text.len() <= Self::MAX_BYTES;
        is_usable.then(|| Self(Arc::from(text)))
    }

    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

/// Version that has to write the rest of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVersion {
    /// Nothing of the stream has been written yet.
    Any,
    /// This version has begun the stream.
    Only(SoftwareVersion),
    /// A version that is not known has begun the stream. No endpoint may go on, not even one whose own version is unknown.
    Unknown,
}

impl StreamVersion {
    /// Returns the version of a stream that an endpoint of this version has begun.
    pub fn begun_by(version: Option<&SoftwareVersion>) -> Self {
        version.cloned().map_or(Self::Unknown, Self::Only)
    }

    /// Returns true if an endpoint of this version may write the rest of the stream.
    pub fn admits(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(begun_by) => version == Some(begun_by),
            Self::Unknown => false,
        }
    }

    /// Returns the version, if there is a known one.
    pub const fn known(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(version) => Some(version),
            Self::Any | Self::Unknown => None,
        }
    }

    /// Returns a short text for logs.
    pub fn label(&self) -> &str {
        match self {
            Self::Any => "any",
            Self::Only(version) => version.as_str(),
            Self::Unknown => "unknown",
        }
    }
}
