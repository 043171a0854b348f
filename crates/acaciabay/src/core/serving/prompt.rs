//! The composition of a prompt: its model, its length and the parts that it shares with other prompts.

use std::fmt;

/// Identifier of a prompt part. Requests that share a part use the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Returns identifiers of parts for logs, separated by commas.
pub fn list_parts<'part>(parts: impl IntoIterator<Item = &'part PartId>) -> String {
    let parts: Vec<_> = parts.into_iter().map(ToString::to_string).collect();
    parts.join(",")
}

/// A contiguous part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier of the part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt as a list of parts, the shared ones first. The last part belongs to one request or session alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The model, as the caller names it.
    pub model: String,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the answer in tokens.
    pub output_tokens: u64,
    /// The parts in prompt order.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }

    /// Returns the key that routes requests with the same shared parts to the same endpoint: the last shared part, or
    /// `None` if the prompt has no shared parts.
    pub fn affinity(&self) -> Option<PartId> {
        self.shared_parts().last().map(|part| part.id)
    }
}
