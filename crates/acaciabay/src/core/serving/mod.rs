//! Serving by host and path: what an operator configures as one numbered document, and what an entry knows of endpoints.
//!
//! * [`config`] is the configuration, [`config_index`] finds a call's route and customer in it; [`config_freshness`] says
//!   whether it is the newest.
//! * [`config_transfer`] hands configurations over a connection, [`pending_renewals`] says when an entry asks.
//! * [`endpoint_registry`] orders what endpoints say of themselves, whichever way and however late it arrives.
//! * [`prompt`] and [`part_memory`] say what a prompt consists of and which endpoint has read which part.
//! * [`kept_parts`] tells all entries which engines keep which parts.
//! * [`endpoint_load`] is the work that every endpoint still has before it.
//! * [`answer_pace`] says after which silence an engine is doubted, [`shared_suspicion`] which ones all entries leave out.
//! * [`event_stream`] cuts an answer into whole events.
//! * [`stream_peak`] remembers how many streams ran at once.
//! * [`group_clock`] is the wall clock that most replicas agree on.
//! * [`replica_tracker`] says which replicas an entry hears, and which it asks.
//! * [`start_counts`] counts the calls that began, by window and customer.
//! * [`reading_pace`] says how fast engines read, [`reading_need`] how many endpoints that takes.
//! * [`issued_order`] is what became of an order for endpoints.
//! * [`lease_recovery`] says what becomes of calls while an entry has no lease.
//! * [`stop_phase`] says what an entry still takes that was asked to stop.
//! * [`retry_limiter`] bounds second sends, [`duty`] numbers who acts for the system.
//!
//! `docs/design/machines.md` has the programs in which these parts meet.

pub mod answer_pace;
pub mod config;
pub mod config_freshness;
pub mod config_index;
pub mod config_transfer;
pub mod duty;
pub mod endpoint_load;
pub mod endpoint_registry;
pub mod event_stream;
pub mod group_clock;
pub mod issued_order;
pub mod kept_parts;
pub mod lease_recovery;
pub mod part_memory;
pub mod pending_renewals;
pub mod prompt;
pub mod reading_need;
pub mod reading_pace;
pub mod replica_tracker;
pub mod retry_limiter;
pub mod serving_state;
pub mod shared_suspicion;
pub mod start_counts;
pub mod stop_phase;
pub mod stream_peak;
