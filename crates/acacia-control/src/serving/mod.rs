//! The control process of deployments that route calls by host and path. It replicates the configuration, keeps the
//! registry of endpoints from their own reports, and serves sessions with the entries.
//!
//! * `bootstrap` creates the group or obtains a place in it; `peers` accepts connections from entries and replicas.
//! * `shared` holds the state that the tasks share, `soft_state` the part that is not replicated. `session` serves one
//!   entry or replica, `renewals` answers the lease renewals of entries with configurations from `config_cache`, and
//!   `observer` receives the endpoint reports that other replicas got.
//! * `allowances` limits the use of customers over all entries, and `endpoint_limits` divides the limits that endpoints
//!   name among them. `service_retries` grants retries from the slack of their limits.
//! * `control_http` answers operators and endpoints through a [`ControlCodec`].
//! * `duties` runs the work that only one process at a time may do, through a [`PlatformCodec`]: `usage_windows`,
//!   `pool_orders`, and `stage_orders` with `engine_orders`.
//!
//! Only the two codecs know the format of the HTTP calls. The design is described in `docs/design/machines.md`.

mod allowances;
mod bootstrap;
mod codec;
mod config_cache;
mod control_http;
mod duties;
mod endpoint_limits;
mod endpoint_speeds;
mod engine_orders;
mod observer;
mod peers;
mod pool_orders;
mod renewals;
mod service_retries;
mod session;
mod shared;
mod soft_state;
mod software_versions;
mod stage_orders;
mod start;
mod stream_origins;
mod usage_windows;

pub use codec::{
    ControlAnswer, ControlCall, ControlCodec, DutyStamp, EngineReport, OutboundCall, PlatformCodec, PoolOrder,
};
pub use start::start;
