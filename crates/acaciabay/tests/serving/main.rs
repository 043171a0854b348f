//! Tests of serving by host and path. Each decision is compared with its expected result, and some with a naive
//! implementation.

mod cached_parts;
mod clock;
mod config;
mod config_freshness;
mod config_transfer;
mod counts;
mod endpoint_registry;
mod events;
mod fixtures;
mod issued_order;
mod leases;
mod members;
mod pending_renewals;
mod placement;
mod pools;
mod prefill_pace;
mod prefill_placement;
mod prompt_cache;
mod replica_tracker;
mod retry_limiter;
mod stages;
mod state;
mod stopping;
mod suspicion;
mod windows;
