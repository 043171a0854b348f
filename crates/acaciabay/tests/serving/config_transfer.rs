//! Tests of configurations that are sent over ordered connections while requests and answers overlap.

use std::collections::VecDeque;

use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::{
    ConfigDocument, ConfigReceiver, ConfigSender, ConfigUpdate, ConfigUpdateError, RecentConfigs,
};
use acaciabay::util::byte_delta::ByteDelta;
use proptest::prelude::*;

fn config(number: u64) -> ConfigDocument {
    let routes: Vec<_> = (0..number % 50)
        .map(|route| format!("route {route} of {number}"))
        .collect();
    ConfigDocument {
        number: Some(ConfigNumber(number)),
        document: format!("version {number}: {} idle {}", routes.join(","), number % 7).into(),
    }
}

fn next_update(sender: &mut ConfigSender, held: Option<u64>, newest: &ConfigDocument) -> Option<ConfigUpdate> {
    next_update_with_recent(sender, held, newest, &RecentConfigs::default())
}

fn next_update_with_recent(
    sender: &mut ConfigSender,
    held: Option<u64>,
    newest: &ConfigDocument,
    recent: &RecentConfigs,
) -> Option<ConfigUpdate> {
    sender.next_update(
        held.map(ConfigNumber),
        newest,
        |number| recent.get(number).cloned(),
        |base, target| ByteDelta::between(&base.document, &target.document),
    )
}

/// Guards against sending a large configuration again for every request that arrives while it is in transit.
#[test]
fn a_configuration_in_transit_is_not_sent_again() {
    let mut sender = ConfigSender::default();

    let first = next_update(&mut sender, None, &config(12));
    let again = next_update(&mut sender, None, &config(12));
    let later = next_update(&mut sender, None, &config(15));

    assert_eq!(first, Some(ConfigUpdate::Full(config(12).document)));
    assert_eq!(again, None);
    assert!(matches!(
        later,
        Some(ConfigUpdate::Delta {
            base: Some(ConfigNumber(12)),
            ..
        })
    ));
}

/// Guards against a session that fails because another session has delivered a newer configuration in the meantime.
#[test]
fn a_delta_is_based_on_the_last_configuration_of_its_connection() {
    let (mut sender, mut receiver) = (ConfigSender::default(), ConfigReceiver::default());
    let first = next_update(&mut sender, None, &config(12));
    receiver
        .receive(Some(ConfigNumber(12)), first, &ConfigDocument::default())
        .expect("whole");
    let change = next_update(&mut sender, Some(20), &config(21));

    let held = receiver.receive(Some(ConfigNumber(21)), change, &config(20));

    assert_eq!(held, Ok(&config(21)));
}

/// Guards against a newly elected leader that sends the complete document to every entry at once.
#[test]
fn a_new_connection_starts_with_a_delta_against_the_held_configuration() {
    let mut recent = RecentConfigs::default();
    (1..=9).for_each(|number| recent.record(config(number)));
    recent.record(config(4));

    let change = next_update_with_recent(&mut ConfigSender::default(), Some(6), &config(9), &recent);
    let without_base = next_update_with_recent(&mut ConfigSender::default(), Some(4), &config(9), &recent);

    let taken = ConfigReceiver::default()
        .receive(Some(ConfigNumber(9)), change.clone(), &config(6))
        .cloned();
    assert!(matches!(
        change,
        Some(ConfigUpdate::Delta {
            base: Some(ConfigNumber(6)),
            ..
        })
    ));
    assert_eq!(taken, Ok(config(9)));
    assert_eq!(without_base, Some(ConfigUpdate::Full(config(9).document)));
}

#[test]
fn an_answer_without_its_base_is_an_error() {
    let other = ConfigUpdate::Delta {
        base: Some(ConfigNumber(2)),
        delta: ByteDelta::default(),
    };

    let change = ConfigReceiver::default()
        .receive(Some(ConfigNumber(4)), Some(other), &config(3))
        .cloned();
    let nothing = ConfigReceiver::default()
        .receive(Some(ConfigNumber(4)), None, &config(3))
        .cloned();

    assert_eq!(
        change,
        Err(ConfigUpdateError::BaseMismatch {
            base: Some(ConfigNumber(2))
        })
    );
    assert_eq!(nothing, Err(ConfigUpdateError::MissingUpdate));
}

/// Event between an entry and the replicas that it has sessions with.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The entry sends a request to a replica.
    Ask(usize),
    /// A replica that is up to date answers its next request.
    Answer(usize),
    /// The next answer of a replica arrives.
    Arrive(usize),
    /// A newer configuration is committed: the first one under this number, each later one so many numbers after the next.
    Commit(u64),
    /// The connection to a replica breaks and is opened again.
    Reconnect(usize),
}

#[derive(Debug, Default)]
struct Connection {
    sender: ConfigSender,
    receiver: ConfigReceiver,
    requests: VecDeque<ConfigDocument>,
    answers: VecDeque<(ConfigDocument, Option<ConfigNumber>, Option<ConfigUpdate>)>,
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..3_usize;
    prop_oneof![
        4 => replica.clone().prop_map(Step::Ask),
        4 => replica.clone().prop_map(Step::Answer),
        4 => replica.clone().prop_map(Step::Arrive),
        1 => (0..4_u64).prop_map(Step::Commit),
        1 => replica.prop_map(Step::Reconnect),
    ]
}

proptest! {
    /// In any interleaving, every answer yields the document with its number, and no session has to be opened anew.
    #[test]
    fn every_answer_gives_the_document_of_its_number(steps in prop::collection::vec(step(), 0..200)) {
        let mut connections: [Connection; 3] = Default::default();
        let mut newest = ConfigDocument::default();
        let mut recent = RecentConfigs::default();
        let mut held = ConfigDocument::default();
        for step in steps {
            match step {
                Step::Commit(ahead) => {
                    recent.record(newest.clone());
                    newest = config(newest.number.map_or(0, |number| number.0 + 1) + ahead);
                }
                Step::Reconnect(replica) => connections[replica] = Connection::default(),
                Step::Ask(replica) => connections[replica].requests.push_back(held.clone()),
                Step::Answer(replica) => {
                    let connection = &mut connections[replica];
                    if let Some(asked) = connection.requests.pop_front() {
                        let content = next_update_with_recent(
                            &mut connection.sender,
                            asked.number.map(|number| number.0),
                            &newest,
                            &recent,
                        );
                        connection.answers.push_back((asked, newest.number, content));
                    }
                }
                Step::Arrive(replica) => {
                    let connection = &mut connections[replica];
                    if let Some((asked, number, content)) = connection.answers.pop_front() {
                        let taken = connection.receiver.receive(number, content, &asked);
                        let expected = number.map_or_else(ConfigDocument::default, |number| config(number.0));
                        prop_assert_eq!(taken, Ok(&expected));
                        if number > held.number {
                            held = expected;
                        }
                    }
                }
            }
        }
    }
}
