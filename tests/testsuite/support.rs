//! What all topics share.

use test_support::{ClusterShape, ProgramPaths, TestCluster};

/// Where cargo has put the binaries of this package.
pub(crate) const PATHS: ProgramPaths = ProgramPaths {
    control: env!("CARGO_BIN_EXE_acacia-control"),
    entry: env!("CARGO_BIN_EXE_acacia-entry"),
    standin: env!("CARGO_BIN_EXE_acacia-standin"),
};

/// Starts a cluster of the given shape.
#[expect(
    clippy::needless_pass_by_value,
    reason = "fixtures are written in place by the tests"
)]
pub(crate) fn cluster(shape: ClusterShape) -> TestCluster {
    TestCluster::start(PATHS, &shape)
}
