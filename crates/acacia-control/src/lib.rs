//! Control daemon: a replica of the group that stores tables, keys, claims, usage and orders.
//!
//! [`start`] opens three listeners: one for peers (entries and other replicas), one for operators, and one for health
//! and metrics. The `driver` thread owns the consensus replica and the data folder ([`storage`]); all other tasks use
//! it through a [`GroupHandle`]. The `acaciabay` library makes the decisions; this crate translates frames and HTTP
//! requests into commands.

mod daemon;
mod driver;
mod entry_session;
mod group;
mod joining;
mod leader_tasks;
mod operator_api;
mod operator_members;
mod operator_quarantine;
mod operator_tables;
mod peer_links;
mod peer_listener;
pub mod serving;
mod share_plan;
pub mod storage;
mod suspect_calls;

pub use daemon::{RunningControl, form_group, is_formed, start};
pub use group::{GroupHandle, GroupStatus, NotLeading, PendingOutcome};
