//! Tests of splitting streams into complete events.

use std::time::{Duration, Instant};

use acaciabay::core::serving::event_stream::{EventSplitter, MAX_EVENT_BYTES, ResumePoint};
use proptest::prelude::*;

use crate::fixtures::fixed_cases;

/// Far more than a linear search of an event of the maximum size takes, and far less than a quadratic one.
const LONG_EVENT_TIME: Duration = Duration::from_secs(5);
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

fn event(id: u64, line_end: &str) -> String {
    format!("id: {id}\ndata: token {id} \u{e9}\n\n").replace('\n', line_end)
}

fn stream(count: u64, line_end: &str) -> Vec<u8> {
    (1..=count)
        .map(|id| event(id, line_end))
        .collect::<Vec<_>>()
        .concat()
        .into_bytes()
}

/// What a splitter has forwarded of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct Forwarded {
    bytes: Vec<u8>,
    count: usize,
}

/// Pushes a stream in pieces of these lengths, and the rest at once.
fn push_in_pieces(splitter: &mut EventSplitter, stream: &[u8], lengths: &[usize]) -> Forwarded {
    let mut forwarded = Forwarded::default();
    let mut rest = stream;
    for length in lengths.iter().copied().chain([usize::MAX]) {
        let (piece, after) = rest.split_at(length.min(rest.len()));
        let events = splitter.push(piece);
        forwarded.bytes.extend_from_slice(&events.bytes);
        forwarded.count += events.count;
        rest = after;
    }
    forwarded
}

fn split(stream: impl AsRef<[u8]>) -> (Forwarded, EventSplitter) {
    let mut splitter = EventSplitter::new();
    let forwarded = push_in_pieces(&mut splitter, stream.as_ref(), &[]);
    (forwarded, splitter)
}

