//! What every daemon needs at its edge and the library must not touch: clocks, logs, signals, metrics, spans.

pub mod admin;
pub mod clock;
pub mod event;
pub mod log;
pub mod metrics_page;
pub mod program;
pub mod trace;
