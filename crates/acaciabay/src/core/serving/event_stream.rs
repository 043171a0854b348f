//! Splitting of a byte stream into complete events.
//!
//! An endpoint may fail in the middle of an event. Only complete events are forwarded, so that another endpoint can
//! continue after the last of them without a missing or duplicated part. The format is that of the HTML standard
//! ("server-sent events"): lines end with LF, CR LF or CR, and an empty line ends an event.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event, in bytes. Without a limit, an endpoint that never ends one would fill the entry's memory.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

const DATA_FIELD: &[u8] = b"data";
/// Name of the field that contains the number of an event.
const ID_FIELD: &[u8] = b"id";
/// Byte order mark, which may stand before the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeEvents {
    /// Bytes of the events, as received, with the comments and empty lines between them.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
}

/// Place in a stream after which another endpoint may be asked to continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// Nothing has been forwarded: the stream may begin where it was to begin.
    Start,
    /// After the event with this number.
    After(u64),
    /// The last event has no number. Any other endpoint would leave a gap, or send events a second time.
    Unknown,
}

impl ResumePoint {
    /// Returns the number of the event to continue after, if there is one.
    pub const fn event(self) -> Option<u64> {
        match self {
            Self::After(event) => Some(event),
            Self::Start | Self::Unknown => None,
        }
    }
}

/// Place of a line in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinePlace {
    /// A byte order mark may stand before it.
    FirstOfStream,
    /// A byte order mark may stand before it, and is not forwarded: it would be part of a field of the stream that is
    /// continued.
    FirstOfContinuation,
    Later,
}

/// What the current event has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum EventFields {
    #[default]
    None,
    /// Fields without data. A client ignores the event, but not its number.
    Other,
    /// Data, and maybe other fields.
    Data,
}

/// Buffers bytes until events are complete. The work is proportional to the number of bytes, however they are divided.
#[derive(Clone, Debug)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes that have been examined.
    examined: usize,
    /// Place in the pending bytes at which the current line begins.
    line_start: usize,
    /// True if the line before the current one has ended with CR, so that a LF at its beginning belongs to that end.
    after_cr: bool,
    line: LinePlace,
    fields: EventFields,
    /// Number of the current event, from its last `id` field.
    event_id: Option<u64>,
    resume_point: ResumePoint,
}

impl EventSplitter {
    /// Creates a splitter for the stream that begins an answer.
    pub fn new() -> Self {
        Self {
            pending: BytesMut::new(),
            examined: 0,
            line_start: 0,
            after_cr: false,
            line: LinePlace::FirstOfStream,
            fields: EventFields::None,
            event_id: None,
            resume_point: ResumePoint::Start,
        }
    }

    /// Creates a splitter for a stream that continues this one after its last complete event.
    #[must_use]
    pub fn continued(&self) -> Self {
        Self {
            line: LinePlace::FirstOfContinuation,
            resume_point: self.resume_point,
            ..Self::new()
        }
    }

    /// Appends bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> WholeEvents {
        self.pending.extend_from_slice(bytes);
        self.drop_byte_order_mark();
        let (mut count, mut whole) = (0, 0);
        while let Some(length) = self.pending[self.examined..].iter().position(|byte| is_line_end(*byte)) {
            let end = self.examined + length;
            let is_second_half = self.after_cr && end == self.line_start && self.pending[end] == b'\n';
            if !is_second_half {
                count += usize::from(self.end_line(end));
            }
            self.after_cr = self.pending[end] == b'\r';
            self.examined = end + 1;
            self.line_start = self.examined;
            if self.fields == EventFields::None {
                whole = self.examined;
            }
        }
        self.examined = self.pending.len() - whole;
        self.line_start -= whole;
        let bytes = self.pending.split_to(whole).freeze();
        WholeEvents { bytes, count }
    }

    /// Returns the place after the last complete event.
    pub const fn resume_point(&self) -> ResumePoint {
        self.resume_point
    }

    /// Returns true if the bytes so far end inside an event. A line whose end is missing counts too, even a comment: the
    /// endpoint was still writing it.
    pub fn is_inside_event(&self) -> bool {
        self.fields != EventFields::None || self.line_start < self.pending.len()
    }

    /// Returns the number of buffered bytes, which belong to an event that is not complete yet.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Removes a byte order mark from a stream that continues another one.
    fn drop_byte_order_mark(&mut self) {
        if self.line == LinePlace::FirstOfContinuation && self.pending.starts_with(BYTE_ORDER_MARK) {
            self.pending.advance(BYTE_ORDER_MARK.len());
            self.examined = 0;
        }
    }

    /// Examines the line that ends at `end`. Returns true if it ends an event.
    fn end_line(&mut self, end: usize) -> bool {
        let line = &self.pending[self.line_start..end];
        let marked = line
            .strip_prefix(BYTE_ORDER_MARK)
            .filter(|_| self.line == LinePlace::FirstOfStream);
        let (name, value) = split_field(marked.unwrap_or(line));
        let is_empty = name.is_empty() && value.is_none();
        if name == ID_FIELD {
            self.event_id = value.and_then(read_number);
        }
        // A line that begins with a colon is a comment.
        if name == DATA_FIELD {
            self.fields = EventFields::Data;
        } else if !name.is_empty() && self.fields == EventFields::None {
            self.fields = EventFields::Other;
        }
        self.line = LinePlace::Later;
        is_empty && self.end_event()
    }

    /// Ends the current event. Returns false if there is none, but only an empty line or comments.
    fn end_event(&mut self) -> bool {
        let fields = std::mem::take(&mut self.fields);
        match self.event_id.take() {
            Some(id) => self.resume_point = ResumePoint::After(id),
            None if fields == EventFields::Data => self.resume_point = ResumePoint::Unknown,
            None => {}
        }
        fields != EventFields::None
    }
}

impl Default for EventSplitter {
    fn default() -> Self {
        Self::new()
    }
}

const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Splits a line into the name of its field, which is empty for a comment, and the value after the colon.
fn split_field(line: &[u8]) -> (&[u8], Option<&[u8]>) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => (&line[..colon], Some(&line[colon + 1..])),
        None => (line, None),
    }
}

fn read_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
