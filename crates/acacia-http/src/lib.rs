//! HTTP/1.1 server and client shared by all daemons. The server limits what a client may use, and
//! the client reports whether a failed request was written to the connection.

mod body;
mod client;
mod fetch;
mod message_head;
mod server;
mod watched_stream;

pub use body::{BodyRefusal, ResponseBody, empty_body, full_body, json_response, read_body, text_response};
pub use client::{
    ClientOptions, ConnectFailure, ConnectionChoice, ConnectionPath, Connector, EndpointAnswer, EndpointClient,
    FinishedConnection, NewConnection, SendFailure, connect_from, connect_within, prepare_socket, set_reset_on_close,
};
pub use fetch::{FetchRequest, FetchedAnswer, fetch_json};
pub use message_head::{head_size, keep_alive, path_of, without_hop_by_hop_headers};
pub use server::{ServerBounds, listen, serve_http, serve_http_within};
pub use watched_stream::WriteGuard;
