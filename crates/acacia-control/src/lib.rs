//! The control daemon: one replica of the group that holds tables, keys, claims, usage and orders.
//!
//! [`start`] brings up its listeners: one for peers (entries and other replicas), one for operators, one for health
//! and metrics. `driver` is the thread that owns the library's replica and the data folder ([`storage`]); every other
//! task reaches it through a [`GroupHandle`]. The decisions are the library's; this crate turns frames and HTTP
//! requests into commands.

mod daemon;
mod driver;
mod entry_session;
mod group;
mod joining;
mod leader_tasks;
mod operator_api;
mod operator_members;
mod operator_tables;
mod peer_links;
mod peer_listener;
pub mod serving;
mod share_plan;
pub mod storage;

pub use daemon::{RunningControl, form_group, is_formed, start};
pub use group::{GroupHandle, GroupStatus, NotLeading, PendingOutcome};
