//! What a prompt consists of.

/// Identifies a part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// One part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Which part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt by its parts, the shared ones first. The last part belongs to the request or to its session alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The model, as the caller names it.
    pub model: String,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The most tokens that the answer may have.
    pub output_tokens: u64,
    /// The parts in their order.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other requests may have in common with this one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }

    /// Returns the key by which requests with the same shared parts find the same endpoint: their last shared part, or
    /// nothing where all parts are the request's own.
    pub fn affinity(&self) -> Option<PartId> {
        self.shared_parts().last().map(|part| part.id)
    }
}
