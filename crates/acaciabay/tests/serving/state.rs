//! Tests of the replicated state: configuration, duties and usage windows.

use std::collections::BTreeMap;

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::duty::FenceNumber;
use acaciabay::core::serving::serving_state::{ServingCommand, ServingOutcome, ServingState};
use acaciabay::core::serving::start_counts::{EntryStart, GatheredRow, WindowNumber};
use bytes::Bytes;
use proptest::prelude::*;

use crate::fixtures::fixed_cases;

fn put(number: u64, text: &'static str) -> ServingCommand {
    ServingCommand::PutConfig {
        number: ConfigNumber(number),
        document: Bytes::from_static(text.as_bytes()),
    }
}

fn gather(entry: u64, window: u64, count: u64) -> ServingCommand {
    let counts = BTreeMap::from([(CustomerName::new("c"), count)]);
    ServingCommand::GatherStarts {
        rows: vec![GatheredRow {
            entry: EntryStart(entry),
            window: WindowNumber(window),
            counts,
        }],
    }
}

/// Two operators send different documents under one number, or a copy of an old document arrives. If either replaced
/// the configuration, callers would see a replaced configuration in force again.
#[test]
fn only_a_higher_number_replaces_a_configuration() {
    let mut state = ServingState::default();
    state.apply(&put(5, "five"));

    let outcomes = [put(5, "other five"), put(4, "four")].map(|command| state.apply(&command));

    assert_eq!(outcomes, [ServingOutcome::Config(ConfigNumber(5)); 2]);
    assert_eq!(state.document.as_ref(), b"five");
}

/// Guards against the number 0 being taken for "none": the first configuration of an operator who counts from 0 is dropped.
#[test]
fn a_first_configuration_may_have_the_number_0() {
    let mut state = ServingState::default();

    let outcomes = [put(0, "zero"), put(0, "other zero")].map(|command| state.apply(&command));

    assert_eq!(outcomes, [ServingOutcome::Config(ConfigNumber(0)); 2]);
    assert_eq!(state.config_number, Some(ConfigNumber(0)));
    assert_eq!(state.document.as_ref(), b"zero");
}

/// One host takes the duties twice. With the same number for both periods, delayed calls from the first could not be
/// told from those of the second.
#[test]
fn each_holder_gets_a_higher_number() {
    let mut state = ServingState::default();
    let assume = |holder: &str| ServingCommand::AssumeDuties { holder: holder.into() };

    let fences = ["a", "b", "b"].map(|holder| state.apply(&assume(holder)));

    assert_eq!(
        fences,
        [1, 2, 3].map(|number| ServingOutcome::Fence(FenceNumber(number)))
    );
}

/// A count arrives after its window was sealed. If it changed the totals, a repeated report would differ from the one
/// that the platform has already billed.
#[test]
fn a_fixed_window_never_changes() {
    let mut state = ServingState::default();
    state.apply(&gather(1, 7, 10));
    state.apply(&ServingCommand::SealStarts {
        window: WindowNumber(7),
    });

    state.apply(&gather(1, 7, 12));
    state.apply(&ServingCommand::SealStarts {
        window: WindowNumber(7),
    });

    assert_eq!(state.sealed[&WindowNumber(7)], BTreeMap::from([("c".into(), 10)]));
    assert_eq!(state.gathered.rows().count(), 0);
}

/// All processes are killed in the middle of a window. The committed counts must still be billed along with those of
/// the new processes.
#[test]
fn counts_of_killed_processes_stay_in_their_window() {
    let mut state = ServingState::default();
    state.apply(&gather(1, 7, 10));

    state.apply(&gather(2, 7, 4));
    state.apply(&ServingCommand::SealStarts {
        window: WindowNumber(7),
    });

    assert_eq!(state.sealed[&WindowNumber(7)], BTreeMap::from([("c".into(), 14)]));
}

#[test]
fn a_settled_window_is_not_sent_again() {
    let mut state = ServingState::default();
    state.apply(&ServingCommand::SealStarts {
        window: WindowNumber(7),
    });

    state.apply(&ServingCommand::SettleStarts {
        window: WindowNumber(7),
    });

    assert!(state.sealed.is_empty());
    assert_eq!(state.last_sealed, WindowNumber(7));
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// In any order of arrival, the configuration in force is the first one received under the highest number.
    #[test]
    fn the_first_of_the_highest_number_is_in_force(puts in prop::collection::vec((0_u64..6, "[a-c]"), 1..20)) {
        let mut state = ServingState::default();
        let mut best: Option<(u64, String)> = None;
        for (number, text) in puts {
            if best.as_ref().is_none_or(|(highest, _)| number > *highest) {
                best = Some((number, text.clone()));
            }
            let document = Bytes::from(text.into_bytes());
            state.apply(&ServingCommand::PutConfig { number: ConfigNumber(number), document });
        }
        let (number, text) = best.expect("at least one was sent");
        prop_assert_eq!(state.config_number, Some(ConfigNumber(number)));
        prop_assert_eq!(state.document.as_ref(), text.as_bytes());
    }
}
