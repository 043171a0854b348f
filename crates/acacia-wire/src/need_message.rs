//! The recorded required capacity of a service, in commands and snapshots.

use acaciabay::core::name::ServiceName;
use acaciabay::core::serving::service_need::RecordedNeed;
use acaciabay::core::serving::stream_peak::StreamDemand;

use crate::generated::state;

pub(crate) fn need_to_wire(service: &ServiceName, need: &RecordedNeed) -> state::RecordedNeed {
    state::RecordedNeed {
        service: service.to_string(),
        tokens_per_second: need.tokens_per_second,
        pool_tokens_per_second: need.pool_tokens_per_second,
        pace: need.pace,
        streams: need.streams.streams,
        held_tokens: need.streams.held_tokens,
        decode_engines: need.decode_engines,
        needed: need.needed,
        measured_ms: need.measured_ms,
    }
}

pub(crate) fn need_from_wire(message: &state::RecordedNeed) -> (ServiceName, RecordedNeed) {
    let need = RecordedNeed {
        tokens_per_second: message.tokens_per_second,
        pool_tokens_per_second: message.pool_tokens_per_second,
        pace: message.pace,
        streams: StreamDemand {
            streams: message.streams,
            held_tokens: message.held_tokens,
        },
        decode_engines: message.decode_engines,
        needed: message.needed,
        measured_ms: message.measured_ms,
    };
    (message.service.as_str().into(), need)
}
