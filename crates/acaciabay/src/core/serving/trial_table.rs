//! Trials of suspect calls: at most one entry at a time sends a call under which endpoints have ended repeatedly.
//!
//! Without this rule, every entry that a caller turns to would send the call once more before the next ending is known. The
//! table is soft state of the leader. A new leader may allow a trial while one is running; that costs one endpoint at most.

use std::collections::BTreeMap;
use std::time::Duration;

use super::call_fingerprint::CallFingerprint;
use crate::core::clock::BootTime;
use crate::core::name::HostName;

/// Time after which a trial whose entry says nothing more is over. Few calls take longer.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after an ending during which no trial is allowed, because the call is being judged.
const JUDGEMENT_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct RunningTrial {
    /// Entry that may send the call, or `None` while the call is being judged.
    host: Option<HostName>,
    until: BootTime,
}

/// The trials that are running.
#[derive(Clone, Debug, Default)]
pub struct TrialTable {
    trials: BTreeMap<CallFingerprint, RunningTrial>,
}

impl TrialTable {
    /// Allows an entry to send a call, unless another one may. Returns true if the entry may send it.
    pub fn allow(&mut self, now: BootTime, host: &HostName, fingerprint: CallFingerprint) -> bool {
        self.trials.retain(|_, trial| now < trial.until);
        let trial = self.trials.entry(fingerprint).or_insert_with(|| RunningTrial {
            host: Some(host.clone()),
            until: now + TRIAL_TIMEOUT,
        });
        trial.host.as_ref() == Some(host)
    }

    /// Ends the trial of an entry.
    pub fn release(&mut self, host: &HostName, fingerprint: CallFingerprint) {
        self.trials
            .retain(|known, trial| *known != fingerprint || trial.host.as_ref() != Some(host));
    }

    /// Records that an endpoint has ended under a call, so that it is judged before it is tried again.
    pub fn record_ending(&mut self, now: BootTime, fingerprint: CallFingerprint) {
        let judged = RunningTrial {
            host: None,
            until: now + JUDGEMENT_TIME,
        };
        self.trials.insert(fingerprint, judged);
    }
}
