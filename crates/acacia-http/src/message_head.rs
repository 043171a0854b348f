//! Heads of messages that are passed on: what concerns one connection only, and how large a head is.

use std::time::Duration;

use hyper::header::{
    CONNECTION, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Uri};

/// How long the sender keeps the connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// What a header takes beside its name and value: a colon, a space and the end of the line.
const HEADER_FRAME: usize = 4;

/// Removes what concerns one connection only, and what a `Connection` header names as such, except what has to reach the
/// other end in any case.
pub fn without_hop_headers(headers: &HeaderMap, end_to_end: &[HeaderName]) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(CONNECTION).iter();
    let named = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    for name in named {
        if let Ok(name) = name.trim().parse::<HeaderName>()
            && !end_to_end.contains(&name)
        {
            kept.remove(name);
        }
    }
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Returns how many bytes the path and the headers of a request take.
pub fn head_size(parts: &Parts) -> usize {
    let fields = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_FRAME);
    parts.uri.path().len() + fields.sum::<usize>()
}

/// Returns path and query of a target, without scheme and host.
pub fn path_of(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_source| uri.clone())
}

/// Reads for how long the sender of a message keeps its connection: the seconds of `timeout=5, max=100`.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
