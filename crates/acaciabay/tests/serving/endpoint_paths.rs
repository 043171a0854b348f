//! Whether a missing answer speaks against an endpoint or against the path to it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::broken_attempt::PortState;
use acaciabay::core::serving::endpoint_paths::{PathChange, PathFault, PathOrder, PathTable, PortWitnesses};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(10_000 + millis)
}

fn endpoint(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Returns the table of an entry that has lost all endpoints at 0 ms and knows it at 400 ms.
fn cut_table() -> PathTable {
    let mut table = PathTable::default();
    table.record_heard(at(0));
    table.record_lost(at(350), endpoint(1), PathFault::Silent);
    let change = table.record_lost(at(400), endpoint(2), PathFault::Silent);
    assert_eq!(change, Some(PathChange::Cut));
    table
}

#[test]
fn an_entry_that_loses_several_endpoints_and_hears_none_is_cut_off() {
    let mut table = cut_table();

    let order = table.order(at(410), endpoint(3));

    assert!(table.is_cut());
    assert_eq!(order, PathOrder::RelayFirst);
    assert!(!table.may_use_open(endpoint(3)));
}

/// Two lost paths beside answers of others would otherwise make the entry leave connections that work.
#[test]
fn an_entry_that_still_hears_endpoints_is_not_cut_off() {
    let mut table = PathTable::default();

    table.record_lost(at(100), endpoint(1), PathFault::Silent);
    table.record_heard(at(390));
    let change = table.record_lost(at(400), endpoint(2), PathFault::Silent);

    assert_eq!(change, None);
    assert!(!table.is_cut());
    assert_eq!(table.order(at(410), endpoint(3)), PathOrder::DirectFirst);
    assert!(table.may_use_open(endpoint(3)));
    assert!(!table.may_use_open(endpoint(1)));
}

/// While new connections are refused, the open ones are all that leads to the endpoints directly.
#[test]
fn open_connections_are_used_while_new_ones_are_refused() {
    let mut table = PathTable::default();
    table.record_heard(at(0));

    table.record_lost(at(350), endpoint(1), PathFault::Refused);
    table.record_lost(at(400), endpoint(2), PathFault::Refused);

    assert!(table.may_use_open(endpoint(1)));
    assert!(table.may_use_open(endpoint(3)));
    assert_eq!(table.order(at(2_410), endpoint(1)), PathOrder::RelayFirst);
}

/// Guards against calls that hang one by one on the kept connections to other endpoints after a cut has shown at one.
#[test]
fn kept_connections_that_have_carried_nothing_since_a_loss_are_not_used() {
    let mut table = PathTable::default();
    table.record_heard(at(0));
    table.record_lost(at(350), endpoint(1), PathFault::Silent);

    assert!(!table.may_use_kept(endpoint(3), at(200)));
    assert!(table.may_use_kept(endpoint(3), at(360)));
    assert!(!table.may_use_kept(endpoint(1), at(360)));

    table.record_reached(at(1_400), endpoint(1));
    assert!(table.may_use_kept(endpoint(3), at(200)));
}

/// While new connections are refused, those to other endpoints are left as they are.
#[test]
fn kept_connections_are_used_after_another_port_was_refused() {
    let mut table = PathTable::default();
    table.record_heard(at(0));
    table.record_lost(at(350), endpoint(1), PathFault::Refused);

    assert!(table.may_use_kept(endpoint(3), at(200)));
}

/// While connections are reset, each open one would lose the call that is sent on it.
#[test]
fn open_connections_are_not_used_after_one_of_them_was_reset() {
    let mut table = PathTable::default();
    table.record_heard(at(0));

    table.record_broken(at(300), endpoint(1));
    table.record_lost(at(350), endpoint(1), PathFault::Refused);
    table.record_lost(at(400), endpoint(2), PathFault::Refused);

    assert!(table.is_cut());
    assert!(!table.may_use_open(endpoint(1)));
    assert!(!table.may_use_open(endpoint(3)));
}

/// An endpoint that loses the calls that come over relays would be chosen again and again.
#[test]
fn only_calls_that_were_sent_before_the_loss_say_nothing_about_their_endpoint() {
    let mut table = PathTable::default();
    table.record_heard(at(0));
    table.record_lost(at(100), endpoint(1), PathFault::Silent);
    table.record_lost(at(500), endpoint(1), PathFault::Silent);

    let blames_way: Vec<bool> = [50, 200, 600]
        .map(|sent| table.was_lost_after(at(sent), endpoint(1)))
        .to_vec();

    assert_eq!(blames_way, [true, false, false]);
    assert!(!table.was_lost_after(at(50), endpoint(2)));
}

/// Calls that tried whether the path is back would each wait for it.
#[test]
fn few_connections_try_whether_a_way_is_back() {
    let mut table = cut_table();

    let trials: usize = (0..60).map(|step| table.due_trials(at(400 + 100 * step)).len()).sum();

    assert!((4..=8).contains(&trials), "{trials} trials of two endpoints in 6 s");
}

#[test]
fn a_direct_answer_ends_the_cut_but_each_lost_way_is_tried_by_itself() {
    let mut table = cut_table();

    let change = table.record_reached(at(2_400), endpoint(1));

    let lasted = Duration::from_secs(2);
    assert_eq!(change, Some(PathChange::Restored { lasted }));
    assert_eq!(table.order(at(2_410), endpoint(1)), PathOrder::DirectFirst);
    assert_eq!(table.order(at(2_410), endpoint(2)), PathOrder::RelayFirst);
    assert!(!table.may_use_open(endpoint(2)));
    assert_eq!(table.due_trials(at(2_410)), [endpoint(2)]);
    assert_eq!(table.due_trials(at(2_420)), []);
}

/// An endpoint that has left would otherwise count as lost for good.
#[test]
fn a_lost_way_that_nobody_needs_is_forgotten() {
    let mut table = PathTable::default();
    table.record_lost(at(0), endpoint(1), PathFault::Silent);
    table.record_heard(at(5_900));
    table.record_lost(at(6_000), endpoint(2), PathFault::Silent);

    table.remove_expired(at(10_500));

    assert!(!table.is_lost(endpoint(1)));
    assert!(table.is_lost(endpoint(2)));
}

/// An entry with few calls keeps connections open and opens none, so that nothing tells it of a cut.
#[test]
fn calls_that_wait_in_silence_are_a_reason_to_check_their_endpoints() {
    let mut table = PathTable::default();
    table.record_heard(at(0));
    let answered = table.begin_wait(at(10), endpoint(2));
    let _waiting = table.begin_wait(at(10), endpoint(1));
    table.end_wait(answered);

    let early = table.due_checks(at(200));
    let due = table.due_checks(at(270));
    let again = table.due_checks(at(300));

    assert_eq!(early, BTreeSet::new());
    assert_eq!(due, BTreeSet::from([endpoint(1)]));
    assert_eq!(again, BTreeSet::new());
}

/// A prompt may take seconds to read; that is no reason to open connections while other answers come.
#[test]
fn a_slow_answer_is_no_reason_for_a_check_while_others_come() {
    let mut table = PathTable::default();
    let _waiting = table.begin_wait(at(0), endpoint(1));

    let due: Vec<_> = (0..30)
        .flat_map(|step| {
            table.record_heard(at(100 * step));
            table.due_checks(at(100 * step + 50))
        })
        .collect();

    assert_eq!(due, []);
}

/// An entry that forgot what it had lost would try no direct path again, and stay cut off for good after the cut.
#[test]
fn an_entry_that_is_cut_off_for_long_goes_on_to_try_direct_paths() {
    let mut table = cut_table();
    let mut last_trials = Vec::new();

    for step in 0..300 {
        let now = at(500 + 100 * step);
        table.remove_expired(now);
        if step % 10 == 0 {
            table.order(now, endpoint(3));
        }
        let trials = table.due_trials(now);
        if step >= 250 {
            last_trials.extend(trials);
        }
    }

    assert!(table.is_cut());
    assert!(last_trials.contains(&endpoint(3)), "{last_trials:?}");
}

/// Calls on kept connections over a relay ask for no path. An entry that forgot what they need would take itself for whole,
/// use these connections no more and offer itself as a relay.
#[test]
fn an_entry_that_uses_kept_connections_for_long_stays_cut_off() {
    let mut table = cut_table();

    for step in 0..120 {
        let now = at(500 + 100 * step);
        let call = table.begin_wait(now, endpoint(1));
        table.end_wait(call);
        table.remove_expired(now);
    }

    assert!(table.is_cut());
    assert!(table.is_lost(endpoint(1)));
}

/// A stream that is silent for long has a call that needs its endpoint all the while.
#[test]
fn an_endpoint_for_which_a_call_waits_is_not_forgotten() {
    let mut table = cut_table();
    let call = table.begin_wait(at(500), endpoint(1));

    table.remove_expired(at(12_000));
    let is_cut_while_it_waits = table.is_cut();
    table.end_wait(call);
    table.remove_expired(at(12_000));

    assert!(is_cut_while_it_waits);
    assert!(!table.is_cut());
}

/// No call comes that would need an endpoint, and no direct path is tried.
#[test]
fn an_entry_without_calls_does_not_stay_cut_off() {
    let mut table = cut_table();

    let change = table.remove_expired(at(11_000));

    assert!(matches!(change, Some(PathChange::Restored { .. })), "{change:?}");
    assert!(!table.is_cut());
    assert_eq!(table.order(at(11_000), endpoint(1)), PathOrder::DirectFirst);
}

/// Guards against evidence that is seconds late because the entry has lost the path to some other endpoint.
#[test]
fn a_refusal_that_another_entry_confirms_holds_whatever_is_lost() {
    let witnesses = PortWitnesses {
        refused: 1,
        ..PortWitnesses::default()
    };

    assert_eq!(witnesses.judge_refusal(3), PortState::Refused);
}

/// Guards against endpoints that are taken for ended because a network that is cut refuses connections to them.
#[test]
fn a_refusal_that_others_deny_or_cannot_confirm_proves_nothing() {
    let nobody = PortWitnesses::default();
    let divided = [(1, 2, 0), (0, 2, 1)].map(|(opened, refused, silent)| PortWitnesses {
        opened,
        refused,
        silent,
    });

    assert_eq!(nobody.judge_refusal(1), PortState::Silent);
    assert_eq!(nobody.judge_refusal(0), PortState::Refused);
    assert!(
        divided
            .iter()
            .all(|witnesses| witnesses.judge_refusal(0) == PortState::Silent)
    );
}
