//! The control process for calls by host and path: replicated configuration and duties, endpoints that report by
//! themselves, and sessions with the entries.
//!
//! * `founding` finds or founds the group, `peers` takes connections of entries and replicas.
//! * `hub` is what the tasks share; `session` serves one entry or replica, `renewals` answers
//!   entries out of `config_cache`, `observer` listens to the other replicas.
//! * `control_http` answers operators and endpoints through a [`ControlCodec`].
//! * `duties` does what one process at a time may do, through a [`PlatformCodec`]: `usage_windows`, `stage_orders`
//!   with `engine_orders`, `pool_orders`.
//!
//! What calls look like is said by the two codecs alone. `docs/design/machines.md` has the whole picture.

mod codec;
mod config_cache;
mod control_http;
mod duties;
mod engine_orders;
mod founding;
mod hub;
mod observer;
mod peers;
mod pool_orders;
mod renewals;
mod session;
mod stage_orders;
mod start;
mod usage_windows;

pub use codec::{
    ControlAnswer, ControlCall, ControlCodec, DutyStamp, EngineReport, OutboundCall, PlatformCodec, PoolOrder,
};
pub use start::start;
