//! Settings files and operators' tables, read from JSON and checked as a whole.
//!
//! A file with three mistakes is reported with three findings, each with its JSON path, and nothing starts. The
//! [`ObjectReader`] collects the findings; the other modules say which fields each document has. `docs/SETTINGS.md`
//! lists them for operators.

mod control_settings;
mod entry_settings;
mod finding;
mod object_reader;
mod serving_settings;
mod standin_settings;
mod table_document;

pub use control_settings::{ControlSettings, DEFAULT_WINDOW};
pub use entry_settings::{AdmissionPolicy, CallerLimits, EntrySettings};
pub use finding::{Finding, Findings, read_document};
pub use object_reader::ObjectReader;
pub use serving_settings::{ServingControlSettings, ServingEntrySettings, WaitingRoomSettings, WindowBoundSettings};
pub use standin_settings::{StandinKind, StandinSettings};
pub use table_document::{pools_from_json, pools_to_json, routes_from_json, routes_to_json};
