//! Tests of splitting streams into complete events.

use acaciabay::core::serving::event_stream::EventSplitter;
use proptest::prelude::*;

use crate::fixtures::fixed_cases;

fn stream(count: u64) -> Vec<u8> {
    let events = (1..=count).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect::<String>().into_bytes()
}

/// An engine crashes in the middle of an event. If the partial event were forwarded, the caller would receive its
/// beginning twice when another engine continues.
#[test]
fn a_partial_event_is_not_forwarded() {
    let mut splitter = EventSplitter::default();

    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");

    assert_eq!(events.bytes.as_ref(), b"id: 1\ndata: a\n\n");
    assert_eq!((events.count, events.last_id), (1, Some(1)));
    assert_eq!(splitter.partial_event(), b"id: 2\nda");
}

#[test]
fn an_event_without_a_number_keeps_the_one_before() {
    let mut splitter = EventSplitter::default();

    let events = splitter.push(b"id: 7\ndata: a\n\ndata: b\n\n");

    assert_eq!((events.count, events.last_id), (2, Some(7)));
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// However the network divides a stream, the events are complete and in order.
    #[test]
    fn any_division_of_a_stream_yields_the_same_events(count in 0_u64..20, cuts in prop::collection::vec(1_usize..40, 0..60)) {
        let whole = stream(count);
        let mut splitter = EventSplitter::default();
        let (mut passed, mut events, mut last_id, mut place) = (Vec::new(), 0, None, 0);
        let mut lengths = cuts.into_iter();
        while place < whole.len() {
            let end = (place + lengths.next().unwrap_or(usize::MAX / 2)).min(whole.len());
            let cut = splitter.push(&whole[place..end]);
            prop_assert!(cut.bytes.is_empty() || cut.bytes.ends_with(b"\n\n"));
            passed.extend_from_slice(&cut.bytes);
            events += cut.count;
            last_id = cut.last_id.or(last_id);
            place = end;
        }
        prop_assert_eq!(passed, whole);
        prop_assert_eq!(events as u64, count);
        prop_assert_eq!(last_id, (count > 0).then_some(count));
        prop_assert!(splitter.partial_event().is_empty());
    }
}
