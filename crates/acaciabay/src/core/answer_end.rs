//! How an endpoint's answer is framed, and how it ended.
//!
//! An entry takes an answer in one framing and sends it on in another, so it must know what it vouches for: the end of a
//! connection is not by itself the end of an answer. `docs/design/answer-ends.md` gives the rules.

/// How the extent of an answer's body is known (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyFraming {
    /// By a length, which is 0 for an answer that has no body.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection alone. Whatever ends it ends the body, whether it is whole or not.
    UntilClose,
}

impl BodyFraming {
    /// Returns the name of the framing in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerEnd {
    /// In order, and with nothing that is known to be missing.
    InOrder,
    /// The connection broke, or closed before the end that the framing declares.
    Broken,
    /// The endpoint sent nothing for too long.
    Silent,
    /// The body ended in order inside an event.
    InsideEvent,
}

impl AnswerEnd {
    /// Returns the name of the end in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::InOrder => "in_order",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::InsideEvent => "inside_event",
        }
    }
}
