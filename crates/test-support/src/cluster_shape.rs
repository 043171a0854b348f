//! What a cluster consists of.

use serde_json::{Value, json};

/// Where the binaries are; only the crate that builds them knows.
#[derive(Clone, Copy, Debug)]
pub struct ProgramPaths {
    /// `acacia-control`
    pub control: &'static str,
    /// `acacia-entry`
    pub entry: &'static str,
    /// `acacia-standin`
    pub standin: &'static str,
}

/// How many processes of each kind a cluster has.
#[derive(Clone, Debug)]
pub struct ClusterShape {
    /// Replicas of the control group.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Model engines.
    pub engines: usize,
    /// Booking services.
    pub bookings: usize,
    /// Tokens that an engine generates a second for each request.
    pub decode_rate: u32,
    /// Whether endpoints check fencing numbers.
    pub checks_fencing: bool,
    /// Fields that replace those of every entry's settings.
    pub entry_settings: Value,
    /// Fields that replace those of every control host's settings.
    pub control_settings: Value,
    /// Fields that replace those of every endpoint's settings.
    pub endpoint_settings: Value,
    /// Software versions of the first endpoints; the others have that of the stand-in.
    pub endpoint_versions: &'static [&'static str],
    /// Whether there is a platform interface that takes usage windows, as the last endpoint.
    pub platform: bool,
    /// Whether connections to control replicas pass relays that can cut them.
    pub relays: bool,
}

impl Default for ClusterShape {
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 2,
            engines: 1,
            bookings: 1,
            decode_rate: 500,
            checks_fencing: true,
            entry_settings: json!({}),
            control_settings: json!({}),
            endpoint_settings: json!({}),
            endpoint_versions: &[],
            platform: false,
            relays: false,
        }
    }
}
