//! Cache of recent configurations and of the deltas between them.

use std::collections::VecDeque;

use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::{ConfigDocument, RecentConfigs};
use acaciabay::util::byte_delta::ByteDelta;

/// Maximum number of cached deltas. Most entries are one change behind, and a few of them more.
const MAX_DELTAS: usize = 8;

/// The delta from one configuration to a later one.
#[derive(Debug)]
struct CachedDelta {
    base: Option<ConfigNumber>,
    target: Option<ConfigNumber>,
    delta: ByteDelta,
}

/// Configurations and deltas with which all sessions update their entries.
#[derive(Debug, Default)]
pub(super) struct ConfigCache {
    pub(super) recent: RecentConfigs,
    deltas: VecDeque<CachedDelta>,
}

impl ConfigCache {
    /// Returns the delta from `base` to `target`. All sessions need the same deltas, so each is computed only once.
    pub(super) fn delta_between(&mut self, base: &ConfigDocument, target: &ConfigDocument) -> ByteDelta {
        let numbers = (base.number, target.number);
        let cached = self
            .deltas
            .iter()
            .find(|cached| (cached.base, cached.target) == numbers);
        if let Some(cached) = cached {
            return cached.delta.clone();
        }
        let delta = ByteDelta::between(&base.document, &target.document);
        self.deltas.truncate(MAX_DELTAS - 1);
        self.deltas.push_front(CachedDelta {
            base: base.number,
            target: target.number,
            delta: delta.clone(),
        });
        delta
    }
}
