//! Numbers of configurations in snapshots and messages: "none" and 0 are told apart.

use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{RenewServing, ServingRenewed};
use acacia_wire::{
    ANNOUNCEMENTS_REVISION, announcement_to_wire, command_from_bytes, command_to_bytes, content_from_wire,
    content_to_wire, newer_config_from_wire, state_from_bytes, state_to_bytes,
};
use acaciabay::core::control_state::{ControlCommand, ControlState};
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::ConfigUpdate;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::util::byte_delta::ByteDelta;
use bytes::Bytes;
use prost::Message;

fn put(number: u64) -> ControlCommand {
    ControlCommand::Serving(ServingCommand::PutConfig {
        number: ConfigNumber(number),
        document: "document".into(),
    })
}

/// Guards against a configuration of version 0 that is forgotten with the next snapshot.
#[test]
fn a_snapshot_tells_number_0_from_none() {
    let none = ControlState::default();
    let mut zero = ControlState::default();
    zero.apply(&command_from_bytes(command_to_bytes(&put(0))).expect("the command is well formed"));

    let numbers = [&none, &zero].map(|state| {
        let decoded = state_from_bytes(state_to_bytes(state)).expect("the snapshot is well formed");
        decoded.serving.config_number
    });

    assert_eq!(numbers, [None, Some(ConfigNumber(0))]);
}

/// Guards against an entry that holds version 0 and is sent it again, or holds nothing and is sent nothing.
#[test]
fn messages_tell_number_0_from_none() {
    for number in [None, Some(0), Some(7)] {
        let asked = RenewServing {
            config_number: number,
            ..RenewServing::default()
        };
        let answer = ServingRenewed {
            config_number: number,
            ..ServingRenewed::default()
        };

        let asked = RenewServing::decode(asked.encode_to_vec().as_slice()).expect("the message is well formed");
        let answer = ServingRenewed::decode(answer.encode_to_vec().as_slice()).expect("the message is well formed");

        assert_eq!((asked.config_number, answer.config_number), (number, number));
    }
}

/// Guards against the 0 of an earlier release, which announces it while there is none, being taken for version 0: an entry would ask
/// without a pause for what nobody has.
#[test]
fn an_announcement_tells_number_0_from_none() {
    let [earlier, present] = [ANNOUNCEMENTS_REVISION - 1, ANNOUNCEMENTS_REVISION]
        .map(|revision| [0, 7].map(|number| announcement_to_wire(ConfigNumber(number), revision)));

    assert_eq!(earlier, [0, 7].map(Body::NewerConfig));
    assert_eq!(present, [0, 7].map(Body::AnnouncedConfig));
    assert_eq!([0, 7].map(newer_config_from_wire), [None, Some(ConfigNumber(7))]);
}

/// Guards against a change of version 0 that is applied to the empty document.
#[test]
fn a_change_names_its_base() {
    for base in [None, Some(ConfigNumber(0)), Some(ConfigNumber(7))] {
        let update = ConfigUpdate::Delta {
            base,
            delta: ByteDelta::between(&Bytes::from_static(b"one"), &Bytes::from_static(b"two")),
        };

        let decoded = content_from_wire(content_to_wire(update.clone()));

        assert_eq!(decoded.ok(), Some(update));
    }
}
