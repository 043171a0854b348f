//! The recorded required capacity in commands and snapshots: what is decoded is what was encoded.

use acacia_wire::{command_from_bytes, command_to_bytes, state_from_bytes, state_to_bytes};
use acaciabay::core::control_state::{ControlCommand, ControlState};
use acaciabay::core::serving::service_need::RecordedNeed;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::stream_peak::StreamDemand;

fn command(needed: u32) -> ControlCommand {
    let need = RecordedNeed {
        tokens_per_second: 1_234_567.5,
        pool_tokens_per_second: 2_345_678.25,
        pace: 0.021,
        streams: StreamDemand {
            streams: 312.5,
            held_tokens: 4_000_000.0,
        },
        decode_engines: 17,
        needed,
        measured_ms: 1_770_000_000_123,
    };
    ControlCommand::Serving(ServingCommand::RecordNeed {
        service: "llm".into(),
        need,
    })
}

/// Guards against replicas that apply different records.
#[test]
fn record_is_decoded_as_it_was_encoded() {
    let decoded = command_from_bytes(command_to_bytes(&command(112)));

    assert_eq!(decoded.expect("the command is well formed"), command(112));
}

/// Guards against a replica that forgets the required capacity because it got the state with a snapshot, or because all
/// hosts have started again and it reads its snapshot from disk.
#[test]
fn snapshot_contains_the_last_record() {
    let mut state = ControlState::default();
    state.apply(&command(112));
    state.apply(&command(71));

    let decoded = state_from_bytes(state_to_bytes(&state)).expect("the snapshot is well formed");

    assert_eq!(decoded.serving.needs, state.serving.needs);
    assert_eq!(
        decoded
            .serving
            .needs
            .values()
            .map(|need| need.needed)
            .collect::<Vec<_>>(),
        [71]
    );
}
