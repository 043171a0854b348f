//! Tests of when a call may be denied by the configuration that an entry holds.

use std::time::Duration;

use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_freshness::ConfigFreshness;

use crate::fixtures::at;

const HELD: Option<ConfigNumber> = Some(ConfigNumber(12));
const IN_FORCE: Duration = Duration::from_secs(2);

#[test]
fn nothing_is_denied_before_the_first_confirmation() {
    assert!(!ConfigFreshness::default().may_deny(at(0), HELD, IN_FORCE));
}

/// Guards against a 404 for a route that was added longer ago than a change may take to come into force.
#[test]
fn a_confirmation_lasts_less_than_a_change_may_take() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_confirmed(at(1_000));
    // A later answer to an older request does not shorten the confirmation.
    freshness.record_confirmed(at(400));

    assert!(freshness.may_deny(at(2_499), HELD, IN_FORCE));
    assert!(!freshness.may_deny(at(2_500), HELD, IN_FORCE));
}

/// Guards against a 404 from a configuration that the entry knows to be replaced.
#[test]
fn nothing_is_denied_by_a_configuration_that_is_known_to_be_old() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_confirmed(at(1_000));

    assert!(freshness.record_announced(at(1_010), ConfigNumber(15)));
    assert!(!freshness.record_announced(at(1_020), ConfigNumber(15)));

    assert!(!freshness.may_deny(at(1_030), HELD, IN_FORCE));
    assert_eq!(freshness.behind_since(HELD), Some(at(1_010)));
    assert!(freshness.may_deny(at(1_030), Some(ConfigNumber(15)), IN_FORCE));
}

/// Guards against an entry that holds nothing and does not ask for an announced configuration, since its number is 0.
#[test]
fn an_entry_without_a_configuration_is_behind_one_of_number_0() {
    let mut freshness = ConfigFreshness::default();

    assert!(freshness.record_announced(at(1_010), ConfigNumber(0)));

    assert_eq!(freshness.behind_since(None), Some(at(1_010)));
    assert_eq!(freshness.behind_since(Some(ConfigNumber(0))), None);
}
