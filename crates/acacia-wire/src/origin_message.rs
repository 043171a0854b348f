//! Which versions have begun streams, to and from the library's types.

use std::time::Duration;

use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_origin::{OriginFinding, OriginKey};
use acaciabay::util::number::whole_millis;

use crate::generated::serving::StreamOrigin;

/// Encodes the record of a stream; `None` stands for several versions.
pub fn origin_to_wire(key: OriginKey, version: Option<&SoftwareVersion>) -> StreamOrigin {
    StreamOrigin {
        stream: key.0,
        version: version.map(ToString::to_string),
        age_ms: 0,
    }
}

/// Decodes the record of a stream. A version that cannot be one counts as several: whoever told it may have begun the stream.
pub fn origin_from_wire(message: &StreamOrigin) -> (OriginKey, Option<SoftwareVersion>) {
    let version = message.version.as_deref().and_then(SoftwareVersion::from_text);
    (OriginKey(message.stream), version)
}

/// Encodes what a replica knows of a stream; `None` if it knows nothing.
pub fn finding_to_wire(key: OriginKey, finding: &OriginFinding, age: Duration) -> Option<StreamOrigin> {
    let version = match finding {
        OriginFinding::Unknown => return None,
        OriginFinding::Conflicting => None,
        OriginFinding::Known(version) => Some(version),
    };
    Some(StreamOrigin {
        age_ms: whole_millis(age),
        ..origin_to_wire(key, version)
    })
}
