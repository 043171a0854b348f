//! The configurations that this process has seen lately, and what turns one into another.

use std::collections::VecDeque;

use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::{ConfigDocument, RecentConfigs};
use acaciabay::util::byte_delta::ByteDelta;

/// How many deltas between configurations are kept: entries are behind by one change, a few of them by more.
const KNOWN_DELTAS: usize = 8;

/// What turns one configuration into a later one.
#[derive(Debug)]
struct KnownDelta {
    base: ConfigNumber,
    target: ConfigNumber,
    delta: ByteDelta,
}

/// What all sessions need to bring their entries up to date.
#[derive(Debug, Default)]
pub(super) struct ConfigCache {
    pub(super) recent: RecentConfigs,
    deltas: VecDeque<KnownDelta>,
}

impl ConfigCache {
    /// Returns what turns one configuration into another. All entries need the same deltas, so each is made once.
    pub(super) fn delta_between(&mut self, base: &ConfigDocument, target: &ConfigDocument) -> ByteDelta {
        let wanted = (base.number, target.number);
        let known = self.deltas.iter().find(|known| (known.base, known.target) == wanted);
        if let Some(known) = known {
            return known.delta.clone();
        }
        let delta = ByteDelta::between(&base.document, &target.document);
        self.deltas.truncate(KNOWN_DELTAS - 1);
        self.deltas.push_front(KnownDelta {
            base: base.number,
            target: target.number,
            delta: delta.clone(),
        });
        delta
    }
}
