//! Final responses that a sidecar generates itself. They are generic over the body type of its transport.

use havenplank::interface::Nanos;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// Builds a response with this status and this text as its body.
pub fn text_response<B: From<&'static str>>(status: StatusCode, text: &'static str) -> Response<B> {
    let mut response = Response::new(B::from(text));
    *response.status_mut() = status;
    response
}

/// Builds the response that a request was rejected, so that a retry is harmless. `retry_after` is the complete header
/// value; `None` gives the client no advice.
pub fn rejected<B: From<&'static str>>(retry_after: Option<HeaderValue>) -> Response<B> {
    let mut response = text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "bounced: a retry is harmless\n",
    );
    if let Some(retry_after) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Builds the response that a request was rejected, with a retry delay given in nanoseconds. The header holds whole
/// seconds; the delay is rounded down, so that the client does not wait longer than was decided.
pub fn rejected_with_retry_after<B: From<&'static str>>(retry_after: Nanos) -> Response<B> {
    rejected(Some(HeaderValue::from(retry_after / NANOS_PER_SECOND)))
}

/// Builds the response that a request failed: it may or may not have run.
pub fn failed<B: From<&'static str>>(timed_out: bool) -> Response<B> {
    match timed_out {
        true => text_response(StatusCode::GATEWAY_TIMEOUT, "errored: out of time\n"),
        false => text_response(StatusCode::BAD_GATEWAY, "errored: it may have run\n"),
    }
}

/// Marks the connection to be closed after this response, because the rest of its input cannot be used.
pub fn with_connection_close<B>(mut response: Response<B>) -> Response<B> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
