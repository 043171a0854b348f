//! W3C trace context: which trace and which span a request belongs to.

use std::fmt;

/// The header that carries the context.
pub const TRACEPARENT: &str = "traceparent";

/// The position of a request in its trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Identifies the whole request, over all processes.
    pub trace: u128,
    /// Identifies the span that the next one is a child of.
    pub span: u64,
}

impl TraceContext {
    /// Reads the header's value; anything that is not version 00 is treated as absent, as the standard asks.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
        if version != "00" || trace.len() != 32 || span.len() != 16 || parts.next()?.len() != 2 {
            return None;
        }
        let trace = u128::from_str_radix(trace, 16).ok().filter(|trace| *trace != 0)?;
        let span = u64::from_str_radix(span, 16).ok().filter(|span| *span != 0)?;
        Some(Self { trace, span })
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}
