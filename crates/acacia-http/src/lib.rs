//! HTTP/1.1 server and client shared by all daemons. The server limits what a client may use, and
//! the client reports whether a failed request was written to the connection.

mod body;
mod caller_body;
mod caller_stream;
mod client;
mod connector;
mod fetch;
mod framing;
mod head_account;
mod intake;
mod message_head;
mod server;
mod socket;
mod watched_stream;

pub use body::{BodyRefusal, ResponseBody, empty_body, full_body, json_response, read_body, text_response};
pub use client::{ClientOptions, ConnectionChoice, EndpointAnswer, EndpointClient, FinishedConnection, SendFailure};
pub use connector::{ConnectFailure, ConnectionPath, Connector, NewConnection};
pub use fetch::{FetchRequest, FetchedAnswer, fetch_json};
pub use framing::body_framing;
pub use intake::BodyIntake;
pub use message_head::{head_size, keep_alive, path_of, requested_rest, rest_request, without_hop_by_hop_headers};
pub use server::{ServerBounds, listen, serve_http, serve_http_within};
pub use socket::{connect_from, connect_within, prepare_socket, set_reset_on_close};
pub use watched_stream::WriteGuard;
