//! Distribution of prompt cache contents: entries announce which shared prompt parts they had an engine prefill.
//!
//! With many entries, each one sends only a few prompts and knows little of what engines have cached. It would take a
//! part for cached that no engine has prefilled yet, and a queue of seconds for a short one. Each entry therefore
//! announces the parts that it had prefilled, the leader collects them in a log, and every entry gets what is new since
//! its last request.

use std::collections::{HashMap, HashSet, VecDeque};

use super::prompt::{PartId, PromptPart};
use crate::core::name::EndpointName;

/// A prompt part that an engine has cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptPart {
    /// The engine that has cached the part.
    pub engine: EndpointName,
    /// The cached part.
    pub part: PromptPart,
}

/// Maximum number of rows in the log, from which entries that start are brought up to date. It is about the number of
/// parts that the engines of a deployment have cached.
const MAX_ROWS: usize = 8_192;

/// Maximum number of rows in one answer. The lease for which an entry that starts is waiting arrives behind them.
const MAX_ROWS_PER_ANSWER: usize = 512;

/// A position in the log of cached parts. The log begins at 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPlace(pub u64);

/// Bounded log of the announcements of all entries, in the order of arrival and without duplicates.
#[derive(Debug, Default)]
pub struct KeptLog {
    rows: VecDeque<KeptPart>,
    /// Number of rows that have been dropped from the front, that is, the position of the first row.
    dropped: u64,
    known: HashMap<EndpointName, HashSet<PartId>>,
}

impl KeptLog {
    /// Appends an announcement, unless the log already has it. Drops the oldest row if the log is full.
    pub fn push(&mut self, kept: KeptPart) {
        if !self.known.entry(kept.engine.clone()).or_default().insert(kept.part.id) {
            return;
        }
        self.rows.push_back(kept);
        if self.rows.len() > MAX_ROWS
            && let Some(oldest) = self.rows.pop_front()
        {
            self.dropped += 1;
            self.remove_known(&oldest);
        }
    }

    fn remove_known(&mut self, kept: &KeptPart) {
        if let Some(parts) = self.known.get_mut(&kept.engine) {
            parts.remove(&kept.part.id);
            if parts.is_empty() {
                self.known.remove(&kept.engine);
            }
        }
    }

    /// Returns the rows from `place` on, at most as many as fit into one answer, and the position after them.
    pub fn since(&self, place: LogPlace) -> (impl Iterator<Item = &KeptPart>, LogPlace) {
        let first = place.0.max(self.dropped);
        let skipped = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        let rows = self.rows.iter().skip(skipped).take(MAX_ROWS_PER_ANSWER);
        let next = LogPlace(first + rows.len() as u64);
        (rows, next)
    }
}

/// Announcements that one entry has yet to send.
#[derive(Clone, Debug, Default)]
pub struct CachedPartOutbox {
    announced: HashMap<EndpointName, HashSet<PartId>>,
    pending: Vec<KeptPart>,
}

impl CachedPartOutbox {
    /// Queues announcements that an engine has cached these parts, except for those that are already known.
    pub fn record_prefill(&mut self, engine: &EndpointName, parts: &[PromptPart]) {
        let announced = self.announced.entry(engine.clone()).or_default();
        for part in parts {
            if announced.insert(part.id) {
                self.pending.push(KeptPart {
                    engine: engine.clone(),
                    part: *part,
                });
            }
        }
    }

    /// Records an announcement of another entry, so that this entry does not repeat it.
    pub fn record_announced(&mut self, kept: &KeptPart) {
        self.announced
            .entry(kept.engine.clone())
            .or_default()
            .insert(kept.part.id);
    }

    /// Returns the queued announcements and empties the queue.
    pub fn take_pending(&mut self) -> Vec<KeptPart> {
        std::mem::take(&mut self.pending)
    }

    /// Drops the records of engines that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.announced.retain(|engine, _| is_known(engine));
    }
}
