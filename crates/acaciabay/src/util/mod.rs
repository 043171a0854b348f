//! General-purpose helpers that do not depend on the serving logic.

pub mod byte_delta;
pub mod digest;
pub mod number;
pub mod rendezvous;
