//! Small fakes of the systems that acaciabay serves: a model engine and a plain service, with faults that tests switch
//! on. They follow the published protocol of `docs/ENDPOINTS.md` and keep a record of what they ran, which is the
//! judge of "not run" and "at most once".

mod engine;
mod fault;
mod order;
mod platform;
mod record;
mod report;
mod routes;
mod service;
mod standin;

pub use engine::{count_tokens, naive_text};
pub use fault::FaultPlan;
pub use record::{OrderRecord, RunRecord, RunState, StandinRecord, WindowRecord};
pub use standin::{RunningStandin, start};
