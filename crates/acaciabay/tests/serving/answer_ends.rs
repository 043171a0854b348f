//! Tests of what the end of an answer's body says about the answer.

use acaciabay::core::answer_end::{AnswerEnd, BodyEnd, BodyFraming, StreamProgress};

const FRAMINGS: [BodyFraming; 3] = [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose];

const fn progress(events: usize) -> StreamProgress {
    StreamProgress {
        events,
        is_inside_event: false,
        may_be_empty: false,
    }
}

const fn inside_event(events: usize) -> StreamProgress {
    StreamProgress {
        is_inside_event: true,
        ..progress(events)
    }
}

const fn possibly_empty() -> StreamProgress {
    StreamProgress {
        may_be_empty: true,
        ..progress(0)
    }
}

/// A body that ends in order may still be cut. Half an event would reach the caller as a complete answer.
#[test]
fn a_stream_is_whole_only_if_its_body_is_and_no_event_is_cut() {
    for framing in FRAMINGS {
        let end = |body, progress| AnswerEnd::of_stream(framing, body, progress);

        assert_eq!(end(BodyEnd::InOrder, progress(3)), AnswerEnd::InOrder);
        assert_eq!(end(BodyEnd::InOrder, inside_event(3)), AnswerEnd::InsideEvent);
        assert_eq!(end(BodyEnd::InOrder, inside_event(0)), AnswerEnd::InsideEvent);
        assert_eq!(end(BodyEnd::Broken, progress(3)), AnswerEnd::Broken);
        assert_eq!(end(BodyEnd::Broken, inside_event(3)), AnswerEnd::Broken);
        assert_eq!(end(BodyEnd::Silent, progress(3)), AnswerEnd::Silent);
    }
}

/// A crash right after the head looks like an empty answer without framing. One that is framed says that it is empty.
#[test]
fn a_stream_without_events_is_whole_only_if_the_engine_says_so() {
    let end = |framing, progress| AnswerEnd::of_stream(framing, BodyEnd::InOrder, progress);

    assert_eq!(end(BodyFraming::UntilClose, progress(0)), AnswerEnd::NoEvent);
    assert_eq!(end(BodyFraming::UntilClose, possibly_empty()), AnswerEnd::InOrder);
    assert_eq!(end(BodyFraming::Length, progress(0)), AnswerEnd::InOrder);
    assert_eq!(end(BodyFraming::Chunked, progress(0)), AnswerEnd::InOrder);
}

/// An engine that sends the last chunk inside an event lives. If that counted as a crash, calls that it garbles would be
/// suspected of ending engines.
#[test]
fn only_an_end_of_the_connection_may_be_a_crash() {
    let may_be_crash = |end: AnswerEnd| FRAMINGS.map(|framing| end.may_be_crash(framing));

    assert_eq!(may_be_crash(AnswerEnd::Broken), [true; 3]);
    assert_eq!(may_be_crash(AnswerEnd::InsideEvent), [false, false, true]);
    assert_eq!(may_be_crash(AnswerEnd::NoEvent), [false, false, true]);
    assert_eq!(may_be_crash(AnswerEnd::InOrder), [false; 3]);
    assert_eq!(may_be_crash(AnswerEnd::Silent), [false; 3]);
    assert_eq!(may_be_crash(AnswerEnd::EventTooLarge), [false; 3]);
}

#[test]
fn a_plain_answer_is_whole_if_its_body_is() {
    assert!(AnswerEnd::of_plain(BodyEnd::InOrder).is_whole());
    assert!(!AnswerEnd::of_plain(BodyEnd::Broken).is_whole());
    assert!(!AnswerEnd::of_plain(BodyEnd::Silent).is_whole());
}
