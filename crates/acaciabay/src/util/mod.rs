//! Helpers without an opinion about serving.

pub mod byte_delta;
pub mod digest;
pub mod number;
pub mod rendezvous;
