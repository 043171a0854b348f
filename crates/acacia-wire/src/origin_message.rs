//! Which versions have begun streams, to and from the library's types.

use std::time::Duration;

use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_origin::{OriginFinding, OriginKey, OriginKeys};
use acaciabay::util::number::whole_millis;

use crate::generated::serving::{KnownOrigin, StreamOrigin};

/// Encodes which version has begun a stream; `None` if that is not certain.
pub fn origin_to_wire(keys: OriginKeys, version: Option<&SoftwareVersion>) -> StreamOrigin {
    StreamOrigin {
        attempt: keys.attempt.0,
        content: keys.content.0,
        version: version.map(ToString::to_string),
    }
}

/// Decodes which version has begun a stream. A version that cannot be one is not certain.
pub fn origin_from_wire(message: &StreamOrigin) -> (OriginKeys, Option<SoftwareVersion>) {
    let keys = OriginKeys {
        attempt: OriginKey(message.attempt),
        content: OriginKey(message.content),
    };
    let version = message.version.as_deref().and_then(SoftwareVersion::from_text);
    (keys, version)
}

/// Encodes what a replica knows of a stream; `None` if it knows nothing.
pub fn finding_to_wire(key: OriginKey, finding: &OriginFinding, age: Duration) -> Option<KnownOrigin> {
    let version = match finding {
        OriginFinding::Unknown => return None,
        OriginFinding::Conflicting => None,
        OriginFinding::Known(version) => Some(version.to_string()),
    };
    Some(KnownOrigin {
        stream: key.0,
        version,
        age_ms: whole_millis(age),
    })
}

/// Decodes what a replica knows of a stream. A version that cannot be one is taken for several: no version may go on.
pub fn finding_from_wire(message: &KnownOrigin) -> (OriginKey, OriginFinding, Duration) {
    let version = message.version.as_deref().and_then(SoftwareVersion::from_text);
    let finding = version.map_or(OriginFinding::Conflicting, OriginFinding::Known);
    (
        OriginKey(message.stream),
        finding,
        Duration::from_millis(message.age_ms),
    )
}
