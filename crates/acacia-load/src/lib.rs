//! Open-loop load with a shifting prompt-to-output mix.
//!
//! Requests are sent when they are due, whether or not earlier ones have been answered, as independent callers do. A
//! [`LoadPlan`] says who sends how much; [`run_load`] sends it and returns a [`LoadReport`] with figures for each
//! customer. Every answer is compared with what the stand-ins generate, so that a wrong one is never counted as good.

mod generator;
mod plan;
mod report;
mod request;

pub use generator::run_load;
pub use plan::{CustomerPlan, LoadPlan, RequestShape};
pub use report::{CustomerReport, LatencyReport, LoadReport};
