//! The endpoints of a service that an entry tries first.
//!
//! Entries that choose among all endpoints with old news choose the same ones. Each entry therefore has a slice of them,
//! in which it knows all recent work, because no other entry tries them first.

/// Length of the line on which the endpoints of a service lie, in parts per million.
pub const LINE_PPM: u32 = 1_000_000;

/// A part of the line on which the endpoints of a service lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSlice {
    /// Beginning, in parts per million.
    pub start_ppm: u32,
    /// End, in parts per million; not below the beginning.
    pub end_ppm: u32,
}
