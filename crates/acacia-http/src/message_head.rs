//! Functions for the heads of forwarded messages: hop-by-hop headers, head size, request target, keep-alive and requests
//! for rest.

use std::time::Duration;

use acaciabay::core::endpoint_rest::{DepartureNotice, RestNotice, RestRequest};
use hyper::header::{
    CONNECTION, DATE, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode, Uri};

/// Name of the header that states how long the sender keeps an idle connection open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Bytes that a header line takes in addition to its name and value: a colon, a space and the line ending.
const HEADER_OVERHEAD: usize = 4;

/// Returns the headers without the hop-by-hop headers and without those that a `Connection` header lists. A listed
/// header is kept if it is in `end_to_end`.
pub fn without_hop_by_hop_headers(headers: &HeaderMap, end_to_end: &[HeaderName]) -> HeaderMap {
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
    for name in HOP_BY_HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Returns the size of a request's path and headers, in bytes.
pub fn head_size(parts: &Parts) -> usize {
    let fields = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    parts.uri.path().len() + fields.sum::<usize>()
}

/// Returns the path and query of a URI, without scheme and authority.
pub fn path_of(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_source| uri.clone())
}

/// Returns how long the sender of a message keeps an idle connection open, from the `timeout` parameter of its
/// `Keep-Alive` header, such as `timeout=5, max=100`.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns what the head of an endpoint's answer asks of this host. Only a 503 asks for rest, in seconds or as a date (RFC
/// 9110, section 10.2.3); of several, the longest counts. `departure_headers` are the names under which endpoints say
/// that they leave.
pub fn rest_request(status: StatusCode, headers: &HeaderMap, departure_headers: &[HeaderName]) -> RestRequest {
    let mut request = RestRequest::default();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        request.rest = requested_rest(headers);
    }
    let flags = departure_headers.iter().flat_map(|name| headers.get_all(name));
    let departures = flags.map(|value| DepartureNotice::read(value.to_str().unwrap_or_default()));
    // One that says so once leaves, whatever else it says.
    request.departure = departures.max().unwrap_or_default();
    request
}

/// Returns the longest time for which the sender of a refusal wants no requests, as its `Retry-After` headers say.
pub fn requested_rest(headers: &HeaderMap) -> RestNotice {
    let values = headers.get_all(RETRY_AFTER).iter();
    let rests = values.map(|value| read_rest(value, headers));
    rests.fold(RestNotice::Absent, RestNotice::longer)
}

fn read_rest(value: &HeaderValue, headers: &HeaderMap) -> RestNotice {
    let text = value.to_str().unwrap_or_default().trim();
    match RestNotice::from_seconds(text) {
        RestNotice::Unreadable => rest_until_date(text, headers).map_or(RestNotice::Unreadable, RestNotice::lasting),
        notice => notice,
    }
}

/// Returns the time from the date of an answer to that until which its endpoint wants rest. Both are of the endpoint's clock:
/// that of this host may differ.
fn rest_until_date(text: &str, headers: &HeaderMap) -> Option<Duration> {
    let until = httpdate::parse_http_date(text).ok()?;
    let sent_at = httpdate::parse_http_date(headers.get(DATE)?.to_str().ok()?).ok()?;
    Some(until.duration_since(sent_at).unwrap_or_default())
}
