//! Which member of the control group leaves when another one could take its place.

use std::time::Duration;

use crate::core::consensus::{FollowerState, ReplicaId};

/// How long a voter answers nothing before a learner that has caught up takes its place.
///
/// It is longer than an election, so that a replica that restarts within a second keeps its place, and shorter than the
/// time that operators allow for a repair (4 s on the smallest deployments).
pub const VOTER_SILENCE: Duration = Duration::from_millis(1_500);

/// How long a learner answers nothing before it is taken for gone.
pub const LEARNER_SILENCE: Duration = Duration::from_secs(15);

/// Returns the member that has to leave, if any: the voter that was silent longest, where a learner waits for its place
/// and no further voter is wanted, or a learner that is gone.
///
/// Without this, a voter that is lost for good would count in every quorum, and the next loss would stop the group. A
/// silent voter stays while nobody could replace it: removing it would bring no copy back.
pub fn plan_members(followers: &[FollowerState], voters: usize, wanted_voters: usize) -> Option<ReplicaId> {
    let gone = followers
        .iter()
        .find(|state| !state.voter && state.silence >= LEARNER_SILENCE);
    if let Some(learner) = gone {
        return Some(learner.replica);
    }
    let is_heard = |state: &&FollowerState| state.silence < VOTER_SILENCE;
    let substitute = followers
        .iter()
        .filter(is_heard)
        .any(|state| !state.voter && state.caught_up);
    if !substitute || voters < wanted_voters {
        return None;
    }
    let silent = followers
        .iter()
        .filter(|state| state.voter && state.silence >= VOTER_SILENCE);
    silent.max_by_key(|state| state.silence).map(|state| state.replica)
}
