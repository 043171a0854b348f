//! Access to the operating system shared by all daemons: clocks, logs, signals, metrics and trace spans. The
//! `acaciabay` library must not use these itself.

pub mod admin;
pub mod clock;
pub mod event;
pub mod intake_log;
pub mod log;
pub mod metrics_page;
pub mod program;
pub mod trace;
