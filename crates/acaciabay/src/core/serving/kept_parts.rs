//! Which engines keep which shared parts of prompts, told by the entries that had them read there to all others.
//!
//! With many entries each one sends but a few prompts, and knows next to nothing of what engines keep. It would take a
//! part for kept that nobody has read yet, and a queue of seconds for a short one. So each entry tells what it had read,
//! the leader collects it, and every entry is told what is new since it last asked.

use std::collections::{HashMap, HashSet, VecDeque};

use super::prompt::{PartId, PromptPart};
use crate::core::name::EndpointName;

/// An engine keeps a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptPart {
    /// The engine.
    pub engine: EndpointName,
    /// The part.
    pub part: PromptPart,
}

/// Most parts that are remembered for entries that start: about what the engines of a deployment keep.
const MOST_ROWS: usize = 8_192;

/// Most parts that one answer carries: an entry that starts waits for its lease behind them.
const ANSWER_ROWS: usize = 512;

/// A place in the log of kept parts; the log begins at 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPlace(pub u64);

/// What entries have told, each engine and part once, in the order in which it came.
#[derive(Debug, Default)]
pub struct KeptLog {
    rows: VecDeque<KeptPart>,
    /// How many rows came before those that are remembered.
    forgotten: u64,
    known: HashMap<EndpointName, HashSet<PartId>>,
}

impl KeptLog {
    /// Notes what an entry has told.
    pub fn push(&mut self, kept: KeptPart) {
        if !self.known.entry(kept.engine.clone()).or_default().insert(kept.part.id) {
            return;
        }
        self.rows.push_back(kept);
        if self.rows.len() > MOST_ROWS
            && let Some(oldest) = self.rows.pop_front()
        {
            self.forgotten += 1;
            self.forget(&oldest);
        }
    }

    fn forget(&mut self, kept: &KeptPart) {
        if let Some(parts) = self.known.get_mut(&kept.engine) {
            parts.remove(&kept.part.id);
            if parts.is_empty() {
                self.known.remove(&kept.engine);
            }
        }
    }

    /// Returns what came from `place` on, as much as one answer carries, and the place after it.
    pub fn since(&self, place: LogPlace) -> (impl Iterator<Item = &KeptPart>, LogPlace) {
        let first = place.0.max(self.forgotten);
        let skipped = usize::try_from(first - self.forgotten).unwrap_or(usize::MAX);
        let rows = self.rows.iter().skip(skipped).take(ANSWER_ROWS);
        let next = LogPlace(first + rows.len() as u64);
        (rows, next)
    }
}

/// What an entry has to tell.
#[derive(Clone, Debug, Default)]
pub struct KeptNews {
    told: HashMap<EndpointName, HashSet<PartId>>,
    waiting: Vec<KeptPart>,
}

impl KeptNews {
    /// Notes that this entry had an engine read these parts.
    pub fn note_read(&mut self, engine: &EndpointName, parts: &[PromptPart]) {
        let told = self.told.entry(engine.clone()).or_default();
        for part in parts {
            if told.insert(part.id) {
                self.waiting.push(KeptPart {
                    engine: engine.clone(),
                    part: *part,
                });
            }
        }
    }

    /// Notes what another entry has told already.
    pub fn hear(&mut self, kept: &KeptPart) {
        self.told.entry(kept.engine.clone()).or_default().insert(kept.part.id);
    }

    /// Takes what is to be told now.
    pub fn take(&mut self) -> Vec<KeptPart> {
        std::mem::take(&mut self.waiting)
    }

    /// Forgets the engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.told.retain(|engine, _| is_known(engine));
    }
}
