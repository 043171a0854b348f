//! The framing of a response's body.

use acaciabay::core::answer_end::BodyFraming;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// Returns the framing of a response of which nothing of the body has been read yet.
pub fn body_framing(response: &Response<Incoming>) -> BodyFraming {
    let headers = response.headers();
    if is_chunked(headers) {
        BodyFraming::Chunked
    } else if response.body().is_end_stream() || headers.contains_key(CONTENT_LENGTH) {
        BodyFraming::Length
    } else {
        BodyFraming::UntilClose
    }
}

/// Returns true if the last transfer coding is `chunked`. With any other one, the body ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
