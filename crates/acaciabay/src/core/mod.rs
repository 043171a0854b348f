//! Data types and state: tables, leases, claims, endpoints and the state that the control group replicates.

pub mod answer_end;
pub mod attempt;
pub mod claim;
pub mod clock;
pub mod consensus;
pub mod control_state;
pub mod delivery;
pub mod endpoint;
pub mod endpoint_changes;
pub mod endpoint_rest;
pub mod entry_config;
pub mod fair_queue;
pub mod key;
pub mod member;
pub mod name;
pub mod order;
pub mod pool_admission;
pub mod presence;
pub mod retry_budget;
pub mod serving;
pub mod serving_lease;
pub mod share_table;
pub mod subset_plan;
pub mod table;
pub mod token_latency;
pub mod usage;
