//! The data folder of one replica.
//!
//! | file | holds |
//! |---|---|
//! | `lock` | nothing; it is locked while a process uses the folder |
//! | `identity` | which replica of which group the folder belongs to |
//! | `snapshot` | the replicated state up to some entry |
//! | `log` | term, vote and the entries after the snapshot, one record for each synced write |
//!
//! Files are replaced by writing a new one beside them, syncing it, renaming it and syncing the folder; the log also
//! grows by records. Every file starts with a format version, and a newer one than this release knows is refused. What
//! a crash may leave is set out in `docs/design/storage.md`, and `tests/storage.rs` crashes at every step.

mod data_folder;
mod identity;
mod log_file;
mod record;
mod snapshot_file;

pub use data_folder::{DataFolder, StoredReplica, forget_replica};
pub use identity::FolderIdentity;
