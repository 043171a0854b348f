//! How an endpoint's answer is framed, and how it ended.
//!
//! An entry takes an answer in one framing and sends it on in another, so it must know what it vouches for: the end of a
//! connection is not by itself the end of an answer. `docs/design/answer-ends.md` gives the rules.

use super::serving::event_stream::ResumePoint;

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

/// How the body of an answer came to its end, as the HTTP client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyEnd {
    /// As the framing declares, or, without framing, by an orderly close of the connection.
    InOrder,
    /// The connection broke, or closed before the end that the framing declares.
    Broken,
    /// The deadline of the call passed before.
    Overdue,
}

/// What had been received of an event stream when its body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    /// Number of complete events from this endpoint.
    pub events: usize,
    /// True if an event or a line is not complete.
    pub is_inside_event: bool,
    /// What it was asked for.
    pub asked: AskedEvents,
}

impl StreamProgress {
    /// Returns what the next endpoint is asked for if the stream goes on at `resume_point`.
    pub const fn asked_next(self, resume_point: ResumePoint) -> AskedEvents {
        // An event that was known to come still is if none has come since.
        let was_known = matches!(self.asked, AskedEvents::KnownRest) && self.events == 0;
        if self.is_inside_event || was_known {
            return AskedEvents::KnownRest;
        }
        match resume_point {
            ResumePoint::Start => AskedEvents::All,
            ResumePoint::After(_) | ResumePoint::Unknown => AskedEvents::Rest,
        }
    }
}

/// Events that an endpoint was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedEvents {
    /// All of an answer.
    All,
    /// Those after an event, of which there may be none.
    Rest,
    /// What is left of an answer, when another endpoint was cut off in the next event.
    KnownRest,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerEnd {
    /// In order, and with nothing that is known to be missing.
    InOrder,
    /// The connection broke, or closed before the end that the framing declares.
    Broken,
    /// The endpoint was silent, and another one has taken the call over.
    Silent,
    /// The deadline of the call passed before the answer was whole.
    DeadlinePassed,
    /// The body ended in order inside an event.
    InsideEvent,
    /// The body ended in order before the first event, although there is one.
    NoEvent,
    /// An event became larger than an entry buffers.
    EventTooLarge,
    /// The endpoint sent comments without end in place of events.
    Endless,
}

impl AnswerEnd {
    /// Returns how an event stream ended.
    ///
    /// A stream is whole if its body is and no event is cut. Without framing, the end of the connection between two events
    /// is the only end that there is, so it counts, but not before the first event: a generation has at least one. A rest of
    /// which an event is known has one too, whatever the framing.
    pub const fn of_stream(framing: BodyFraming, body: BodyEnd, progress: StreamProgress) -> Self {
        match body {
            BodyEnd::Broken => Self::Broken,
            BodyEnd::Overdue => Self::DeadlinePassed,
            BodyEnd::InOrder if progress.is_inside_event => Self::InsideEvent,
            BodyEnd::InOrder if progress.events > 0 => Self::InOrder,
            BodyEnd::InOrder => match (progress.asked, framing) {
                (AskedEvents::KnownRest, _) | (AskedEvents::All, BodyFraming::UntilClose) => Self::NoEvent,
                (AskedEvents::All, BodyFraming::Length | BodyFraming::Chunked) | (AskedEvents::Rest, _) => {
                    Self::InOrder
                }
            },
        }
    }

    /// Returns true if nothing is known to be missing.
    pub const fn is_whole(self) -> bool {
        matches!(self, Self::InOrder)
    }

    /// Returns true if the connection ended before the answer was whole, as it does if the endpoint crashes. An endpoint
    /// that ends a framed body itself has not crashed.
    pub const fn may_be_crash(self, framing: BodyFraming) -> bool {
        match self {
            Self::Broken => true,
            Self::InsideEvent | Self::NoEvent => matches!(framing, BodyFraming::UntilClose),
            Self::InOrder | Self::Silent | Self::DeadlinePassed | Self::EventTooLarge | Self::Endless => false,
        }
    }

    /// Returns the name of the end in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::InOrder => "in_order",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::DeadlinePassed => "deadline",
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
            Self::EventTooLarge => "event_too_large",
            Self::Endless => "endless",
        }
    }
}
