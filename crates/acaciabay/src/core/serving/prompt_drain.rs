//! How fast the queue of a service at one entry drains, measured by the prompts that have left it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::prompt_lane::LaneKey;
use crate::core::clock::BootTime;

/// Length of one measurement.
const BUCKET: Duration = Duration::from_millis(250);
/// Number of measurements that are averaged.
const MAX_BUCKETS: usize = 16;
/// Number of prompts without which the rate is not known. With a few, those that happened to go first would seem to leave
/// nothing for the other urgencies.
const MIN_PROMPTS: usize = 16;

/// Prefill time of the prompts that have left the queue in one interval.
#[derive(Clone, Debug)]
struct DrainBucket {
    start: BootTime,
    sent: BTreeMap<LaneKey, f64>,
    prompts: usize,
    /// True if prompts were waiting all the time. Otherwise the interval says how much arrived, not how much can leave.
    is_saturated: bool,
}

/// Prefill time that leaves the queue per time, in engines: 2 means that two seconds of prefill leave in one second.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRate {
    buckets: VecDeque<DrainBucket>,
}

impl DrainRate {
    /// Begins a new measurement if the present one is over. `is_waiting` is true if prompts have been waiting since the
    /// last call.
    pub(super) fn roll(&mut self, now: BootTime, is_waiting: bool) {
        let current = self.buckets.back_mut();
        let age = current.as_ref().map(|bucket| now.since(bucket.start));
        if let Some(bucket) = current {
            bucket.is_saturated &= is_waiting;
        }
        if age.is_some_and(|age| age < BUCKET) {
            return;
        }
        // After a long pause the sums would stand for a much longer time.
        if age.is_some_and(|age| age > 2 * BUCKET) {
            self.buckets.clear();
        }
        self.buckets.push_back(DrainBucket {
            start: now,
            sent: BTreeMap::new(),
            prompts: 0,
            is_saturated: is_waiting,
        });
        if self.buckets.len() > MAX_BUCKETS + 1 {
            self.buckets.pop_front();
        }
    }

    /// Records a prompt that has left the queue to be prefilled.
    pub(super) fn record(&mut self, lane: LaneKey, prefill: Duration) {
        if let Some(bucket) = self.buckets.back_mut() {
            *bucket.sent.entry(lane).or_default() += prefill.as_secs_f64();
            bucket.prompts += 1;
        }
    }

    /// Returns the rate of the whole queue and that of the lanes before `lane`, or `None` if too little was measured.
    pub(super) fn measured(&self, lane: LaneKey) -> Option<(f64, f64)> {
        let (mut prompts, mut seconds, mut all, mut before) = (0, 0.0, 0.0, 0.0);
        for (bucket, next) in self.buckets.iter().zip(self.buckets.iter().skip(1)) {
            if !bucket.is_saturated {
                continue;
            }
            prompts += bucket.prompts;
            seconds += next.start.since(bucket.start).as_secs_f64();
            all += bucket.sent.values().sum::<f64>();
            before += bucket.sent.range(..lane).map(|(_, sent)| sent).sum::<f64>();
        }
        (prompts >= MIN_PROMPTS && all > 0.0).then(|| (all / seconds, before / seconds))
    }
}
