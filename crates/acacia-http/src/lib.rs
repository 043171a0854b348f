//! HTTP as all daemons use it: a bounded server and a client that knows what it has written.

mod body;
mod client;
mod fetch;
mod server;
mod watched_stream;

pub use body::{BodyRefusal, ResponseBody, empty_body, full_body, json_response, read_body, text_response};
pub use client::{
    ClientOptions, ConnectionChoice, EndpointAnswer, EndpointClient, FinishedConnection, SendFailure, prepare_socket,
};
pub use fetch::{FetchRequest, FetchedAnswer, fetch_json};
pub use server::{ServerBounds, listen, serve_http, serve_http_within};
pub use watched_stream::WriteGuard;
