//! Helpers without an opinion about serving.

pub mod digest;
pub mod rendezvous;
