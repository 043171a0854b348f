//! Estimate of the prompt parts that an endpoint has cached.
//!
//! An entry updates it when it sends a prompt to the endpoint, and from the announcements of other entries.

use std::collections::{BTreeMap, HashMap};

use super::prompt::{PartId, PromptPart};

/// Estimate of one endpoint's prompt cache. The least recently used part is evicted first.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheEstimate {
    parts: HashMap<PartId, CachedPartUse>,
    by_use: BTreeMap<u64, PartId>,
    tokens: u64,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPartUse {
    tokens: u64,
    used: u64,
}

impl PromptCacheEstimate {
    /// Returns the length of the cached prefix of a prompt in tokens: the parts before the first one that is not
    /// cached.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Records that the endpoint has prefilled these parts. Evicts the least recently used ones until the rest fits
    /// into `capacity` tokens.
    pub fn record_prefill(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            self.uses += 1;
            let used = self.uses;
            let entry = CachedPartUse {
                tokens: part.tokens,
                used,
            };
            if let Some(known) = self.parts.insert(part.id, entry) {
                self.by_use.remove(&known.used);
                self.tokens -= known.tokens;
            }
            self.by_use.insert(used, part.id);
            self.tokens += part.tokens;
        }
        while self.tokens > capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(known) = self.parts.remove(&oldest) {
                self.tokens -= known.tokens;
            }
        }
    }

    /// Returns the total number of cached tokens.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}
