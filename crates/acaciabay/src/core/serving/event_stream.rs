//! Cutting a stream of bytes into whole events.
//!
//! An endpoint may break off in the middle of an event. Only whole events are passed on, so that another endpoint can
//! go on after the last of them without a piece missing or coming twice.

use bytes::{Bytes, BytesMut};

/// What stands at the end of an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";
/// The field that carries an event's number.
const ID_FIELD: &[u8] = b"id:";

/// Events that have arrived whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes, as they came.
    pub bytes: Bytes,
    /// How many they are.
    pub count: usize,
    /// The number of the last one that carries a number.
    pub last_id: Option<u64>,
}

/// Gathers bytes until events are whole.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
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

    /// Returns what is left of an event that has not ended.
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
