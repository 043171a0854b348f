//! The decisions of acaciabay, free of I/O.
//!
//! Nothing in this crate reads a clock, opens a socket or spawns a task: the present time and the random source are
//! arguments, state lives in tables, and operations over those tables return what the caller has to do. The daemons
//! turn bytes into inputs and effects back into bytes. That split lets every decision run against a naive version in
//! a property test, and lets others embed a single part, for example the [`core::consensus`] replica.
//!
//! [`core`] holds the nouns, [`ops`] one function for each operation, [`util`] what has no opinion. The reasons behind
//! the larger choices stand in `docs/design/`.

pub mod core;
pub mod ops;
pub mod util;
