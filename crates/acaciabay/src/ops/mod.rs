//! Operations over the tables in [`crate::core`].

pub mod check_tables;
pub mod divide_pool;
pub mod engine_room;
mod fill_line;
pub mod place_call;
pub mod place_prompt;
pub mod place_request;
pub mod plan_deliveries;
pub mod plan_members;
pub mod plan_pool;
pub mod plan_stages;
pub mod plan_windows;
pub mod replace_refused;
pub mod route_request;
pub mod split_call;
