//! Helpers without an opinion about serving.

pub mod digest;
pub mod number;
pub mod rendezvous;
