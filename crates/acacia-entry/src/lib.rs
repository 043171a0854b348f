//! The entry daemon: takes callers' requests, decides with the library who may run what where, and streams answers.
//!
//! A request passes [`caller_http`](self) (bounds, authentication, routing), then either `completion` (model engines,
//! streamed and resumable) or `service_call` (plain services, some of them at most once). `control_link` keeps the
//! serving lease and the configuration. Nothing in this process must survive it.

mod admission;
mod caller_http;
mod caller_request;
mod completion;
mod completion_body;
mod completion_stream;
mod control_link;
mod daemon;
mod endpoint_http;
mod endpoint_stream;
mod lease_keeper;
mod refusal;
mod service_attempt;
mod service_call;
pub mod serving;
mod shared;
mod suspect_calls;
mod usage_sender;

pub use control_link::{ControlLink, LinkClosed, LinkDriver, LinkStatus};
pub use daemon::{RunningEntry, start};
