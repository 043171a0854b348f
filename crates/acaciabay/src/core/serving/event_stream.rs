//! Splitting of a byte stream into complete events.
//!
//! An endpoint may fail in the middle of an event. Only complete events are forwarded, so that another endpoint can
//! continue after the last of them without a missing or duplicated part.

use bytes::{Bytes, BytesMut};

/// Byte sequence that terminates an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";
/// Field that contains the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// Complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeEvents {
    /// Bytes of the events, as received.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
    /// Number of the last event that has one.
    pub last_id: Option<u64>,
}

/// Buffers bytes until events are complete.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> WholeEvents {
        self.pending.extend_from_slice(bytes);
        let mut events = WholeEvents::default();
        let mut end = 0;
        while let Some(length) = find(&self.pending[end..], EVENT_TERMINATOR) {
            let event = &self.pending[end..end + length];
            events.count += 1;
            events.last_id = event_id(event).or(events.last_id);
            end += length + EVENT_TERMINATOR.len();
        }
        events.bytes = self.pending.split_to(end).freeze();
        events
    }

    /// Returns the buffered part of an event that is not complete yet.
    pub fn partial_event(&self) -> &[u8] {
        &self.pending
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
