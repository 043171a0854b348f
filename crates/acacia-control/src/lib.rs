//! The control daemon: one replica of the group that holds tables, keys, claims, usage and orders.
//!
//! [`start`] brings up its listeners: one for peers (entries and other replicas), one for operators, one for health
//! and metrics. The decisions are the library's; this crate turns frames and HTTP requests into commands.

mod daemon;
mod entry_session;
mod group;
mod operator_api;
mod operator_tables;

pub use daemon::{RunningControl, start};
pub use group::{GroupHandle, NotLeading};
