//! Entry process that routes calls by host and path.
//!
//! `call` checks the lease, route, key and body of a call and passes it to `plain_call` or `stream_call`, and
//! `allowance_charge` takes its cost from the customer's allowance. A plain call is answered by a single endpoint. The
//! prompt of a stream call may be prefilled by one engine (`prefill`) and decoded
//! by another, and the stream is resumed at another one if the engine breaks off (`stream_body`). Both send calls to
//! endpoints by `attempt`, within the retries of `retry_permits` (`write_permits`), and what else an endpoint is asked by `endpoint_request`.
//!
//! While engines are short, prompts wait at the entry until they may be prefilled (`prompt_queue`, `prefill_capacity`).
//!
//! A call whose engine is silent stays there until another engine has taken it over (`handover`, `stream_opening`).
//!
//! A stream goes on only at the software version that has begun it. `stream_origins` tells the replicas of the streams that
//! this entry begins, `taken_stream` asks them for one that a caller takes up, and `incarnation_check` asks an
//! endpoint that is to go on whether it has started again.
//!
//! `endpoint_paths` opens the connections to endpoints, over another entry where the direct path is lost: `relay_client`
//! asks for that, and `relay_server` is the other entry's side.
//!
//! `answer_buffer` reads answers ahead of callers that read slowly, within a bound that covers request bodies as well.
//!
//! All calls use the state in `shared`, from which `endpoint_choice` selects endpoints within the limits that they name
//! (`endpoint_limits`) and outside the rests that they ask for (`endpoint_rests`), by `engine_lines` where the entry has a
//! slice of them. `control_sessions` keeps this
//! state up to date over its sessions with the replicas: it sends the requests of `renewal_message`, and
//! `config_install` and `endpoint_news` handle what the replicas send. The wire format of calls is defined by a
//! [`CallCodec`].

mod allowance_charge;
mod answer_buffer;
mod answer_source;
mod attempt;
mod call;
mod codec;
mod config_install;
mod control_sessions;
mod endpoint_choice;
mod endpoint_limits;
mod endpoint_news;
mod endpoint_paths;
mod endpoint_request;
mod endpoint_rests;
mod endpoint_speeds;
mod engine_lines;
mod handover;
mod incarnation_check;
mod plain_body;
mod plain_call;
mod prefill;
mod prefill_capacity;
mod prefill_search;
mod prompt_queue;
mod refusal;
mod relay_client;
mod relay_server;
mod renewal_message;
mod retry_permits;
mod shared;
mod start;
mod stream_body;
mod stream_call;
mod stream_opening;
mod stream_origins;
mod taken_stream;
mod write_permits;

pub use codec::{AnswerHead, AttemptHead, AttemptRole, CallCodec, CallHead, EarlierAttempt, HeadError};
pub use refusal::{CallRefusal, QUARANTINE_RETRY_DELAY};
pub use start::start;