/// An engine crashes in the middle of an event. If the partial event were forwarded, the caller would receive its
/// beginning twice when another engine continues.
#[test]
fn a_partial_event_is_not_forwarded() {
    let (forwarded, splitter) = split("id: 1\ndata: a\n\nid: 2\nda");

    assert_eq!(forwarded.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(forwarded.count, 1);
    assert!(splitter.is_inside_event());
    assert_eq!(splitter.pending_bytes(), 8);
    assert_eq!(splitter.resume_point(), ResumePoint::After(1));
}

/// If the stream went on after the number before, another engine would send the event without a number a second time.
#[test]
fn a_stream_does_not_go_on_after_an_event_without_a_number() {
    let cases = [
        ("", ResumePoint::Start),
        (": comment\n\n", ResumePoint::Start),
        ("id: 7\ndata: a\n\n", ResumePoint::After(7)),
        ("id:7\ndata: a\n\n", ResumePoint::After(7)),
        ("id: 6\nid: 7\ndata: a\n\n", ResumePoint::After(7)),
        ("id: 7\ndata: a\n\n: comment\n\n", ResumePoint::After(7)),
        ("id: 7\ndata: a\n\nretry: 10\n\n", ResumePoint::After(7)),
        ("\u{feff}id: 7\ndata: a\n\n", ResumePoint::After(7)),
        ("id: 7\ndata: a\n\ndata: b\n\n", ResumePoint::Unknown),
        ("id: seven\ndata: a\n\n", ResumePoint::Unknown),
        ("data: a\n\n", ResumePoint::Unknown),
        ("data: a\n\nid: 8\ndata: b\n\n", ResumePoint::After(8)),
    ];
    for (stream, expected) in cases {
        let (_, splitter) = split(stream);

        assert_eq!(splitter.resume_point(), expected, "{stream:?}");
    }
}

#[test]
fn a_stream_is_inside_an_event_until_its_empty_line() {
    let cases = [
        ("", false),
        ("id: 1\ndata: a\n\n", false),
        ("id: 1\r\ndata: a\r\n\r\n", false),
        ("id: 1\rdata: a\r\r", false),
        // The empty line has ended with CR, whether LF belongs to it or not.
        ("id: 1\r\ndata: a\r\n\r", false),
        ("id: 1\ndata: a\n\n\n\n", false),
        ("id: 1\ndata: a\n\n: comment\n", false),
        ("id: 1\ndata: a\n\n: comm", true),
        ("id: 1\ndata: a\n", true),
        ("id: 1\ndata: a", true),
        ("id: 1\n", true),
        ("i", true),
        ("id: 1\r\ndata: a\r\n", true),
    ];
    for (stream, expected) in cases {
        let (_, splitter) = split(stream);

        assert_eq!(splitter.is_inside_event(), expected, "{stream:?}");
    }
}

/// A comment that keeps the connection alive is of no use to the caller later.
#[test]
fn comments_between_events_are_forwarded_at_once() {
    let mut splitter = EventSplitter::new();

    let events = splitter.push(b": alive\n");

    assert_eq!((events.bytes.as_ref(), events.count), (b": alive\n".as_slice(), 0));
    assert!(!splitter.is_inside_event());
}

/// A byte order mark that begins a stream would be part of a field's name if it stood within another one.
#[test]
fn a_continued_stream_has_no_byte_order_mark() {
    let (_, first) = split(event(1, "\n"));
    let marked = format!("\u{feff}{}", event(2, "\n"));

    for lengths in [&[][..], &[1, 1, 1], &[2]] {
        let mut second = first.continued();
        let forwarded = push_in_pieces(&mut second, marked.as_bytes(), lengths);

        assert_eq!(forwarded.bytes, event(2, "\n").as_bytes(), "{lengths:?}");
        assert_eq!(second.resume_point(), ResumePoint::After(2));
    }
    assert_eq!(first.continued().resume_point(), ResumePoint::After(1));
}

/// An engine sends a long event in many small pieces. If each piece were a search through all pieces before, an entry would
/// spend minutes on it.
#[test]
fn a_long_event_costs_no_more_than_many_short_ones() {
    let long = [b"data: ".as_slice(), &vec![b'x'; MAX_EVENT_BYTES - 16], b"\n\n"].concat();
    let mut splitter = EventSplitter::new();
    let began_at = Instant::now();

    let pieces = long.chunks(16).map(|piece| splitter.push(piece));
    let forwarded: usize = pieces.map(|events| events.bytes.len()).sum();

    assert_eq!(forwarded, long.len());
    assert!(began_at.elapsed() < LONG_EVENT_TIME, "{:?}", began_at.elapsed());
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// However the network divides a stream, the events are complete and in order.
    #[test]
    fn any_division_of_a_stream_yields_the_same_events(
        count in 0_u64..20,
        line_end in prop::sample::select(&LINE_ENDS[..]),
        lengths in prop::collection::vec(0_usize..40, 0..60),
    ) {
        let whole = stream(count, line_end);
        let mut splitter = EventSplitter::new();

        let forwarded = push_in_pieces(&mut splitter, &whole, &lengths);

        prop_assert_eq!(forwarded, Forwarded { bytes: whole, count: usize::try_from(count).expect("it is small") });
        prop_assert!(!splitter.is_inside_event());
        let last = if count > 0 { ResumePoint::After(count) } else { ResumePoint::Start };
        prop_assert_eq!(splitter.resume_point(), last);
    }

    /// A stream may be cut at any byte, also within a line end or a character. Exactly the events before the cut are
    /// forwarded, and the next engine is asked for the one that was cut.
    #[test]
    fn a_stream_cut_anywhere_yields_the_events_before_the_cut(
        count in 1_u64..8,
        line_end in prop::sample::select(&LINE_ENDS[..]),
        place in any::<prop::sample::Index>(),
        lengths in prop::collection::vec(0_usize..40, 0..60),
    ) {
        let whole = stream(count, line_end);
        let cut = &whole[..place.index(whole.len() + 1)];
        let mut splitter = EventSplitter::new();

        let forwarded = push_in_pieces(&mut splitter, cut, &lengths);

        let events = (0..=count).rev().find(|events| {
            // An event has ended with CR, whether LF follows or not.
            let end = stream(*events, line_end);
            cut.starts_with(&end) || (line_end == "\r\n" && end.strip_suffix(b"\n").is_some_and(|end| cut.starts_with(end)))
        });
        let events = events.expect("no event fits every cut");
        prop_assert_eq!(forwarded.count as u64, events);
        let rest = stream(events, line_end);
        prop_assert_eq!(splitter.is_inside_event(), cut.len() > rest.len());
        prop_assert_eq!(&forwarded.bytes[..], &cut[..rest.len().min(cut.len())]);
        let point = if events > 0 { ResumePoint::After(events) } else { ResumePoint::Start };
        prop_assert_eq!(splitter.resume_point(), point);
    }

    /// Whatever an endpoint sends, nothing is lost or made up, and nothing is held back that belongs to no event.
    #[test]
    fn any_bytes_are_forwarded_or_pending(
        bytes in prop::collection::vec(prop::sample::select(b"id: 1\r\n\xef\xbb\xbf".to_vec()), 0..200),
        lengths in prop::collection::vec(0_usize..10, 0..60),
    ) {
        let mut splitter = EventSplitter::new();

        let forwarded = push_in_pieces(&mut splitter, &bytes, &lengths);

        prop_assert_eq!(forwarded.bytes.len() + splitter.pending_bytes(), bytes.len());
        prop_assert!(bytes.starts_with(&forwarded.bytes));
        prop_assert_eq!(splitter.is_inside_event(), splitter.pending_bytes() > 0);
        let mut at_once = EventSplitter::new();
        prop_assert_eq!(push_in_pieces(&mut at_once, &bytes, &[]), forwarded);
    }
}
