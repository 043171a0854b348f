//! Fixtures of the process-level tests: real binaries on loopback addresses of their own.
//!
//! A [`TestCluster`] writes settings into a temporary folder and starts programs from it. Each cluster has an IP address
//! of its own within 127.0.0.0/8 and fixed ports below the range from which the system draws, so that a program can be
//! started again under its old address and clusters of parallel tests never meet. Tests wait for logged events and for
//! states that they poll, with a bound, and never for a fixed time to pass.

mod caller;
mod cluster;
mod cluster_settings;
mod cluster_shape;
mod cluster_waits;
mod endless_endpoint;
mod endpoint_path;
mod program;
mod relay;
mod wait;

pub use caller::{Caller, StreamedAnswer};
pub use cluster::TestCluster;
pub use cluster_shape::{ClusterShape, ProgramPaths};
pub use endless_endpoint::{EndlessBytes, EndlessEndpoint};
pub use endpoint_path::{CutFace, EndpointPath};
pub use program::{Program, unread_bytes};
pub use relay::Relay;
pub use wait::wait_until;
