//! The messages between the system's own processes, and the form in which the control group stores its state.
//!
//! [`generated`] holds the types made from the `.proto` files by `cargo run -p xtask -- generate`. The other modules
//! convert each of them to and from the library's own types, so that generated types stay at the border of a process.
//! A message that lacks a field or holds an impossible value is refused with a [`WireError`] that names the field.

mod allowance_message;
mod control_command;
mod control_state;
mod entry_message;
mod error;
mod frame;
mod limit_message;
mod need_message;
mod origin_message;
mod part_message;
mod relay_message;
mod replica_message;
mod retry_message;
mod serving_message;
mod speed_message;
mod suspect_message;
mod table_row;

pub use allowance_message::{
    allowance_row_from_wire, allowance_row_to_wire, usage_report_from_wire, usage_report_to_wire,
};
pub use control_command::{command_from_bytes, command_to_bytes};
pub use control_state::{state_from_bytes, state_to_bytes};
pub use entry_message::{
    ClaimRequest, EntryAnswer, EntryCall, LeaseRenewal, LeaseRequest, ReportRow, answer_from_wire, answer_to_wire,
    call_from_wire, call_to_wire,
};
pub use error::WireError;
pub use frame::{CONNECT_TIMEOUT, EncodedFrame, FrameReader, FrameWriter, LARGEST_FRAME, split_frames};
pub use limit_message::{limit_answer_from_wire, limit_answer_to_wire, limit_report_from_wire, limit_report_to_wire};
pub use origin_message::{finding_from_wire, finding_to_wire, origin_from_wire, origin_to_wire};
pub use relay_message::{RelayHandshake, RelayMessage, RelayReply, RelayRequest, RelayedRest};
pub use replica_message::{
    entry_from_wire, entry_to_wire, hard_state_from_wire, hard_state_to_wire, message_from_wire, message_to_wire,
    snapshot_from_wire, snapshot_to_wire,
};
pub use retry_message::{retry_demand_from_wire, retry_demand_to_wire};

pub use serving_message::{
    announcement_to_wire, content_from_wire, content_to_wire, counts_from_wire, counts_to_wire, endpoint_from_wire,
    endpoint_to_wire, kept_from_wire, kept_to_wire, newer_config_from_wire, pace_from_wire, pace_to_wire,
    slice_from_wire, slice_to_wire, stage_from_wire, stage_to_wire, use_from_wire, use_to_wire,
};

pub use speed_message::{
    endpoint_pace_from_wire, endpoint_pace_to_wire, endpoint_speed_from_wire, endpoint_speed_to_wire,
};

pub use suspect_message::{
    suspect_answer_from_wire, suspect_answer_to_wire, suspect_report_from_wire, suspect_report_to_wire,
    suspects_from_wire, suspects_to_wire,
};

/// Revision of the messages between entries and replicas that this release understands, as a session's first message says.
pub const MESSAGE_REVISION: u32 = ANNOUNCEMENTS_REVISION;
/// First revision with the allowances of customers and with reports as numbers.
pub const ALLOWANCES_REVISION: u32 = 1;
/// First revision with the limits of endpoints.
pub const LIMITS_REVISION: u32 = 2;
/// First revision with the versions that have begun streams.
pub const ORIGINS_REVISION: u32 = 3;
/// First revision in which a configuration is announced by its number alone, which may be 0.
pub const ANNOUNCEMENTS_REVISION: u32 = 4;

/// The types made from the `.proto` files.
#[expect(missing_docs, reason = "the comments stand in the .proto files")]
#[expect(clippy::pedantic, clippy::large_enum_variant, reason = "generated code")]
pub mod generated {
    /// Commands and snapshots.
    pub mod state {
        include!("generated/acacia.state.rs");
    }
    /// Entries and the control group.
    pub mod entry {
        include!("generated/acacia.entry.rs");
    }
    /// Entries and replicas about calls by host and path.
    pub mod serving {
        include!("generated/acacia.serving.rs");
    }
    /// Replicas among each other.
    pub mod replica {
        include!("generated/acacia.replica.rs");
    }
}
