//! Data folder of a replica.
//!
//! | file | content |
//! |---|---|
//! | `lock` | none; a process holds a lock on the file while it uses the folder |
//! | `identity` | group and replica that the folder belongs to |
//! | `snapshot` | replicated state up to a log entry |
//! | `log` | term, vote and the entries after the snapshot, with one record per synced write |
//!
//! To replace a file, the new content is written to a temporary file and synced, the temporary file is renamed over the
//! old file, and the folder is synced. New log entries are appended to `log` as records. Every file except `lock` has a
//! header with the format version; a version that is newer than this release supports is rejected. The states that a
//! crash can leave behind are described in `docs/design/storage.md`, and `tests/storage.rs` crashes at every step.

mod data_folder;
mod identity;
mod log_file;
mod record;
mod snapshot_file;

pub use data_folder::{DataFolder, StoredReplica, reset_identity};
pub use identity::FolderIdentity;
