//! Choice of the member that leaves the control group, so that a learner can replace a lost voter.

use std::time::Duration;

use crate::core::consensus::{FollowerState, ReplicaId};

/// Time without a reply from a voter after which a learner that has caught up may replace it.
///
/// It is longer than an election and than a restart of up to a second, so that a replica that restarts remains a voter.
/// It is shorter than the time that operators allow for a repair (4 s on the smallest deployments).
pub const VOTER_SILENCE: Duration = Duration::from_millis(1_500);

/// Time without a reply from a learner after which the learner counts as lost.
pub const LEARNER_SILENCE: Duration = Duration::from_secs(15);

/// Returns the member that has to leave, if any.
///
/// A lost learner leaves first. Otherwise the voter that has been silent longest leaves, provided that a learner has
/// caught up and the group has at least `wanted_voters` voters. With fewer voters, the learner becomes an additional
/// voter and none has to leave.
///
/// If a permanently lost voter stayed, it would still count towards the size of the quorum, and the next loss could
/// stop the group. A silent voter stays if no learner can replace it, since its removal would not restore a copy of the
/// log.
pub fn plan_members(followers: &[FollowerState], voters: usize, wanted_voters: usize) -> Option<ReplicaId> {
    let lost_learner = followers
        .iter()
        .find(|state| !state.voter && state.silence >= LEARNER_SILENCE);
    if let Some(learner) = lost_learner {
        return Some(learner.replica);
    }
    let has_replied = |state: &&FollowerState| state.silence < VOTER_SILENCE;
    let substitute = followers
        .iter()
        .filter(has_replied)
        .any(|state| !state.voter && state.caught_up);
    if !substitute || voters < wanted_voters {
        return None;
    }
    let silent = followers
        .iter()
        .filter(|state| state.voter && state.silence >= VOTER_SILENCE);
    silent.max_by_key(|state| state.silence).map(|state| state.replica)
}
