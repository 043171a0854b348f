//! Request spans, propagated as W3C trace context and exported to a file as OTLP JSON.
//!
//! Each line of the file is one `ExportTraceServiceRequest`, the format that OpenTelemetry's file exporter writes and
//! its collector reads. While the queue is full, spans are dropped and counted, so that a slow disk does not delay
//! requests.

use std::fmt;
use std::io::Write;
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use anyhow::Context;
use rand::Rng;
use serde_json::{Value, json};
use slog::Logger;

use crate::clock::wall_nanos;
use crate::event;

/// Name of the HTTP header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Capacity of the queue of finished spans that wait to be written.
const SPAN_QUEUE_CAPACITY: usize = 8_192;

/// The position of a request in its trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Identifier of the whole request, the same in all processes.
    pub trace_id: u128,
    /// Identifier of the span that becomes the parent of the next one, or 0 at the root of the trace.
    pub span_id: u64,
}

impl TraceContext {
    /// Reads the header's value; anything that is not version 00 is treated as absent, as the standard asks.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let (version, trace_id, span_id) = (parts.next()?, parts.next()?, parts.next()?);
        if version != "00" || trace_id.len() != 32 || span_id.len() != 16 || parts.next()?.len() != 2 {
            return None;
        }
        let trace_id = u128::from_str_radix(trace_id, 16).ok().filter(|id| *id != 0)?;
        let span_id = u64::from_str_radix(span_id, 16).ok().filter(|id| *id != 0)?;
        Some(Self { trace_id, span_id })
    }

    /// Creates the root of a new trace, for a request without a trace context.
    pub fn new_root(random: &mut impl Rng) -> Self {
        Self {
            trace_id: random.random_range(1..u128::MAX),
            span_id: 0,
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

/// Writer of finished spans to the trace file. Without a file, it discards them.
#[derive(Clone, Debug, Default)]
pub struct SpanRecorder {
    queue: Option<SyncSender<SpanRecord>>,
}

#[derive(Debug)]
struct SpanRecord {
    name: &'static str,
    context: TraceContext,
    parent_id: u64,
    started_at: u64,
    ended_at: u64,
    attributes: Vec<(&'static str, String)>,
}

impl SpanRecorder {
    /// Opens the trace file, if a path is set, and starts the thread that writes to it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened.
    pub fn open(path: Option<&Path>, program: &'static str, host: &str, log: &Logger) -> anyhow::Result<Self> {
        let Some(path) = path else { return Ok(Self::default()) };
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let file = file.with_context(|| format!("failed to open the trace file `{}`", path.display()))?;
        let (sender, receiver) = sync_channel(SPAN_QUEUE_CAPACITY);
        let (host, log) = (host.to_owned(), log.clone());
        std::thread::spawn(move || write_spans(&file, &receiver, program, &host, &log));
        Ok(Self { queue: Some(sender) })
    }

    /// Starts a child span of `parent`, which ends when it is dropped.
    pub fn start(&self, name: &'static str, parent: TraceContext) -> ActiveSpan {
        let span_id = rand::rng().random_range(1..u64::MAX);
        ActiveSpan {
            recorder: self.clone(),
            name,
            context: TraceContext {
                trace_id: parent.trace_id,
                span_id,
            },
            parent_id: parent.span_id,
            started_at: wall_nanos(),
            attributes: Vec::new(),
        }
    }
}

/// A span that has started and not yet ended. It is recorded when dropped.
#[derive(Debug)]
pub struct ActiveSpan {
    recorder: SpanRecorder,
    name: &'static str,
    context: TraceContext,
    parent_id: u64,
    started_at: u64,
    attributes: Vec<(&'static str, String)>,
}

impl ActiveSpan {
    /// Returns the context to pass to child spans.
    pub const fn context(&self) -> TraceContext {
        self.context
    }

    /// Adds an attribute to the span.
    pub fn set_attribute(&mut self, key: &'static str, value: &impl ToString) {
        if self.recorder.queue.is_some() {
            self.attributes.push((key, value.to_string()));
        }
    }
}

impl Drop for ActiveSpan {
    fn drop(&mut self) {
        let Some(queue) = &self.recorder.queue else {
            return;
        };
        let record = SpanRecord {
            name: self.name,
            context: self.context,
            parent_id: self.parent_id,
            started_at: self.started_at,
            ended_at: wall_nanos(),
            attributes: std::mem::take(&mut self.attributes),
        };
        if queue.try_send(record).is_err() {
            metrics::counter!("acacia_spans_dropped_total").increment(1);
        }
    }
}

fn write_spans(mut file: &std::fs::File, spans: &Receiver<SpanRecord>, program: &str, host: &str, log: &Logger) {
    let resource = json!({"attributes": [attribute("service.name", program), attribute("host.name", host)]});
    while let Ok(span) = spans.recv() {
        let mut batch = vec![span_to_json(&span)];
        batch.extend(spans.try_iter().map(|span| span_to_json(&span)));
        let scope = json!({"scope": {"name": "acaciabay"}, "spans": batch});
        let request = json!({"resourceSpans": [{"resource": resource, "scopeSpans": [scope]}]});
        // Each line is written in one call, so that a reader sees an incomplete line only briefly.
        if let Err(error) = file.write_all(format!("{request}\n").as_bytes()) {
            slog::warn!(log, "failed to write spans"; "event" => event::SPANS_LOST, "error" => %error);
        }
    }
}

fn attribute(key: &str, value: &str) -> Value {
    json!({"key": key, "value": {"stringValue": value}})
}

fn span_to_json(span: &SpanRecord) -> Value {
    let mut value = json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "name": span.name,
        "kind": 1,
        "startTimeUnixNano": span.started_at.to_string(),
        "endTimeUnixNano": span.ended_at.to_string(),
        "attributes": span.attributes.iter().map(|(key, value)| attribute(key, value)).collect::<Vec<_>>(),
    });
    if span.parent_id != 0 {
        value["parentSpanId"] = json!(format!("{:016x}", span.parent_id));
    }
    value
}
