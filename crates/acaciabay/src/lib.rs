//! The decision logic of acaciabay, without I/O.
//!
//! Nothing in this crate reads a clock, opens a socket or spawns a task. The current time and the source of randomness
//! are arguments, state is held in tables, and operations on those tables return the effects that the caller must carry
//! out. The daemons decode incoming bytes into inputs and encode the effects. This separation allows property tests to
//! compare every decision with a naive implementation, and other programs to embed a single part, for example the
//! [`core::consensus`] replica.
//!
//! [`core`] contains the data types and their state transitions, [`ops`] one function for each operation, and [`util`]
//! helpers that are independent of serving. `docs/design/` explains the larger design choices.

pub mod core;
pub mod ops;
pub mod util;
