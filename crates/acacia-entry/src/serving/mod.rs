//! The entry process for calls by host and path.
//!
//! A call passes `call` (lease, route, key, body), then `plain_call` or `stream_call`: the one answers with what one
//! endpoint says, the other has a prompt read by one engine and its tokens made by another, and goes on elsewhere when
//! an engine breaks off. `attempt` is a single send. `shared` is what all calls look at, `choice` picks endpoints
//! by it, and `control_sessions` keeps it up to date, with `config_intake` for the configuration. What calls look like is said by a [`CallCodec`] alone.

mod attempt;
mod call;
mod choice;
mod codec;
mod config_intake;
mod control_sessions;
mod plain_call;
mod prompt_read;
mod refusal;
mod shared;
mod start;
mod stream_body;
mod stream_call;

pub use codec::{AnswerHead, AttemptHead, AttemptRole, CallCodec, CallHead, HeadFault};
pub use refusal::CallRefusal;
pub use start::start;
