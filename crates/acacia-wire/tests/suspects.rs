//! Suspect calls in commands, snapshots and messages: what is decoded is what was encoded.

use acacia_wire::{
    EntryAnswer, EntryCall, LeaseRenewal, LeaseRequest, answer_from_wire, answer_to_wire, call_from_wire, call_to_wire,
    command_from_bytes, command_to_bytes, state_from_bytes, state_to_bytes,
};
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::{ControlCommand, ControlState};
use acaciabay::core::entry_config::ConfigVersion;
use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::serving::broken_attempt::CallIdentity;
use acaciabay::core::serving::call_fingerprint::{CallFingerprint, FingerprintKey};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::prompt::PartId;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::suspect_table::{EndingEvidence, EndpointEnding, SuspectUpdate};
use acaciabay::core::serving::suspect_view::{SuspectAnswer, SuspectReport};

const NOW: BootTime = BootTime::from_millis(1_000);

fn fingerprint(number: u8) -> CallFingerprint {
    CallFingerprint::from_bytes(&[number; 16]).expect("a fingerprint has 16 bytes")
}

fn evidence(call: u8, engine: u64) -> EndingEvidence {
    EndingEvidence {
        call: CallIdentity {
            fingerprint: fingerprint(call),
            customer: (call > 1).then(|| "one".into()),
            route: "story".to_owned(),
            body_bytes: 17,
        },
        ending: EndpointEnding {
            endpoint: format!("engine-{engine}").as_str().into(),
            incarnation: EndpointIncarnation(engine),
            sent_ms: 10_000 * engine,
            ended_ms: 10_000 * engine + 80,
            recorded_ms: 0,
        },
        parts: vec![PartId(u64::from(call)), PartId(7)],
    }
}

fn update() -> SuspectUpdate {
    SuspectUpdate {
        now_ms: 40_000,
        key: FingerprintKey::from_bytes(&[9; 32]),
        evidence: (1..=3)
            .flat_map(|engine| [evidence(1, engine), evidence(2, engine)])
            .collect(),
        answered: vec![fingerprint(4)],
        lifted: vec![fingerprint(5)],
        sound_parts: vec![PartId(8)],
        lifted_parts: vec![PartId(9)],
    }
}

/// A state with a quarantined call and one that travelled with it.
fn state() -> ControlState {
    let mut state = ControlState::default();
    for now_ms in [40_000, 50_000] {
        let update = SuspectUpdate { now_ms, ..update() };
        state.apply(&ControlCommand::Serving(ServingCommand::UpdateSuspects(update)));
    }
    state
}

/// Guards against replicas that apply different updates.
#[test]
fn update_is_decoded_as_it_was_encoded() {
    let command = ControlCommand::Serving(ServingCommand::UpdateSuspects(update()));

    let decoded = command_from_bytes(command_to_bytes(&command));

    assert_eq!(decoded.expect("the command is well formed"), command);
}

/// Guards against a replica that forgets a quarantine because it got it with a snapshot.
#[test]
fn snapshot_contains_the_suspect_calls() {
    let state = state();
    assert_eq!(state.serving.suspects.quarantined().count(), 1);

    let decoded = state_from_bytes(state_to_bytes(&state)).expect("the snapshot is well formed");

    assert_eq!(decoded.serving.suspects, state.serving.suspects);
}

#[test]
fn report_is_decoded_as_it_was_encoded() {
    let lease = LeaseRequest {
        incarnation: EntryIncarnation(1),
        host: "entry-1".into(),
        version: ConfigVersion(2),
        reports: Vec::new(),
        endpoint_mark: 3,
        demands: Vec::new(),
        suspects: SuspectReport {
            sound_parts: vec![PartId(3)],
            version: 4,
            first_ending: 5,
            evidence: vec![evidence(1, 1), evidence(2, 2)],
            answered: vec![fingerprint(3)],
            wanted_trials: vec![fingerprint(6)],
            ended_trials: vec![fingerprint(7), fingerprint(8)],
        },
    };
    let call = EntryCall::Renew(lease);

    let decoded = call_from_wire(NOW, call_to_wire(NOW, 1, "", &call));

    assert_eq!(decoded.expect("the call is well formed"), call);
}

#[test]
fn answer_is_decoded_as_it_was_encoded() {
    let renewal = LeaseRenewal {
        suspects: SuspectAnswer {
            table: Some(state().serving.suspects.published_table()),
            committed_endings: 6,
            trials: vec![fingerprint(9)],
        },
        ..LeaseRenewal::default()
    };
    let answer = EntryAnswer::Renewed(Box::new(renewal));

    let decoded = answer_from_wire(NOW, answer_to_wire(NOW, 1, &answer));

    assert_eq!(decoded.expect("the answer is well formed"), answer);
}
